use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::Serialize;
use smallvec::SmallVec;

use super::{
    Alarm, AlarmSummary, Cause, Notice, NoticeKind, Sample, in_quiet_hours, summary::CLEAR_MS,
    window::Window,
};
use crate::core::{
    NodeId, ServiceName, Time,
    config::{AlarmPolicy, ServicePolicy},
    rank,
};

/// Causes kept at a time, healed ones included. Further ones are counted and dropped.
const MAX_CAUSES: usize = 32;
/// Time for which an objective must burn before it is a cause. The confirmation window forgets an incident after
/// 1 minute, so an incident of up to 30 s, such as a lost VM (about 4.5 s), heals before.
const HOLD_MS: i64 = 90_000;
/// Time before which a cause that was sent is not sent again.
const REPEAT_MS: i64 = 4 * 3_600_000;
/// Time after the start or a pause in which a node sends nothing: it does not know yet who is alive and what was
/// sent.
const SETTLE_MS: i64 = 30_000;
/// Time between two ticks above which the process was paused. Others take over after about 5 s.
const PAUSE_MS: i64 = 5_000;
/// Time between two attempts to deliver.
const RETRY_MS: i64 = 60_000;
/// Time after which a cause that is held back is forgotten. Quiet hours are shorter than a day.
const MAX_HELD_MS: i64 = 24 * 3_600_000;
/// Summaries per membership message, at most 180 bytes together.
const SUMMARIES: usize = 2;

type Services = BTreeMap<ServiceName, Arc<ServicePolicy>>;

/// One cause. Times are milliseconds on the node's clock, negative for those before the VM started.
#[derive(Clone, Copy, Debug)]
struct Entry {
    since: i64,
    seen: i64,
    share: u16,
    sent: Option<i64>,
    held: bool,
    /// When this node last tried to deliver.
    tried: Option<i64>,
}

/// The state of one cause, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AlarmState {
    pub cause: String,
    pub active: bool,
    pub held: bool,
    pub since_s: u32,
    pub seen_s: u32,
    pub sent_s: Option<u32>,
}

/// Whom a cause reaches now.
enum Reach {
    Now(Arc<str>),
    /// Somebody, after the quiet hours.
    Later,
    /// No webhook is configured.
    Nobody,
}

/// The alarms of one node: what its callers saw, what other nodes reported, and what to send.
#[derive(Debug)]
pub struct Alarms {
    me: NodeId,
    /// When the node started, or resumed from a pause.
    started: i64,
    ticked: i64,
    windows: BTreeMap<ServiceName, Window>,
    /// Since when an objective burns without a break.
    burning: BTreeMap<Cause, i64>,
    rejected: BTreeSet<Cause>,
    violations: u64,
    causes: BTreeMap<Cause, Entry>,
    dropped: u64,
}

fn millis(now: Time) -> i64 {
    (now.0 / 1_000) as i64
}

