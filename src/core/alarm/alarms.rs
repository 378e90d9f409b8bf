use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::Serialize;
use smallvec::SmallVec;

use super::{
    Alarm, AlarmSummary, Cause, Notice, NoticeKind, Sample, in_quiet_hours,
    summary::CLEAR_TIMEOUT_MS, window::Window,
};
use crate::core::{
    NodeId, ServiceName, Time,
    config::{AlarmPolicy, ServicePolicy},
    rank,
};

/// Maximum number of causes kept, including healed ones. Further ones are counted and dropped.
const MAX_CAUSES: usize = 32;
/// Time for which an objective must burn before it becomes a cause. The confirmation window covers 1 minute, so an
/// incident of up to 30 s, such as the loss of a VM (about 4.5 s), heals before and raises no alarm.
const MIN_BURN_MS: i64 = 90_000;
/// Minimum interval between two alarms for one cause.
const REPEAT_INTERVAL_MS: i64 = 4 * 3_600_000;
/// Time after the start or a pause in which a node sends nothing, until it has received which nodes are alive and
/// which alarms have been sent.
const STARTUP_DELAY_MS: i64 = 30_000;
/// Time between two ticks above which the process is considered to have been paused. Other nodes take over after
/// about 5 s.
const PAUSE_THRESHOLD_MS: i64 = 5_000;
/// Minimum interval between two delivery attempts.
const RETRY_INTERVAL_MS: i64 = 60_000;
/// Time after which a cause that is held back is dropped. Quiet hours are shorter than a day.
const MAX_HELD_AGE_MS: i64 = 24 * 3_600_000;
/// Maximum number of summaries per membership message; together they have at most 180 bytes.
const MAX_SUMMARIES: usize = 2;

type Services = BTreeMap<ServiceName, Arc<ServicePolicy>>;

/// The state of one cause, with the fields of [`AlarmSummary`]. Times are in milliseconds on the node's clock, negative
/// before the start of the VM.
#[derive(Clone, Copy, Debug)]
struct Entry {
    since: i64,
    seen: i64,
    share: u16,
    sent: Option<i64>,
    held: bool,
    /// Time of this node's last delivery attempt.
    last_attempt: Option<i64>,
}

/// The state of one cause as shown to operators. Fields that end in `_s` are ages in seconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AlarmState {
    pub cause: String,
    pub active: bool,
    pub held: bool,
    pub since_s: u32,
    pub seen_s: u32,
    pub sent_s: Option<u32>,
}

/// How an alarm can be delivered now.
enum Delivery {
    /// Immediately, to this webhook.
    Now(Arc<str>),
    /// After the quiet hours.
    Deferred,
    /// No webhook is configured.
    NoWebhook,
}

