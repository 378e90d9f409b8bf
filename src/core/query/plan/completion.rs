//! Restart, cancellation and completion of a plan.

use std::{cmp::Reverse, mem, time::Duration};

use super::{Context, MAX_CANARY_TRIES, QueryAction, QueryPlan, pin_snapshot};
use crate::core::{
    LeafId, SnapshotId, Time,
    config::{DomainList, ServiceMap},
    invariant::{Invariant, check},
    query::{
        Answer, Coverage, CrashView, Missing, MissingReason, RunOutcome,
        merge::merge,
        replica::in_service,
        shard::{Phase, ShardState},
    },
};

impl QueryPlan {
    /// Returns whether the query may still restart on a newer snapshot.
    pub(super) fn may_restart(&self, now: Time) -> bool {
        let half = self.deadline.since(self.started) / 2;
        !self.at_most_once && self.rounds == 1 && !self.stopped && now.since(self.started) < half
    }

    /// Restarts the whole query on a newer snapshot and takes a token for each shard whose calls may have run.
    ///
    /// Returns whether the query restarted.
    pub(super) fn restart<C: CrashView>(
        &mut self,
        now: Time,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) -> bool {
        let newer = pin_snapshot(context.map).filter(|newer| *newer > self.snapshot);
        let Some(newer) = newer.filter(|_| self.may_restart(now)) else {
            return false;
        };
        // Restarting on a snapshot with too few leaves in service would lose the answers already received.
        if reachable_shards(context.map, newer, context.domains) <= self.covered as usize {
            return false;
        }
        let canary = match &self.canary {
            Some(canary) if canary.tries >= MAX_CANARY_TRIES => return false,
            Some(canary) => Some(canary.tries),
            None => self.suspect.then_some(0),
        };
        let ran = |shard: &&ShardState| shard.may_have_run || !shard.in_flight.is_empty();
        let repeats = self.shards.iter().filter(ran).count() as u32;
        if !context.budget.borrow(repeats) {
            return false;
        }
        for index in 0..self.shards.len() {
            self.cancel(now, index, context, out);
        }
        self.repeats_left = repeats;
        self.ran_before_restart = repeats > 0;
        self.map = context.map.clone();
        self.snapshot = newer;
        self.start_round(now, canary, context, out);
        true
    }

    /// Cancels all calls in flight of a shard.
    pub(super) fn cancel<C>(
        &mut self,
        now: Time,
        index: usize,
        context: &mut Context<'_, C>,
        out: &mut Vec<QueryAction>,
    ) {
        for call in mem::take(&mut self.shards[index].in_flight) {
            let record = &mut self.calls[call.0 as usize];
            record.in_flight = false;
            // Without the abandoned slow calls the latency quantile would fall with each hedge.
            if record.slow {
                context.health.record_latency(now, now.since(record.sent));
            }
            if self.alone_call == Some(call) {
                self.alone_call = None;
            }
            out.push(QueryAction::Cancel(call));
        }
    }

    /// Emits the answer if the query has ended, otherwise sets the next timer.
    pub(super) fn finish_or_set_timer(&mut self, now: Time, out: &mut Vec<QueryAction>) {
        if self.finished {
            return;
        }
        let partial = self
            .policy
            .partial_after_ms
            .filter(|_| !self.at_most_once)
            .map(|millis| self.started + Duration::from_millis(millis.into()));
        let enough = self.coverage().share() >= self.policy.min_coverage;
        let early = partial.is_some_and(|at| now >= at) && enough;
        if self.pending == 0 || now >= self.deadline || early {
            return self.finish(now, out);
        }
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let partial = partial.filter(|at| *at > now);
        let next = [timer, partial].into_iter().flatten().min();
        let next = next.map_or(self.deadline, |next| next.min(self.deadline));
        if self.timer_at != Some(next) {
            self.timer_at = Some(next);
            out.push(QueryAction::SetTimer(next));
        }
    }

    /// Returns whether a shard is open and has no call in flight.
    pub(super) fn is_idle(&self, index: usize) -> bool {
        let shard = &self.shards[index];
        shard.phase == Phase::Open && shard.in_flight.is_empty()
    }

    fn coverage(&self) -> Coverage {
        Coverage {
            answered: self.covered,
            shards: self.shards.len() as u32,
        }
    }

    fn finish(&mut self, now: Time, out: &mut Vec<QueryAction>) {
        self.finished = true;
        let outcome = self.outcome();
        for shard in &mut self.shards {
            for call in mem::take(&mut shard.in_flight) {
                self.calls[call.0 as usize].in_flight = false;
                out.push(QueryAction::Cancel(call));
                shard.reason = match shard.reason {
                    MissingReason::Truncated => MissingReason::Truncated,
                    _ => MissingReason::Late,
                };
            }
        }
        let covered = |shard: &&ShardState| shard.phase == Phase::Covered;
        let answered = self.shards.iter().filter(covered).count() as u32;
        let request = &self.query.request;
        let counted = self.covered;
        let _ = check(Invariant::TrueCoverage, counted == answered, || {
            format!("{request}: {counted} answers counted, {answered} shards covered")
        });
        let missing = self
            .shards
            .iter()
            .filter(|shard| shard.phase != Phase::Covered)
            .map(|shard| Missing {
                shard: shard.shard,
                reason: shard.reason.clone(),
            })
            .collect();
        let hits = self.shards.iter_mut().flat_map(|s| mem::take(&mut s.hits));
        let hits = merge(hits.collect(), usize::from(self.query.top));
        let coverage = Coverage {
            answered,
            shards: self.shards.len() as u32,
        };
        out.push(QueryAction::Finish(Answer {
            request: self.query.request.clone(),
            snapshot: self.snapshot,
            hits,
            coverage,
            missing,
            elapsed: now.since(self.started),
            outcome,
        }));
    }

    /// Returns what is known about the execution; must be called before the calls in flight are cancelled.
    fn outcome(&self) -> RunOutcome {
        let unresolved = |shard: &ShardState| {
            shard.phase != Phase::Covered && (shard.uncertain || !shard.in_flight.is_empty())
        };
        let answered = self.shards.iter().any(|shard| shard.answered);
        if self.shards.iter().any(unresolved) || (self.ran_before_restart && !answered) {
            RunOutcome::Unknown
        } else if answered {
            RunOutcome::Done
        } else {
            let ran = self.shards.iter().any(|shard| shard.may_have_run);
            let request = &self.query.request;
            match check(Invariant::NotRunFinal, !ran, || {
                format!("{request}: a call ran but the outcome is \"not run\"")
            }) {
                true => RunOutcome::NotRun,
                false => RunOutcome::Unknown,
            }
        }
    }
}

/// Returns the number of shards of a snapshot that have a replica in service.
fn reachable_shards(map: &ServiceMap, snapshot: SnapshotId, domains: &DomainList) -> usize {
    let serves = |leaf: &LeafId| {
        let info = map.leaves.get(leaf);
        info.is_some_and(|info| in_service(info, domains))
    };
    let found = map.snapshots.iter().find(|s| s.id == snapshot);
    let shards = found.map_or(&[][..], |found| &found.shards);
    let reachable = shards.iter().filter(|s| s.leaves.iter().any(serves));
    reachable.count()
}
