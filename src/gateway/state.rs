use std::{
    cell::{Cell, RefCell},
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
    core::{
        Incarnation, Time,
        gather::SendDelay,
        mirror::Mirror,
        placement::{IdleLimit, planned_nodes},
        registry::Registry,
        routing::Routing,
    },
    gateway::{
        Settings, ingress,
        logging::{LogLimiter, dropped_lines},
        members::{Members, node_id},
        routes::RouteStatsMap,
        sync::SyncState,
        upstreams::Upstreams,
    },
    node::start_metrics,
};

/// Time between two rounds of upkeep: idle connections, removals of leafs, the metrics' histograms.
const UPKEEP: Duration = Duration::from_millis(250);

/// The state of one process. Everything runs on one thread.
pub(super) struct Gateway {
    pub(super) settings: RefCell<Settings>,
    pub(super) clock: Clock,
    pub(super) started: Time,
    pub(super) routing: RefCell<Rc<Routing>>,
    pub(super) feed: RefCell<Mirror>,
    pub(super) registry: RefCell<Registry>,
    pub(super) upstreams: Upstreams,
    pub(super) rest_limit: RefCell<IdleLimit>,
    /// How late answers leave that wait for more parts until their time.
    pub(super) lateness: Cell<SendDelay>,
    pub(super) routes: RouteStatsMap,
    pub(super) members: Members,
    pub(super) log_limiter: LogLimiter,
    pub(super) rng: RefCell<Pcg64>,
    pub(super) leaving: Cell<bool>,
    /// Requests in progress.
    pub(super) requests: Cell<usize>,
    /// Connections of callers.
    pub(super) callers: Cell<usize>,
    pub(super) sync: SyncState,
    pub(super) metrics: PrometheusHandle,
}

impl Gateway {
    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the number of nodes among which fleet-wide limits are split.
    pub(super) fn planned(&self) -> usize {
        planned_nodes(self.members.alive_count())
    }

    /// Returns whether the node takes requests.
    pub(super) fn is_ready(&self) -> bool {
        let now = self.now();
        !self.leaving.get()
            && !self.sync.is_outdated(now)
            && !self.routing.borrow().is_empty()
            && !self.registry.borrow().is_empty()
    }

    async fn upkeep(self: Rc<Self>) {
        loop {
            sleep(UPKEEP).await;
            let now = self.now();
            let removed = self.registry.borrow_mut().tick(now);
            self.upstreams.apply(&self, removed);
            self.upstreams.sweep(&self);
            metrics::gauge!("cranberrychute_log_lines_dropped").set(dropped_lines() as f64);
            metrics::gauge!("cranberrychute_members_alive").set(self.members.alive_count() as f64);
            metrics::gauge!("cranberrychute_feed_revision")
                .set(self.feed.borrow().revision() as f64);
            metrics::gauge!("cranberrychute_routing_version")
                .set(self.routing.borrow().version() as f64);
            self.metrics.run_upkeep();
        }
    }
}

/// Runs the process until a signal stops it.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn run(
    settings: Settings,
    reload: impl Fn() -> anyhow::Result<Settings> + 'static,
) -> anyhow::Result<()> {
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
    let gateway = Rc::new(Gateway {
        clock,
        started,
        routing: RefCell::default(),
        feed: RefCell::default(),
        registry: RefCell::default(),
        upstreams: Upstreams::default(),
        rest_limit: RefCell::default(),
        lateness: Cell::default(),
        routes: RouteStatsMap::default(),
        members: Members::new(socket, &settings, incarnation, started),
        log_limiter: LogLimiter::default(),
        rng: RefCell::new(rng),
        leaving: Cell::new(false),
        requests: Cell::new(0),
        callers: Cell::new(0),
        sync: SyncState::new(started),
        metrics: start_metrics(),
        settings: RefCell::new(settings),
    });
    log::info!(
        node = &*gateway.settings.borrow().name,
        callers:% = listen.callers,
        peer:% = listen.peer,
        incarnation = incarnation.0;
        "started"
    );
    tokio::task::spawn_local(gateway.clone().watch_store());
    tokio::task::spawn_local(gateway.clone().gossip());
    tokio::task::spawn_local(gateway.clone().receive_gossip());
    tokio::task::spawn_local(gateway.clone().tell_followers());
    tokio::task::spawn_local(gateway.clone().upkeep());
    ingress::serve(&gateway, listeners);
    let mut terminate = signal(SignalKind::terminate()).context("watch for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("watch for SIGINT")?;
    let mut hangup = signal(SignalKind::hangup()).context("watch for SIGHUP")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => gateway.reload(&reload),
        }
    }
    gateway.stop().await;
    Ok(())
}

impl Gateway {
    /// Takes new settings. Addresses stay as they are until the next start.
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
