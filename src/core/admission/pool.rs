use std::time::Duration;

use rand::Rng;
use smallvec::SmallVec;

use crate::core::{
    Time,
    admission::{
        Claim, Decision, Ending, Flow, Load,
        flows::{Flows, Turn},
        limiter::{InFlight, Limiter},
    },
    crash::Fingerprint,
};

/// Share of the time until the objective for which a query may wait. Callers rejected within it can still be served
/// elsewhere or later.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Share of the admitted capacity that goes to flows which received no more than the mean, whatever their priority. Each of
/// `n` such flows that keeps sending thus gets at least `1 / n` of a tenth.
const RESERVED_SHARE: f64 = 0.1;
/// Maximum reserve that is kept while no such flow asks, in queries of the largest size.
const MAX_RESERVE_QUERIES: f64 = 4.0;
/// Share of the limit, at least one query, that is kept free for the most urgent of the priorities that send, so that they
/// do not wait for a query to end.
const URGENT_SHARE: f64 = 0.1;
/// Time for which a priority counts as sending.
const PRIORITY_TTL: Duration = Duration::from_secs(1);
/// Shortest retry time. A smaller one would bring a caller back before the measured rate is updated.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// Longest retry time. Rates measured during an overload do not hold for longer.
const MAX_RETRY: Duration = Duration::from_secs(5);
/// Maximum random extension of a retry time, as a share of it.
const RETRY_JITTER: f64 = 0.5;
/// Weight of a query in the mean run time.
const RUN_WEIGHT: f64 = 0.1;
/// Run time that is assumed before any was measured, as a share of the time until the objective.
const INITIAL_RUN_SHARE: f64 = 0.25;
/// Maximum number of queries that wait. It bounds memory while no rate is known.
const MAX_QUEUED: usize = 512;
/// Interval at which waiting queries are examined again while nothing ends.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug)]
struct Running {
    id: u64,
    cost: u32,
    priority: u32,
    admitted_at: Time,
    objective_at: Time,
}

#[derive(Clone, Debug)]
struct Waiting {
    id: u64,
    cost: u32,
    priority: u32,
    flow: Flow,
    content: Fingerprint,
    turn: Turn,
    objective_at: Time,
    deadline: Time,
    /// When the query is rejected if it is still waiting.
    reject_at: Time,
}

/// The queries to services that occur in queries together. The cost of a query is its number of parts.
#[derive(Debug, Default)]
pub(super) struct Pool {
    running: Vec<Running>,
    queue: Vec<Waiting>,
    limiter: Limiter,
    flows: Flows,
    /// Capacity reserved for flows that received little.
    reserve: f64,
    /// Cost of rejected queries that were told to return, by priority, the most urgent first.
    told: SmallVec<[(u32, f64); 4]>,
    /// When the queue was last examined.
    settled_at: Time,
    /// Priorities that send, and when they last did.
    priorities: SmallVec<[(u32, Time); 4]>,
    /// Mean run time of whole answers within the objective, by cost.
    run_times: SmallVec<[(u32, Duration); 4]>,
    /// While the limit is below one query: when the next one may start.
    paced_until: Time,
    /// Decisions that [`Admission`](super::Admission) has not taken yet.
    pub(super) decided: Vec<(u64, Decision)>,
}

impl Pool {
    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn request(
        &mut self,
        now: Time,
        id: u64,
        claim: &Claim<'_>,
        rng: &mut impl Rng,
    ) -> Decision {
        let cost = claim.target.len() as u32;
        self.limiter.unit = self.limiter.unit.max(f64::from(cost));
        if self.limiter.expire(now) {
            self.reset();
        }
        let objective_at = claim.objective_at.min(claim.deadline);
        if self.limiter.limit().is_none() {
            self.start(now, id, cost, claim.priority, objective_at);
            return Decision::Admitted;
        }
        let flow = self.flows.key(&claim.flow);
        self.record_priority(now, claim.priority);
        let turn = self.flows.record_query(now, &flow, claim.content);
        self.queue.push(Waiting {
            id,
            cost,
            priority: claim.priority,
            flow,
            content: claim.content,
            turn,
            objective_at,
            deadline: claim.deadline,
            reject_at: now + objective_at.since(now).mul_f64(MAX_WAIT_SHARE),
        });
        self.settle(now, rng);
        match self.decided.iter().position(|(other, _)| *other == id) {
            Some(index) => self.decided.swap_remove(index).1,
            None => {
                self.limiter.record_queued(now);
                Decision::Queued
            }
        }
    }

