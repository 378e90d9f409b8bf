//! What the reply to a leaf call changes in the plan.

use std::mem;

use super::{CallId, Context, QueryAction, QueryPlan};
use crate::core::{
    ShardId, SnapshotId, Time,
    call::{Failure, Hit, NotRun},
    invariant::{Invariant, check},
    query::{
        CrashView, MissingReason,
        merge::merge,
        replica::in_service,
        shard::{After, Phase, Why},
    },
};

/// Redirects to another owner followed for one shard at most.
const MOST_REDIRECTS: u8 = 3;
/// Times a plan may become suspect before it stops calling leaves.
const MOST_SUSPICIONS: u8 = 2;

impl QueryPlan {
    #[expect(clippy::too_many_arguments, reason = "the fields of the outcome")]
    pub(super) fn on_hits<C: CrashView>(
        &mut self,
        now: Time,
        call: CallId,
        snapshot: SnapshotId,
        shard: ShardId,
        complete: bool,
        hits: Vec<Hit>,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let record = &self.calls[call.0 as usize];
        let (index, alone) = (record.index, record.alone);
        context.health.record_latency(now, now.since(record.sent));
        let state = &mut self.shards[index];
        state.may_run = true;
        if snapshot != self.snapshot || shard != state.shard {
            state.uncertain = true;
            state.lost |= snapshot != self.snapshot;
            state.reason = match state.lost {
                true => MissingReason::SnapshotLost,
                false => MissingReason::Failed(Failure::BadAnswer),
            };
            return;
        }
        if alone && self.suspect {
            self.suspect = false;
            self.cleared = Some(now);
        }
        self.accept(now, index, snapshot, shard, complete, hits, context, out);
        if self.canary.as_ref().is_some_and(|c| c.index == index) {
            self.canary = None;
            self.fan_out(now, context, out);
        }
    }

    /// Merges the answer of a leaf into its shard.
    #[expect(clippy::too_many_arguments, reason = "the fields of the outcome")]
    fn accept<C>(
        &mut self,
        now: Time,
        index: usize,
        snapshot: SnapshotId,
        shard: ShardId,
        complete: bool,
        mut hits: Vec<Hit>,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let top = usize::from(self.query.top);
        let state = &mut self.shards[index];
        let request = &self.query.request;
        let same = check(
            Invariant::OneSnapshot,
            snapshot == self.snapshot && shard == state.shard,
            || format!("{request}: hits of snapshot {snapshot} shard {shard}"),
        );
        let first = check(Invariant::TrueCoverage, state.is_pending(), || {
            format!("{request}: second answer for shard {shard}")
        });
        if !same || !first {
            return;
        }
        if hits.len() > top {
            hits = merge(hits, top);
        }
        state.ran = true;
        if !complete {
            state.reason = MissingReason::Truncated;
            if state.hits.len() < hits.len() {
                state.hits = hits;
            }
            return;
        }
        state.hits = hits;
        state.phase = Phase::Covered;
        self.pending -= 1;
        self.answered += 1;
        self.cancel(now, index, context, out);
    }

    pub(super) fn on_lost<C>(&mut self, call: CallId, context: &mut Context<'_, C>) {
        self.give_back(call, true, context);
        let record = &self.calls[call.0 as usize];
        let shard = &mut self.shards[record.index];
        shard.lost = true;
        shard.reason = MissingReason::SnapshotLost;
    }

