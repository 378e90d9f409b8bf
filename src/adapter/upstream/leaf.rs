use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use h2::{Reason, SendStream, client::SendRequest};
use http::Uri;
use smallvec::SmallVec;
use tokio::{
    sync::{Notify, mpsc::UnboundedSender},
    task::AbortHandle,
};

use crate::{
    adapter::upstream::{
        LeafState, PoolSettings, Ports,
        connection::{Progress, serve},
        wire::{Ended, Expected, Template, receive},
    },
    core::{
        LeafId, PartitionId, Time,
        call::{Failure, LeafCall, LeafReply, LeafStatus, NotRun, Outcome},
        config::LeafInfo,
        crash::{CrashEvent, CrashId, Fingerprint},
        invariant::{Invariant, check},
        leaf::{CallResult, Cancelled, LeafAction, LeafControl, Ticket, TicketId},
    },
};

/// Connections that take calls or are being opened.
const MAX_CONNECTIONS: usize = 2;

/// As `MAX_CONNECTIONS`, with a silent one that is being replaced.
const MAX_WITH_SILENT: usize = 3;

/// A ping sent this long after a stream reset follows it on the wire: the reset is flushed by then.
const RESET_FLUSH: Duration = Duration::from_millis(2);

/// The longest time between two looks at a leaf. A lease lasts 2 s and its continuity must be seen.
const IDLE_TICK: Duration = Duration::from_millis(500);

/// A look that comes this late means that this process was paused: bytes may wait unread.
const LATE_TICK: Duration = Duration::from_millis(100);

/// Shortest time between two looks: the timer has no finer resolution.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// A leaf without lease and calls is dropped, with its connections, after this long.
const UNOWNED_LIFETIME: Duration = Duration::from_secs(5);

/// What the calls of one batch share.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) template: Template,
    pub(super) print: Fingerprint,
    pub(super) deadline: Time,
    pub(super) replies: UnboundedSender<LeafReply>,
    /// Calls without a reply.
    pub(super) left: AtomicUsize,
    pub(super) done: Notify,
}

impl Batch {
    pub(super) fn reply(&self, index: u32, outcome: Outcome, status: LeafStatus) {
        // A closed channel means that nobody waits for the batch any more.
        let _ = self.replies.send(LeafReply {
            index,
            outcome,
            status,
        });
        if self.left.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.done.notify_waiters();
        }
    }
}

#[derive(Debug)]
enum Phase {
    Queued,
    /// Dispatched, but waits for a pong of the connection before it is sent.
    Held(u64),
    Sent(u64, SendStream<Bytes>),
    /// The reply was given; the call may still run on the leaf.
    Stopping(u64),
}

#[derive(Debug)]
struct Pending {
    batch: Arc<Batch>,
    index: u32,
    call: LeafCall,
    alone: bool,
    /// The end of the query's time, from the dispatch on the end told to the leaf.
    deadline: Time,
    /// It was handed to a connection, and must not be again.
    sent: bool,
    phase: Phase,
}

/// Whether the leaf announced the end of a connection.
type Planned = bool;

#[derive(Debug)]
struct Conn {
    id: u64,
    send: SendRequest<Bytes>,
    progress: Arc<Progress>,
    task: AbortHandle,
    silent: bool,
    /// The leaf takes no new calls on it.
    draining: bool,
    /// It has ended, in a planned way or not; answers that came before are still being read.
    ended: Option<Planned>,
    /// Streams that the leaf allows, as of the last pong.
    streams: usize,
    /// Calls sent and not ended.
    calls: usize,
    /// Since when an answer or a pong is awaited without a break.
    waiting_since: Time,
    ping_at: Option<Time>,
    /// Streams reset, with the time; the leaf may not have seen the reset yet.
    resets: SmallVec<[(TicketId, Time); 4]>,
}

impl Conn {
    fn usable(&self) -> bool {
        !self.silent && !self.draining
    }

    fn is_waiting(&self) -> bool {
        self.calls > 0 || self.ping_at.is_some()
    }

