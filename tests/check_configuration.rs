//! Tests of the check of a configuration before it is published: each fault and each difference is reported once, without keys.

use std::{fs, process::Command};

use cranberrychute::{core::lint, platform::decode_configuration};
use serde_json::{Value, json};
use tempfile::tempdir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cranberrychute");
/// Part of every key in these tests. It must not occur in any output.
const SECRET: &str = "s3cr3t";
const DIGEST_KEY: [u8; 32] = [7; 32];

const BASE: &str = r#"{
  "config_version": 7,
  "routes": [
    {"name": "search", "hostname": "h", "prefix": "/search/", "route_type": "idempotent", "timeout_ms": 800,
     "target_latency_ms": 80, "priority": 3, "attempts": 2, "gather": ["s0", "s1"], "top_k": 10, "min_coverage": 0.5},
    {"name": "items", "hostname": "H", "prefix": "/items/", "route_type": "non_idempotent", "timeout_ms": 500,
     "target_latency_ms": 50, "service": "items"},
    {"name": "pages", "hostname": "[::1]", "prefix": "/", "route_type": "idempotent", "timeout_ms": 500,
     "target_latency_ms": 500, "traffic_split": [{"service": "a", "weight": 9}, {"service": "b", "weight": 1}]}
  ],
  "services": [{"name": "s0", "max_connections": 8, "warmup_per_s": 5}, {"name": "s1", "max_connections": 8},
    {"name": "items", "max_connections": 8}, {"name": "a", "max_connections": 8}, {"name": "b", "max_connections": 8}],
  "limits": {"max_header_bytes": 21, "max_body_bytes": 1000, "header_timeout_ms": 3000, "idle_timeout_ms": 9000},
  "tenants": [
    {"name": "big", "api_keys": ["s3cr3t-1", "s3cr3t-2"], "rate_per_s": 100, "burst": 20},
    {"name": "small", "api_keys": ["s3cr3t-3"], "priority": 1}
  ]
}"#;

/// Changes of [`BASE`] with the only finding: pointer, value and a part of the finding.
const FAULTS: &str = r#"
/routes/- | {"name": "late", "hostname": "h", "prefix": "/items/", "route_type": "idempotent", "timeout_ms": 9, "target_latency_ms": 9, "service": "a"} | warning: route late: never matches: route items
/routes/1/prefix | "/a?b/" | warning: route items: never matches: no path
/routes/1/hostname | "h:80" | warning: route items: never matches: the host "h:80" contains a port
/services/- | {"name": "idle", "max_connections": 1} | warning: service idle: no route
/services/- | {"name": "a", "max_connections": 1} | warning: service a: is listed more than once
/services/2 | null | warning: route items: service items is not listed
/routes/1/target_latency_ms | 501 | warning: route items: the objective 501ms is above
/routes/0/min_coverage | 1.1 | warning: route search: a coverage of 1.1
/routes/0/min_coverage | -0.1 | warning: route search: a coverage of -0.1
/routes/2/traffic_split/0/weight | -1 | warning: route pages: the weight -1.0 of service a
/routes/1/gather | ["items"] | warning: route items: has several targets
/routes/0/timeout_ms | 1e9 | warning: route search: timeout_ms is out of range
/tenants/1/api_keys | [] | warning: account small: has no key
/tenants/1/burst | 5 | warning: account small: has a burst without a rate
/tenants/0/api_keys/- | "s3cr3t-é" | warning: account big: 1 of its keys can never match
/tenants/0/api_keys/- | "s3cr3t " | warning: account big: 1 of its keys can never match
/tenants/1/api_keys/- | "s3cr3t-44" | warning: limits: headers may have 21 bytes, less than a key of account small
"#;

