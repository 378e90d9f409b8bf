use std::{cmp::Reverse, time::Duration};

use rand::Rng;

use crate::core::{Domain, NodeId, Time, score};

/// Largest fleet in which all nodes watch the service.
const SMALL_FLEET: usize = 64;
/// Nodes per failure domain that watch the service in a larger fleet.
const READERS_PER_DOMAIN: usize = 4;
/// Key by which nodes are ranked for reading.
const READERS_KEY: &str = "config-readers";
/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Least time between two returns of a watch: 60 readers stay below 600 of the 2,000 reads a second.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between re-reads of a reader. It bounds the delay when a watch hangs.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time between re-reads of the other nodes, with jitter.
const OTHER_INTERVAL: Duration = Duration::from_secs(120);
/// Time between reads of everything in a small fleet, with jitter. They find changes that a service which
/// lost data published under revisions that were read before, within the 7 s allowed.
const FULL_INTERVAL: Duration = Duration::from_secs(4);
/// The same in a larger fleet: 15 MB every 6 h are 0.7 KB/s per node, and at 2,800 nodes some node reads
/// everything every 8 s and passes on what it finds.
const LARGE_FULL_INTERVAL: Duration = Duration::from_secs(6 * 3_600);
/// Longest wait for a read of everything after a revision that went back, unless one was made just before.
const FULL_GAP: Duration = Duration::from_secs(60);
/// First and longest wait after a failed request.
const RETRY: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));
/// Time for which a starting node waits for the service when a peer has answered.
const SERVICE_WAIT: Duration = Duration::from_secs(2);
/// Time for which a starting node waits for a peer when the service has answered.
const PEER_WAIT: Duration = Duration::from_secs(5);
/// Time without the service and without a majority after which a node counts as isolated.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(4);

/// How often a node turns to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRole {
    /// Watches and re-reads every 2 s, as all nodes of a small fleet do.
    SmallFleet,
    /// Watches and re-reads every 2 s, as one of a few nodes per failure domain.
    Reader,
    /// Re-reads every 120 s.
    NonReader,
}

/// Returns the role of `me`, given the live members with their failure domains. The members should include
/// `me`; a node that knows of no others reads for itself.
pub fn read_role<'a>(
    me: &NodeId,
    live: impl IntoIterator<Item = (&'a NodeId, &'a Domain)>,
) -> ReadRole {
    let live: Vec<_> = live.into_iter().collect();
    let own = live.iter().find(|(node, _)| *node == me);
    let Some((_, domain)) = own.filter(|_| live.len() > SMALL_FLEET) else {
        return ReadRole::SmallFleet;
    };
    let place = |node: &NodeId| (score(READERS_KEY, node.as_str()), Reverse(node.clone()));
    let mine = place(me);
    let peers = live.iter().filter(|(_, other)| other == domain);
    let ahead = peers
        .filter(|(node, _)| place(node) > mine)
        .take(READERS_PER_DOMAIN);
    match ahead.count() < READERS_PER_DOMAIN {
        true => ReadRole::Reader,
        false => ReadRole::NonReader,
    }
}

/// Returns whether `me` watches the service.
pub fn is_reader<'a>(
    me: &NodeId,
    live: impl IntoIterator<Item = (&'a NodeId, &'a Domain)>,
) -> bool {
    read_role(me, live) != ReadRole::NonReader
}

/// Returns whether a node must stop taking new queries because it cannot know what operators have changed:
/// it heard neither from the service nor from a majority of the listed nodes within [`ISOLATION_TIMEOUT`].
///
/// `heard` counts the listed nodes heard within the limit, without this node; `listed` counts all listed
/// nodes. Without a list there is no majority to hear from.
pub fn is_isolated(now: Time, contact: Option<Time>, heard: usize, listed: usize) -> bool {
    let served = contact.is_some_and(|at| now.since(at) < ISOLATION_TIMEOUT);
    let majority = listed > 0 && (heard + 1) * 2 > listed;
    !served && !majority
}

/// Returns whether a node may become ready, a time after its start.
///
/// `served` tells that the service has answered, `synced` that the node holds all that one peer held
/// ([`super::Relay::is_synced`]), `others` how many other nodes it knows from the VM list or its seeds. The
/// service has 2 s to answer before a peer alone suffices; a peer has 5 s before the service alone does.
pub fn may_become_ready(uptime: Duration, served: bool, synced: bool, others: usize) -> bool {
    match (served, synced) {
        (true, true) => true,
        (true, false) => others == 0 || uptime >= PEER_WAIT,
        (false, true) => uptime >= SERVICE_WAIT,
        (false, false) => false,
    }
}

