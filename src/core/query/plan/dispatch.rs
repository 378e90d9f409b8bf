//! Selection of replicas, and sending, hedging and retrying of leaf calls.

use std::{cmp::Reverse, time::Duration};

use smallvec::SmallVec;

use super::{CallId, Canary, Context, MAX_CANARY_TRIES, QueryAction, QueryPlan, Timer};
use crate::core::{
    Domain, LeafId, NodeId, Time,
    call::LeafCall,
    invariant::{Invariant, check},
    query::{
        CrashView, MissingReason, Verdict,
        replica::{Selection, candidates, replicas, select},
        shard::{Call, CallKind, Phase, ShardState},
    },
};

/// Maximum number of copies of a leaf call in flight, including the first one. With 500 leaf calls per query and
/// 1% stragglers, 5% of the queries have a shard whose first two copies are both slow.
const MAX_COPIES: usize = 3;
/// Relative extension of the hedge delay with an empty budget; a full budget adds none.
///
/// Without it the tokens are spent on calls that are only slightly slow, and none are left for stragglers. Raising
/// the quantile instead of the delay was worse: at a quantile of 99% and 1% stragglers the delay became the latency
/// of the stragglers.
const MAX_DELAY_STRETCH: f64 = 1.5;
/// Share of replies reporting a queue above which no call is hedged.
const MAX_QUEUED_SHARE: f64 = 0.25;
/// Minimum time until a hedge that was not sent is considered again.
const MIN_HEDGE_CHECK_DELAY: Duration = Duration::from_millis(2);
/// Delay before the first retry of a shard without a suitable replica, for example because all of them rejected the
/// call, or without a token in the budget; doubles with each retry.
const BASE_BACKOFF: Duration = Duration::from_millis(25);
/// Maximum number of doublings of [`BASE_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Maximum number of calls per shard, not counting redirects; only hedges may exceed it.
const MAX_SENDS: u8 = 12;
/// Maximum number of shards on which a canary request is tried while no call has run.
const MAX_CANARY_SHARDS: usize = 8;

impl QueryPlan {
    /// Returns the times after which the first call of a shard and a later copy count as slow.
    ///
    /// The first time is extended as the budget empties, so that the hedge rate converges to the rate at which tokens
    /// are earned. Later copies are too few to need this and use the policy's quantile.
    pub(super) fn hedge_delays<C>(
        &self,
        now: Time,
        context: &Context<'_, C>,
    ) -> Option<[Duration; 2]> {
        let hedge = &self.policy.hedge;
        if self.at_most_once || hedge.percent <= 0.0 {
            return None;
        }
        let delay = context.health.latency_quantile(now, hedge.quantile)?;
        let stretch = 1.0 + MAX_DELAY_STRETCH * (1.0 - context.budget.fill_ratio());
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
        let normal = normal.saturating_sub(self.repeats_left);
        context.budget.earn(normal, self.policy.hedge.percent);
        let round = self.rounds;
        for index in 0..self.shards.len() {
            // A shard whose snapshot was lost while it had the canary request may restart the whole query.
            if self.rounds != round {
                return;
            }
            if waiting(&self.shards[index]) {
                self.shards[index].phase = Phase::Open;
                self.advance(now, index, context, out);
            }
        }
    }

    /// Sends the next call of an open shard without a call in flight, or defers, schedules or closes the shard.
    pub(super) fn advance<C: CrashView>(
        &mut self,
        now: Time,
        index: usize,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        debug_assert!(self.is_idle(index), "only idle shards are advanced");
        let shard = &self.shards[index];
        if self.stopped || now >= self.deadline || (self.at_most_once && shard.may_have_run) {
            return self.close(index);
        }
        let used_up = |canary: &Canary| canary.index == index && canary.tries >= MAX_CANARY_TRIES;
        if shard.sends >= MAX_SENDS || self.canary.as_ref().is_some_and(used_up) {
            return self.close(index);
        }
        if self.suspect {
            if self.alone_call.is_some() {
                return self.deferred.push(index);
            }
            let query = &self.query;
            let verdict = context.crash.verdict(now, &query.service, &query.text);
            if verdict == Verdict::Quarantined {
                return self.stop();
            }
        }
        let paid = !self.at_most_once && (shard.may_have_run || shard.shed);
        let selection = match (paid, self.at_most_once) {
            (true, _) => Selection::Extra,
            (false, true) => Selection::PreferWarm,
            (false, false) => Selection::Normal,
        };
        let Some((leaf, domain)) = self.pick_replica(now, index, selection, context) else {
            return self.on_no_replica(now, index, context, out);
        };
        if paid && !context.budget.spend() {
            return self.retry_later(now, index);
        }
        let kind = if paid {
            CallKind::Retry
        } else {
            CallKind::Normal
        };
        self.send(
            now,
            index,
            leaf,
            domain,
            None,
            kind,
            self.suspect,
            context,
            out,
        );
    }

