//! Which leaf calls are sent, to which replicas, and which are sent again.

use std::{cmp::Reverse, time::Duration};

use smallvec::SmallVec;

use super::{CANARY_TRIES, CallId, Canary, Context, QueryAction, QueryPlan, Timer};
use crate::core::{
    Domain, LeafId, NodeId, Time,
    call::LeafCall,
    invariant::{Invariant, check},
    query::{
        CrashView, MissingReason, Verdict,
        replica::{Purpose, candidates, choose, replicas},
        shard::{Call, Phase, ShardState, Why},
    },
};

/// Copies of one leaf call in flight at most, the first one included. At 500 leaf calls a query and 1%
/// stragglers, 5% of the queries meet a shard whose first two copies are both slow.
const MOST_COPIES: usize = 3;
/// Stretch of the hedge delay when the budget is empty; none when it is full.
///
/// Without it the tokens go to calls that are just slower than most, and none is left for the stragglers
/// behind them. Raising the quantile instead of the delay was worse: at a quantile of 99% and 1% stragglers
/// the delay became that of the stragglers themselves.
const STRETCH: f64 = 1.5;
/// Share of replies that report a queue above which nothing is hedged.
const BUSY_SHARE: f64 = 0.25;
/// Shortest time until a hedge that was denied is considered again.
const HEDGE_AGAIN: Duration = Duration::from_millis(2);
/// First pause before a shard whose replicas all refused is tried again; doubles each time.
const BACKOFF: Duration = Duration::from_millis(25);
/// Doublings of [`BACKOFF`] at most.
const MOST_DOUBLINGS: u32 = 3;
/// Calls sent for one shard at most, redirects apart.
const MOST_SENDS: u8 = 12;
/// Shards on which a canary request is tried while nothing runs.
const CANARY_SHARDS: usize = 8;

impl QueryPlan {
    /// Returns the time after which the first call of a shard counts as slow, and later copies of it.
    ///
    /// The first is stretched as the budget empties, so that hedges settle at what the budget earns. Later
    /// copies are so few that the policy's quantile fits.
    pub(super) fn hedge_delays<C>(
        &self,
        now: Time,
        context: &Context<'_, C>,
    ) -> Option<[Duration; 2]> {
        let hedge = &self.policy.hedge;
        if self.once || hedge.percent <= 0.0 {
            return None;
        }
        let delay = context.health.latency_quantile(now, hedge.quantile)?;
        let stretch = 1.0 + STRETCH * (1.0 - context.budget.fill_ratio());
        Some([delay.mul_f64(stretch), delay])
    }

    pub(super) fn fan_out<C: CrashView>(
        &mut self,
        now: Time,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let waiting = |shard: &ShardState| shard.phase == Phase::Waiting;
        let normal = self.shards.iter().filter(|s| waiting(s)).count() as u32;
        let normal = normal.saturating_sub(self.repeats);
        context.budget.earn(normal, self.policy.hedge.percent);
        let round = self.rounds;
        for index in 0..self.shards.len() {
            // A shard that was lost while it was the canary may restart the whole query.
            if self.rounds != round {
                return;
            }
            if waiting(&self.shards[index]) {
                self.shards[index].phase = Phase::Open;
                self.advance(now, index, context, out);
            }
        }
    }

    /// Sends the next call of an open shard that has none in flight, or schedules or closes the shard.
    pub(super) fn advance<C: CrashView>(
        &mut self,
        now: Time,
        index: usize,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        debug_assert!(self.is_idle(index), "only idle shards are advanced");
        let shard = &self.shards[index];
        if self.stopped || now >= self.deadline || (self.once && shard.may_run) {
            return self.close(index);
        }
        let spent = |canary: &Canary| canary.index == index && canary.tries >= CANARY_TRIES;
        if shard.sends >= MOST_SENDS || self.canary.as_ref().is_some_and(spent) {
            return self.close(index);
        }
        if self.suspect {
            if self.alone.is_some() {
                return self.held.push(index);
            }
            let query = &self.query;
            let verdict = context.crash.verdict(now, &query.service, &query.text);
            if verdict == Verdict::Quarantined {
                return self.stop();
            }
        }
        let paid = !self.once && (shard.may_run || shard.shed);
        let purpose = match (paid, self.once) {
            (true, _) => Purpose::Extra,
            (false, true) => Purpose::Careful,
            (false, false) => Purpose::Normal,
        };
        let Some((leaf, domain)) = self.pick(now, index, purpose, context) else {
            return self.exhausted(now, index, context, out);
        };
        if paid && !context.budget.spend() {
            return self.retry_later(now, index);
        }
        let why = if paid { Why::Retry } else { Why::Normal };
        self.send(
            now,
            index,
            leaf,
            domain,
            None,
            why,
            self.suspect,
            context,
            out,
        );
    }

