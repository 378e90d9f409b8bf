//! Configurations come in quick succession on a large one, while the connections to the store go silent or over links of little
//! bandwidth. Later the machines are asked for a route of the latest one.

use std::{net::SocketAddr, time::Duration};

use anyhow::ensure;
use cranberrychute_emulator::{GatewayLeaf, Store};
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::{
    Verdict,
    client::get,
    deployment::{HOST, VALUE_LIMIT, ZONES, configuration, start_leaves},
    proxy::Proxy,
    record::Record,
    site::{GROWN, Profile, SMALL, Site},
};

/// A disruption, and the deployment that it meets.
struct Scene {
    profile: Profile,
    /// `big_config`: routes that one change adds.
    added_routes: usize,
    /// `config_storm`: a change each `gap`.
    changes: u64,
    gap: Duration,
    /// The change of the storm after which the connections to the store go silent.
    silent_after: Option<u64>,
    /// Whether the links have the bandwidth of the settings.
    shaped: bool,
}

/// A storm of 2 s with a change each 80 ms, as on the site's day trouble-1.
const SILENT: Scene = Scene {
    profile: SMALL,
    added_routes: 350,
    changes: 25,
    gap: Duration::from_millis(80),
    silent_after: Some(1),
    shaped: false,
};

/// A storm of 4 s with a change each 330 ms, as in the list of the small site.
const NARROW: Scene = Scene {
    profile: GROWN,
    added_routes: 1_852,
    changes: 12,
    gap: Duration::from_millis(330),
    silent_after: None,
    shaped: true,
};

/// Time between two steps in which the configuration grows.
const GROWTH_GAP: Duration = Duration::from_millis(2_000);
/// `history_s` of the settings, after which the store discards its history.
const HISTORY: Duration = Duration::from_secs(20);
/// Time for which the machines are asked, counted from the silence of the connections.
const OBSERVED: Duration = Duration::from_secs(30);

/// What requests to one machine got that were sent when the rule binds it.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    served: usize,
    not_found: usize,
    others: usize,
}

/// Runs the case in which the connections to the store go silent.
pub async fn run_silent(case: &str, trouble: bool) -> anyhow::Result<Verdict> {
    run(case, &SILENT, trouble).await
}

/// Runs the case in which the links have little bandwidth. Without trouble, there is a single change.
pub async fn run_narrow(case: &str, trouble: bool) -> anyhow::Result<Verdict> {
    run(case, &NARROW, trouble).await
}