    fn start_waiting(&mut self, now: Time) {
        if !self.is_waiting() {
            self.waiting_since = now;
        }
    }

    fn ping(&mut self, now: Time) {
        if self.ping_at.is_none() {
            self.start_waiting(now);
            self.ping_at = Some(now);
            self.progress.request_ping();
        }
    }
}

#[derive(Debug)]
struct Inner {
    control: LeafControl,
    pending: HashMap<TicketId, Pending>,
    conns: Vec<Conn>,
    /// Connections being opened.
    opening: SmallVec<[(u64, AbortHandle); 2]>,
    retry_at: Time,
    next_ticket: u64,
    next_conn: u64,
    /// When the supervision looks at the leaf next.
    wake_at: Time,
    /// The supervision is looking at the leaf, so it need not be woken.
    ticking: bool,
    leased_at: Time,
    /// The values in force; a leaf that is not in the map any more counts as leaving.
    info: LeafInfo,
    retired: bool,
    removed: bool,
}

/// One leaf: its load control, its calls and its connections.
#[derive(Debug)]
pub(super) struct Leaf<P> {
    id: LeafId,
    partition: PartitionId,
    uri: Uri,
    ports: Arc<P>,
    settings: PoolSettings,
    inner: Mutex<Inner>,
    wake: Notify,
}

impl<P: Ports> Leaf<P> {
    /// Creates a leaf and starts its supervision; `None` if its id is not an address.
    pub(super) fn start(
        id: LeafId,
        info: &LeafInfo,
        ports: Arc<P>,
        settings: PoolSettings,
    ) -> Option<Arc<Self>> {
        let uri = format!("http://{id}/v1/search").parse().ok()?;
        let now = ports.now();
        let leaf = Arc::new(Self {
            partition: PartitionId::of(&id, &info.domain, settings.partitions),
            uri,
            inner: Mutex::new(Inner {
                control: LeafControl::new(info, settings.leaf, now),
                pending: HashMap::new(),
                conns: Vec::new(),
                opening: SmallVec::new(),
                retry_at: now,
                next_ticket: 0,
                next_conn: 0,
                wake_at: now,
                ticking: false,
                leased_at: now,
                info: info.clone(),
                retired: false,
                removed: false,
            }),
            wake: Notify::new(),
            id,
            ports,
            settings,
        });
        tokio::spawn(supervise(leaf.clone()));
        Some(leaf)
    }

    pub(super) fn id(&self) -> &LeafId {
        &self.id
    }

    pub(super) fn partition(&self) -> &PartitionId {
        &self.partition
    }

    pub(super) fn ports(&self) -> &Arc<P> {
        &self.ports
    }

    pub(super) fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    pub(super) fn status(&self) -> LeafStatus {
        self.lock().control.status()
    }

    pub(super) fn state(&self) -> LeafState {
        let inner = self.lock();
        LeafState {
            leaf: self.id.clone(),
            status: inner.control.status(),
            in_flight: inner.control.in_flight(),
            limit: inner.control.limit(),
            connections: inner.conns.len() + inner.opening.len(),
            p95: inner.control.latency().quantile(0.95),
        }
    }

    /// Returns the calls that are queued or may be running.
    pub(super) fn busy(&self) -> usize {
        let inner = self.lock();
        inner.control.in_flight() + inner.control.queued()
    }

    pub(super) fn is_removed(&self) -> bool {
        self.lock().removed
    }

    /// Takes over new values; without them the leaf is not in the map any more.
    pub(super) fn update(self: &Arc<Self>, info: Option<&LeafInfo>) {
        let now = self.ports.now();
        let mut inner = self.lock();
        inner.retired = info.is_none();
        if let Some(info) = info {
            inner.info = info.clone();
        } else {
            inner.info.leaving = true;
            for ticket in inner.control.take_queue() {
                self.refuse(&mut inner, ticket.id, NotRun::UnknownLeaf);
            }
        }
        let inner = &mut *inner;
        inner.control.update(now, &inner.info);
        self.pump(inner, now);
    }