    /// Decides about an open shard that has no replica to ask now.
    fn exhausted<C: CrashView>(
        &mut self,
        now: Time,
        index: usize,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        if self.shards[index].lost {
            if self.restart(now, context, out) {
                return;
            }
            if !self.may_restart(now) {
                return self.close(index);
            }
        }
        let shard = &self.shards[index];
        let untried = self.has_replica(now, index, &shard.tried, context);
        if !untried && !shard.may_run && self.move_canary(now, index, context, out) {
            return;
        }
        if !untried {
            let none = !self.has_replica(now, index, &[], context);
            let shard = &mut self.shards[index];
            if none && shard.sends == 0 {
                shard.reason = MissingReason::NoReplica;
            }
            if none || self.once || shard.reason == MissingReason::Truncated {
                return self.close(index);
            }
            shard.tried.clear();
        }
        self.retry_later(now, index);
    }

    /// Makes another shard the canary when no replica of this one ran the query.
    fn move_canary<C: CrashView>(
        &mut self,
        now: Time,
        index: usize,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) -> bool {
        let count = self.shards.len();
        let next = (index + 1) % count;
        match &mut self.canary {
            Some(canary) if canary.index == index && canary.shards < count.min(CANARY_SHARDS) => {
                canary.index = next;
                canary.shards += 1;
            }
            _ => return false,
        }
        let shard = &mut self.shards[index];
        shard.phase = Phase::Waiting;
        if !self.once {
            shard.tried.clear();
        }
        self.shards[next].phase = Phase::Open;
        self.advance(now, next, context, out);
        true
    }

    fn retry_later(&mut self, now: Time, index: usize) {
        let shard = &mut self.shards[index];
        let pause = BACKOFF * 2_u32.pow(u32::from(shard.pauses).min(MOST_DOUBLINGS));
        shard.pauses = shard.pauses.saturating_add(1);
        let at = now + pause;
        if at < self.deadline {
            self.timers.push(Reverse((at, Timer::Retry(index))));
        } else {
            self.close(index);
        }
    }

    fn pick<C>(
        &self,
        now: Time,
        index: usize,
        purpose: Purpose,
        context: &mut Context<'_, C>,
    ) -> Option<(LeafId, Domain)> {
        let shard = &self.shards[index];
        let replicas = replicas(&self.map, context.map, self.snapshot, index, shard.shard);
        let found = candidates(
            now,
            replicas,
            context.map,
            context.domains,
            context.health,
            &shard.tried,
        );
        let asked: SmallVec<[Domain; 3]> = shard
            .in_flight
            .iter()
            .map(|call| self.calls[call.0 as usize].domain.clone())
            .collect();
        let load = |domain: &Domain| {
            let found = self.load.iter().find(|(known, _)| known == domain);
            found.map_or(0, |(_, calls)| *calls)
        };
        let chosen = choose(found, purpose, &asked, load, context.rng)?;
        Some((chosen.leaf.clone(), chosen.info.domain.clone()))
    }

