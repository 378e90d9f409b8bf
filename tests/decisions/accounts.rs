use std::sync::Arc;

use assert_matches::assert_matches;
use cranberrychute::{
    core::{
        account::{Account, Accounts, RateLimit},
        mirror::{Change, HeldItem, ItemState, Position},
        routing::Routing,
    },
    platform::{DecodedChange, decode_change},
};
use serde_json::{Value, json};

/// Part of every key in these tests. It must not occur in any output.
const SECRET: &str = "s3cr3t";

fn change(tenants: Option<&str>) -> Change {
    let route = json!({
        "name": "r", "hostname": "h", "prefix": "/", "route_type": "idempotent", "timeout_ms": 800,
        "target_latency_ms": 80, "priority": 3, "service": "s", "allow_anonymous": true,
    });
    let tenants = tenants.map_or(String::new(), |text| format!(", \"tenants\": {text}"));
    let text =
        format!("{{\"config_version\": 7, \"routes\": [{route}], \"services\": []{tenants}}}");
    Change {
        key: "op/config".into(),
        position: Position::new(1, 1),
        value: Some(text.into()),
    }
}

fn decode(tenants: Option<&str>) -> Result<Routing, String> {
    let decoded = decode_change(&change(tenants));
    let shown = format!("{decoded:?}");
    assert!(!shown.contains(SECRET), "debug output: {shown}");
    match decoded {
        DecodedChange::Routing(routing) => routing,
        other => panic!("not a configuration: {other:?}"),
    }
}

fn decode_valid(tenants: &Value) -> Routing {
    decode(Some(&tenants.to_string())).unwrap()
}

