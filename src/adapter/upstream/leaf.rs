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
        connection::{ConnShared, serve},
        wire::{CallEnd, Expected, Template, receive},
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

/// Maximum number of connections that accept calls or are being opened.
const MAX_CONNECTIONS: usize = 2;

/// Like `MAX_CONNECTIONS`, including a silent connection that is being replaced.
const MAX_TOTAL_CONNECTIONS: usize = 3;

/// Minimum time between a stream reset and the ping whose pong confirms it. The reset is flushed by then, so the ping
/// follows it on the wire.
const RESET_FLUSH_DELAY: Duration = Duration::from_millis(2);

/// Maximum time between two ticks of a leaf. Each tick observes the lease, which lasts 2 s: with longer intervals, a
/// renewed lease would appear to have a gap, and the leaf would be treated as cold.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay of a tick above which this process counts as paused: received bytes may still be unread.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(100);

/// Minimum time between two ticks: the timer has no finer resolution.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Time after which a leaf without a lease and without calls is removed together with its connections.
const UNOWNED_RETENTION: Duration = Duration::from_secs(5);

/// State shared by the calls of one batch.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) template: Template,
    pub(super) fingerprint: Fingerprint,
    pub(super) deadline: Time,
    pub(super) replies: UnboundedSender<LeafReply>,
    /// Number of calls without a reply.
    pub(super) remaining: AtomicUsize,
    pub(super) finished: Notify,
}

impl Batch {
    pub(super) fn reply(&self, index: u32, outcome: Outcome, status: LeafStatus) {
        // The send fails if the receiver of the batch was dropped; the reply is not needed then.
        let _ = self.replies.send(LeafReply {
            index,
            outcome,
            status,
        });
        if self.remaining.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.finished.notify_waiters();
        }
    }
}

/// Progress of a call. The number is the id of its connection.
#[derive(Debug)]
enum Phase {
    Queued,
    /// Dispatched, but not sent before the connection has received a pong.
    Waiting(u64),
    Sent(u64, SendStream<Bytes>),
    /// The reply was sent; the call may still be running on the leaf.
    Stopping(u64),
}

#[derive(Debug)]
struct Pending {
    batch: Arc<Batch>,
    index: u32,
    call: LeafCall,
    alone: bool,
    /// The deadline of the query; after dispatch, the deadline that was sent to the leaf.
    deadline: Time,
    /// The call was handed to a connection and must not be sent again.
    sent: bool,
    phase: Phase,
}

/// Whether the leaf announced that it closes a connection.
type Graceful = bool;

#[derive(Debug)]
struct Conn {
    id: u64,
    send: SendRequest<Bytes>,
    shared: Arc<ConnShared>,
    task: AbortHandle,
    /// The connection counts as silent; it is kept until it closes or another one is open.
    silent: bool,
    /// The leaf accepts no new calls on this connection.
    draining: bool,
    /// The connection has closed, gracefully or not; answers received before are still being read.
    closed: Option<Graceful>,
    /// Number of concurrent streams that the leaf allows, as of the last pong.
    max_streams: usize,
    /// Number of calls sent and not ended.
    calls: usize,
    /// Start of the uninterrupted period during which an answer or a pong has been outstanding.
    waiting_since: Time,
    ping_sent_at: Option<Time>,
    /// Streams that were reset, with the time; the leaf may not have processed the reset yet.
    resets: SmallVec<[(TicketId, Time); 4]>,
}

impl Conn {
    fn is_usable(&self) -> bool {
        !self.silent && !self.draining
    }

    fn is_waiting(&self) -> bool {
        self.calls > 0 || self.ping_sent_at.is_some()
    }

    fn start_waiting(&mut self, now: Time) {
        if !self.is_waiting() {
            self.waiting_since = now;
        }
    }

    fn ping(&mut self, now: Time) {
        if self.ping_sent_at.is_none() {
            self.start_waiting(now);
            self.ping_sent_at = Some(now);
            self.shared.request_ping();
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
    /// Earliest time of the next connection attempt.
    retry_at: Time,
    next_ticket: u64,
    next_conn: u64,
    /// Time of the next tick.
    next_tick: Time,
    /// A tick is running, so the supervisor need not be notified of an earlier `next_tick`.
    ticking: bool,
    /// Time of the last tick at which this node held the lease.
    last_leased: Time,
    /// The active configuration of the leaf; a leaf that is no longer in the map counts as leaving.
    info: LeafInfo,
    /// The leaf is no longer in the map.
    unlisted: bool,
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
    rescheduled: Notify,
}

impl<P: Ports> Leaf<P> {
    /// Creates a leaf and starts its supervisor; returns `None` if its id is not an address.
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
                next_tick: now,
                ticking: false,
                last_leased: now,
                info: info.clone(),
                unlisted: false,
                removed: false,
            }),
            rescheduled: Notify::new(),
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