    fn has_replica<C>(
        &self,
        now: Time,
        index: usize,
        tried: &[LeafId],
        context: &Context<'_, C>,
    ) -> bool {
        let shard = self.shards[index].shard;
        let replicas = replicas(&self.map, context.map, self.snapshot, index, shard);
        let (map, domains) = (context.map, context.domains);
        !candidates(now, replicas, map, domains, context.health, tried).is_empty()
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one call site per cause of a call"
    )]
    pub(super) fn send<C>(
        &mut self,
        now: Time,
        index: usize,
        leaf: LeafId,
        domain: Domain,
        owner: Option<NodeId>,
        why: Why,
        alone: bool,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let info = context.map.leaves.get(&leaf);
        let shard = &mut self.shards[index];
        let request = &self.query.request;
        let first = !self.once || (!shard.may_run && shard.in_flight.is_empty());
        let stays = info.is_some_and(|info| !info.leaving);
        let allowed = check(Invariant::AtMostOnce, first, || {
            format!("{request}: second call for shard {}", shard.shard)
        }) && check(Invariant::LeafLeaving, stays, || {
            format!("{request}: call to leaving leaf {leaf}")
        }) && check(
            Invariant::DomainOut,
            !context.domains.out.contains(&domain),
            || format!("{request}: call to leaf {leaf} in {domain}, which is out"),
        );
        if !allowed {
            return self.close(index);
        }
        let call = CallId(self.calls.len() as u32);
        let repeats = self.repeats > 0 && shard.sends == 0;
        if repeats {
            self.repeats -= 1;
        }
        let extra = why != Why::Normal || repeats;
        shard.in_flight.push(call);
        if owner.is_none() {
            shard.tried.push(leaf.clone());
            shard.sends = shard.sends.saturating_add(1);
            shard.shed = false;
            if let Some(canary) = self.canary.as_mut().filter(|c| c.index == index) {
                canary.tries += 1;
            }
        }
        if alone {
            self.alone = Some(call);
        }
        context.health.record_send(&leaf);
        match self.load.iter_mut().find(|(known, _)| *known == domain) {
            Some((_, calls)) => *calls += 1,
            None => self.load.push((domain.clone(), 1)),
        }
        if let Some([first, later]) = self.hedge_delays {
            let delay = if why == Why::Hedge { later } else { first };
            self.timers.push(Reverse((now + delay, Timer::Hedge(call))));
        }
        out.push(QueryAction::Send {
            call,
            leaf_call: LeafCall {
                leaf: leaf.clone(),
                snapshot: self.snapshot,
                shard: shard.shard,
                once: self.once,
                alone,
                extra,
            },
            owner: owner.clone(),
        });
        self.calls.push(Call {
            index,
            leaf,
            domain,
            owner,
            sent: now,
            why,
            alone,
            in_flight: true,
            slow: false,
        });
    }

    pub(super) fn hedge<C: CrashView>(
        &mut self,
        now: Time,
        call: CallId,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let record = &mut self.calls[call.0 as usize];
        if !record.in_flight {
            return;
        }
        record.slow = true;
        let index = record.index;
        let queued = context
            .health
            .entry(now, &record.leaf)
            .is_some_and(|entry| entry.is_queued());
        let canary = self.canary.as_ref();
        let canary = canary.filter(|canary| canary.index == index);
        if self.shards[index].in_flight.len() >= MOST_COPIES
            || self.stopped
            || canary.is_some_and(|canary| canary.tries >= CANARY_TRIES)
        {
            return;
        }
        // A second canary runs alone on its leaf: if both crash, the ledger can tell the query from chance.
        let alone = canary.is_some();
        let busy = queued || context.health.queued_share(now) > BUSY_SHARE;
        if !busy && !self.suspect && self.alone.is_none() {
            let target = self.pick(now, index, Purpose::Extra, context);
            if let Some((leaf, domain)) = target
                && context.budget.spend()
            {
                return self.send(
                    now,
                    index,
                    leaf,
                    domain,
                    None,
                    Why::Hedge,
                    alone,
                    context,
                    out,
                );
            }
        }
        self.hedge_later(now, call);
    }

    /// Considers a hedge again when the call has taken a quarter as long again as it has now.
    pub(super) fn hedge_later(&mut self, now: Time, call: CallId) {
        let elapsed = now.since(self.calls[call.0 as usize].sent);
        let again = now + HEDGE_AGAIN.max(elapsed / 4);
        self.timers.push(Reverse((again, Timer::Hedge(call))));
    }
}
