use std::{cmp::Reverse, time::Duration};

use rand::Rng;

use crate::core::{Domain, NodeId, Time, score};

/// Maximum number of nodes of a fleet in which all nodes watch the service.
const MAX_SMALL_FLEET: usize = 64;
/// Number of nodes per failure domain that watch the service in a larger fleet.
const READERS_PER_DOMAIN: usize = 4;
/// Hash key for the ranking that selects the readers.
const READER_RANKING_KEY: &str = "config-readers";
/// Maximum duration of one watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time between the end of a watch and the next one. It keeps 60 readers below 600 reads per second, of
/// the 2,000 that the service allows.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between re-reads of a reader. It bounds the delay when a watch hangs.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between re-reads of a node that is not a reader, before jitter.
const NON_READER_INTERVAL: Duration = Duration::from_secs(120);
/// Interval between full reads in a small fleet, before jitter. After the service has lost data, it may publish
/// changes under revisions that were read before; full reads find these within the 7 s allowed.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(4);
/// Interval between full reads in a larger fleet, before jitter. 15 MB every 6 h are 0.7 KB/s per node, and with
/// 2,800 nodes some node makes a full read every 8 s and forwards what it finds.
const LARGE_FLEET_FULL_READ_INTERVAL: Duration = Duration::from_secs(6 * 3_600);
/// Time from the last full read to the one that a decreased revision causes, which is due immediately if this time
/// has passed. In a small fleet the shorter [`FULL_READ_INTERVAL`] applies.
const MAX_FULL_READ_DELAY: Duration = Duration::from_secs(60);
/// Initial and maximum delay after a failed request.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));
/// Time since the start for which a node that has synced with a peer still waits for the service.
const SERVICE_START_TIMEOUT: Duration = Duration::from_secs(2);
/// Time since the start for which a node that has reached the service still waits for the sync with a peer.
const PEER_START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a node counts as isolated if it had contact neither with the service nor with a majority of the
/// listed nodes.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(4);

/// How often a node reads the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRole {
    /// Watches and re-reads every 2 s, as all nodes of a small fleet do.
    SmallFleet,
    /// Watches and re-reads every 2 s, as one of a few nodes per failure domain.
    Reader,
    /// Re-reads every 120 s.
    NonReader,
}

/// Returns the role of the node `own_id`, given the live members with their failure domains.
///
/// The members should include the node itself; otherwise the role is [`ReadRole::SmallFleet`], as it is for a
/// node that knows of no others.
pub fn read_role<'a>(
    own_id: &NodeId,
    live: impl IntoIterator<Item = (&'a NodeId, &'a Domain)>,
) -> ReadRole {
    let live: Vec<_> = live.into_iter().collect();
    let own = live.iter().find(|(node, _)| *node == own_id);
    let Some((_, domain)) = own.filter(|_| live.len() > MAX_SMALL_FLEET) else {
        return ReadRole::SmallFleet;
    };
    let rank = |node: &NodeId| {
        (
            score(READER_RANKING_KEY, node.as_str()),
            Reverse(node.clone()),
        )
    };
    let own_rank = rank(own_id);
    let peers = live.iter().filter(|(_, other)| other == domain);
    let higher = peers
        .filter(|(node, _)| rank(node) > own_rank)
        .take(READERS_PER_DOMAIN);
    match higher.count() < READERS_PER_DOMAIN {
        true => ReadRole::Reader,
        false => ReadRole::NonReader,
    }
}

/// Returns whether the node `own_id` watches the service.
pub fn is_reader<'a>(
    own_id: &NodeId,
    live: impl IntoIterator<Item = (&'a NodeId, &'a Domain)>,
) -> bool {
    read_role(own_id, live) != ReadRole::NonReader
}

/// Returns whether a node must stop accepting new queries because it may miss changes made by operators: it had
/// contact neither with the service nor with a majority of the listed nodes within [`ISOLATION_TIMEOUT`].
///
/// `reachable` is the number of listed nodes seen within the timeout, without this node; `listed` is the number of
/// all listed nodes. Without a list there is no majority.
pub fn is_isolated(now: Time, last_contact: Option<Time>, reachable: usize, listed: usize) -> bool {
    let served = last_contact.is_some_and(|at| now.since(at) < ISOLATION_TIMEOUT);
    let majority = listed > 0 && (reachable + 1) * 2 > listed;
    !served && !majority
}

/// Returns whether a node that has run for `uptime` may become ready.
///
/// `served` is whether the service has answered, `synced` whether the node holds everything that one peer held
/// ([`super::Relay::is_synced`]), and `others` the number of other nodes known from the VM list or the seeds. A
/// peer alone suffices after the service had 2 s to answer; the service alone suffices after peers had 5 s.
pub fn may_become_ready(uptime: Duration, served: bool, synced: bool, others: usize) -> bool {
    match (served, synced) {
        (true, true) => true,
        (true, false) => others == 0 || uptime >= PEER_START_TIMEOUT,
        (false, true) => uptime >= SERVICE_START_TIMEOUT,
        (false, false) => false,
    }
}

/// The next request of a node to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequest {
    /// Reads the changes after the revision and returns immediately; zero reads everything.
    Read { after: u64 },
    /// Waits for changes after the revision, for at most `wait`.
    Watch { after: u64, wait: Duration },
}