/// What a node asks the service next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRequest {
    /// Read at once what came after the revision; zero stands for everything.
    Read { after: u64 },
    /// Watch for what comes after the revision, for at most `wait`.
    Watch { after: u64, wait: Duration },
}

/// Paces the requests of one node to the service: at most one read and one watch at a time.
#[derive(Debug)]
pub struct ReadPacer {
    role: ReadRole,
    /// Revision of the last answer.
    revision: u64,
    contact: Option<Time>,
    read: Track,
    watch: Track,
    full_due: Time,
    full_read: Time,
}

#[derive(Debug, Default)]
struct Track {
    due: Time,
    started: Option<Time>,
    failures: u32,
}

impl ReadPacer {
    /// Creates the pacer of a node that starts now. Its first step reads everything.
    pub fn new(now: Time) -> Self {
        let track = || Track {
            due: now,
            ..Track::default()
        };
        Self {
            role: ReadRole::SmallFleet,
            revision: 0,
            contact: None,
            read: track(),
            watch: track(),
            full_due: now,
            full_read: now,
        }
    }

    /// Sets the role, from [`read_role`]; call it when the live members change.
    pub fn set_role(&mut self, now: Time, role: ReadRole, rng: &mut impl Rng) {
        if role == self.role {
            return;
        }
        let before = self.full_interval();
        self.role = role;
        self.watch.due = now;
        self.read.due = match role {
            // Spread over the whole interval, because a fleet that starts changes its roles at once.
            ReadRole::NonReader => now + OTHER_INTERVAL.mul_f64(rng.random()),
            _ => self.read.due.min(now + READ_INTERVAL),
        };
        if self.contact.is_none() {
            self.read.due = now;
        } else if self.full_interval() != before {
            self.full_due = now + jittered(self.full_interval(), rng);
        }
    }

    /// Makes the next read due at once, as a node does after a pause.
    pub fn read_now(&mut self, now: Time) {
        self.read.due = now;
    }

    /// Returns a request to start now, if one is due. [`ReadPacer::record_result`] ends it.
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
            wait: WATCH_WAIT,
        })
    }

    /// Records the end of a request: the revision of the answer, or nothing when it failed.
    pub fn record_result(
        &mut self,
        now: Time,
        step: ReadRequest,
        revision: Option<u64>,
        rng: &mut impl Rng,
    ) {
        let interval = match step {
            ReadRequest::Read { .. } => match self.role {
                ReadRole::NonReader => jittered(OTHER_INTERVAL, rng),
                _ => READ_INTERVAL,
            },
            ReadRequest::Watch { .. } => WATCH_INTERVAL,
        };
        let never = self.contact.is_none();
        let track = match step {
            ReadRequest::Read { .. } => &mut self.read,
            ReadRequest::Watch { .. } => &mut self.watch,
        };
        track.started = None;
        let Some(revision) = revision else {
            track.failures = track.failures.saturating_add(1);
            let (first, most) = RETRY;
            let retry = (first * 2u32.saturating_pow(track.failures.min(8) - 1)).min(most);
            // A node that never read the service is not ready yet; any other one keeps its pace.
            let wait = if never { retry } else { retry.max(interval) };
            track.due = now + jittered(wait, rng);
            return;
        };
        track.failures = 0;
        track.due = now + interval;
        self.contact = Some(now);
        let (ReadRequest::Read { after } | ReadRequest::Watch { after, .. }) = step;
        if after == 0 {
            self.full_read = now;
            self.full_due = now + jittered(self.full_interval(), rng);
        } else if revision < after {
            let gap = self.full_interval().min(FULL_GAP);
            // The service lost data or another base URL is behind: what lies between is read again.
            self.full_due = self.full_due.min(self.full_read + gap);
        }
        // Both requests may have started from the same revision; the later answer may be the older one.
        if revision > self.revision || revision < after || after == 0 {
            self.revision = revision;
        }
    }

    /// Returns the time of the last answer of the service.
    pub fn last_contact(&self) -> Option<Time> {
        self.contact
    }

    /// Returns the time at which [`ReadPacer::next_request`] may have a request, if it depends on time alone.
    pub fn next_due(&self) -> Option<Time> {
        let watch = (self.role != ReadRole::NonReader && self.revision > 0).then_some(&self.watch);
        let idle = [Some(&self.read), watch]
            .into_iter()
            .flatten()
            .filter(|t| t.started.is_none());
        idle.map(|track| track.due).min()
    }

    fn full_interval(&self) -> Duration {
        match self.role {
            ReadRole::SmallFleet => FULL_INTERVAL,
            _ => LARGE_FULL_INTERVAL,
        }
    }
}

impl Track {
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