    /// Queues a call. `None` means that the reply was given already.
    pub(super) fn offer(
        self: &Arc<Self>,
        batch: &Arc<Batch>,
        index: u32,
        call: LeafCall,
        alone: bool,
    ) -> Option<TicketId> {
        let now = self.ports.now();
        let mut inner = self.lock();
        let id = TicketId(inner.next_ticket);
        inner.next_ticket += 1;
        let ticket = Ticket {
            id,
            deadline: batch.deadline,
            alone,
        };
        let offered = if inner.removed {
            Err(NotRun::NotOwner { holder: None })
        } else if inner.retired {
            Err(NotRun::UnknownLeaf)
        } else {
            inner.control.enqueue(now, ticket)
        };
        if let Err(reason) = offered {
            let status = inner.control.status();
            drop(inner);
            batch.reply(index, Outcome::NotRun(reason), status);
            return None;
        }
        inner.pending.insert(
            id,
            Pending {
                batch: batch.clone(),
                index,
                call,
                alone,
                deadline: batch.deadline,
                sent: false,
                phase: Phase::Queued,
            },
        );
        self.pump(&mut inner, now);
        Some(id)
    }

    /// Cancels a call on behalf of its caller.
    pub(super) fn cancel(self: &Arc<Self>, ticket: TicketId) {
        let now = self.ports.now();
        let mut inner = self.lock();
        match inner.pending.get(&ticket).map(|pending| &pending.phase) {
            Some(Phase::Queued) => {
                if inner.control.cancel(now, ticket) == Cancelled::Dequeued {
                    self.refuse(&mut inner, ticket, NotRun::TooLate);
                }
            }
            Some(Phase::Held(_)) => self.not_sent(&mut inner, now, ticket, NotRun::TooLate),
            Some(Phase::Sent(..)) => self.stop(&mut inner, now, ticket, Failure::Cancelled),
            Some(Phase::Stopping(_)) | None => {}
        }
        self.pump(&mut inner, now);
    }

    /// Drops the leaf: open calls are cancelled, connections closed.
    pub(super) fn remove(&self) {
        let now = self.ports.now();
        let mut inner = self.lock();
        for ticket in inner.control.take_queue() {
            self.refuse(&mut inner, ticket.id, NotRun::UnknownLeaf);
        }
        let open: Vec<TicketId> = inner.pending.keys().copied().collect();
        for ticket in open {
            if let Some(Phase::Held(_)) = inner.pending.get(&ticket).map(|p| &p.phase) {
                self.not_sent(&mut inner, now, ticket, NotRun::UnknownLeaf);
            } else {
                self.stop(&mut inner, now, ticket, Failure::Cancelled);
            }
        }
        inner.close();
        self.wake.notify_one();
    }

    // Reports of the connections.

    pub(super) fn opened(
        self: &Arc<Self>,
        id: u64,
        send: SendRequest<Bytes>,
        progress: Arc<Progress>,
    ) {
        let now = self.ports.now();
        let mut inner = self.lock();
        let Some(task) = inner.opening_ended(id) else {
            return;
        };
        // The replacement is there: silent connections have served their time.
        inner.conns.retain(|conn| {
            if conn.silent {
                conn.task.abort();
            }
            !conn.silent
        });
        inner.conns.push(Conn {
            id,
            streams: send.current_max_send_streams(),
            send,
            progress,
            task,
            silent: false,
            draining: false,
            ended: None,
            calls: 0,
            waiting_since: now,
            ping_at: None,
            resets: SmallVec::new(),
        });
        self.pump(&mut inner, now);
    }

    pub(super) fn connect_failed(self: &Arc<Self>, id: u64, error: &io::Error) {
        let now = self.ports.now();
        let mut inner = self.lock();
        if inner.opening_ended(id).is_none() {
            return;
        }
        inner.retry_at = now + self.settings.retry_after;
        log::debug!(leaf = self.id.as_str(); "cannot connect: {error}");
        if error.kind() == io::ErrorKind::ConnectionRefused {
            inner.control.record_disconnect(now);
        }
        self.pump(&mut inner, now);
    }