    pub(super) fn release(&mut self, now: Time, id: u64, ending: Ending) {
        let Some(index) = self.running.iter().position(|query| query.id == id) else {
            return;
        };
        let query = self.running.swap_remove(index);
        let run = now.since(query.admitted_at);
        if ending.in_time {
            match self
                .run_times
                .iter_mut()
                .find(|(cost, _)| *cost == query.cost)
            {
                Some((_, mean)) => {
                    *mean = mean.mul_f64(1.0 - RUN_WEIGHT) + run.mul_f64(RUN_WEIGHT);
                }
                None => self.run_times.push((query.cost, run)),
            }
        }
        if let Some(limit) = self.limiter.limit() {
            let pause = run.mul_f64((f64::from(query.cost) / limit - 1.0).max(0.0));
            self.paced_until = now + pause;
        }
        let running = &self.running;
        let in_flight = || {
            let current = running.iter().filter(|query| query.objective_at > now);
            let sums = current.fold((0.0, 0.0, Duration::ZERO), |(count, parts, sum), query| {
                let objective = query.objective_at.since(query.admitted_at);
                (count + 1.0, parts + f64::from(query.cost), sum + objective)
            });
            InFlight {
                parts: sums.1,
                objective: sums.2.div_f64(f64::max(sums.0, 1.0)),
            }
        };
        self.limiter
            .record_end(now, query.admitted_at, query.priority, ending, in_flight);
    }

    /// Removes a query that waits. Returns whether it was there.
    pub(super) fn cancel(&mut self, id: u64) -> bool {
        self.decided.retain(|(other, _)| *other != id);
        let before = self.queue.len();
        self.queue.retain(|query| query.id != id);
        before != self.queue.len()
    }

    /// Admits the queries that have capacity and rejects those that will not get it in time.
    pub(super) fn settle(&mut self, now: Time, rng: &mut impl Rng) {
        if self.queue.is_empty() {
            return;
        }
        self.drain_told(now);
        while let Some((index, reserved)) = self.next(now) {
            let Waiting { cost, priority, .. } = self.queue[index];
            let is_urgent = reserved || priority == self.most_urgent(now);
            if !self.has_room(now, cost, is_urgent) {
                break;
            }
            let query = self.queue.swap_remove(index);
            let cost = f64::from(query.cost);
            let most = self.limiter.unit * MAX_RESERVE_QUERIES;
            self.reserve = (self.reserve + cost * RESERVED_SHARE).min(most);
            if reserved {
                self.reserve -= cost;
            }
            self.flows.record_admitted(now, &query.flow, cost);
            self.start(
                now,
                query.id,
                query.cost,
                query.priority,
                query.objective_at,
            );
            self.decided.push((query.id, Decision::Admitted));
        }
        self.reject_hopeless(now, rng);
        if !self.queue.is_empty() {
            self.limiter.record_queued(now);
        }
    }

    pub(super) fn next_poll(&self) -> Option<Time> {
        let ends = self.queue.iter().map(|query| query.reject_at);
        let expiry = self.running.iter().map(|query| query.objective_at);
        let first = ends.min()?;
        // Queries past their objective free their capacity without an event.
        let earliest = self.settled_at + POLL_INTERVAL;
        let due = first.min(expiry.min().unwrap_or(first));
        // The first query in line may wait beyond the time of its rejection, which must not make its task poll without pause.
        Some(due.max(earliest))
    }

    /// Returns the state of the pool if its limit was switched on or off or decreased since the last call.
    pub(super) fn take_change(&mut self) -> Option<Load> {
        std::mem::take(&mut self.limiter.is_changed).then(|| self.load())
    }

    pub(super) fn is_limited(&self) -> bool {
        self.limiter.limit().is_some()
    }