    /// Returns the number of calls that are queued or may be running.
    pub(super) fn open_calls(&self) -> usize {
        let inner = self.lock();
        inner.control.in_flight() + inner.control.queued()
    }

    pub(super) fn is_removed(&self) -> bool {
        self.lock().removed
    }

    /// Applies a new configuration; `None` means that the leaf is no longer in the map.
    pub(super) fn update(self: &Arc<Self>, info: Option<&LeafInfo>) {
        let now = self.ports.now();
        let mut inner = self.lock();
        inner.unlisted = info.is_none();
        if let Some(info) = info {
            inner.info = info.clone();
        } else {
            inner.info.leaving = true;
            for ticket in inner.control.take_queue() {
                self.reject(&mut inner, ticket.id, NotRun::UnknownLeaf);
            }
        }
        let inner = &mut *inner;
        inner.control.update(now, &inner.info);
        self.process_queue(inner, now);
    }

    /// Queues a call. Returns `None` if the call was rejected, in which case its reply has been sent.
    pub(super) fn enqueue(
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
        let enqueued = if inner.removed {
            Err(NotRun::NotOwner { holder: None })
        } else if inner.unlisted {
            Err(NotRun::UnknownLeaf)
        } else {
            inner.control.enqueue(now, ticket)
        };
        if let Err(reason) = enqueued {
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
        self.process_queue(&mut inner, now);
        Some(id)
    }

    /// Cancels a call on behalf of its caller.
    pub(super) fn cancel(self: &Arc<Self>, ticket: TicketId) {
        let now = self.ports.now();
        let mut inner = self.lock();
        match inner.pending.get(&ticket).map(|pending| &pending.phase) {
            Some(Phase::Queued) => {
                if inner.control.cancel(now, ticket) == Cancelled::Dequeued {
                    self.reject(&mut inner, ticket, NotRun::TooLate);
                }
            }
            Some(Phase::Waiting(_)) => self.reject_unsent(&mut inner, now, ticket, NotRun::TooLate),
            Some(Phase::Sent(..)) => self.cancel_sent(&mut inner, now, ticket, Failure::Cancelled),
            Some(Phase::Stopping(_)) | None => {}
        }
        self.process_queue(&mut inner, now);
    }

    /// Removes the leaf: cancels its open calls and closes its connections.
    pub(super) fn remove(&self) {
        let now = self.ports.now();
        let mut inner = self.lock();
        for ticket in inner.control.take_queue() {
            self.reject(&mut inner, ticket.id, NotRun::UnknownLeaf);
        }
        let open: Vec<TicketId> = inner.pending.keys().copied().collect();
        for ticket in open {
            if let Some(Phase::Waiting(_)) = inner.pending.get(&ticket).map(|p| &p.phase) {
                self.reject_unsent(&mut inner, now, ticket, NotRun::UnknownLeaf);
            } else {
                self.cancel_sent(&mut inner, now, ticket, Failure::Cancelled);
            }
        }
        inner.close();
        self.rescheduled.notify_one();
    }

    // Events reported by the connections.

    pub(super) fn on_opened(
        self: &Arc<Self>,
        id: u64,
        send: SendRequest<Bytes>,
        shared: Arc<ConnShared>,
    ) {
        let now = self.ports.now();
        let mut inner = self.lock();
        let Some(task) = inner.take_opening(id) else {
            return;
        };
        // The replacement is open, so silent connections can be dropped.
        inner.conns.retain(|conn| {
            if conn.silent {
                conn.task.abort();
            }
            !conn.silent
        });
        inner.conns.push(Conn {
            id,
            max_streams: send.current_max_send_streams(),
            send,
            shared,
            task,
            silent: false,
            draining: false,
            closed: None,
            calls: 0,
            waiting_since: now,
            ping_sent_at: None,
            resets: SmallVec::new(),
        });
        self.process_queue(&mut inner, now);
    }

    pub(super) fn on_connect_failed(self: &Arc<Self>, id: u64, error: &io::Error) {
        let now = self.ports.now();
        let mut inner = self.lock();
        if inner.take_opening(id).is_none() {
            return;
        }
        inner.retry_at = now + self.settings.connect_retry_delay;
        log::debug!(leaf = self.id.as_str(); "cannot connect: {error}");
        if error.kind() == io::ErrorKind::ConnectionRefused {
            inner.control.record_disconnect(now);
        }
        self.process_queue(&mut inner, now);
    }

    pub(super) fn on_pong(self: &Arc<Self>, id: u64) {
        let now = self.ports.now();
        let mut inner = self.lock();
        let Some(conn) = inner.conns.iter_mut().find(|conn| conn.id == id) else {
            return;
        };
        let sent = conn.ping_sent_at.take();
        conn.max_streams = conn.send.current_max_send_streams();
        let mut stopped = SmallVec::<[TicketId; 4]>::new();
        conn.resets.retain(|(ticket, at)| {
            let processed = sent.is_some_and(|sent| sent >= *at + RESET_FLUSH_DELAY);
            if processed {
                stopped.push(*ticket);
            }
            !processed
        });
        for ticket in stopped {
            inner.pending.remove(&ticket);
            inner.control.finish(now, ticket, CallResult::Stopped);
        }
        for ticket in inner.calls_on(id, |phase| matches!(phase, Phase::Waiting(_))) {
            self.send(&mut inner, now, ticket);
        }
        self.process_queue(&mut inner, now);
    }

    /// Handles the announcement of the leaf that it closes a connection.
    pub(super) fn on_draining(&self, id: u64) {
        let mut inner = self.lock();
        if let Some(conn) = inner.conns.iter_mut().find(|conn| conn.id == id) {
            conn.draining = true;
        }
    }

    pub(super) fn on_closed(self: &Arc<Self>, id: u64, graceful: Graceful) {
        let now = self.ports.now();
        let mut inner = self.lock();
        let Some(conn) = inner.conns.iter_mut().find(|conn| conn.id == id) else {
            return;
        };
        conn.draining = true;
        conn.closed = Some(graceful);
        if !conn.silent {
            inner.control.record_disconnect(now);
        }
        let waiting = inner.calls_on(id, |phase| matches!(phase, Phase::Waiting(_)));
        for ticket in waiting {
            self.requeue(&mut inner, now, ticket);
        }
        self.remove_closed(&mut inner, now, id);
        self.process_queue(&mut inner, now);
    }

    pub(super) fn on_call_end(self: &Arc<Self>, ticket: TicketId, end: CallEnd) {
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
        match end {
            CallEnd::ConnectionFailed => {
                inner.control.record_disconnect(now);
                self.abandon(&mut inner, now, ticket, Failure::Reset);
                self.remove_closed(&mut inner, now, conn);
            }
            CallEnd::MustReset(failure) => self.cancel_sent(&mut inner, now, ticket, failure),
            CallEnd::Done(result, outcome) => {
                if let Some(conn) = inner.conns.iter_mut().find(|c| c.id == conn) {
                    conn.calls -= 1;
                }
                inner.control.finish(now, ticket, result);
                let status = inner.control.status();
                if let Some(pending) = inner.pending.remove(&ticket) {
                    if pending.alone && matches!(result, CallResult::Answered { .. }) {
                        self.ports.record_safe_run(pending.batch.fingerprint);
                    }
                    pending.batch.reply(pending.index, outcome, status);
                }
                self.remove_closed(&mut inner, now, conn);
            }
        }
        self.process_queue(&mut inner, now);
    }

    // Internal methods, which run with the lock held.

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends or rejects all queued calls for which that is possible now, and opens another connection if the only
    /// usable one carries at least two calls.
    fn process_queue(self: &Arc<Self>, inner: &mut Inner, now: Time) {
        loop {
            let lease_end = self.ports.lease_end(&self.partition);
            if select_connection(inner, now, None).is_none() {
                if let Some((ticket, reason)) = inner.control.next_rejection(now, lease_end) {
                    self.reject(inner, ticket.id, reason);
                    continue;
                }
                if inner.control.queued() > 0 {
                    self.connect_or_reject(inner, now);
                }
                if let Some(due) = inner.control.next_due() {
                    self.schedule_tick(inner, due);
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
                LeafAction::Reject { ticket, reason } => self.reject(inner, ticket.id, reason),
                LeafAction::Idle { next_due } => {
                    if let Some(next_due) = next_due {
                        self.schedule_tick(inner, next_due);
                    }
                    break;
                }
            }
        }
        let usable = inner.conns.iter().filter(|conn| conn.is_usable());
        let loaded = usable.clone().all(|conn| conn.calls >= 2);
        if usable.count() == 1 && loaded && inner.retry_at <= now {
            self.connect(inner);
        }
    }

    fn connect_or_reject(self: &Arc<Self>, inner: &mut Inner, now: Time) {
        let usable = inner.conns.iter().any(Conn::is_usable);
        if !usable && inner.opening.is_empty() {
            if now < inner.retry_at {
                for ticket in inner.control.take_queue() {
                    self.reject(inner, ticket.id, NotRun::Unreachable);
                }
            } else {
                self.connect(inner);
            }
        }
    }

    fn connect(self: &Arc<Self>, inner: &mut Inner) {
        let usable = inner.conns.iter().filter(|conn| conn.is_usable()).count();
        let all = inner.conns.len() + inner.opening.len();
        if inner.removed
            || usable + inner.opening.len() >= MAX_CONNECTIONS
            || all >= MAX_TOTAL_CONNECTIONS
        {
            return;
        }
        let id = inner.next_conn;
        inner.next_conn += 1;
        let task = tokio::spawn(serve(self.clone(), id));
        inner.opening.push((id, task.abort_handle()));
    }

    /// Sends a dispatched call, or keeps it until a pong shows that the connection works.
    fn send(self: &Arc<Self>, inner: &mut Inner, now: Time, ticket: TicketId) {
        let Some(pending) = inner.pending.get(&ticket) else {
            return;
        };
        let (once, deadline) = (pending.call.once, pending.deadline);
        let waiting = matches!(pending.phase, Phase::Waiting(_));
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
        // A call that waited for a pong was dispatched some time ago, so the lease is checked again.
        if waiting
            && self
                .ports
                .lease_end(&self.partition)
                .is_none_or(|end| end < deadline)
        {
            let holder = None;
            return self.reject_unsent(inner, now, ticket, NotRun::NotOwner { holder });
        }
        let remaining_ms = deadline.since(now).as_millis() as u64;
        if remaining_ms == 0 {
            return self.reject_unsent(inner, now, ticket, NotRun::TooLate);
        }
        let max_contact_age = once.then_some(self.settings.max_contact_age);
        let Some(index) = select_connection(inner, now, max_contact_age) else {
            return self.await_pong(inner, now, ticket);
        };
        let conn = &mut inner.conns[index];
        let Some(pending) = inner.pending.get_mut(&ticket) else {
            return;
        };
        let head = pending.batch.template.head(&self.uri, remaining_ms);
        let body = pending.batch.template.body(&pending.call);
        let expected = Expected {
            snapshot: pending.call.snapshot,
            shard: pending.call.shard,
            max_bytes: self.settings.max_answer_bytes,
        };
        let (response, mut stream) = match conn.send.clone().send_request(head, false) {
            Ok(sent) => sent,
            Err(error) => {
                // Nothing was handed over, so the call can be sent on another or a new connection.
                log::debug!(leaf = self.id.as_str(); "connection accepts no call: {error}");
                conn.draining = true;
                if select_connection(inner, now, max_contact_age).is_some() {
                    return self.send(inner, now, ticket);
                }
                return self.requeue(inner, now, ticket);
            }
        };
        // The connection may break in between; its supervisor then reports the call.
        if let Err(error) = stream.send_data(body, true) {
            log::debug!(leaf = self.id.as_str(); "failed to send the request body: {error}");
            conn.draining = true;
        }
        conn.start_waiting(now);
        conn.calls += 1;
        pending.sent = true;
        pending.phase = Phase::Sent(conn.id, stream);
        let due = deadline.min(now + self.ping_delay(inner));
        self.schedule_tick(inner, due);
        let leaf = self.clone();
        tokio::spawn(async move {
            let end = receive(response, expected).await;
            leaf.on_call_end(ticket, end);
        });
    }

    /// Puts an unsent call back into the queue.
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
            self.reject(inner, id, reason);
        }
    }