/// Guards against a configuration with contradictory accounts that becomes active, and against errors that reveal a key or do
/// not say which account is wrong.
#[test]
fn invalid_accounts_are_rejected_by_name_and_without_keys() {
    let cases = [
        ("null", "must be a list"),
        ("\"s3cr3t\"", "must be a list"),
        ("{\"s3cr3t\": 1}", "must be a list"),
        ("[\"s3cr3t\"]", "entry 1 must be an object"),
        (
            r#"[{"name": "big"}, {"name": "a", "name": "s3cr3t"}]"#,
            "entry 2 must be an object",
        ),
        (r#"[{"api_keys": ["s3cr3t"]}]"#, "name of entry 1"),
        (r#"[{"name": ["s3cr3t"]}]"#, "name of entry 1"),
        (r#"[{"name": ""}]"#, "number 1"),
        (r#"[{"name": " big"}]"#, "number 1"),
        (r#"[{"name": "big\r\nTenant: x"}]"#, "number 1"),
        (
            r#"[{"name": "big", "api_keys": "s3cr3t"}]"#,
            "big: api_keys",
        ),
        (
            r#"[{"name": "big", "api_keys": [["s3cr3t"]]}]"#,
            "big: api_keys",
        ),
        (
            r#"[{"name": "big", "api_keys": ["s3cr3t", 5]}]"#,
            "big: api_keys",
        ),
        (
            r#"[{"name": "big", "api_keys": ["s3cr3t", ""]}]"#,
            "big: a key is empty",
        ),
        (
            r#"[{"name": "big", "api_keys": ["s3cr3t"]}, {"name": "big", "api_keys": ["s3cr3t2"]}]"#,
            "account big is listed twice",
        ),
        (
            r#"[{"name": "big", "api_keys": ["s3cr3t"]}, {"name": "mid"}, {"name": "small", "api_keys": ["a", "\u0073\u0033cr3t"]}]"#,
            "accounts big and small share a key",
        ),
        (
            r#"[{"name": "big", "priority": "s3cr3t"}]"#,
            "big: priority",
        ),
        (r#"[{"name": "big", "priority": -1}]"#, "big: priority"),
        (
            r#"[{"name": "big", "rate_per_s": "s3cr3t"}]"#,
            "big: rate_per_s",
        ),
        (
            r#"[{"name": "big", "rate_per_s": 1e999}]"#,
            "big: rate_per_s",
        ),
        (r#"[{"name": "big", "rate_per_s": -0.1}]"#, "big: the rate"),
        (
            r#"[{"name": "big", "rate_per_s": 1000000001}]"#,
            "big: the rate",
        ),
        (
            r#"[{"name": "big", "rate_per_s": 5, "burst": -1}]"#,
            "big: the burst",
        ),
        (r#"[{"name": "big", "burst": 1.1e9}]"#, "big: the burst"),
        (r#"[{"name": "big", "burst": 1e999}]"#, "big: burst"),
    ];
    for (tenants, expected) in cases {
        let error = decode(Some(tenants)).expect_err(tenants);
        assert!(error.contains(expected), "{tenants}: {error}");
        assert!(!error.contains(SECRET), "{tenants}: {error}");
    }
    for number in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert!(RateLimit::from_rate(number, 0.0).is_err(), "{number}");
        assert!(RateLimit::from_rate(1.0, number).is_err(), "{number}");
    }
}

/// Guards against limits and priorities that are read as others than written, and against a configuration that is rejected
/// although it is valid.
#[test]
fn account_fields_are_read_as_written() {
    let limit = |per_s, burst| Some(RateLimit { per_s, burst });
    let cases = [
        (json!({}), None, None),
        (
            json!({"priority": null, "rate_per_s": null, "burst": null, "api_keys": null}),
            None,
            None,
        ),
        (
            json!({"priority": 0, "rate_per_s": 0, "burst": 0, "unknown": 1}),
            Some(0),
            None,
        ),
        (
            json!({"priority": 9, "rate_per_s": 2.5, "burst": 7}),
            Some(9),
            limit(2.5, 7.0),
        ),
        (json!({"rate_per_s": 1e9}), None, limit(1e9, 0.0)),
        (json!({"burst": 7}), None, None),
    ];
    for (mut entry, priority, limit) in cases {
        entry["name"] = json!("big");
        let routing = decode_valid(&json!([entry]));
        let accounts = routing.accounts().unwrap();
        let account = accounts.named("big").unwrap();
        assert_eq!(
            (account.priority, account.limit),
            (priority, limit),
            "{entry}"
        );
        let route = routing.find("h", "/").unwrap();
        assert_eq!(route.priority_for(Some(account)), priority.unwrap_or(3));
        assert_eq!(route.priority_for(None), 3);
    }
    assert!(decode(None).unwrap().accounts().is_none());
    let empty = decode_valid(&json!([]));
    assert_eq!(empty.accounts().unwrap().iter().len(), 0);
    assert!(empty.find("h", "/").unwrap().anonymous);
}

/// Guards against a key that is found for another account, or although it is not the exact key.
#[test]
fn only_exact_keys_are_found() {
    let longest = "k".repeat(256);
    let oversized = "k".repeat(257);
    let routing = decode_valid(&json!([
        {"name": "z-big", "api_keys": ["s3cr3t-1", "s3cr3t-1", "s3cr3t\n2", longest, oversized, "é"]},
        {"name": "a-small", "api_keys": ["s3cr3t-3"]},
        {"name": "none"},
    ]));
    let accounts = routing.accounts().unwrap();
    let find = |key: &[u8]| accounts.find(key).map(|account| &*account.name);
    let cases: [(&[u8], Option<&str>); 12] = [
        (b"s3cr3t-1", Some("z-big")),
        (b"s3cr3t\n2", Some("z-big")),
        (longest.as_bytes(), Some("z-big")),
        (b"s3cr3t-3", Some("a-small")),
        (b"S3cr3t-3", None),
        (b"s3cr3t-", None),
        (b"s3cr3t-33", None),
        (b" s3cr3t-3", None),
        (b"", None),
        (b"\0", None),
        (oversized.as_bytes(), None),
        ("é".as_bytes(), None),
    ];
    for (key, expected) in cases {
        assert_eq!(find(key), expected, "{key:?}");
    }
    let named = |name| accounts.named(name).map(|account| &*account.name);
    for name in ["z-big", "a-small", "none"] {
        assert_eq!(named(name), Some(name));
    }
    for name in ["", "z", "Z-big", "z-bigg", "s3cr3t-1"] {
        assert_eq!(named(name), None);
    }
}

/// Guards against a lookup that misses keys in a large table, and against a table that takes more memory than stated.
#[test]
fn a_hundred_thousand_keys_are_found() {
    let account = |index: usize| Account {
        name: format!("account-{index}").into(),
        priority: None,
        limit: None,
    };
    let key = |index: usize| format!("s3cr3t-{index:032}");
    let mut builder = Accounts::builder([7; 32]);
    for index in 0..88 {
        let keys = (0..100_000).filter(|key| key % 88 == index).map(key);
        builder.add(account(index), keys).unwrap();
    }
    let accounts = builder.build().unwrap();
    assert_eq!((accounts.iter().len(), accounts.key_count()), (88, 100_000));
    for index in 0..100_000 {
        let found = accounts.find(key(index).as_bytes()).unwrap();
        assert_eq!(found.name, account(index % 88).name);
    }
    assert!(accounts.find(key(100_000).as_bytes()).is_none());
}

/// Guards against keys in debug output, for example of a failed assertion or a later log line.
#[test]
fn debug_output_contains_no_key() {
    let tenants = r#"[{"name": "big", "api_keys": ["s3cr3t"]}]"#;
    let change = change(Some(tenants));
    let value = change.value.clone().unwrap();
    let held = HeldItem {
        key: change.key.clone(),
        position: change.position,
        state: ItemState::Present(value.clone()),
        left_ms: None,
    };
    let mut builder = Accounts::builder([7; 32]);
    let account = Arc::new(Account {
        name: "big".into(),
        priority: None,
        limit: None,
    });
    builder.add((*account).clone(), ["s3cr3t"]).unwrap();
    let shown = [
        format!(
            "{change:?} {held:?} {:?}",
            ItemState::Deleted { last: value }
        ),
        format!(
            "{builder:?} {:?} {account:?}",
            decode(Some(tenants)).unwrap()
        ),
    ];
    for shown in shown {
        assert!(!shown.contains(SECRET), "{shown}");
    }
    assert_matches!(builder.build(), Ok(accounts) if !format!("{accounts:?}").contains(SECRET));
}
