//! The process that runs on an entry VM. Connects the decision cores to the adapters.
//!
//! Each core is protected by a mutex that is held only while the core is called. The membership also stays locked during
//! the tick of the lease core. Locks are acquired in the order activation, members, config, rng, leases. Every other lock
//! of the node is acquired after these and not held together with another one, except that the key table is locked
//! before the map of running at-most-once requests, and the state of a service before the crash ledger. The leaf pool
//! locks the leases and the crash ledger while it holds its own locks.

mod alarm;
mod api;
mod caller;
mod control;
mod once;
mod panics;
mod peers;
mod platform;
mod ports;
mod query;
mod service;
mod settings;
mod span;
mod stop;
mod telemetry;

pub use self::{
    panics::log_panics,
    settings::{Limits, LogFormat, LogSettings, Settings, SettingsError},
    telemetry::{recent_spans, start_logging},
};
pub(crate) use self::{
    panics::render_metrics,
    telemetry::{log_dispatch, start_metrics},
};

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    fmt,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context as _;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;

use self::{
    control::PeerAddress, peers::Peers, ports::NodePorts, service::ServiceState, span::Span,
};
use crate::{
    adapter::{
        Clock,
        caller::{CallerServer, ServerLimits},
        peer::{ControlSocket, Identity, PeerTransport},
        upstream::{LeafPool, PoolSettings},
    },
    build::BUILD,
    core::{
        Incarnation, NodeId, PartitionId, ServiceName, Time,
        alarm::Alarms,
        call::{LeafBatch, LeafReply},
        config::{
            ApplyResult, ConfigStore, ConfigView, DocumentKind, VmList, document_kind,
            relay::{Relay, may_become_ready},
        },
        crash::{CrashEvent, CrashLedger},
        lease::{LeaseSettings, LeaseTable},
        member::{MemberSettings, Membership},
        once::{KeySettings, KeyTable, OnceOutcome},
    },
};

/// Uptime from which a node can hold leases: [`LeaseSettings::mute_period`], in which no voter grants a lease when the
/// whole fleet starts at once, plus two renewal intervals.
const LEASE_START_DELAY: Duration = Duration::from_millis(3_500);

/// The configuration store and the relay that distributes its documents.
#[derive(Debug)]
struct Config {
    store: ConfigStore,
    relay: Relay,
    /// Time of the last answer of the configuration service.
    last_contact: Option<Time>,
    /// Latest rejection of each document, reported in `GET /v1/state`.
    rejected: Vec<String>,
}

/// State of a node, shared by its tasks.
struct Node {
    settings: Settings,
    me: NodeId,
    incarnation: Incarnation,
    clock: Clock,
    started: Time,
    config: Mutex<Config>,
    view: RwLock<Arc<ConfigView>>,
    /// Addresses of the nodes in the VM list. Looked up for each message and batch.
    addresses: RwLock<HashMap<NodeId, PeerAddress>>,
    /// Held while documents are activated, so that an older view never replaces a newer one.
    activation_lock: Mutex<()>,
    members: Mutex<Membership>,
    leases: Arc<Mutex<LeaseTable>>,
    crash: Arc<Mutex<CrashLedger>>,
    keys: Mutex<KeyTable>,
    /// At-most-once requests in progress, by the serial number of their key.
    running_once: Mutex<HashMap<u64, watch::Sender<Option<OnceOutcome>>>>,
    services: Mutex<HashMap<ServiceName, Arc<Mutex<ServiceState>>>>,
    /// Addresses of nodes outside the VM list: nodes that join and nodes that were removed from the list.
    joiners: Mutex<HashMap<NodeId, PeerAddress>>,
    /// Nodes that announced that they are leaving.
    departing: Mutex<HashSet<NodeId>>,
    alarms: Mutex<Alarms>,
    rng: Mutex<Pcg64>,
    pool: LeafPool<NodePorts>,
    peers: Arc<PeerTransport>,
    control: ControlSocket,
    /// Queries, at-most-once requests and leaf batches in progress.
    in_progress: TaskTracker,
    isolated: AtomicBool,
    leaving: AtomicBool,
    metrics: PrometheusHandle,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node")
            .field("me", &self.me)
            .finish_non_exhaustive()
    }
}