    pub(super) fn load(&self) -> Load {
        Load {
            limit: self.limiter.limit(),
            in_flight: self.running.iter().map(|query| query.cost).sum(),
            queued: self.queue.len(),
            rate: self.limiter.rate(),
        }
    }

    /// Takes over the queries of another pool whose services occur in queries with those of this one.
    pub(super) fn absorb(&mut self, other: Self) {
        self.running.extend(other.running);
        self.queue.extend(other.queue);
        self.decided.extend(other.decided);
        self.limiter.absorb(&other.limiter);
    }

    fn reset(&mut self) {
        self.flows.clear();
        self.reserve = 0.0;
        self.priorities.clear();
        self.told.clear();
        self.paced_until = Time::default();
    }

    fn start(&mut self, now: Time, id: u64, cost: u32, priority: u32, objective_at: Time) {
        self.running.push(Running {
            id,
            cost,
            priority,
            admitted_at: now,
            objective_at,
        });
    }

    /// Returns the cost of the queries in flight that can still meet their objective. The dispatch of later ones gives way
    /// to those.
    fn in_flight(&self, now: Time) -> f64 {
        let current = self.running.iter().filter(|query| query.objective_at > now);
        current.map(|query| f64::from(query.cost)).sum()
    }

    fn has_room(&self, now: Time, cost: u32, is_urgent: bool) -> bool {
        let Some(limit) = self.limiter.limit() else {
            return true;
        };
        let in_flight = self.in_flight(now);
        if in_flight == 0.0 {
            return now >= self.paced_until;
        }
        let kept = match is_urgent {
            true => 0.0,
            false => (limit * URGENT_SHARE).max(self.limiter.unit),
        };
        in_flight + f64::from(cost) <= limit - kept
    }

    fn record_priority(&mut self, now: Time, priority: u32) {
        self.priorities
            .retain(|(other, seen)| *other != priority && now.since(*seen) < PRIORITY_TTL);
        self.priorities.push((priority, now));
    }

    /// Returns the most urgent of the priorities that send.
    fn most_urgent(&self, now: Time) -> u32 {
        let sending = self
            .priorities
            .iter()
            .filter(|(_, seen)| now.since(*seen) < PRIORITY_TTL);
        sending.map(|(priority, _)| *priority).min().unwrap_or(0)
    }

    /// Returns the query that gets the next capacity, and whether it uses the reserve.
    fn next(&mut self, now: Time) -> Option<(usize, bool)> {
        let mut first: Option<(usize, Order)> = None;
        let mut reserved: Option<(usize, Time)> = None;
        for index in 0..self.queue.len() {
            let order = self.order(now, index);
            let query = &self.queue[index];
            if order.excess == 0
                && f64::from(query.cost) <= self.reserve
                && reserved.is_none_or(|(_, at)| query.objective_at < at)
            {
                reserved = Some((index, query.objective_at));
            }
            if first.is_none_or(|(_, best)| order < best) {
                first = Some((index, order));
            }
        }
        let (first, order) = first?;
        // The reserve is for those that priority would leave waiting.
        match reserved {
            Some((index, _)) if self.queue[index].priority > order.priority => Some((index, true)),
            _ => Some((first, false)),
        }
    }

    fn order(&mut self, now: Time, index: usize) -> Order {
        let query = &self.queue[index];
        Order {
            priority: query.priority,
            early: matches!(query.turn, Turn::Early(_)),
            excess: self.flows.excess(now, &query.flow),
            is_new: query.turn == Turn::New,
            objective_at: query.objective_at,
        }
    }