    pub(super) fn ponged(self: &Arc<Self>, id: u64) {
        let now = self.ports.now();
        let mut inner = self.lock();
        let Some(conn) = inner.conns.iter_mut().find(|conn| conn.id == id) else {
            return;
        };
        let sent = conn.ping_at.take();
        conn.streams = conn.send.current_max_send_streams();
        let mut stopped = SmallVec::<[TicketId; 4]>::new();
        conn.resets.retain(|(ticket, at)| {
            let seen = sent.is_some_and(|sent| sent >= *at + RESET_FLUSH);
            if seen {
                stopped.push(*ticket);
            }
            !seen
        });
        for ticket in stopped {
            inner.pending.remove(&ticket);
            inner.control.finish(now, ticket, CallResult::Stopped);
        }
        for ticket in inner.calls_on(id, |phase| matches!(phase, Phase::Held(_))) {
            self.send(&mut inner, now, ticket);
        }
        self.pump(&mut inner, now);
    }

    /// The leaf announced that it ends a connection.
    pub(super) fn draining(&self, id: u64) {
        let mut inner = self.lock();
        if let Some(conn) = inner.conns.iter_mut().find(|conn| conn.id == id) {
            conn.draining = true;
        }
    }

    pub(super) fn closed(self: &Arc<Self>, id: u64, planned: Planned) {
        let now = self.ports.now();
        let mut inner = self.lock();
        let Some(conn) = inner.conns.iter_mut().find(|conn| conn.id == id) else {
            return;
        };
        conn.draining = true;
        conn.ended = Some(planned);
        if !conn.silent {
            inner.control.record_disconnect(now);
        }
        let held = inner.calls_on(id, |phase| matches!(phase, Phase::Held(_)));
        for ticket in held {
            self.requeue(&mut inner, now, ticket);
        }
        self.settle(&mut inner, now, id);
        self.pump(&mut inner, now);
    }

    pub(super) fn ended(self: &Arc<Self>, ticket: TicketId, ended: Ended) {
        let now = self.ports.now();
        let mut inner = self.lock();
        let Some(Pending {
            phase: Phase::Sent(conn, _),
            ..
        }) = inner.pending.get(&ticket)
        else {
            return;
        };
        let conn = *conn;
        match ended {
            Ended::Connection => {
                inner.control.record_disconnect(now);
                self.lose(&mut inner, now, ticket, Failure::Reset);
                self.settle(&mut inner, now, conn);
            }
            Ended::Cut(failure) => self.stop(&mut inner, now, ticket, failure),
            Ended::Done(result, outcome) => {
                if let Some(conn) = inner.conns.iter_mut().find(|c| c.id == conn) {
                    conn.calls -= 1;
                }
                inner.control.finish(now, ticket, result);
                let status = inner.control.status();
                if let Some(pending) = inner.pending.remove(&ticket) {
                    if pending.alone && matches!(result, CallResult::Answered { .. }) {
                        self.ports.ran_alone(pending.batch.print);
                    }
                    pending.batch.reply(pending.index, outcome, status);
                }
                self.settle(&mut inner, now, conn);
            }
        }
        self.pump(&mut inner, now);
    }

