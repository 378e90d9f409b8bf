//! What the cases have in common: a small installation with the leafs of one app, and the callers that send it orders.

use std::{thread, time::Duration};

use crate::{
    caller::{Callers, Load},
    fleet::Fleet,
    leaf::{Leaf, Runs, Spec},
    report::Report,
    store::Store,
};

const NODES: usize = 8;
const ZONES: [&str; 4] = ["trnava", "nitra", "senica", "piestany"];
/// Time after the start of the nodes in which they learn of each other.
const SETTLE_TIME: Duration = Duration::from_secs(5);

const CONFIGURATION: &str = r#"{"config_version":7,"routes":[{"name":"r-orders","hostname":"leno12.example","prefix":"/orders/","route_type":"non_idempotent","timeout_ms":2500,"target_latency_ms":250,"priority":2,"service":"vyjazd","attempts":1}],"services":[{"name":"vyjazd","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// The orders of callers.
pub const ORDERS: Load = Load {
    method: "POST",
    host: "leno12.example",
    path: "/orders/",
    deadline: Duration::from_millis(2_500),
    pause: Duration::from_millis(100),
    callers: 16,
};

/// A running installation.
pub struct Site {
    pub fleet: Fleet,
    pub store: Store,
    pub leafs: Vec<Leaf>,
    pub runs: Runs,
}

impl Site {
    /// Starts eight nodes and `leafs` leafs of one app, and waits until all nodes are ready and know each other.
    pub fn start(leafs: usize, report: &mut Report) -> Result<Self, String> {
        let mut fleet = Fleet::new(NODES)?;
        let store = Store::start(fleet.stores()).map_err(|error| format!("store: {error}"))?;
        let runs = Runs::default();
        let leafs: Result<Vec<Leaf>, _> = (0..leafs)
            .map(|index| {
                let spec = Spec {
                    id: format!("i-7f3a9{index:03x}"),
                    service: "vyjazd".to_owned(),
                    zone: ZONES[index % ZONES.len()].to_owned(),
                    work: Duration::from_millis(150),
                    body: b"done".to_vec(),
                };
                Leaf::start(spec, &store, &runs)
            })
            .collect();
        let leafs = leafs.map_err(|error| format!("leafs: {error}"))?;
        store.put("op/config", CONFIGURATION);
        fleet.start_all()?;
        fleet.wait_ready(Duration::from_secs(20))?;
        report.note("all nodes are ready");
        thread::sleep(SETTLE_TIME);
        Ok(Self {
            fleet,
            store,
            leafs,
            runs,
        })
    }

    /// Starts the callers, which ask the directories of `nodes`.
    pub fn start_callers(&self, nodes: impl Iterator<Item = usize>) -> Callers {
        let directories = nodes.map(|node| self.fleet.directory(node)).collect();
        Callers::start(&ORDERS, directories)
    }

    pub fn nodes(&self) -> std::ops::Range<usize> {
        0..self.fleet.len()
    }
}