    /// Makes an at-most-once call wait for a pong.
    fn await_pong(&self, inner: &mut Inner, now: Time, ticket: TicketId) {
        let Some(index) = select_connection(inner, now, None) else {
            return self.reject_unsent(inner, now, ticket, NotRun::Unreachable);
        };
        let conn = &mut inner.conns[index];
        conn.ping(now);
        let id = conn.id;
        if let Some(pending) = inner.pending.get_mut(&ticket) {
            pending.phase = Phase::Waiting(id);
            let due = pending.deadline.min(now + self.ping_delay(inner));
            self.schedule_tick(inner, due);
        }
    }

    fn reject(&self, inner: &mut Inner, ticket: TicketId, reason: NotRun) {
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

    fn reject_unsent(&self, inner: &mut Inner, now: Time, ticket: TicketId, reason: NotRun) {
        inner.control.finish(now, ticket, CallResult::NotSent);
        self.reject(inner, ticket, reason);
    }

    /// Cancels a call that was sent and replies; the call counts as in flight until the leaf has processed the reset.
    fn cancel_sent(&self, inner: &mut Inner, now: Time, ticket: TicketId, failure: Failure) {
        inner.control.cancel(now, ticket);
        let Some(id) = Self::reset_stream(inner, ticket, failure) else {
            return;
        };
        if let Some(conn) = inner.conns.iter_mut().find(|conn| conn.id == id) {
            conn.resets.push((ticket, now));
            self.schedule_tick(inner, now + RESET_FLUSH_DELAY);
            self.remove_closed(inner, now, id);
        }
    }

    /// Abandons a call whose connection broke or went silent.
    fn abandon(&self, inner: &mut Inner, now: Time, ticket: TicketId, failure: Failure) {
        inner.control.finish(now, ticket, CallResult::Lost);
        Self::reset_stream(inner, ticket, failure);
    }

    /// Resets the stream of a call that was sent, replies, and returns its connection.
    fn reset_stream(inner: &mut Inner, ticket: TicketId, failure: Failure) -> Option<u64> {
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

    /// Removes a closed connection once all its calls have ended, and reports the queries that were in flight.
    ///
    /// Calls whose answer arrived before the connection closed are not reported, nor are those past their deadline:
    /// the leaf had stopped them, so they cannot be the cause.
    fn remove_closed(&self, inner: &mut Inner, now: Time, id: u64) {
        let is_closed = |conn: &Conn| conn.id == id && conn.closed.is_some() && conn.calls == 0;
        let Some(index) = inner.conns.iter().position(is_closed) else {
            return;
        };
        let conn = inner.conns.swap_remove(index);
        if conn.silent || conn.closed == Some(true) {
            return;
        }
        let lost = |pending: &&Pending| pending.deadline > now && pending.conn() == Some(id);
        let lost: SmallVec<[&Pending; 8]> = inner.pending.values().filter(lost).collect();
        if lost.is_empty() {
            return;
        }
        let alone = inner.control.in_flight() == 1 && lost.iter().all(|call| call.alone);
        let fingerprints = lost.iter().map(|call| call.batch.fingerprint);
        let event = CrashEvent::new(CrashId(rand::random()), fingerprints, alone);
        let queries = event.fingerprints.len();
        log::warn!(leaf = self.id.as_str(), queries; "leaf reset a connection with calls in flight");
        self.ports.record_crash(event);
    }

    fn schedule_tick(&self, inner: &mut Inner, due: Time) {
        if due < inner.next_tick {
            inner.next_tick = due;
            if !inner.ticking {
                self.rescheduled.notify_one();
            }
        }
    }

    fn silence_timeout(&self, inner: &Inner) -> Duration {
        let median = Duration::from_micros(u64::from(inner.control.status().median));
        self.settings.min_silence_timeout.max(4 * median)
    }

    /// Returns the time without received bytes after which a ping is sent: early enough for its pong to arrive before
    /// the connection counts as silent.
    fn ping_delay(&self, inner: &Inner) -> Duration {
        self.silence_timeout(inner) * 2 / 5
    }

    /// Cancels overdue calls and checks the connections. Returns the time of the next tick, `None` once the leaf is
    /// removed.
    fn tick(self: &Arc<Self>) -> Option<Time> {
        let now = self.ports.now();
        let mut inner = self.lock();
        let inner = &mut *inner;
        if inner.removed {
            return None;
        }
        let paused = now > inner.next_tick + PAUSE_THRESHOLD;
        inner.next_tick = now + MAX_TICK_INTERVAL;
        inner.ticking = true;
        self.cancel_overdue(inner, now);
        self.check_connections(inner, now, paused);
        self.process_queue(inner, now);
        inner.ticking = false;
        let idle = inner.pending.is_empty() && inner.control.in_flight() == 0;
        if inner.unlisted && idle {
            inner.close();
            return None;
        }
        if self.ports.lease_end(&self.partition).is_some() {
            inner.last_leased = now;
        } else if idle && now.since(inner.last_leased) > UNOWNED_RETENTION {
            inner.close();
            return None;
        }
        Some(inner.next_tick)
    }

    fn cancel_overdue(&self, inner: &mut Inner, now: Time) {
        let overdue: SmallVec<[TicketId; 8]> = inner
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in overdue {
            match inner.pending.get(&ticket).map(|pending| &pending.phase) {
                Some(Phase::Waiting(_)) => self.reject_unsent(inner, now, ticket, NotRun::TooLate),
                Some(Phase::Sent(..)) => self.cancel_sent(inner, now, ticket, Failure::Deadline),
                // `LeafControl` stops counting the call by itself.
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
            inner.next_tick = inner.next_tick.min(next);
        }
    }

    /// Pings connections with an outstanding answer and abandons those that stay silent.
    fn check_connections(self: &Arc<Self>, inner: &mut Inner, now: Time, paused: bool) {
        let silence_timeout = self.silence_timeout(inner);
        let ping_delay = self.ping_delay(inner);
        let mut silent = SmallVec::<[u64; 2]>::new();
        let open = |conn: &&mut Conn| !conn.silent && conn.closed.is_none();
        for conn in inner.conns.iter_mut().filter(open) {
            if paused {
                conn.waiting_since = now;
            }
            if let Some(&(_, at)) = conn.resets.first()
                && conn.ping_sent_at.is_none()
            {
                if now >= at + RESET_FLUSH_DELAY {
                    conn.ping(now);
                } else {
                    inner.next_tick = inner.next_tick.min(at + RESET_FLUSH_DELAY);
                }
            }
            if !conn.is_waiting() {
                continue;
            }
            let since = conn.waiting_since.max(conn.shared.last_read());
            if now >= since + silence_timeout {
                silent.push(conn.id);
                conn.silent = true;
                continue;
            }
            if now >= since + ping_delay {
                conn.ping(now);
                inner.next_tick = inner.next_tick.min(since + silence_timeout);
            } else {
                inner.next_tick = inner.next_tick.min(since + ping_delay);
            }
        }
        for id in silent {
            log::warn!(leaf = self.id.as_str(); "connection is silent, opening another one");
            metrics::counter!("cranberrychute_silent_connections_total").increment(1);
            for ticket in inner.calls_on(id, |phase| matches!(phase, Phase::Waiting(_))) {
                self.reject_unsent(inner, now, ticket, NotRun::Unreachable);
            }
            for ticket in inner.calls_on(id, |phase| matches!(phase, Phase::Sent(..))) {
                self.abandon(inner, now, ticket, Failure::Silent);
            }
            self.connect(inner);
        }
    }
}

impl Inner {
    /// Removes a connection from those being opened and returns its task, `None` if the leaf was removed.
    fn take_opening(&mut self, id: u64) -> Option<AbortHandle> {
        let index = self.opening.iter().position(|(conn, _)| *conn == id)?;
        Some(self.opening.swap_remove(index).1)
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
            Phase::Waiting(conn) | Phase::Sent(conn, _) | Phase::Stopping(conn) => Some(conn),
        }
    }
}

/// Returns the index of the usable connection with the fewest calls. With `max_contact_age`, bytes must have arrived
/// on it within that time.
fn select_connection(inner: &Inner, now: Time, max_contact_age: Option<Duration>) -> Option<usize> {
    inner
        .conns
        .iter()
        .enumerate()
        .filter(|(_, conn)| conn.is_usable() && conn.calls < conn.max_streams)
        .filter(|(_, conn)| {
            max_contact_age.is_none_or(|max_age| now.since(conn.shared.last_read()) <= max_age)
        })
        .min_by_key(|(_, conn)| conn.calls)
        .map(|(index, _)| index)
}

async fn supervise<P: Ports>(leaf: Arc<Leaf<P>>) {
    while let Some(due) = leaf.tick() {
        let delay = due.since(leaf.ports.now()).max(MIN_TICK_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = leaf.rescheduled.notified() => {}
        }
    }
}