    // Decisions, with the lock held.

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends and refuses queued calls as far as it goes now.
    fn pump(self: &Arc<Self>, inner: &mut Inner, now: Time) {
        loop {
            let lease_end = self.ports.lease_end(&self.partition);
            if pick(inner, now, None).is_none() {
                if let Some((ticket, reason)) = inner.control.next_rejection(now, lease_end) {
                    self.refuse(inner, ticket.id, reason);
                    continue;
                }
                if inner.control.queued() > 0 {
                    self.connect_or_refuse(inner, now);
                }
                if let Some(wake) = inner.control.next_due() {
                    self.wake_by(inner, wake);
                }
                break;
            }
            match inner.control.next_action(now, lease_end) {
                LeafAction::Dispatch { ticket, deadline } => {
                    if let Some(pending) = inner.pending.get_mut(&ticket.id) {
                        pending.deadline = deadline;
                    }
                    self.send(inner, now, ticket.id);
                }
                LeafAction::Reject { ticket, reason } => self.refuse(inner, ticket.id, reason),
                LeafAction::Idle { next_due } => {
                    if let Some(next_due) = next_due {
                        self.wake_by(inner, next_due);
                    }
                    break;
                }
            }
        }
        let usable = inner.conns.iter().filter(|conn| conn.usable());
        let loaded = usable.clone().all(|conn| conn.calls >= 2);
        if usable.count() == 1 && loaded && inner.retry_at <= now {
            self.connect(inner);
        }
    }

    fn connect_or_refuse(self: &Arc<Self>, inner: &mut Inner, now: Time) {
        let usable = inner.conns.iter().any(Conn::usable);
        if !usable && inner.opening.is_empty() {
            if now < inner.retry_at {
                for ticket in inner.control.take_queue() {
                    self.refuse(inner, ticket.id, NotRun::Unreachable);
                }
            } else {
                self.connect(inner);
            }
        }
    }

    fn connect(self: &Arc<Self>, inner: &mut Inner) {
        let usable = inner.conns.iter().filter(|conn| conn.usable()).count();
        let all = inner.conns.len() + inner.opening.len();
        if inner.removed
            || usable + inner.opening.len() >= MAX_CONNECTIONS
            || all >= MAX_WITH_SILENT
        {
            return;
        }
        let id = inner.next_conn;
        inner.next_conn += 1;
        let task = tokio::spawn(serve(self.clone(), id));
        inner.opening.push((id, task.abort_handle()));
    }

    /// Sends a dispatched call, or holds it until its connection has proven alive.
    fn send(self: &Arc<Self>, inner: &mut Inner, now: Time, ticket: TicketId) {
        let Some(pending) = inner.pending.get(&ticket) else {
            return;
        };
        let (once, deadline) = (pending.call.once, pending.deadline);
        let held = matches!(pending.phase, Phase::Held(_));
        if !check(Invariant::AtMostOnce, !pending.sent, || {
            format!("call {ticket:?} would be sent a second time")
        }) {
            inner.control.finish(now, ticket, CallResult::Lost);
            let status = inner.control.status();
            if let Some(pending) = inner.pending.remove(&ticket) {
                let outcome = Outcome::Failed(Failure::Reset);
                pending.batch.reply(pending.index, outcome, status);
            }
            return;
        }
        // A held call was dispatched some time ago, so the lease is checked again.
        if held
            && self
                .ports
                .lease_end(&self.partition)
                .is_none_or(|end| end < deadline)
        {
            let holder = None;
            return self.not_sent(inner, now, ticket, NotRun::NotOwner { holder });
        }
        let left = deadline.since(now).as_millis() as u64;
        if left == 0 {
            return self.not_sent(inner, now, ticket, NotRun::TooLate);
        }
        let proven = once.then_some(self.settings.proven_within);
        let Some(at) = pick(inner, now, proven) else {
            return self.hold(inner, now, ticket);
        };
        let conn = &mut inner.conns[at];
        let Some(pending) = inner.pending.get_mut(&ticket) else {
            return;
        };
        let head = pending.batch.template.head(&self.uri, left);
        let body = pending.batch.template.body(&pending.call);
        let expected = Expected {
            snapshot: pending.call.snapshot,
            shard: pending.call.shard,
            bytes: self.settings.answer_bytes,
        };
        let (response, mut stream) = match conn.send.clone().send_request(head, false) {
            Ok(sent) => sent,
            Err(error) => {
                // Nothing was handed over: another connection takes the call, or a new one.
                log::debug!(leaf = self.id.as_str(); "connection takes no call: {error}");
                conn.draining = true;
                if pick(inner, now, proven).is_some() {
                    return self.send(inner, now, ticket);
                }
                return self.requeue(inner, now, ticket);
            }
        };
        // The connection may break in between; its supervision reports the call then.
        if let Err(error) = stream.send_data(body, true) {
            log::debug!(leaf = self.id.as_str(); "connection takes no body: {error}");
            conn.draining = true;
        }
        conn.start_waiting(now);
        conn.calls += 1;
        pending.sent = true;
        pending.phase = Phase::Sent(conn.id, stream);
        let wake = deadline.min(now + self.ping_after(inner));
        self.wake_by(inner, wake);
        let leaf = self.clone();
        tokio::spawn(async move {
            let ended = receive(response, expected).await;
            leaf.ended(ticket, ended);
        });
    }