    /// Rejects queries that get no capacity within their waiting time at the measured rate, in the order of their turns.
    fn reject_hopeless(&mut self, now: Time, rng: &mut impl Rng) {
        if self.queue.is_empty() {
            return;
        }
        let mut order: SmallVec<[(Order, usize); 16]> = (0..self.queue.len())
            .map(|index| (self.order(now, index), index))
            .collect();
        order.sort_unstable();
        let rate = self.limiter.rate();
        let limit = self.limiter.limit().unwrap_or(f64::INFINITY);
        let mut ahead = (self.in_flight(now) - limit).max(0.0);
        let mut reserve = self.reserve;
        let mut rejected: SmallVec<[(usize, Duration); 8]> = SmallVec::new();
        for (place, (order, index)) in order.into_iter().enumerate() {
            let query = &self.queue[index];
            let cost = f64::from(query.cost);
            let wait = if rate > 0.0 {
                Duration::from_secs_f64(((ahead + cost) / rate).min(1e6))
            } else {
                Duration::ZERO
            };
            let run = self.run_time(now, query);
            let uses_reserve = order.excess == 0 && cost <= reserve;
            let is_hopeless = now >= query.reject_at
                || now + run > query.objective_at
                || place >= MAX_QUEUED
                || place > 0 && now + wait > query.reject_at && !uses_reserve;
            if is_hopeless {
                let retry_after = match query.turn {
                    // Repeats do not move the time that the caller was told.
                    Turn::Early(at) => at.since(now).max(MIN_RETRY),
                    Turn::New | Turn::Returned => self.retry_after(query.priority, ahead, rng),
                };
                rejected.push((index, retry_after));
                continue;
            }
            if now + wait > query.reject_at {
                reserve -= cost;
            }
            ahead += cost;
        }
        rejected.sort_unstable_by_key(|(index, _)| std::cmp::Reverse(*index));
        for (index, retry_after) in rejected {
            let query = self.queue.swap_remove(index);
            if !matches!(query.turn, Turn::Early(_)) {
                self.flows
                    .record_rejected(now, &query.flow, query.content, retry_after);
                // Callers that give up before do not return.
                if now + retry_after < query.deadline {
                    self.record_told(query.priority, query.cost);
                }
            }
            self.decided
                .push((query.id, Decision::Rejected(retry_after)));
        }
    }

    /// Returns the expected time from the admission of a query to its answer.
    fn run_time(&self, now: Time, query: &Waiting) -> Duration {
        let known = self.run_times.iter().find(|(cost, _)| *cost == query.cost);
        let left = query.objective_at.since(now);
        known.map_or(left.mul_f64(INITIAL_RUN_SHARE), |(_, mean)| *mean)
    }

    /// Returns when a rejected caller may return: when capacity was freed for the queries ahead of it and for the callers of
    /// the same or a more urgent priority that were told to return before.
    fn retry_after(&self, priority: u32, ahead: f64, rng: &mut impl Rng) -> Duration {
        let told = self.told.iter().filter(|(other, _)| *other <= priority);
        let cost: f64 = ahead + told.map(|(_, cost)| cost).sum::<f64>();
        let seconds = cost / self.limiter.rate().max(1e-3);
        let delay = Duration::from_secs_f64(seconds.min(MAX_RETRY.as_secs_f64()));
        delay
            .max(MIN_RETRY)
            .mul_f64(1.0 + rng.random_range(0.0..RETRY_JITTER))
    }

    fn record_told(&mut self, priority: u32, cost: u32) {
        let cost = f64::from(cost);
        match self.told.iter_mut().find(|(other, _)| *other == priority) {
            Some((_, told)) => *told += cost,
            None => {
                self.told.push((priority, cost));
                self.told.sort_unstable_by_key(|(priority, _)| *priority);
            }
        }
    }

    /// Removes what was freed since the last time from the cost that was told to return, the most urgent first.
    fn drain_told(&mut self, now: Time) {
        let mut freed = now.since(self.settled_at).as_secs_f64() * self.limiter.rate();
        let most = MAX_RETRY.as_secs_f64() * self.limiter.rate();
        self.settled_at = now;
        for (_, cost) in &mut self.told {
            let taken = freed.min(*cost);
            freed -= taken;
            *cost = (*cost - taken).min(most);
        }
        self.told.retain(|(_, cost)| *cost > 0.0);
    }
}

/// The turn of a query. Smaller ones come first.
///
/// The value of an answer does not distinguish queries in the queue, since those that would be late are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    priority: u32,
    early: bool,
    /// How far the flow's recent usage exceeds the mean.
    excess: u32,
    /// The query was not rejected before.
    is_new: bool,
    objective_at: Time,
}