/// Runs a node until `shutdown` completes, then shuts it down gracefully.
///
/// # Errors
///
/// Fails when an address cannot be bound or the caller server fails.
pub async fn run(settings: Settings, shutdown: impl Future<Output = ()>) -> anyhow::Result<()> {
    let limits = ServerLimits {
        max_connections: settings.limits.connections as usize,
        max_body_bytes: settings.limits.body_bytes as usize,
    };
    let server = CallerServer::bind(settings.caller, limits).await?;
    let (node, crashes) = Node::bind(settings).await?;
    log::info!(
        node = node.me.as_str(),
        caller = node.settings.caller.to_string().as_str(),
        crate_version = BUILD.crate_version,
        commit = BUILD.commit,
        sources = BUILD.sources,
        arch = BUILD.arch;
        "node started"
    );
    let (stop, stopped) = watch::channel(false);
    let serve =
        tokio::spawn(server.serve(Arc::new(caller::Api(node.clone())), stop::wait(stopped)));
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(control::run(node.clone()));
    tasks.spawn(platform::run(node.clone()));
    tasks.spawn(alarm::run(node.clone()));
    tasks.spawn(node.clone().broadcast_crashes(crashes));
    tasks.spawn(node.peers.clone().serve(Arc::new(Peers(node.clone()))));
    shutdown.await;
    node.leave().await;
    let _ = stop.send(true);
    serve.await.context("caller server")??;
    node.finish().await;
    tasks.shutdown().await;
    log::info!(node = node.me.as_str(); "node stopped");
    Ok(())
}

impl Node {
    async fn bind(
        settings: Settings,
    ) -> anyhow::Result<(Arc<Self>, mpsc::UnboundedReceiver<CrashEvent>)> {
        let clock = Clock;
        let now = clock.now();
        let me = settings.id.clone();
        let incarnation = Incarnation(rand::random());
        let key = settings.fleet_key.clone();
        let identity = Identity {
            node: me.clone(),
            incarnation,
            key: key.clone(),
        };
        let peers = PeerTransport::bind(settings.peer, identity)?;
        let control = ControlSocket::bind(settings.control, me.clone(), incarnation, &key)
            .await
            .with_context(|| format!("bind control_address {} (UDP)", settings.control))?;
        let lease_settings = LeaseSettings {
            voters: settings.limits.voters.into(),
            ..LeaseSettings::default()
        };
        let leases = LeaseTable::new(me.clone(), incarnation, lease_settings, now);
        let leases = Arc::new(Mutex::new(leases));
        let crash = Arc::new(Mutex::new(CrashLedger::new()));
        let (crashes, detected) = mpsc::unbounded_channel();
        let ports = NodePorts {
            clock,
            leases: leases.clone(),
            crash: crash.clone(),
            crashes,
        };
        let pool_settings = PoolSettings {
            partitions: settings.limits.partitions,
            ..PoolSettings::default()
        };
        let key_settings = KeySettings {
            max_keys: settings.limits.keys as usize,
            lifetime: Duration::from_millis(api::KEY_LIFETIME_MS),
            ..KeySettings::default()
        };
        let keys = KeyTable::new(me.clone(), incarnation, key, key_settings);
        let node = Self {
            clock,
            started: now,
            config: Mutex::new(Config {
                store: ConfigStore::new(),
                relay: Relay::new(me.clone()),
                last_contact: None,
                rejected: Vec::new(),
            }),
            view: RwLock::default(),
            addresses: RwLock::default(),
            activation_lock: Mutex::default(),
            members: Mutex::new(Membership::new(
                me.clone(),
                incarnation,
                MemberSettings::default(),
                now,
            )),
            leases,
            crash,
            keys: Mutex::new(keys),
            running_once: Mutex::default(),
            services: Mutex::default(),
            joiners: Mutex::default(),
            departing: Mutex::default(),
            alarms: Mutex::new(Alarms::new(me.clone(), now)),
            rng: Mutex::new(Pcg64::from_os_rng()),
            pool: LeafPool::new(Arc::new(ports), pool_settings),
            peers,
            control,
            in_progress: TaskTracker::new(),
            isolated: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            metrics: telemetry::start_metrics(),
            settings,
            me,
            incarnation,
        };
        Ok((Arc::new(node), detected))
    }