    pub(super) fn on_not_run<C: CrashView>(
        &mut self,
        now: Time,
        call: CallId,
        reason: NotRun,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let record = &self.calls[call.0 as usize];
        let index = record.index;
        let after = After::of(&reason, record.owner.as_ref());
        let shard = &mut self.shards[index];
        if !shard.lost {
            shard.reason = MissingReason::NotRun(reason);
        }
        if let After::Redirect(holder) = &after {
            let info = context.map.leaves.get(&record.leaf);
            let stays = info.is_some_and(|info| in_service(info, context.domains));
            let only = shard.in_flight.is_empty() && shard.redirects < MOST_REDIRECTS;
            let fit = !self.stopped && now < self.deadline && (record.alone || !self.suspect);
            if stays && only && fit {
                shard.redirects += 1;
                let (leaf, domain) = (record.leaf.clone(), record.domain.clone());
                let (why, alone) = (record.why, record.alone);
                let owner = Some(holder.clone());
                return self.send(now, index, leaf, domain, owner, why, alone, context, out);
            }
        }
        shard.shed |= after == After::Paid;
        self.give_back(call, after != After::Paid, context);
        if after == After::Stop {
            return self.stop();
        }
        // A refused hedge may go to another replica while an earlier copy is still in flight.
        let earlier = self.shards[index].in_flight.first().copied();
        if let Some(earlier) = earlier.filter(|_| self.hedge_delays.is_some()) {
            self.hedge_later(now, earlier);
        }
    }

    pub(super) fn on_failed<C>(
        &mut self,
        now: Time,
        call: CallId,
        failure: Failure,
        context: &mut Context<'_, C>,
    ) {
        let record = &self.calls[call.0 as usize];
        let (sent, alone) = (record.sent, record.alone);
        if record.slow {
            context.health.record_latency(now, now.since(sent));
        }
        let shard = &mut self.shards[record.index];
        shard.may_run = true;
        shard.uncertain = true;
        shard.reason = MissingReason::Failed(failure);
        // Calls sent before the query succeeded alone belong to the crash that it was cleared of.
        let cleared = self.cleared.is_some_and(|cleared| sent <= cleared);
        if failure != Failure::Reset || (cleared && !alone) {
            return;
        }
        self.suspicions += 1;
        if self.once || alone || self.suspicions > MOST_SUSPICIONS {
            self.stop();
        } else {
            self.suspect = true;
        }
    }

    /// Undoes the counts of a call that did not run; `refund` returns its token too.
    fn give_back<C>(&mut self, call: CallId, refund: bool, context: &mut Context<'_, C>) {
        let record = &self.calls[call.0 as usize];
        let (index, why) = (record.index, record.why);
        if why != Why::Normal {
            if refund {
                context.budget.refund();
            }
        } else if let Some(copy) = self.shards[index].in_flight.first() {
            // The first call did not run, so its copy is the only one and takes its place.
            let copy = &mut self.calls[copy.0 as usize];
            if mem::replace(&mut copy.why, Why::Normal) != Why::Normal {
                context.budget.refund();
            }
        }
        if let Some(canary) = self.canary.as_mut().filter(|c| c.index == index) {
            canary.tries = canary.tries.saturating_sub(1);
        }
    }

    /// Lets the shards go on that waited for the end of the call sent alone.
    pub(super) fn release<C: CrashView>(
        &mut self,
        now: Time,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let round = self.rounds;
        for index in mem::take(&mut self.held) {
            if self.rounds == round && self.is_idle(index) {
                self.advance(now, index, context, out);
            }
        }
    }

    /// Sends nothing more; calls in flight may still answer.
    pub(super) fn stop(&mut self) {
        self.stopped = true;
        self.held.clear();
        for index in 0..self.shards.len() {
            if self.is_idle(index) {
                self.close(index);
            }
        }
    }

    /// Gives up a shard; without a canary request that succeeded, the whole fan-out.
    pub(super) fn close(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        if !shard.is_pending() {
            return;
        }
        shard.phase = Phase::Closed;
        self.pending -= 1;
        if self.stopped && shard.sends == 0 {
            shard.reason = MissingReason::NotRun(NotRun::Quarantined);
        }
        if self.canary.as_ref().is_some_and(|c| c.index == index) {
            for shard in &mut self.shards {
                if shard.phase == Phase::Waiting {
                    shard.phase = Phase::Closed;
                    shard.reason = match shard.sends {
                        0 => MissingReason::Canary,
                        _ => shard.reason.clone(),
                    };
                    self.pending -= 1;
                }
            }
        }
    }
}
