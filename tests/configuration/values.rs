use std::fmt::Write;

/// Returns a valid service policy whose text depends on `salt`.
pub(crate) fn policy(salt: u64) -> String {
    format!(
        "# {salt}\ndeadline_ms = 140\nmax_deadline_ms = 2000\nmax_top = {}\n\n[hedge]\nquantile = 0.95\npercent = 2\n",
        1 + salt % 1_000
    )
}

/// Returns a valid map with one shard per three leaves. `salt` selects the leaf that is leaving and the snapshot id.
pub(crate) fn map(salt: u64, leaves: u64) -> String {
    let mut text = String::from("{\"leaves\":{");
    for index in 0..leaves {
        let comma = if index > 0 { "," } else { "" };
        let leaving = index == salt % leaves;
        let address = format!("10.0.{}.{}:1", index / 250, index % 250 + 1);
        write!(
            text,
            "{comma}\"{address}\":{{\"domain\":\"d{}\",\"slots\":6,\"connections\":110,\"leaving\":{leaving}}}",
            index % 4
        )
        .expect("writing to a string does not fail");
    }
    write!(
        text,
        "}},\"snapshots\":[{{\"id\":{},\"state\":\"serving\",\"shards\":[",
        1 + salt / 100
    )
    .expect("writing to a string does not fail");
    for shard in 0..leaves.div_ceil(3) {
        let comma = if shard > 0 { "," } else { "" };
        let replicas = (shard * 3..leaves.min(shard * 3 + 3))
            .map(|index| format!("\"10.0.{}.{}:1\"", index / 250, index % 250 + 1));
        let replicas = replicas.collect::<Vec<_>>().join(",");
        write!(text, "{comma}{{\"shard\":{shard},\"leaves\":[{replicas}]}}")
            .expect("writing to a string does not fail");
    }
    text.push_str("]}]}");
    text
}
