use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use anyhow::Context as _;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

use crate::{
    adapter::{Clock, peer::ControlSocket},
    build::BUILD,
    core::{
        Incarnation, Time, crash::CrashGuard, gather::SendDelay, lag::LoopLag, mirror::Mirror,
        placement::IdleLimit, registry::Registry, routing::Routing,
    },
    gateway::{
        Settings,
        admission::AdmissionState,
        connections::Connections,
        crossing::DomainTraffic,
        entry::Entry,
        handover::Handovers,
        ingress,
        link::LeafLink,
        logging::{LogLimiter, dropped_lines},
        members::{Members, node_id},
        quota::QuotaState,
        routes::RouteStatsMap,
        stop::StopState,
        sync::SyncState,
        upstreams::Upstreams,
    },
    node::start_metrics,
    platform::StoreOrder,
};

/// Interval of periodic upkeep: idle connections, delayed removals of leaves, histograms of the metrics.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Number of upkeep intervals between updates of the shares of rate limits.
const LIMIT_INTERVALS: u32 = 4;

/// The state of one process. Everything runs on one thread.
pub(super) struct Gateway {
    pub(super) settings: RefCell<Settings>,
    pub(super) clock: Clock,
    pub(super) started: Time,
    pub(super) routing: RefCell<Rc<Routing>>,
    pub(super) mirror: RefCell<Mirror<StoreOrder>>,
    pub(super) registry: RefCell<Registry>,
    pub(super) upstreams: Upstreams,
    pub(super) idle_limit: RefCell<IdleLimit>,
    /// How long after their planned time answers are sent that waited for more parts until then.
    pub(super) send_delay: Cell<SendDelay>,
    pub(super) crashes: RefCell<CrashGuard>,
    /// Lost calls that are being examined.
    pub(super) examinations: Cell<usize>,
    pub(super) link: LeafLink,
    pub(super) handovers: Handovers,
    pub(super) lag: Cell<LoopLag>,
    pub(super) admission: AdmissionState,
    pub(super) route_stats: RouteStatsMap,
    pub(super) domain_traffic: DomainTraffic,
    pub(super) members: Members,
    pub(super) entry: Entry,
    pub(super) quota: QuotaState,
    /// The nodes that address answers named at last.
    pub(super) named_nodes: RefCell<Vec<SocketAddr>>,
    pub(super) log_limiter: LogLimiter,
    pub(super) rng: RefCell<Pcg64>,
    pub(super) stop: StopState,
    /// Requests in progress.
    pub(super) active_requests: Cell<usize>,
    pub(super) connections: Connections,
    pub(super) sync: SyncState,
    pub(super) metrics: PrometheusHandle,
}

impl Gateway {
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns whether the node is ready for requests.
    pub(super) fn is_ready(&self) -> bool {
        let now = self.now();
        !self.stop.is_stopping()
            && !self.sync.is_outdated(now)
            && !self.routing.borrow().is_empty()
            && !self.registry.borrow().is_empty()
    }

    /// Returns whether callers are told to use this node.
    pub(super) fn serves_callers(&self) -> bool {
        self.is_ready() && self.link.is_up()
    }

    async fn upkeep(self: Rc<Self>) {
        let mut rounds: u32 = 0;
        loop {
            sleep(UPKEEP_INTERVAL).await;
            rounds = rounds.wrapping_add(1);
            if rounds.is_multiple_of(LIMIT_INTERVALS) {
                self.update_limits();
            }
            let now = self.now();
            let removals = self.registry.borrow_mut().tick(now);
            self.upstreams.apply(&self, removals);
            self.upstreams.update_pools(&self);
            self.expire_helpers();
            self.expire_held().await;
            metrics::gauge!("cranberrychute_log_lines_dropped").set(dropped_lines() as f64);
            metrics::gauge!("cranberrychute_members_alive").set(self.members.alive_count() as f64);
            metrics::gauge!("cranberrychute_rejected_contents")
                .set(self.crashes.borrow().rejected_count(now) as f64);
            metrics::gauge!("cranberrychute_feed_revision")
                .set(self.mirror.borrow().position().revision as f64);
            metrics::gauge!("cranberrychute_routing_version")
                .set(self.routing.borrow().version() as f64);
            let (queued, limited) = self.admission.counts();
            metrics::gauge!("cranberrychute_admission_queued").set(queued as f64);
            metrics::gauge!("cranberrychute_admission_limited").set(limited as f64);
            self.metrics.run_upkeep();
        }
    }
}