/// Changes of [`BASE`] as version 8 with the findings that compare it with version 7.
const DIFFERENCES: &str = r#"
/config_version | 9 |
/config_version | 7 | error: version: 7 is not higher than 7
/config_version | 6 | error: version: 6 is not higher than 7
/routes/0/timeout_ms | 900 | change: route search: timeout raised from 800ms to 900ms: callers may wait longer
/routes/0/target_latency_ms | 70 | route search: objective lowered from 80ms to 70ms: answers come earlier
/routes/0/attempts | 1 | route search: attempts lowered from 2 to 1: more requests fail
/routes/0/priority | 4 | route search: priority raised from 3 to 4: its requests are less urgent
/routes/0/min_coverage | 1 | route search: coverage raised from 0.5 to 1.0: more requests fail
/routes/0/top_k | 5 | route search: number of records lowered from 10 to 5
/routes/0/name | "find" | route find: renamed from search
/routes/0/allow_anonymous | true | route search: now anonymous: requests need no key
/routes/0/allowed_regions | ["x"] | route search: regions changed from all to x
/routes/1/route_type | "idempotent" | route items: now idempotent
/routes/2/traffic_split/0/weight | 8 | route pages: weights changed from a 9.0, b 1.0 to a 8.0, b 1.0
/routes/- | {"name": "new", "hostname": "h", "prefix": "/search/new/", "route_type": "idempotent", "timeout_ms": 9, "target_latency_ms": 9, "service": "a"} | route new: added at h/search/new/: takes over requests of route search
/routes/1 | null | warning: service items: no route | route items: removed from h/items/: its requests get 404
/routes/1/service | "a" | warning: service items: no route | route items: services changed: its requests go to a instead of items
/routes/1/gather | ["items"] | warning: route items: has several | route items: target changed from one service to shards
/routes/0/gather | ["s0", "s1", "a"] | route search: number of shards raised from 2 to 3 | its requests also go to a
/services/- | {"name": "c", "max_connections": 1} | warning: service c | change: service c: added
/services/2 | null | warning: route items | change: service items: removed
/services/0/max_connections | 9 | service s0: connections of a leaf raised from 8 to 9
/services/0/warmup_per_s | 0 | service s0: rate of a cold leaf changed from 5.0 to 0.0
/limits/max_header_bytes | 99 | limits: bytes of headers raised from 21 to 99
/limits/max_body_bytes | 99 | limits: bytes of a body lowered from 1000 to 99: larger ones get 413
/limits/header_timeout_ms | 99 | limits: time for headers lowered from 3s to 99ms
/limits/idle_timeout_ms | 9001 | limits: idle time raised from 9s to 9.001s
/tenants | null | accounts: all removed: requests need no key
/tenants/- | {"name": "new", "api_keys": ["s3cr3t-4"]} | account new: 1 key added | account new: added
/tenants/0 | null | account big: 2 keys withdrawn: requests with them get 401 | account big: removed
/tenants/1/name | "tiny" | account small: 1 key moved to account tiny | account small: removed | account tiny: added
/tenants/1/api_keys/0 | "s3cr3t-4" | account small: 1 key added | account small: 1 key withdrawn
/tenants/0/rate_per_s | 99 | account big: rate per s lowered from 100.0 to 99.0: more of its requests get 429
/tenants/0/burst | 30 | account big: burst raised from 20.0 to 30.0: larger bursts run
/tenants/1/rate_per_s | 5 | account small: limited to 5.0 per s with a burst of 0.0
/tenants/0/priority | 0 | account big: priority changed from that of the route to 0
"#;

fn base(version: u64) -> Value {
    let base = serde_json::from_str(BASE).unwrap();
    patch(base, "/config_version", json!(version))
}

/// Replaces the value at a JSON pointer, of which `-` is the end of a list. `null` removes it.
fn patch(mut document: Value, pointer: &str, value: Value) -> Value {
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    match document.pointer_mut(parent).expect(pointer) {
        Value::Object(fields) if value.is_null() => drop(fields.remove(field)),
        Value::Object(fields) => drop(fields.insert(field.to_owned(), value)),
        Value::Array(items) if field == "-" => items.push(value),
        Value::Array(items) if value.is_null() => drop(items.remove(field.parse().unwrap())),
        Value::Array(items) => items[field.parse::<usize>().unwrap()] = value,
        _ => panic!("not a container: {parent}"),
    }
    document
}

/// Asserts that the check has exactly these findings, of which each expectation is a part.
fn assert_findings(case: &str, document: &Value, active: Option<&Value>, expected: &[&str]) {
    let decode =
        |value: &Value| decode_configuration(value.to_string().as_bytes(), DIGEST_KEY).unwrap();
    let findings = lint::check(&decode(document), active.map(decode).as_ref());
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), expected.len(), "{case}: {lines:#?}");
    for (line, expected) in lines.iter().zip(expected) {
        assert!(line.contains(expected), "{case}: {line}");
        assert!(!line.contains(SECRET), "{case}: {line}");
    }
}