    /// Puts a call back into the queue of which nothing was sent.
    fn requeue(&self, inner: &mut Inner, now: Time, id: TicketId) {
        inner.control.finish(now, id, CallResult::NotSent);
        let Some(pending) = inner.pending.get_mut(&id) else {
            return;
        };
        pending.phase = Phase::Queued;
        pending.deadline = pending.batch.deadline;
        let ticket = Ticket {
            id,
            deadline: pending.deadline,
            alone: pending.alone,
        };
        if let Err(reason) = inner.control.enqueue(now, ticket) {
            self.refuse(inner, id, reason);
        }
    }

    /// Lets an at-most-once call wait for a pong.
    fn hold(&self, inner: &mut Inner, now: Time, ticket: TicketId) {
        let Some(at) = pick(inner, now, None) else {
            return self.not_sent(inner, now, ticket, NotRun::Unreachable);
        };
        let conn = &mut inner.conns[at];
        conn.ping(now);
        let id = conn.id;
        if let Some(pending) = inner.pending.get_mut(&ticket) {
            pending.phase = Phase::Held(id);
            let wake = pending.deadline.min(now + self.ping_after(inner));
            self.wake_by(inner, wake);
        }
    }

    fn refuse(&self, inner: &mut Inner, ticket: TicketId, reason: NotRun) {
        let reason = match reason {
            NotRun::NotOwner { .. } => NotRun::NotOwner {
                holder: self.ports.holder(&self.partition),
            },
            reason => reason,
        };
        let status = inner.control.status();
        if let Some(pending) = inner.pending.remove(&ticket) {
            let outcome = Outcome::NotRun(reason);
            pending.batch.reply(pending.index, outcome, status);
        }
    }

    fn not_sent(&self, inner: &mut Inner, now: Time, ticket: TicketId, reason: NotRun) {
        inner.control.finish(now, ticket, CallResult::NotSent);
        self.refuse(inner, ticket, reason);
    }

    /// Cancels a call that was sent and replies; the call counts until the leaf has seen the reset.
    fn stop(&self, inner: &mut Inner, now: Time, ticket: TicketId, failure: Failure) {
        inner.control.cancel(now, ticket);
        let Some(id) = Self::reset(inner, ticket, failure) else {
            return;
        };
        if let Some(conn) = inner.conns.iter_mut().find(|conn| conn.id == id) {
            conn.resets.push((ticket, now));
            self.wake_by(inner, now + RESET_FLUSH);
            self.settle(inner, now, id);
        }
    }

    /// Gives up a call whose connection broke or went silent.
    fn lose(&self, inner: &mut Inner, now: Time, ticket: TicketId, failure: Failure) {
        inner.control.finish(now, ticket, CallResult::Lost);
        Self::reset(inner, ticket, failure);
    }