impl Alarms {
    /// Creates the alarms of a node that starts now.
    pub fn new(me: NodeId, now: Time) -> Self {
        Self {
            me,
            started: millis(now),
            ticked: millis(now),
            windows: BTreeMap::new(),
            burning: BTreeMap::new(),
            rejected: BTreeSet::new(),
            violations: 0,
            causes: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Records an answer to a real caller.
    pub fn record(
        &mut self,
        now: Time,
        service: &ServiceName,
        policy: &AlarmPolicy,
        sample: Sample,
    ) {
        if !self.windows.contains_key(service) {
            self.windows.insert(service.clone(), Window::default());
        }
        if let Some(window) = self.windows.get_mut(service) {
            window.record(now, policy, sample);
        }
    }

    /// Notes that a value of a configuration key was rejected.
    pub fn config_rejected(&mut self, now: Time, key: &str) {
        let cause = Cause::config_rejected(key);
        if self.rejected.len() < MAX_CAUSES {
            self.rejected.insert(cause.clone());
        }
        self.see(millis(now), millis(now), cause, 0);
    }

    /// Notes that a valid value of a configuration key came into force, which ends an earlier rejection.
    pub fn config_accepted(&mut self, key: &str) {
        self.rejected.remove(&Cause::config_rejected(key));
    }

    /// Notes how many invariant violations this process has counted.
    pub fn record_violations(&mut self, now: Time, total: u64) {
        if total > self.violations {
            self.violations = total;
            self.see(millis(now), millis(now), Cause::Invariant, 0);
        }
    }

    /// Judges what was recorded and adds the notices this node has to send now. `wall` is the time since 1970.
    pub fn tick(
        &mut self,
        now: Time,
        wall: Duration,
        alive: &[NodeId],
        services: &Services,
        out: &mut Vec<Notice>,
    ) {
        self.judge(now, services);
        let now = millis(now);
        if now - self.ticked > PAUSE_MS {
            self.started = now;
        }
        self.ticked = now;
        for cause in self.rejected.clone() {
            self.see(now, now, cause, 0);
        }
        self.causes.retain(|_, entry| !entry.is_over(now));
        let settled = now - self.started >= SETTLE_MS;
        let first = |key: &str| {
            let nodes = alive.iter().map(NodeId::as_str).collect();
            rank::<&str>(key, nodes).first() == Some(&self.me.as_str())
        };
        let mut reports: BTreeMap<Arc<str>, Vec<Alarm>> = BTreeMap::new();
        for (cause, entry) in &mut self.causes {
            let summary = entry.summary(now, cause);
            let due = entry.sent.is_none_or(|sent| now - sent >= REPEAT_MS);
            let active = summary.is_active();
            let webhook = match reach(cause, services, wall) {
                Reach::Now(webhook) => webhook,
                Reach::Later => {
                    entry.held |= active && due;
                    continue;
                }
                Reach::Nobody => continue,
            };
            // A violation is over at once, but somebody must look at it all the same.
            let unsent = entry.sent.is_none() && *cause == Cause::Invariant;
            let wanted = entry.held || unsent || active && due;
            let report = format!("morning report/{webhook}");
            let key = if entry.held {
                report
            } else {
                cause.to_string()
            };
            let tried = entry.tried.is_some_and(|tried| now - tried < RETRY_MS);
            if !wanted || tried || !settled || !first(&key) {
                continue;
            }
            entry.tried = Some(now);
            let alarm = Alarm::new(&summary, wall, |service| services.get(service).cloned());
            if entry.held {
                reports.entry(webhook).or_default().push(alarm);
            } else {
                out.push(Notice {
                    kind: NoticeKind::Alarm,
                    node: self.me.clone(),
                    alarms: vec![alarm],
                    webhook,
                });
            }
        }
        out.extend(reports.into_iter().map(|(webhook, alarms)| Notice {
            kind: NoticeKind::MorningReport,
            node: self.me.clone(),
            alarms,
            webhook,
        }));
    }

    /// Notes that a notice reached its webhook.
    pub fn mark_delivered(&mut self, now: Time, notice: &Notice) {
        for alarm in &notice.alarms {
            if let Some(entry) = self.causes.get_mut(&alarm.cause) {
                entry.sent = Some(millis(now));
                entry.held = false;
            }
        }
    }

    /// Returns what a membership message carries: two causes, from a place that the random number `pick` decides.
    /// Turns were ruled out: most messages made are not sent, so turns could leave out the same causes for ever.
    pub fn summaries(&self, now: Time, pick: u32) -> SmallVec<[AlarmSummary; SUMMARIES]> {
        let count = self.causes.len();
        let start = pick as usize % count.max(1);
        let turn = self.causes.iter().cycle().skip(start);
        turn.take(SUMMARIES.min(count))
            .map(|(cause, entry)| entry.summary(millis(now), cause))
            .collect()
    }

    /// Merges what another node reported.
    pub fn merge(&mut self, now: Time, summaries: impl IntoIterator<Item = AlarmSummary>) {
        let now = millis(now);
        for summary in summaries {
            let learnt = Entry::from_summary(now, &summary);
            if learnt.is_over(now) {
                continue;
            }
            match self.causes.get_mut(&summary.cause) {
                Some(entry) => {
                    let mut mine = entry.summary(now, &summary.cause);
                    mine.merge(&summary);
                    let tried = entry.tried;
                    *entry = Entry {
                        tried,
                        ..Entry::from_summary(now, &mine)
                    };
                }
                None => self.insert(now, summary.cause, learnt),
            }
        }
    }

    /// Returns the state of all causes, for operators.
    pub fn states(&self, now: Time) -> Vec<AlarmState> {
        let states = self.causes.iter().map(|(cause, entry)| {
            let summary = entry.summary(millis(now), cause);
            AlarmState {
                cause: cause.to_string(),
                active: summary.is_active(),
                held: summary.held,
                since_s: summary.since / 1_000,
                seen_s: summary.seen / 1_000,
                sent_s: summary.sent.map(|sent| sent / 1_000),
            }
        });
        states.collect()
    }

    /// Returns how many causes were dropped because too many were known.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Turns objectives that have burnt for long enough into causes.
    fn judge(&mut self, now: Time, services: &Services) {
        let alarm = |service: &ServiceName| services.get(service)?.alarm.as_ref();
        self.windows.retain(|service, _| alarm(service).is_some());
        let mut burning = Vec::new();
        for (service, window) in &self.windows {
            let Some(policy) = alarm(service) else {
                continue;
            };
            let found = window.burning(now, policy);
            let latency = found
                .latency
                .map(|share| (Cause::Latency(service.clone()), share));
            let coverage = found
                .coverage
                .map(|share| (Cause::Coverage(service.clone()), share));
            burning.extend(latency.into_iter().chain(coverage));
        }
        let now = millis(now);
        self.burning
            .retain(|cause, _| burning.iter().any(|(burns, _)| burns == cause));
        for (cause, share) in burning {
            let since = *self.burning.entry(cause.clone()).or_insert(now);
            if now - since >= HOLD_MS {
                self.see(now, since, cause, (share * 1_000.0) as u16);
            }
        }
    }

    /// Notes that this node sees a cause now.
    fn see(&mut self, now: i64, since: i64, cause: Cause, share: u16) {
        let seen = Entry {
            since,
            seen: now,
            share,
            sent: None,
            held: false,
            tried: None,
        };
        match self.causes.get_mut(&cause) {
            Some(entry) => {
                if now - entry.seen >= i64::from(CLEAR_MS) && !entry.held {
                    (entry.since, entry.share) = (since, share);
                }
                entry.seen = now;
                entry.share = entry.share.max(share);
            }
            None => self.insert(now, cause, seen),
        }
    }

    fn insert(&mut self, now: i64, cause: Cause, entry: Entry) {
        if self.causes.len() >= MAX_CAUSES {
            let healed = |entry: &Entry| !entry.held && now - entry.seen >= i64::from(CLEAR_MS);
            let oldest = self.causes.iter().filter(|(_, entry)| healed(entry));
            let oldest = oldest.min_by_key(|(_, entry)| entry.seen);
            match oldest.map(|(cause, _)| cause.clone()) {
                Some(oldest) => drop(self.causes.remove(&oldest)),
                None => {
                    self.dropped += 1;
                    return;
                }
            }
        }
        self.causes.insert(cause, entry);
    }
}

impl Entry {
    fn summary(&self, now: i64, cause: &Cause) -> AlarmSummary {
        let age = |then: i64| u32::try_from((now - then).max(0)).unwrap_or(u32::MAX);
        AlarmSummary {
            cause: cause.clone(),
            since: age(self.since),
            seen: age(self.seen),
            share: self.share,
            sent: self.sent.map(age),
            held: self.held,
        }
    }

    fn from_summary(now: i64, summary: &AlarmSummary) -> Self {
        let then = |age: u32| now - i64::from(age);
        Self {
            since: then(summary.since),
            seen: then(summary.seen),
            share: summary.share,
            sent: summary.sent.map(then),
            held: summary.held,
            tried: None,
        }
    }

    fn is_over(&self, now: i64) -> bool {
        let last = self.sent.map_or(self.seen, |sent| sent.max(self.seen));
        let limit = if self.held { MAX_HELD_MS } else { REPEAT_MS };
        now - last > limit
    }
}

/// Finds whom a cause reaches. One that belongs to no single service goes to the first service that can be
/// reached, so that one person acts.
fn reach(cause: &Cause, services: &Services, wall: Duration) -> Reach {
    let policy = |service: &ServiceName| {
        let alarm = services.get(service)?.alarm.as_ref()?;
        Some((alarm.webhook.clone()?, alarm.quiet.as_ref()))
    };
    let own = cause.service().and_then(|service| policy(&service));
    let all = || services.keys().filter_map(policy).collect();
    let targets: SmallVec<[_; 1]> = match (own, cause) {
        (Some(own), _) => SmallVec::from_iter([own]),
        (None, Cause::Latency(_) | Cause::Coverage(_)) => SmallVec::new(),
        (None, _) => all(),
    };
    let quiet = |hours: &Option<_>| hours.is_some_and(|hours| in_quiet_hours(hours, wall));
    match targets.iter().find(|(_, hours)| !quiet(hours)) {
        Some((webhook, _)) => Reach::Now(webhook.clone()),
        None if targets.is_empty() => Reach::Nobody,
        None => Reach::Later,
    }
}