fn assert_cases(cases: &str, document: &Value, active: Option<&Value>) {
    for case in cases.trim().lines() {
        let columns: Vec<&str> = case.split('|').map(str::trim).collect();
        let value = serde_json::from_str(columns[1]).expect(case);
        let patched = patch(document.clone(), columns[0], value);
        let expected = columns[2..].iter().filter(|text| !text.is_empty());
        let expected: Vec<&str> = expected.copied().collect();
        assert_findings(case, &patched, active, &expected);
    }
}

/// Guards against a fault that is not reported, is reported for another entry, or hides among consequences of it.
#[test]
fn each_fault_is_reported_once() {
    assert_findings("no fault", &base(7), None, &[]);
    assert_cases(FAULTS, &base(7), None);
    // 258 bytes.
    let long = patch(base(7), "/tenants/0/api_keys/-", json!(SECRET.repeat(43)));
    let expected = "warning: account big: 1 of its keys can never match";
    assert_findings("long key", &long, None, &[expected]);
}

/// Guards against a difference that is not reported, and against one whose effect on callers is reported the wrong way round.
#[test]
fn each_difference_is_reported_with_its_effect() {
    assert_cases(DIFFERENCES, &base(8), Some(&base(7)));
    let open = patch(base(7), "/tenants", Value::Null);
    let expected = "accounts: 2 introduced with 3 keys: requests without one get 401";
    assert_findings("first accounts", &base(8), Some(&open), &[expected]);
}

/// Guards against all keys reported as withdrawn because the two versions were decoded under different secrets.
#[test]
fn keys_under_different_digest_keys_are_not_compared() {
    let decode = |version, secret| {
        decode_configuration(base(version).to_string().as_bytes(), secret).unwrap()
    };
    let findings = lint::check(&decode(8, [8; 32]), Some(&decode(7, DIGEST_KEY)));
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].starts_with("warning: accounts: keys were not compared"));
}

/// Guards against exit codes by which scripts publish a configuration that nodes reject, and against keys in the output.
#[test]
fn exit_codes_tell_scripts_whether_to_publish() {
    const CASES: &str = r#"
        clean | 0 | clean: errors: 0, warnings: 0, changes: 0
        clean --json | 0 | {"findings":[]}
        faster --in-force active | 0 | errors: 0, warnings: 0, changes: 1
        warned | 1 | warning: account small
        warned --json | 1 | "severity":"warning"
        shared | 2 | error: configuration: tenants: accounts big and small share a key
        prefix --json | 2 | "text":"route search: prefix
        large | 2 | error: configuration: its 19000000 bytes are more than nodes read
        cut | 2 | error: configuration: EOF
        active --in-force clean | 2 | error: version: 7
        missing --json | 3 | {"error":"read missing
        clean --in-force shared | 3 | shared: tenants: accounts big and small"#;
    let folder = tempdir().unwrap();
    let write = |name, text: String| fs::write(folder.path().join(name), text).unwrap();
    let write_patched =
        |name, pointer, value| write(name, patch(base(8), pointer, value).to_string());
    write("active", base(7).to_string());
    write("clean", base(8).to_string());
    write(
        "large",
        BASE.to_owned() + &" ".repeat(19_000_000 - BASE.len()),
    );
    write("cut", BASE[..BASE.len() - 1].to_owned());
    write_patched("faster", "/routes/0/timeout_ms", json!(90));
    write_patched("warned", "/tenants/1/burst", json!(5));
    write_patched("shared", "/tenants/1/api_keys/0", json!("s3cr3t-1"));
    write_patched("prefix", "/routes/0/prefix", json!("search"));
    for case in CASES.trim().lines() {
        let columns: Vec<&str> = case.split('|').map(str::trim).collect();
        let output = Command::new(PROGRAM)
            .arg("check-configuration")
            .args(columns[0].split(' '))
            .current_dir(folder.path())
            .output()
            .unwrap();
        let shown = [output.stdout, output.stderr].concat();
        let shown = String::from_utf8(shown).unwrap();
        let code = columns[1].parse().unwrap();
        assert_eq!(output.status.code(), Some(code), "{case}: {shown}");
        assert!(shown.contains(columns[2]), "{case}: {shown}");
        assert!(!shown.contains(SECRET), "{case}: {shown}");
    }
}