    /// Returns the active configuration.
    fn view(&self) -> Arc<ConfigView> {
        self.view.read().expect("no panic while locked").clone()
    }

    fn partitions(&self) -> u16 {
        self.settings.limits.partitions
    }

    fn service(&self, name: &ServiceName) -> Arc<Mutex<ServiceState>> {
        let mut services = self.services.lock().expect("no panic while locked");
        let create = || Arc::new(Mutex::new(ServiceState::new(rand::random())));
        services.entry(name.clone()).or_insert_with(create).clone()
    }

    fn address(&self, node: &NodeId) -> Option<PeerAddress> {
        let addresses = self.addresses.read().expect("no panic while locked");
        let listed = addresses.get(node).copied();
        drop(addresses);
        listed.or_else(|| {
            self.joiners
                .lock()
                .expect("no panic while locked")
                .get(node)
                .copied()
        })
    }

    fn index_addresses(&self, view: &ConfigView) {
        let mut addresses = HashMap::new();
        for vm in &view.vms.vms {
            let address = PeerAddress {
                control: vm.control,
                peer: vm.peer,
            };
            // If a node is listed more than once, its first entry applies.
            addresses.entry(vm.id.clone()).or_insert(address);
        }
        *self.addresses.write().expect("no panic while locked") = addresses;
    }

    /// Activates changed documents and reports rejected ones.
    fn activate(&self, applied: ApplyResult) {
        self.record_config_result(&applied);
        for rejection in &applied.rejected {
            metrics::counter!("cranberrychute_config_rejected_total").increment(1);
            log::warn!(key = &*rejection.key; "configuration rejected: {rejection}");
        }
        let _activation = self.activation_lock.lock().expect("no panic while locked");
        let view = {
            let mut config = self.config.lock().expect("no panic while locked");
            for rejection in &applied.rejected {
                config
                    .rejected
                    .retain(|known| !known.starts_with(&*rejection.key));
                config.rejected.push(rejection.to_string());
            }
            config.store.view()
        };
        if applied.changed.is_empty() {
            return;
        }
        let now = self.clock.now();
        for document in &applied.changed {
            log::info!(key = &*document.key, version = document.version; "configuration in force");
        }
        let before = std::mem::replace(
            &mut *self.view.write().expect("no panic while locked"),
            view.clone(),
        );
        let has_changed = |kind| {
            let kinds = applied
                .changed
                .iter()
                .map(|document| document_kind(&document.key));
            kinds.flatten().any(|(changed, _)| changed == kind)
        };
        // Done only for changed documents: at full size the VM list takes 25 ms and the partitions of all leaves take
        // 20 ms.
        if has_changed(DocumentKind::Vms) {
            let mut members = self.members.lock().expect("no panic while locked");
            members.set_vms(now, &view.vms);
            drop(members);
            self.index_addresses(&view);
            self.keep_removed(&before.vms, &view.vms);
        }
        let partitions = has_changed(DocumentKind::Map).then(|| self.leaf_partitions(&view));
        {
            let mut leases = self.leases.lock().expect("no panic while locked");
            leases.set_vms(now, view.vms_version, &view.vms);
            match partitions {
                Some(partitions) => leases.set_partitions(now, partitions),
                None => leases.renew(now),
            }
        }
        self.pool.update(&view);
    }