    /// Resets the stream of a call that was sent, replies, and returns its connection.
    fn reset(inner: &mut Inner, ticket: TicketId, failure: Failure) -> Option<u64> {
        let status = inner.control.status();
        let pending = inner.pending.get_mut(&ticket)?;
        let Phase::Sent(id, stream) = &mut pending.phase else {
            return None;
        };
        stream.send_reset(Reason::CANCEL);
        let id = *id;
        pending.phase = Phase::Stopping(id);
        let outcome = Outcome::Failed(failure);
        pending.batch.reply(pending.index, outcome, status);
        if let Some(conn) = inner.conns.iter_mut().find(|conn| conn.id == id) {
            conn.calls -= 1;
        }
        Some(id)
    }

    /// Drops a connection that has ended once all its calls have, and reports the queries that were in flight.
    ///
    /// Calls whose answer arrived before the end are not among them, nor those whose time was over: the leaf had
    /// stopped them and they cannot be the cause.
    fn settle(&self, inner: &mut Inner, now: Time, id: u64) {
        let ended = |conn: &Conn| conn.id == id && conn.ended.is_some() && conn.calls == 0;
        let Some(at) = inner.conns.iter().position(ended) else {
            return;
        };
        let conn = inner.conns.swap_remove(at);
        if conn.silent || conn.ended == Some(true) {
            return;
        }
        let lost = |pending: &&Pending| pending.deadline > now && pending.conn() == Some(id);
        let lost: SmallVec<[&Pending; 8]> = inner.pending.values().filter(lost).collect();
        if lost.is_empty() {
            return;
        }
        let alone = inner.control.in_flight() == 1 && lost.iter().all(|call| call.alone);
        let prints = lost.iter().map(|call| call.batch.print);
        let event = CrashEvent::new(CrashId(rand::random()), prints, alone);
        let queries = event.fingerprints.len();
        log::warn!(leaf = self.id.as_str(), queries; "leaf reset a connection with calls in flight");
        self.ports.crashed(event);
    }

    fn wake_by(&self, inner: &mut Inner, wake: Time) {
        if wake < inner.wake_at {
            inner.wake_at = wake;
            if !inner.ticking {
                self.wake.notify_one();
            }
        }
    }

    fn silent_after(&self, inner: &Inner) -> Duration {
        let median = Duration::from_micros(u64::from(inner.control.status().median));
        self.settings.silent_after.max(4 * median)
    }

    /// A ping needs its share of the time after which a connection is silent.
    fn ping_after(&self, inner: &Inner) -> Duration {
        self.silent_after(inner) * 2 / 5
    }

    /// Looks after deadlines and connections; returns when to look again, `None` when the leaf is gone.
    fn tick(self: &Arc<Self>) -> Option<Time> {
        let now = self.ports.now();
        let mut inner = self.lock();
        let inner = &mut *inner;
        if inner.removed {
            return None;
        }
        let paused = now > inner.wake_at + LATE_TICK;
        inner.wake_at = now + IDLE_TICK;
        inner.ticking = true;
        self.stop_overdue(inner, now);
        self.watch(inner, now, paused);
        self.pump(inner, now);
        inner.ticking = false;
        let idle = inner.pending.is_empty() && inner.control.in_flight() == 0;
        if inner.retired && idle {
            inner.close();
            return None;
        }
        if self.ports.lease_end(&self.partition).is_some() {
            inner.leased_at = now;
        } else if idle && now.since(inner.leased_at) > UNOWNED_LIFETIME {
            inner.close();
            return None;
        }
        Some(inner.wake_at)
    }

    fn stop_overdue(&self, inner: &mut Inner, now: Time) {
        let overdue: SmallVec<[TicketId; 8]> = inner
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in overdue {
            match inner.pending.get(&ticket).map(|pending| &pending.phase) {
                Some(Phase::Held(_)) => self.not_sent(inner, now, ticket, NotRun::TooLate),
                Some(Phase::Sent(..)) => self.stop(inner, now, ticket, Failure::Deadline),
                // The control stops counting it by itself.
                Some(Phase::Stopping(_)) => {
                    inner.pending.remove(&ticket);
                }
                Some(Phase::Queued) | None => {}
            }
        }
        let next = inner
            .pending
            .values()
            .filter(|pending| !matches!(pending.phase, Phase::Queued))
            .map(|pending| pending.deadline)
            .min();
        if let Some(next) = next {
            inner.wake_at = inner.wake_at.min(next);
        }
    }

