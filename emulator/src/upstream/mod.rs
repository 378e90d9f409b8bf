//! The emulated leaves of one process.

mod control;
mod io;
mod leaf;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde_json::json;
use tokio::{task::AbortHandle, time::sleep};

use crate::{
    Corpus, LeafSpec, SnapshotSpec,
    http::{Reply, Reservation, error, json as json_reply, serve},
};

pub use self::control::{Execution, Fault, LeafControl, LeafCounters};
use self::leaf::Leaf;

/// Settings of an [`Upstream`].
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Address of the control endpoint of the whole upstream; port 0 picks a free port.
    pub control: SocketAddr,
    pub snapshots: Vec<SnapshotSpec>,
    pub leaves: Vec<LeafSpec>,
    pub seed: u64,
    /// Mean service time of a call; single calls take 0.5 to 1.5 times as long.
    pub service_time: Duration,
    /// Delay before the first byte of a new connection is read.
    pub connect_delay: Duration,
    /// Successful calls after which a cold leaf is warm.
    pub cold_calls: u32,
    /// Factor by which the service time is longer on a cold leaf.
    pub cold_factor: f64,
    /// Time between a crash and the start of the next instance.
    pub restart_delay: Duration,
    /// Whether a crash ends the whole process instead of restarting the leaf.
    pub exit_on_crash: bool,
}

impl UpstreamSettings {
    /// Returns settings with the given data layout and defaults for the rest.
    pub fn new(snapshots: Vec<SnapshotSpec>, leaves: Vec<LeafSpec>) -> Self {
        Self {
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            snapshots,
            leaves,
            seed: 1,
            service_time: Duration::from_millis(1),
            connect_delay: Duration::ZERO,
            cold_calls: 32,
            cold_factor: 2.0,
            restart_delay: Duration::from_millis(500),
            exit_on_crash: false,
        }
    }
}

/// The leaves of one upstream process. They are stopped on drop.
#[derive(Debug)]
pub struct Upstream {
    control: SocketAddr,
    leaves: Arc<Vec<Arc<Leaf>>>,
    tasks: Vec<AbortHandle>,
}

impl Upstream {
    /// Indexes the data and starts all leaves, all of them cold.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a leaf holds shards of a snapshot that does not exist.
    pub async fn start(settings: UpstreamSettings, corpus: &Corpus) -> anyhow::Result<Self> {
        let indexes = settings
            .snapshots
            .iter()
            .map(|snapshot| (snapshot.id, Arc::new(corpus.index(snapshot.shards))))
            .collect();
        let mut leaves = Vec::new();
        let mut tasks = Vec::new();
        for (number, spec) in settings.leaves.iter().enumerate() {
            let reservation = Reservation::new(spec.address)
                .with_context(|| format!("cannot bind a leaf to {}", spec.address))?;
            let leaf = Leaf::new(number, spec, reservation.address(), &settings, &indexes)?;
            let listener = reservation.listen()?;
            tasks.push(tokio::spawn(leaf.clone().run(reservation, listener)).abort_handle());
            leaves.push(leaf);
        }
        let reservation = Reservation::new(settings.control)
            .with_context(|| format!("cannot bind the control endpoint to {}", settings.control))?;
        let listener = reservation.listen()?;
        let leaves = Arc::new(leaves);
        let control_leaves = leaves.clone();
        let task = tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let leaves = control_leaves.clone();
                        let handler = move |request| {
                            let leaves = leaves.clone();
                            async move { handle_control(&leaves, &request) }
                        };
                        tokio::spawn(serve(stream, handler));
                    }
                    Err(err) => {
                        log::warn!(
                            "cannot accept a connection to the control endpoint of the upstream: {err}"
                        );
                        sleep(Duration::from_millis(50)).await;
                    }
                }
            }
        });
        tasks.push(task.abort_handle());
        Ok(Self {
            control: reservation.address(),
            leaves,
            tasks,
        })
    }

    /// Returns the address of the control endpoint.
    pub fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// Returns the leaves with their bound addresses.
    pub fn specs(&self) -> Vec<LeafSpec> {
        self.leaves.iter().map(|leaf| leaf.spec().clone()).collect()
    }

    /// Applies `control` to the leaf that it names, or to all leaves.
    ///
    /// # Errors
    ///
    /// Fails if no leaf has the address given in `control`.
    pub fn control(&self, control: &LeafControl) -> anyhow::Result<()> {
        apply(&self.leaves, control).map_err(anyhow::Error::msg)
    }

    /// Returns the counters of each leaf, in the order of the settings.
    pub fn counters(&self) -> Vec<LeafCounters> {
        self.leaves.iter().map(|leaf| leaf.counters()).collect()
    }

    /// Returns the recorded executions of all leaves.
    pub fn executions(&self) -> Vec<Execution> {
        self.leaves
            .iter()
            .flat_map(|leaf| leaf.executions())
            .collect()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn apply(leaves: &[Arc<Leaf>], control: &LeafControl) -> Result<(), String> {
    let is_target = |leaf: &&Arc<Leaf>| {
        control
            .leaf
            .is_none_or(|address| address == leaf.spec().address)
    };
    let mut found = false;
    for leaf in leaves.iter().filter(is_target) {
        leaf.control(control);
        found = true;
    }
    match found {
        true => Ok(()),
        false => Err(format!("no leaf has the address {:?}", control.leaf)),
    }
}

/// Handles a request to the control endpoint of the upstream.
fn handle_control(leaves: &[Arc<Leaf>], request: &Request<Bytes>) -> Reply {
    Ok(match (request.method(), request.uri().path()) {
        (&Method::GET, "/v1/counters") => {
            let counters: Vec<LeafCounters> = leaves.iter().map(|leaf| leaf.counters()).collect();
            json_reply(StatusCode::OK, &counters)
        }
        (&Method::GET, "/v1/executions") => {
            let executions = leaves.iter().flat_map(|leaf| leaf.executions());
            json_reply(StatusCode::OK, &executions.collect::<Vec<_>>())
        }
        (&Method::POST, "/v1/control") => {
            let result = serde_json::from_slice::<LeafControl>(request.body())
                .map_err(|err| err.to_string())
                .and_then(|control| apply(leaves, &control));
            match result {
                Ok(()) => json_reply(StatusCode::OK, &json!({})),
                Err(err) => error(StatusCode::BAD_REQUEST, "control", &err),
            }
        }
        _ => error(StatusCode::NOT_FOUND, "not_found", "no such resource"),
    })
}