/// Paces the requests of one node to the service: at most one read and one watch at a time.
#[derive(Debug)]
pub struct ReadPacer {
    role: ReadRole,
    /// Revision of the last response.
    revision: u64,
    last_contact: Option<Time>,
    read: RequestState,
    watch: RequestState,
    full_due: Time,
    last_full_read: Time,
}

#[derive(Debug, Default)]
struct RequestState {
    due: Time,
    started: Option<Time>,
    failures: u32,
}

impl ReadPacer {
    /// Creates the pacer of a node that starts now. Its first request reads everything.
    pub fn new(now: Time) -> Self {
        let idle = || RequestState {
            due: now,
            ..RequestState::default()
        };
        Self {
            role: ReadRole::SmallFleet,
            revision: 0,
            last_contact: None,
            read: idle(),
            watch: idle(),
            full_due: now,
            last_full_read: now,
        }
    }

    /// Sets the role, as returned by [`read_role`]. Must be called when the live members change.
    pub fn set_role(&mut self, now: Time, role: ReadRole, rng: &mut impl Rng) {
        if role == self.role {
            return;
        }
        let old_interval = self.full_interval();
        self.role = role;
        self.watch.due = now;
        self.read.due = match role {
            // Spread over the whole interval, because the nodes of a starting fleet change roles simultaneously.
            ReadRole::NonReader => now + NON_READER_INTERVAL.mul_f64(rng.random()),
            _ => self.read.due.min(now + READ_INTERVAL),
        };
        if self.last_contact.is_none() {
            self.read.due = now;
        } else if self.full_interval() != old_interval {
            self.full_due = now + jittered(self.full_interval(), rng);
        }
    }

    /// Makes the next read due now. Used when the process has resumed after a pause.
    pub fn read_now(&mut self, now: Time) {
        self.read.due = now;
    }

    /// Returns a request to start now, if one is due. Its end must be reported to [`ReadPacer::record_result`].
    pub fn next_request(&mut self, now: Time) -> Option<ReadRequest> {
        if self.read.start(now) {
            let after = if now >= self.full_due {
                0
            } else {
                self.revision
            };
            return Some(ReadRequest::Read { after });
        }
        let watches = self.role != ReadRole::NonReader && self.revision > 0;
        (watches && self.watch.start(now)).then_some(ReadRequest::Watch {
            after: self.revision,
            wait: WATCH_TIMEOUT,
        })
    }

    /// Records the end of a request, with the revision of the response or `None` if the request failed.
    pub fn record_result(
        &mut self,
        now: Time,
        request: ReadRequest,
        revision: Option<u64>,
        rng: &mut impl Rng,
    ) {
        let interval = match request {
            ReadRequest::Read { .. } => match self.role {
                ReadRole::NonReader => jittered(NON_READER_INTERVAL, rng),
                _ => READ_INTERVAL,
            },
            ReadRequest::Watch { .. } => MIN_WATCH_INTERVAL,
        };
        let never_read = self.last_contact.is_none();
        let state = match request {
            ReadRequest::Read { .. } => &mut self.read,
            ReadRequest::Watch { .. } => &mut self.watch,
        };
        state.started = None;
        let Some(revision) = revision else {
            state.failures = state.failures.saturating_add(1);
            let (initial, max) = RETRY_DELAYS;
            let retry = (initial * 2u32.saturating_pow(state.failures.min(8) - 1)).min(max);
            // A node that has never read the service may not be ready yet, so it retries sooner than its interval.
            let delay = if never_read {
                retry
            } else {
                retry.max(interval)
            };
            state.due = now + jittered(delay, rng);
            return;
        };
        state.failures = 0;
        state.due = now + interval;
        self.last_contact = Some(now);
        let (ReadRequest::Read { after } | ReadRequest::Watch { after, .. }) = request;
        if after == 0 {
            self.last_full_read = now;
            self.full_due = now + jittered(self.full_interval(), rng);
        } else if revision < after {
            let delay = self.full_interval().min(MAX_FULL_READ_DELAY);
            // The service lost data or another base URL is behind, so changes in between must be read again.
            self.full_due = self.full_due.min(self.last_full_read + delay);
        }
        // A read and a watch may start from the same revision, and the later response may be the older one.
        if revision > self.revision || revision < after || after == 0 {
            self.revision = revision;
        }
    }

    /// Returns the time of the last response of the service.
    pub fn last_contact(&self) -> Option<Time> {
        self.last_contact
    }

    /// Returns the time at which [`ReadPacer::next_request`] can return a request, or `None` if a request in
    /// progress must end first.
    pub fn next_due(&self) -> Option<Time> {
        let watch = (self.role != ReadRole::NonReader && self.revision > 0).then_some(&self.watch);
        let idle = [Some(&self.read), watch]
            .into_iter()
            .flatten()
            .filter(|state| state.started.is_none());
        idle.map(|state| state.due).min()
    }

    fn full_interval(&self) -> Duration {
        match self.role {
            ReadRole::SmallFleet => FULL_READ_INTERVAL,
            _ => LARGE_FLEET_FULL_READ_INTERVAL,
        }
    }
}

impl RequestState {
    fn start(&mut self, now: Time) -> bool {
        let start = self.started.is_none() && now >= self.due;
        if start {
            self.started = Some(now);
        }
        start
    }
}

/// Returns `interval` with a random deviation of up to 10%.
fn jittered(interval: Duration, rng: &mut impl Rng) -> Duration {
    interval.mul_f64(rng.random_range(0.9..1.1))
}