    /// Keeps the addresses of nodes removed from the VM list, because leases need their votes while the old list is
    /// still valid.
    fn keep_removed(&self, before: &VmList, after: &VmList) {
        let kept: HashSet<&NodeId> = after.vms.iter().map(|vm| &vm.id).collect();
        let removed = before.vms.iter().filter(|vm| !kept.contains(&vm.id));
        for vm in removed {
            self.record_joiner(&vm.id, vm.control, vm.peer);
        }
    }

    fn leaf_partitions(&self, view: &ConfigView) -> BTreeSet<PartitionId> {
        let leaves = view.maps.values().flat_map(|map| &map.leaves);
        // Deduplicates in a hash set before sorting, because 49,000 leaves belong to only 4,200 partitions.
        let found: HashSet<PartitionId> = leaves
            .map(|(leaf, info)| PartitionId::of(leaf, &info.domain, self.partitions()))
            .collect();
        found.into_iter().collect()
    }

    /// Runs the calls of a batch to leaves that this node owns.
    async fn run_batch(
        &self,
        batch: LeafBatch,
        replies: mpsc::Sender<LeafReply>,
        mut cancels: mpsc::Receiver<u32>,
    ) {
        let _in_progress = self.in_progress.token();
        let mut batch = batch;
        let spans = api::call_spans(&mut batch);
        let mut open_spans: Vec<Option<Span>> = spans.into_iter().map(Some).collect();
        let mut remaining = open_spans.len();
        let (sender, mut inbox) = mpsc::unbounded_channel();
        // Dropping the handle cancels the remaining calls.
        let handle = self.pool.start(batch, sender);
        let mut cancels_open = true;
        while remaining > 0 {
            tokio::select! {
                reply = inbox.recv() => {
                    let Some(reply) = reply else { break };
                    remaining -= 1;
                    metrics::counter!("cranberrychute_leaf_calls_total", "outcome" => reply.outcome.label())
                        .increment(1);
                    if let Some(span) = open_spans.get_mut(reply.index as usize).and_then(Option::take) {
                        drop(span.with(|| [("outcome", reply.outcome.label().to_string())]));
                    }
                    if replies.send(reply).await.is_err() {
                        break;
                    }
                }
                index = cancels.recv(), if cancels_open => match index {
                    Some(index) => handle.cancel(index),
                    None => cancels_open = false,
                },
            }
        }
    }

    /// Sends crashes detected by this node to up to [`control::MAX_DIRECT_PEERS`] alive nodes. Nodes that do not
    /// receive the message learn of the crash by gossip.
    async fn broadcast_crashes(self: Arc<Self>, mut crashes: mpsc::UnboundedReceiver<CrashEvent>) {
        while let Some(event) = crashes.recv().await {
            metrics::counter!("cranberrychute_leaf_crashes_total").increment(1);
            log::warn!(queries = event.fingerprints.len(); "a leaf closed its connection with calls in flight");
            let alive = self
                .members
                .lock()
                .expect("no panic while locked")
                .alive_nodes();
            let out = alive.into_iter().filter(|node| *node != self.me);
            let out = out.take(control::MAX_DIRECT_PEERS);
            self.send_all(
                out.map(|node| (node, control::Control::Crash(event.clone())))
                    .collect(),
            )
            .await;
        }
    }

    /// Returns why the node rejects new work, or `None` if it accepts work.
    fn unready_reason(&self) -> Option<&'static str> {
        let uptime = self.clock.now().since(self.started);
        let listed = self
            .view()
            .vms
            .vms
            .iter()
            .filter(|vm| vm.id != self.me)
            .count();
        let others = listed.max(self.settings.seeds.len());
        let config = self.config.lock().expect("no panic while locked");
        let synced = config.relay.is_synced();
        if !may_become_ready(uptime, config.last_contact.is_some(), synced, others) {
            Some("starting: the configuration is not complete yet")
        } else if uptime < LEASE_START_DELAY {
            Some("starting: no leases yet")
        } else if self.isolated.load(Ordering::Relaxed) {
            Some("isolated: cut off from the configuration service and from most other nodes")
        } else {
            None
        }
    }
}