/// Runs the process until SIGTERM or SIGINT stops it. SIGHUP reloads the settings. Returns the time left until the process is
/// killed.
///
/// # Errors
///
/// Fails if an address cannot be bound or a signal handler cannot be installed.
pub async fn run(
    settings: Settings,
    reload: impl Fn() -> anyhow::Result<Settings> + 'static,
) -> anyhow::Result<Duration> {
    // Without a handler, a signal during the start would end the process.
    let mut terminate = signal(SignalKind::terminate()).context("install the SIGTERM handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("install the SIGINT handler")?;
    let mut hangup = signal(SignalKind::hangup()).context("install the SIGHUP handler")?;
    let clock = Clock;
    let mut rng = Pcg64::from_os_rng();
    let incarnation = Incarnation(rng.random());
    let listen = settings.listen;
    let me = node_id(listen.peer);
    let socket = ControlSocket::bind(listen.peer, me, incarnation, &settings.fleet_key)
        .await
        .with_context(|| format!("bind the peer socket {}", listen.peer))?;
    let listeners = ingress::Listeners::bind(&listen).await?;
    let started = clock.now();
    let quota = QuotaState::bind(&settings, incarnation, started).await;
    let metrics = start_metrics();
    let gateway = Rc::new(Gateway {
        clock,
        started,
        routing: RefCell::default(),
        mirror: RefCell::default(),
        registry: RefCell::default(),
        upstreams: Upstreams::default(),
        idle_limit: RefCell::default(),
        send_delay: Cell::default(),
        crashes: RefCell::default(),
        examinations: Cell::new(0),
        link: LeafLink::default(),
        handovers: Handovers::default(),
        lag: Cell::default(),
        admission: AdmissionState::new(),
        route_stats: RouteStatsMap::default(),
        domain_traffic: DomainTraffic::new(),
        members: Members::new(socket, &settings, incarnation, started),
        entry: Entry::default(),
        quota,
        named_nodes: RefCell::default(),
        log_limiter: LogLimiter::default(),
        rng: RefCell::new(rng),
        stop: StopState::default(),
        active_requests: Cell::new(0),
        connections: Connections::default(),
        sync: SyncState::new(started),
        metrics,
        settings: RefCell::new(settings),
    });
    log::info!(
        node = &*gateway.settings.borrow().name,
        callers:% = listen.callers,
        peer:% = listen.peer,
        incarnation = incarnation.0,
        crate_version = BUILD.crate_version,
        commit = BUILD.commit,
        sources = BUILD.sources,
        arch = BUILD.arch;
        "started"
    );
    tokio::task::spawn_local(gateway.clone().watch_store());
    tokio::task::spawn_local(gateway.clone().gossip());
    tokio::task::spawn_local(gateway.clone().receive_gossip());
    tokio::task::spawn_local(gateway.clone().request_quota());
    tokio::task::spawn_local(gateway.clone().receive_quota());
    tokio::task::spawn_local(gateway.clone().measure_lag());
    tokio::task::spawn_local(gateway.clone().announce_changes());
    tokio::task::spawn_local(gateway.clone().monitor_link());
    tokio::task::spawn_local(gateway.clone().upkeep());
    ingress::serve(&gateway, listeners);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => gateway.reload(&reload),
        }
    }
    let plan = gateway.shut_down().await;
    Ok(plan.time_left(gateway.now()))
}

impl Gateway {
    /// Applies new settings, except the listen and store addresses, which take effect only after a restart.
    fn reload(&self, load: impl Fn() -> anyhow::Result<Settings>) {
        match load() {
            Ok(settings) => {
                let seeds = settings.seeds.len();
                let mut current = self.settings.borrow_mut();
                *current = Settings {
                    listen: current.listen,
                    store: current.store,
                    ..settings
                };
                log::info!(seeds; "settings reloaded");
            }
            Err(error) => log::error!(error:% = format!("{error:#}"); "settings not reloaded"),
        }
    }
}