    /// Handles an open shard without a suitable replica: restarts the query, moves the canary request, retries later
    /// or closes the shard.
    fn on_no_replica<C: CrashView>(
        &mut self,
        now: Time,
        index: usize,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        if self.shards[index].snapshot_lost {
            if self.restart(now, context, out) {
                return;
            }
            if !self.may_restart(now) {
                return self.close(index);
            }
        }
        let shard = &self.shards[index];
        let untried = self.has_replica(now, index, &shard.tried, context);
        if !untried && !shard.may_have_run && self.move_canary(now, index, context, out) {
            return;
        }
        if !untried {
            let no_replica = !self.has_replica(now, index, &[], context);
            let shard = &mut self.shards[index];
            if no_replica && shard.sends == 0 {
                shard.reason = MissingReason::NoReplica;
            }
            if no_replica || self.at_most_once || shard.reason == MissingReason::Truncated {
                return self.close(index);
            }
            shard.tried.clear();
        }
        self.retry_later(now, index);
    }

    /// Moves the canary request to the next shard when no replica of this one ran the query, unless all shards or
    /// [`MAX_CANARY_SHARDS`] have been tried. Returns whether it was moved.
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
            Some(canary)
                if canary.index == index && canary.shards < count.min(MAX_CANARY_SHARDS) =>
            {
                canary.index = next;
                canary.shards += 1;
            }
            _ => return false,
        }
        let shard = &mut self.shards[index];
        shard.phase = Phase::Waiting;
        if !self.at_most_once {
            shard.tried.clear();
        }
        self.shards[next].phase = Phase::Open;
        self.advance(now, next, context, out);
        true
    }

    fn retry_later(&mut self, now: Time, index: usize) {
        let shard = &mut self.shards[index];
        let delay = BASE_BACKOFF * 2_u32.pow(u32::from(shard.backoffs).min(MAX_BACKOFF_DOUBLINGS));
        shard.backoffs = shard.backoffs.saturating_add(1);
        let at = now + delay;
        if at < self.deadline {
            self.timers.push(Reverse((at, Timer::Retry(index))));
        } else {
            self.close(index);
        }
    }

    fn pick_replica<C>(
        &self,
        now: Time,
        index: usize,
        selection: Selection,
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
        let used_domains: SmallVec<[Domain; 3]> = shard
            .in_flight
            .iter()
            .map(|call| self.calls[call.0 as usize].domain.clone())
            .collect();
        let domain_calls = |domain: &Domain| {
            let found = self.domain_calls.iter().find(|(known, _)| known == domain);
            found.map_or(0, |(_, calls)| *calls)
        };
        let chosen = select(found, selection, &used_domains, domain_calls, context.rng)?;
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
        kind: CallKind,
        alone: bool,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let info = context.map.leaves.get(&leaf);
        let shard = &mut self.shards[index];
        let request = &self.query.request;
        let first = !self.at_most_once || (!shard.may_have_run && shard.in_flight.is_empty());
        let not_leaving = info.is_some_and(|info| !info.leaving);
        let allowed = check(Invariant::AtMostOnce, first, || {
            format!("{request}: second call for shard {}", shard.shard)
        }) && check(Invariant::LeafLeaving, not_leaving, || {
            format!("{request}: call to leaving leaf {leaf}")
        }) && check(
            Invariant::DomainOut,
            !context.domains.out.contains(&domain),
            || format!("{request}: call to leaf {leaf} in {domain}, which is out of service"),
        );
        if !allowed {
            return self.close(index);
        }
        let call = CallId(self.calls.len() as u32);
        let is_repeat = self.repeats_left > 0 && shard.sends == 0;
        if is_repeat {
            self.repeats_left -= 1;
        }
        let extra = kind != CallKind::Normal || is_repeat;
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
            self.alone_call = Some(call);
        }
        context.health.record_send(&leaf);
        match self
            .domain_calls
            .iter_mut()
            .find(|(known, _)| *known == domain)
        {
            Some((_, calls)) => *calls += 1,
            None => self.domain_calls.push((domain.clone(), 1)),
        }
        if let Some([first, later]) = self.hedge_delays {
            let delay = if kind == CallKind::Hedge {
                later
            } else {
                first
            };
            self.timers.push(Reverse((now + delay, Timer::Hedge(call))));
        }
        out.push(QueryAction::Send {
            call,
            leaf_call: LeafCall {
                leaf: leaf.clone(),
                snapshot: self.snapshot,
                shard: shard.shard,
                once: self.at_most_once,
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
            kind,
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
        if self.shards[index].in_flight.len() >= MAX_COPIES
            || self.stopped
            || canary.is_some_and(|canary| canary.tries >= MAX_CANARY_TRIES)
        {
            return;
        }
        // The second canary request runs alone on its leaf: if both leaves crash, the crash ledger can attribute the
        // crashes to the query.
        let alone = canary.is_some();
        let busy = queued || context.health.queued_share(now) > MAX_QUEUED_SHARE;
        if !busy && !self.suspect && self.alone_call.is_none() {
            let target = self.pick_replica(now, index, Selection::Extra, context);
            if let Some((leaf, domain)) = target
                && context.budget.spend()
            {
                return self.send(
                    now,
                    index,
                    leaf,
                    domain,
                    None,
                    CallKind::Hedge,
                    alone,
                    context,
                    out,
                );
            }
        }
        self.schedule_hedge_check(now, call);
    }

    /// Schedules the next check for a hedge after another quarter of the time the call has taken so far, but at least
    /// [`MIN_HEDGE_CHECK_DELAY`].
    pub(super) fn schedule_hedge_check(&mut self, now: Time, call: CallId) {
        let elapsed = now.since(self.calls[call.0 as usize].sent);
        let next = now + MIN_HEDGE_CHECK_DELAY.max(elapsed / 4);
        self.timers.push(Reverse((next, Timer::Hedge(call))));
    }
}
