use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context as _, ensure};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rand::Rng;
use serde::Deserialize;
use smallvec::SmallVec;
use tokio::{task::JoinSet, time};

use super::Node;
use crate::{
    adapter::caller::{ErrorCode, QueryRequest, Reply},
    core::{
        Time,
        alarm::{AlarmState, AlarmSummary, Notice, Sample},
        config::ApplyResult,
        invariant,
        query::Coverage,
    },
};

/// Time between two judgements.
const TICK: Duration = Duration::from_secs(1);
/// Longest wait for a webhook's answer.
const WEBHOOK_TIMEOUT: Duration = Duration::from_secs(2);
/// Times that a notice is sent to a webhook before the core decides again.
const TRIES: u32 = 3;
/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(500);

/// How a request of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Seen {
    /// Answered, with the covered share.
    Covered(f64),
    /// Refused or lost through the system's fault.
    Refused,
    /// Refused because of the request itself; counts for no objective.
    CallersFault,
}

/// The part of an answer to an at-most-once request that objectives need.
#[derive(Deserialize)]
struct OnceAnswer {
    #[serde(default)]
    outcome: Option<String>,
    #[serde(default)]
    coverage: Option<Coverage>,
    #[serde(default)]
    error: Option<ErrorCode>,
}

type WebhookClient = Client<HttpConnector, Full<Bytes>>;

/// Judges the answers to callers, and delivers the alarms that fall to this node, until the node stops.
pub(super) async fn run(node: Arc<Node>) {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let mut deliveries = JoinSet::new();
    let mut interval = time::interval(TICK);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        while deliveries.try_join_next().is_some() {}
        for notice in node.judge() {
            deliveries.spawn(deliver(node.clone(), client.clone(), notice));
        }
    }
}

async fn deliver(node: Arc<Node>, client: WebhookClient, notice: Notice) {
    for alarm in &notice.alarms {
        log::warn!(cause = alarm.name.as_str(), healed = alarm.healed; "alarm: {}", alarm.fails);
    }
    for attempt in 1..=TRIES {
        let result = post(&client, &notice).await;
        let label = if result.is_ok() {
            "delivered"
        } else {
            "failed"
        };
        metrics::counter!("cranberrychute_alarm_deliveries_total", "result" => label).increment(1);
        match result {
            Ok(()) => {
                let now = node.clock.now();
                let mut alarms = node.alarms.lock().expect("no panic while locked");
                return alarms.mark_delivered(now, &notice);
            }
            Err(error) => {
                log::warn!(attempt, webhook = &*notice.webhook; "alarm not delivered: {error:#}");
            }
        }
        time::sleep(TRY_PAUSE).await;
    }
}

async fn post(client: &WebhookClient, notice: &Notice) -> anyhow::Result<()> {
    let body = serde_json::to_vec(notice).context("serialize the alarm")?;
    let request = Request::post(&*notice.webhook)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .context("build the request")?;
    let response = time::timeout(WEBHOOK_TIMEOUT, client.request(request))
        .await
        .context("wait for the webhook's answer")?
        .context("send to the webhook")?;
    let status = response.status();
    ensure!(status.is_success(), "the webhook answered {status}");
    Ok(())
}

impl Node {
    /// Records how a query of a caller ended.
    pub(super) fn note_answer(&self, request: &QueryRequest, elapsed: Duration, seen: Seen) {
        let sample = match seen {
            Seen::Covered(coverage) => Sample::Answered {
                elapsed,
                coverage,
                deadline: request.deadline,
            },
            Seen::Refused => Sample::Failed,
            Seen::CallersFault => return,
        };
        let view = self.view();
        let policy = view.services.get(&request.service);
        let Some(policy) = policy.and_then(|policy| policy.alarm.as_ref()) else {
            return;
        };
        let now = self.clock.now();
        let mut alarms = self.alarms.lock().expect("no panic while locked");
        alarms.record(now, &request.service, policy, sample);
    }

    /// Records how an at-most-once request of a caller ended. A forwarded one counts here, where its caller is,
    /// and not at the node that ran it.
    pub(super) fn note_once(&self, request: &QueryRequest, elapsed: Duration, reply: &Reply) {
        let Ok(answer) = serde_json::from_slice::<OnceAnswer>(&reply.body) else {
            return;
        };
        let seen = match (answer.coverage, answer.outcome.as_deref(), answer.error) {
            (Some(coverage), ..) => Seen::Covered(coverage.share()),
            (_, Some("unknown"), _) => Seen::Refused,
            (_, _, Some(ErrorCode::Unknown | ErrorCode::Unavailable)) => Seen::Refused,
            // The outcome does not tell whose fault a refusal was; this node's own state does.
            (_, Some("not_run"), _) => match self.prepare(request) {
                Err(error) if error.error == ErrorCode::Unavailable => Seen::Refused,
                _ => Seen::CallersFault,
            },
            _ => Seen::CallersFault,
        };
        self.note_answer(request, elapsed, seen);
    }

    /// Notes which configuration was rejected, and which came into force instead of a rejected one.
    pub(super) fn note_configuration(&self, applied: &ApplyResult) {
        let now = self.clock.now();
        let mut alarms = self.alarms.lock().expect("no panic while locked");
        for document in &applied.changed {
            alarms.config_accepted(&document.key);
        }
        for rejection in &applied.rejected {
            alarms.config_rejected(now, &rejection.key);
        }
    }

    pub(super) fn alarm_summaries(&self, now: Time) -> SmallVec<[AlarmSummary; 2]> {
        let pick = self.rng.lock().expect("no panic while locked").random();
        let alarms = self.alarms.lock().expect("no panic while locked");
        alarms.summaries(now, pick)
    }

    pub(super) fn learn_alarms(&self, now: Time, summaries: SmallVec<[AlarmSummary; 2]>) {
        let mut alarms = self.alarms.lock().expect("no panic while locked");
        alarms.merge(now, summaries);
    }

    pub(super) fn alarm_states(&self, now: Time) -> Vec<AlarmState> {
        let alarms = self.alarms.lock().expect("no panic while locked");
        alarms.states(now)
    }

    /// Judges what was recorded and returns the notices this node has to send.
    fn judge(&self) -> Vec<Notice> {
        let alive = self
            .members
            .lock()
            .expect("no panic while locked")
            .alive_nodes();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = wall.unwrap_or_default();
        let (now, view) = (self.clock.now(), self.view());
        let mut notices = Vec::new();
        let mut alarms = self.alarms.lock().expect("no panic while locked");
        alarms.record_violations(now, invariant::violation_count());
        alarms.tick(now, wall, &alive, &view.services, &mut notices);
        let states = alarms.states(now);
        let count = |wanted: fn(&AlarmState) -> bool| {
            states.iter().filter(|state| wanted(state)).count() as f64
        };
        metrics::gauge!("cranberrychute_alarms_active").set(count(|state| state.active));
        metrics::gauge!("cranberrychute_alarms_held").set(count(|state| state.held));
        metrics::counter!("cranberrychute_alarms_dropped_total").absolute(alarms.dropped());
        notices
    }
}
