//! The process that runs on an entry VM: wires the decision cores to the adapters.
//!
//! Each core sits behind a mutex that is held for one call only. Locks are taken in the order members, leases,
//! config, rng; the others are never held together with another one, except that a query plan holds its
//! service's state and the crash ledger.

mod alarm;
mod api;
mod caller;
mod control;
mod once;
mod peers;
mod platform;
mod ports;
mod query;
mod service;
mod settings;
mod span;
mod stop;
mod telemetry;

pub(crate) use self::telemetry::{log_dispatch, start_metrics};
pub use self::{
    settings::{Limits, LogFormat, LogSettings, Settings, SettingsError},
    telemetry::{recent_spans, start_logging},
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

/// Time after the start before which no voter of a fleet that starts as a whole grants a lease, plus two renewals.
const FIRST_LEASES: Duration = Duration::from_millis(3_500);

/// The configuration store, and how its documents spread.
#[derive(Debug)]
struct Config {
    store: ConfigStore,
    relay: Relay,
    /// When the service answered last.
    contact: Option<Time>,
    /// The latest rejected documents, for the operator.
    rejected: Vec<String>,
}

/// One node.
struct Node {
    settings: Settings,
    me: NodeId,
    incarnation: Incarnation,
    clock: Clock,
    started: Time,
    config: Mutex<Config>,
    view: RwLock<Arc<ConfigView>>,
    /// Addresses of the nodes in the VM list, which every message and batch looks up.
    addresses: RwLock<HashMap<NodeId, PeerAddress>>,
    /// Held while documents come into force, so that an older view never replaces a newer one.
    installing: Mutex<()>,
    members: Mutex<Membership>,
    leases: Arc<Mutex<LeaseTable>>,
    crash: Arc<Mutex<CrashLedger>>,
    keys: Mutex<KeyTable>,
    /// At-most-once requests that run, by serial of their key.
    running: Mutex<HashMap<u64, watch::Sender<Option<OnceOutcome>>>>,
    services: Mutex<HashMap<ServiceName, Arc<Mutex<ServiceState>>>>,
    joiners: Mutex<HashMap<NodeId, PeerAddress>>,
    /// Nodes that said themselves that they are leaving.
    departing: Mutex<HashSet<NodeId>>,
    alarms: Mutex<Alarms>,
    rng: Mutex<Pcg64>,
    pool: LeafPool<NodePorts>,
    peers: Arc<PeerTransport>,
    control: ControlSocket,
    /// Requests in progress.
    work: TaskTracker,
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

/// Runs a node until `shutdown` completes and the graceful shutdown that follows is over.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run(settings: Settings, shutdown: impl Future<Output = ()>) -> anyhow::Result<()> {
    let limits = ServerLimits {
        max_connections: settings.limits.connections as usize,
        max_body_bytes: settings.limits.body_bytes as usize,
    };
    let server = CallerServer::bind(settings.caller, limits).await?;
    let (node, crashes) = Node::bind(settings).await?;
    log::info!(node = node.me.as_str(), caller = node.settings.caller.to_string().as_str();
        "node started");
    let (stop, stopped) = watch::channel(false);
    let serve =
        tokio::spawn(server.serve(Arc::new(caller::Api(node.clone())), stop::wait(stopped)));
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(control::run(node.clone()));
    tasks.spawn(platform::run(node.clone()));
    tasks.spawn(alarm::run(node.clone()));
    tasks.spawn(node.clone().spread_crashes(crashes));
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
        let (crashes, seen) = mpsc::unbounded_channel();
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
                contact: None,
                rejected: Vec::new(),
            }),
            view: RwLock::default(),
            addresses: RwLock::default(),
            installing: Mutex::default(),
            members: Mutex::new(Membership::new(
                me.clone(),
                incarnation,
                MemberSettings::default(),
                now,
            )),
            leases,
            crash,
            keys: Mutex::new(keys),
            running: Mutex::default(),
            services: Mutex::default(),
            joiners: Mutex::default(),
            departing: Mutex::default(),
            alarms: Mutex::new(Alarms::new(me.clone(), now)),
            rng: Mutex::new(Pcg64::from_os_rng()),
            pool: LeafPool::new(Arc::new(ports), pool_settings),
            peers,
            control,
            work: TaskTracker::new(),
            isolated: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            metrics: telemetry::start_metrics(),
            settings,
            me,
            incarnation,
        };
        Ok((Arc::new(node), seen))
    }

    /// Returns the configuration in force.
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
            // The first entry of a node counts.
            addresses.entry(vm.id.clone()).or_insert(address);
        }
        *self.addresses.write().expect("no panic while locked") = addresses;
    }

    /// Puts changed documents in force and reports rejected ones.
    fn put_in_force(&self, applied: ApplyResult) {
        self.note_configuration(&applied);
        for rejection in &applied.rejected {
            metrics::counter!("cranberrychute_config_rejected_total").increment(1);
            log::warn!(key = &*rejection.key; "configuration rejected: {rejection}");
        }
        let _installing = self.installing.lock().expect("no panic while locked");
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
        let changed = |wanted| {
            let kinds = applied
                .changed
                .iter()
                .map(|document| document_kind(&document.key));
            kinds.flatten().any(|(kind, _)| kind == wanted)
        };
        // At full size a list takes 25 ms and the partitions of all leaves 20 ms.
        if changed(DocumentKind::Vms) {
            let mut members = self.members.lock().expect("no panic while locked");
            members.set_vms(now, &view.vms);
            drop(members);
            self.index_addresses(&view);
            self.remember_removed(&before.vms, &view.vms);
        }
        let partitions = changed(DocumentKind::Map).then(|| self.leaf_partitions(&view));
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

    /// Keeps the addresses of nodes that left the list: while the old list counts, leases need their votes.
    fn remember_removed(&self, before: &VmList, after: &VmList) {
        let kept: HashSet<&NodeId> = after.vms.iter().map(|vm| &vm.id).collect();
        let removed = before.vms.iter().filter(|vm| !kept.contains(&vm.id));
        for vm in removed {
            self.note_joiner(&vm.id, vm.control, vm.peer);
        }
    }

    fn leaf_partitions(&self, view: &ConfigView) -> BTreeSet<PartitionId> {
        let leaves = view.maps.values().flat_map(|map| &map.leaves);
        // A hash set first: 49,000 leaves lie in 4,200 partitions.
        let found: HashSet<PartitionId> = leaves
            .map(|(leaf, info)| PartitionId::of(leaf, &info.domain, self.partitions()))
            .collect();
        found.into_iter().collect()
    }

    /// Runs the calls of a batch whose leaves this node owns.
    async fn run_batch(
        &self,
        batch: LeafBatch,
        replies: mpsc::Sender<LeafReply>,
        mut cancels: mpsc::Receiver<u32>,
    ) {
        let _work = self.work.token();
        let mut batch = batch;
        let spans = api::call_spans(&mut batch);
        let mut open: Vec<Option<Span>> = spans.into_iter().map(Some).collect();
        let mut left = open.len();
        let (sender, mut inbox) = mpsc::unbounded_channel();
        // Dropping the handle cancels the calls that are left.
        let handle = self.pool.start(batch, sender);
        let mut cancelling = true;
        while left > 0 {
            tokio::select! {
                reply = inbox.recv() => {
                    let Some(reply) = reply else { break };
                    left -= 1;
                    metrics::counter!("cranberrychute_leaf_calls_total", "outcome" => reply.outcome.label())
                        .increment(1);
                    if let Some(span) = open.get_mut(reply.index as usize).and_then(Option::take) {
                        drop(span.with(|| [("outcome", reply.outcome.label().to_string())]));
                    }
                    if replies.send(reply).await.is_err() {
                        break;
                    }
                }
                index = cancels.recv(), if cancelling => match index {
                    Some(index) => handle.cancel(index),
                    None => cancelling = false,
                },
            }
        }
    }

    /// Sends crashes seen here to all live nodes; later rumors reach those that missed it.
    async fn spread_crashes(self: Arc<Self>, mut crashes: mpsc::UnboundedReceiver<CrashEvent>) {
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

    /// Returns why the node takes no new work now, if so.
    fn refusal(&self) -> Option<&'static str> {
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
        if !may_become_ready(uptime, config.contact.is_some(), synced, others) {
            Some("starting: the configuration is not complete yet")
        } else if uptime < FIRST_LEASES {
            Some("starting: no leases yet")
        } else if self.isolated.load(Ordering::Relaxed) {
            Some("isolated: cut off from the configuration service and from most other nodes")
        } else {
            None
        }
    }
}