async fn run(case: &str, scene: &Scene, trouble: bool) -> anyhow::Result<Verdict> {
    let mut record = Record::create(case)?;
    let store = Store::start(ZONES.len()).await?;
    let leaves = start_leaves(&store).await?;
    let mut version = 7;
    let mut routes = 10;
    store.put("op/config", &configuration(version, routes, 800, None));
    let link = scene.shaped.then_some(scene.profile.link_mbps);
    let mut proxies = Vec::new();
    for index in 0..ZONES.len() {
        proxies.push(Proxy::start(store.address(index), link).await?);
    }
    let site = Site::new(&ZONES, scene.profile)?;
    let stores: Vec<SocketAddr> = proxies.iter().map(Proxy::address).collect();
    let nodes = site.start_all(&stores).await?;
    // `big_config`: the configuration grows by routes, up to what the store takes.
    let mut added = scene.added_routes;
    while added >= 100 {
        let next = configuration(version + 3, routes + added, 800, Some("fresh"));
        if next.to_string().len() > VALUE_LIMIT {
            added /= 2;
            continue;
        }
        version += 3;
        routes += added;
        store.put("op/config", &configuration(version, routes, 800, None));
        sleep(GROWTH_GAP).await;
    }
    record.line(
        true,
        &format!("the configuration has {routes} routes, version {version}"),
    );
    sleep(Duration::from_secs(4)).await;
    for (machine, node) in nodes.iter().enumerate() {
        let status = ask(node.callers(), &format!("/rany{}/2f", routes - 1), 0).await;
        ensure!(
            status == 200,
            "machine {machine} does not serve the last route before the storm: status {status}"
        );
    }

    let mut next_change = Instant::now();
    let mut silent_at = next_change;
    let changes = match scene.silent_after.is_some() || trouble {
        true => scene.changes,
        false => 1,
    };
    for change in 0..changes {
        sleep_until(next_change).await;
        next_change += scene.gap;
        version += 3;
        let added = (change + 1 == changes).then_some("fresh");
        store.put(
            "op/config",
            &configuration(version, routes, 800 + change % 2 * 100, added),
        );
        let what = if added.is_some() {
            ", the last one, which adds the route /fresh/"
        } else {
            ""
        };
        record.line(
            added.is_some() || change == 0,
            &format!("operator writes version {version}{what}"),
        );
        if scene.silent_after == Some(change) {
            silent_at = Instant::now();
            if trouble {
                proxies.iter().for_each(Proxy::silence);
                record.line(
                    true,
                    "all open connections to the store go silent, new ones work",
                );
            }
        }
    }
    let acknowledged = Instant::now();

    let binds_from = (acknowledged + Duration::from_millis(scene.profile.config_apply_ms))
        .max(silent_at + Duration::from_millis(scene.profile.stable_window_ms));
    let history_end = silent_at + HISTORY;
    let mut counts = [Count::default(); ZONES.len()];
    let mut first_served = [None; ZONES.len()];
    let mut discarded = false;
    // One leaf leaves when the rules bind all machines, and goes on serving until the end.
    let leaving = &leaves[0];
    let drain_end = binds_from + Duration::from_millis(scene.profile.drain_ms);
    let mut drained = false;
    let mut runs_in_time = None;
    let mut late_runs = 0;
    let mut ticks = interval(Duration::from_millis(200));
    let mut number = 0_u64;
    while Instant::now() < silent_at + OBSERVED {
        ticks.tick().await;
        if !drained && Instant::now() >= binds_from {
            drained = true;
            store.put(&leaving.key(), &leaving.entry("s0", ZONES[0], "draining"));
            record.line(true, &format!("leaf {} is draining", leaving.key()));
        }
        if runs_in_time.is_none() && Instant::now() >= drain_end {
            runs_in_time = Some(leaving.request_count());
        }
        if !discarded && Instant::now() >= history_end {
            discarded = true;
            late_runs = leaving.request_count() - runs_in_time.unwrap_or_default();
            store.compact();
            record.line(true, "the store discards its history");
        }
        for (machine, node) in nodes.iter().enumerate() {
            number += 1;
            let at = Instant::now();
            let status = ask(node.callers(), "/fresh/2f", number).await;
            ask(node.callers(), "/rany1/2f", number << 32).await;
            let (binds, since) = (at >= binds_from, at - acknowledged);
            let note = if binds {
                ""
            } else {
                " (the rule doesn't bind yet)"
            };
            record.line(false, &format!("request {number:016x} on /fresh/ to machine {machine}, {:.1} s after the last version: status {status}{note}", since.as_secs_f64()));
            if status == 200 {
                first_served[machine].get_or_insert(since.as_secs_f64());
            }
            if binds {
                match status {
                    200 => counts[machine].served += 1,
                    404 => counts[machine].not_found += 1,
                    _ => counts[machine].others += 1,
                }
            }
        }
    }
    for (machine, count) in counts.iter().enumerate() {
        record.line(true, &format!("machine {machine}: /fresh/ is served {:?} s after the last version; requests that the rule binds: {count:?}", first_served[machine]));
    }
    let runs: Vec<u64> = leaves.iter().map(GatewayLeaf::request_count).collect();
    record.line(true, &format!("requests at the leafs: {runs:?}"));
    record.line(true, &format!("requests at the leaving leaf later than drain_ms after its report, until the history is discarded: {late_runs}"));
    ensure!(
        counts.iter().any(|count| count.served > 0),
        "no machine serves the route in the end"
    );
    Ok(match counts.iter().any(|count| count.not_found > 0) {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

async fn ask(address: SocketAddr, path: &str, number: u64) -> u16 {
    let id = format!("{number:016x}");
    let answer = get(address, path, HOST, &id, Some(800), Duration::from_secs(1)).await;
    answer.map_or(0, |answer| answer.status)
}