/// The alarms of one node: results of its own callers, causes reported by other nodes, and notices to send.
#[derive(Debug)]
pub struct Alarms {
    node: NodeId,
    /// Time of the start or of the last resumption after a pause.
    running_since: i64,
    last_tick: i64,
    windows: BTreeMap<ServiceName, Window>,
    /// Start of the current uninterrupted burn of each objective.
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
    /// Creates the state of a node that starts at `now`.
    pub fn new(node: NodeId, now: Time) -> Self {
        Self {
            node,
            running_since: millis(now),
            last_tick: millis(now),
            windows: BTreeMap::new(),
            burning: BTreeMap::new(),
            rejected: BTreeSet::new(),
            violations: 0,
            causes: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Records the result of a caller's query.
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

    /// Records that a value of a configuration key was rejected.
    pub fn config_rejected(&mut self, now: Time, key: &str) {
        let cause = Cause::config_rejected(key);
        if self.rejected.len() < MAX_CAUSES {
            self.rejected.insert(cause.clone());
        }
        self.observe(millis(now), millis(now), cause, 0);
    }

    /// Records that a valid value of a configuration key became active, which ends an earlier rejection.
    pub fn config_accepted(&mut self, key: &str) {
        self.rejected.remove(&Cause::config_rejected(key));
    }

    /// Records the total number of invariant violations counted by this process.
    pub fn record_violations(&mut self, now: Time, total: u64) {
        if total > self.violations {
            self.violations = total;
            self.observe(millis(now), millis(now), Cause::Invariant, 0);
        }
    }

    /// Evaluates the recorded results and appends the notices that this node must send to `out`. `wall` is the time
    /// since 1970.
    pub fn tick(
        &mut self,
        now: Time,
        wall: Duration,
        alive: &[NodeId],
        services: &Services,
        out: &mut Vec<Notice>,
    ) {
        self.evaluate(now, services);
        let now = millis(now);
        if now - self.last_tick > PAUSE_THRESHOLD_MS {
            self.running_since = now;
        }
        self.last_tick = now;
        for cause in self.rejected.clone() {
            self.observe(now, now, cause, 0);
        }
        self.causes.retain(|_, entry| !entry.is_expired(now));
        let startup_over = now - self.running_since >= STARTUP_DELAY_MS;
        let is_sender = |key: &str| {
            let nodes = alive.iter().map(NodeId::as_str).collect();
            rank::<&str>(key, nodes).first() == Some(&self.node.as_str())
        };
        let mut reports: BTreeMap<Arc<str>, Vec<Alarm>> = BTreeMap::new();
        for (cause, entry) in &mut self.causes {
            let summary = entry.summary(now, cause);
            let due = entry
                .sent
                .is_none_or(|sent| now - sent >= REPEAT_INTERVAL_MS);
            let active = summary.is_active();
            let webhook = match delivery(cause, services, wall) {
                Delivery::Now(webhook) => webhook,
                Delivery::Deferred => {
                    entry.held |= active && due;
                    continue;
                }
                Delivery::NoWebhook => continue,
            };
            // A violation is not observed again, but must be reported even if it has healed.
            let unreported = entry.sent.is_none() && *cause == Cause::Invariant;
            let should_send = entry.held || unreported || active && due;
            let report = format!("morning report/{webhook}");
            let key = if entry.held {
                report
            } else {
                cause.to_string()
            };
            let recently_tried = entry
                .last_attempt
                .is_some_and(|tried| now - tried < RETRY_INTERVAL_MS);
            if !should_send || recently_tried || !startup_over || !is_sender(&key) {
                continue;
            }
            entry.last_attempt = Some(now);
            let alarm = Alarm::new(&summary, wall, |service| services.get(service).cloned());
            if entry.held {
                reports.entry(webhook).or_default().push(alarm);
            } else {
                out.push(Notice {
                    kind: NoticeKind::Alarm,
                    node: self.node.clone(),
                    alarms: vec![alarm],
                    webhook,
                });
            }
        }
        out.extend(reports.into_iter().map(|(webhook, alarms)| Notice {
            kind: NoticeKind::MorningReport,
            node: self.node.clone(),
            alarms,
            webhook,
        }));
    }

    /// Records that a notice was delivered to its webhook.
    pub fn mark_delivered(&mut self, now: Time, notice: &Notice) {
        for alarm in &notice.alarms {
            if let Some(entry) = self.causes.get_mut(&alarm.cause) {
                entry.sent = Some(millis(now));
                entry.held = false;
            }
        }
    }

    /// Returns up to two summaries for a membership message, starting at the position given by the random number
    /// `pick`.
    ///
    /// The position is random because most messages that are created are not sent: round-robin could omit the same
    /// causes indefinitely.
    pub fn summaries(&self, now: Time, pick: u32) -> SmallVec<[AlarmSummary; MAX_SUMMARIES]> {
        let count = self.causes.len();
        let start = pick as usize % count.max(1);
        let rotated = self.causes.iter().cycle().skip(start);
        rotated
            .take(MAX_SUMMARIES.min(count))
            .map(|(cause, entry)| entry.summary(millis(now), cause))
            .collect()
    }

    /// Merges the summaries reported by another node.
    pub fn merge(&mut self, now: Time, summaries: impl IntoIterator<Item = AlarmSummary>) {
        let now = millis(now);
        for summary in summaries {
            let reported = Entry::from_summary(now, &summary);
            if reported.is_expired(now) {
                continue;
            }
            match self.causes.get_mut(&summary.cause) {
                Some(entry) => {
                    let mut merged = entry.summary(now, &summary.cause);
                    merged.merge(&summary);
                    let last_attempt = entry.last_attempt;
                    *entry = Entry {
                        last_attempt,
                        ..Entry::from_summary(now, &merged)
                    };
                }
                None => self.insert(now, summary.cause, reported),
            }
        }
    }

    /// Returns the states of all causes.
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

    /// Returns the number of causes dropped because the maximum was reached.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Records a cause for each objective that has been burning for at least [`MIN_BURN_MS`].
    fn evaluate(&mut self, now: Time, services: &Services) {
        let alarm_policy = |service: &ServiceName| services.get(service)?.alarm.as_ref();
        self.windows
            .retain(|service, _| alarm_policy(service).is_some());
        let mut burning = Vec::new();
        for (service, window) in &self.windows {
            let Some(policy) = alarm_policy(service) else {
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
            if now - since >= MIN_BURN_MS {
                self.observe(now, since, cause, (share * 1_000.0) as u16);
            }
        }
    }

    /// Records that this node observes a cause now.
    fn observe(&mut self, now: i64, since: i64, cause: Cause, share: u16) {
        let observed = Entry {
            since,
            seen: now,
            share,
            sent: None,
            held: false,
            last_attempt: None,
        };
        match self.causes.get_mut(&cause) {
            Some(entry) => {
                if now - entry.seen >= i64::from(CLEAR_TIMEOUT_MS) && !entry.held {
                    (entry.since, entry.share) = (since, share);
                }
                entry.seen = now;
                entry.share = entry.share.max(share);
            }
            None => self.insert(now, cause, observed),
        }
    }

    fn insert(&mut self, now: i64, cause: Cause, entry: Entry) {
        if self.causes.len() >= MAX_CAUSES {
            let healed =
                |entry: &Entry| !entry.held && now - entry.seen >= i64::from(CLEAR_TIMEOUT_MS);
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
            last_attempt: None,
        }
    }

    fn is_expired(&self, now: i64) -> bool {
        let last = self.sent.map_or(self.seen, |sent| sent.max(self.seen));
        let limit = if self.held {
            MAX_HELD_AGE_MS
        } else {
            REPEAT_INTERVAL_MS
        };
        now - last > limit
    }
}

/// Returns how an alarm for a cause can be delivered. A rejected value or a violation that belongs to no service with a
/// webhook goes to the first service whose webhook is outside its quiet hours, so that only one person acts.
fn delivery(cause: &Cause, services: &Services, wall: Duration) -> Delivery {
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
        Some((webhook, _)) => Delivery::Now(webhook.clone()),
        None if targets.is_empty() => Delivery::NoWebhook,
        None => Delivery::Deferred,
    }
}
