//! Processing of replies to leaf calls.

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
        shard::{CallKind, NotRunAction, Phase},
    },
};

/// Maximum number of redirects to another owner per shard.
const MAX_REDIRECTS: u8 = 3;
/// Number of times a plan may become suspect before it stops calling leaves.
const MAX_SUSPICIONS: u8 = 2;

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
        state.may_have_run = true;
        if snapshot != self.snapshot || shard != state.shard {
            state.uncertain = true;
            state.snapshot_lost |= snapshot != self.snapshot;
            state.reason = match state.snapshot_lost {
                true => MissingReason::SnapshotLost,
                false => MissingReason::Failed(Failure::BadAnswer),
            };
            return;
        }
        if alone && self.suspect {
            self.suspect = false;
            self.cleared_at = Some(now);
        }
        self.record_hits(now, index, snapshot, shard, complete, hits, context, out);
        if self.canary.as_ref().is_some_and(|c| c.index == index) {
            self.canary = None;
            self.fan_out(now, context, out);
        }
    }

    /// Adds the hits of a leaf to its shard.
    #[expect(clippy::too_many_arguments, reason = "the fields of the outcome")]
    fn record_hits<C>(
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
        let matches = check(
            Invariant::OneSnapshot,
            snapshot == self.snapshot && shard == state.shard,
            || format!("{request}: hits of snapshot {snapshot} shard {shard}"),
        );
        let pending = check(Invariant::TrueCoverage, state.is_pending(), || {
            format!("{request}: second answer for shard {shard}")
        });
        if !matches || !pending {
            return;
        }
        if hits.len() > top {
            hits = merge(hits, top);
        }
        state.answered = true;
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
        self.covered += 1;
        self.cancel(now, index, context, out);
    }

    pub(super) fn on_wrong_snapshot<C>(&mut self, call: CallId, context: &mut Context<'_, C>) {
        self.undo_send(call, true, context);
        let record = &self.calls[call.0 as usize];
        let shard = &mut self.shards[record.index];
        shard.snapshot_lost = true;
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
        let action = NotRunAction::after(&reason, record.owner.as_ref());
        let shard = &mut self.shards[index];
        if !shard.snapshot_lost {
            shard.reason = MissingReason::NotRun(reason);
        }
        if let NotRunAction::Redirect(holder) = &action {
            let info = context.map.leaves.get(&record.leaf);
            let in_service = info.is_some_and(|info| in_service(info, context.domains));
            let may_redirect = shard.in_flight.is_empty() && shard.redirects < MAX_REDIRECTS;
            let may_send = !self.stopped && now < self.deadline && (record.alone || !self.suspect);
            if in_service && may_redirect && may_send {
                shard.redirects += 1;
                let (leaf, domain) = (record.leaf.clone(), record.domain.clone());
                let (kind, alone) = (record.kind, record.alone);
                let owner = Some(holder.clone());
                return self.send(now, index, leaf, domain, owner, kind, alone, context, out);
            }
        }
        shard.shed |= action == NotRunAction::RetryPaid;
        self.undo_send(call, action != NotRunAction::RetryPaid, context);
        if action == NotRunAction::Stop {
            return self.stop();
        }
        // A rejected hedge may be sent to another replica while an earlier copy is still in flight.
        let earlier = self.shards[index].in_flight.first().copied();
        if let Some(earlier) = earlier.filter(|_| self.hedge_delays.is_some()) {
            self.schedule_hedge_check(now, earlier);
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
        shard.may_have_run = true;
        shard.uncertain = true;
        shard.reason = MissingReason::Failed(failure);
        // Resets of calls sent before the query completed alone belong to the crash that it has been cleared of.
        let cleared = self.cleared_at.is_some_and(|cleared| sent <= cleared);
        if failure != Failure::Reset || (cleared && !alone) {
            return;
        }
        self.suspicions += 1;
        if self.at_most_once || alone || self.suspicions > MAX_SUSPICIONS {
            self.stop();
        } else {
            self.suspect = true;
        }
    }

    /// Reverts the counts of a call that did not run; with `refund` its token is returned too.
    fn undo_send<C>(&mut self, call: CallId, refund: bool, context: &mut Context<'_, C>) {
        let record = &self.calls[call.0 as usize];
        let (index, kind) = (record.index, record.kind);
        if kind != CallKind::Normal {
            if refund {
                context.budget.refund();
            }
        } else if let Some(copy) = self.shards[index].in_flight.first() {
            // The normal call did not run, so its copy replaces it and is no longer an extra call.
            let copy = &mut self.calls[copy.0 as usize];
            if mem::replace(&mut copy.kind, CallKind::Normal) != CallKind::Normal {
                context.budget.refund();
            }
        }
        if let Some(canary) = self.canary.as_mut().filter(|c| c.index == index) {
            canary.tries = canary.tries.saturating_sub(1);
        }
    }

    /// Advances the shards that were deferred until the call sent alone ended.
    pub(super) fn resume_deferred<C: CrashView>(
        &mut self,
        now: Time,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        let round = self.rounds;
        for index in mem::take(&mut self.deferred) {
            if self.rounds == round && self.is_idle(index) {
                self.advance(now, index, context, out);
            }
        }
    }

    /// Stops sending calls; calls in flight may still be answered.
    pub(super) fn stop(&mut self) {
        self.stopped = true;
        self.deferred.clear();
        for index in 0..self.shards.len() {
            if self.is_idle(index) {
                self.close(index);
            }
        }
    }

    /// Gives up a shard, and all waiting shards if it has the canary request.
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