    /// Pings connections that owe an answer and gives up those that stay silent.
    fn watch(self: &Arc<Self>, inner: &mut Inner, now: Time, paused: bool) {
        let silent_after = self.silent_after(inner);
        let ping_after = self.ping_after(inner);
        let mut silent = SmallVec::<[u64; 2]>::new();
        let open = |conn: &&mut Conn| !conn.silent && conn.ended.is_none();
        for conn in inner.conns.iter_mut().filter(open) {
            if paused {
                conn.waiting_since = now;
            }
            if let Some(&(_, at)) = conn.resets.first()
                && conn.ping_at.is_none()
            {
                if now >= at + RESET_FLUSH {
                    conn.ping(now);
                } else {
                    inner.wake_at = inner.wake_at.min(at + RESET_FLUSH);
                }
            }
            if !conn.is_waiting() {
                continue;
            }
            let since = conn.waiting_since.max(conn.progress.last_read());
            if now >= since + silent_after {
                silent.push(conn.id);
                conn.silent = true;
                continue;
            }
            if now >= since + ping_after {
                conn.ping(now);
                inner.wake_at = inner.wake_at.min(since + silent_after);
            } else {
                inner.wake_at = inner.wake_at.min(since + ping_after);
            }
        }
        for id in silent {
            log::warn!(leaf = self.id.as_str(); "connection is silent, opening another one");
            metrics::counter!("cranberrychute_silent_connections_total").increment(1);
            for ticket in inner.calls_on(id, |phase| matches!(phase, Phase::Held(_))) {
                self.not_sent(inner, now, ticket, NotRun::Unreachable);
            }
            for ticket in inner.calls_on(id, |phase| matches!(phase, Phase::Sent(..))) {
                self.lose(inner, now, ticket, Failure::Silent);
            }
            self.connect(inner);
        }
    }
}

impl Inner {
    /// Returns the task of a connection that was being opened, `None` if the leaf is gone.
    fn opening_ended(&mut self, id: u64) -> Option<AbortHandle> {
        let at = self.opening.iter().position(|(conn, _)| *conn == id)?;
        Some(self.opening.swap_remove(at).1)
    }

    /// Returns the calls on a connection that are in the given phase.
    fn calls_on(&self, conn: u64, phase: impl Fn(&Phase) -> bool) -> SmallVec<[TicketId; 8]> {
        self.pending
            .iter()
            .filter(|(_, pending)| pending.conn() == Some(conn) && phase(&pending.phase))
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    fn close(&mut self) {
        self.removed = true;
        let open = self.conns.drain(..).map(|conn| conn.task);
        let opening = self.opening.drain(..).map(|(_, task)| task);
        open.chain(opening).for_each(|task| task.abort());
    }
}

impl Pending {
    fn conn(&self) -> Option<u64> {
        match self.phase {
            Phase::Queued => None,
            Phase::Held(conn) | Phase::Sent(conn, _) | Phase::Stopping(conn) => Some(conn),
        }
    }
}

/// Returns the position of the connection with the fewest calls, one that answered within `proven` if given.
fn pick(inner: &Inner, now: Time, proven: Option<Duration>) -> Option<usize> {
    inner
        .conns
        .iter()
        .enumerate()
        .filter(|(_, conn)| conn.usable() && conn.calls < conn.streams)
        .filter(|(_, conn)| {
            proven.is_none_or(|within| now.since(conn.progress.last_read()) <= within)
        })
        .min_by_key(|(_, conn)| conn.calls)
        .map(|(at, _)| at)
}

async fn supervise<P: Ports>(leaf: Arc<Leaf<P>>) {
    while let Some(wake) = leaf.tick() {
        let pause = wake.since(leaf.ports.now()).max(MIN_PAUSE);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = leaf.wake.notified() => {}
        }
    }
}
