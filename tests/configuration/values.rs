use std::fmt::Write;

/// Returns a valid policy that differs by `salt`.
pub(crate) fn policy(salt: u64) -> String {
    format!(
        "# {salt}\ndeadline_ms = 140\nmax_deadline_ms = 2000\nmax_top = {}\n\n[hedge]\nquantile = 0.95\npercent = 2\n",
        1 + salt % 1_000
    )
}

/// Returns a valid map with one shard per three leaves; a leaf chosen by `salt` is leaving.
pub(crate) fn map(salt: u64, leaves: u64) -> String {
    let mut text = String::from("{\"leaves\":{");
    for at in 0..leaves {
        let comma = if at > 0 { "," } else { "" };
        let leaving = at == salt % leaves;
        let address = format!("10.0.{}.{}:1", at / 250, at % 250 + 1);
        write!(
            text,
            "{comma}\"{address}\":{{\"domain\":\"d{}\",\"slots\":6,\"connections\":110,\"leaving\":{leaving}}}",
            at % 4
        )
        .expect("writes to a string");
    }
    write!(
        text,
        "}},\"snapshots\":[{{\"id\":{},\"state\":\"serving\",\"shards\":[",
        1 + salt / 100
    )
    .expect("writes to a string");
    for shard in 0..leaves.div_ceil(3) {
        let comma = if shard > 0 { "," } else { "" };
        let held = (shard * 3..leaves.min(shard * 3 + 3))
            .map(|at| format!("\"10.0.{}.{}:1\"", at / 250, at % 250 + 1));
        let held = held.collect::<Vec<_>>().join(",");
        write!(text, "{comma}{{\"shard\":{shard},\"leaves\":[{held}]}}")
            .expect("writes to a string");
    }
    text.push_str("]}]}");
    text
}
