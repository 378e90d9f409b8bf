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

/// Interval at which alarms are evaluated.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time to wait for the response of a webhook.
const WEBHOOK_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of attempts to send a notice to a webhook before the alarm core decides again.
const MAX_ATTEMPTS: u32 = 3;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Outcome of a caller's request, as the service objectives count it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestOutcome {
    /// Answered, with the share of the shards that the answer covers.
    Answered(f64),
    /// Rejected or lost because of a fault in the system.
    SystemFault,
    /// Rejected because of the request itself; does not count towards any objective.
    CallerFault,
}

/// The fields of an answer to an at-most-once request that the service objectives use.
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

/// Evaluates the recorded answers and delivers the alarms that this node is responsible for, until the node stops.
pub(super) async fn run(node: Arc<Node>) {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let mut deliveries = JoinSet::new();
    let mut interval = time::interval(EVALUATION_INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        while deliveries.try_join_next().is_some() {}
        for notice in node.evaluate_alarms() {
            deliveries.spawn(deliver(node.clone(), client.clone(), notice));
        }
    }
}

async fn deliver(node: Arc<Node>, client: WebhookClient, notice: Notice) {
    for alarm in &notice.alarms {
        log::warn!(cause = alarm.name.as_str(), healed = alarm.healed; "alarm: {}", alarm.fails);
    }
    for attempt in 1..=MAX_ATTEMPTS {
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
        time::sleep(RETRY_DELAY).await;
    }
}

async fn post(client: &WebhookClient, notice: &Notice) -> anyhow::Result<()> {
    let body = serde_json::to_vec(notice).context("serialize the alarm notice")?;
    let request = Request::post(&*notice.webhook)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .context("build the webhook request")?;
    let response = time::timeout(WEBHOOK_TIMEOUT, client.request(request))
        .await
        .context("wait for the webhook response")?
        .context("send the webhook request")?;
    let status = response.status();
    ensure!(status.is_success(), "the webhook answered {status}");
    Ok(())
}

impl Node {
    /// Records the outcome of a caller's request for the alarms of its service.
    pub(super) fn record_outcome(
        &self,
        request: &QueryRequest,
        elapsed: Duration,
        outcome: RequestOutcome,
    ) {
        let sample = match outcome {
            RequestOutcome::Answered(coverage) => Sample::Answered {
                elapsed,
                coverage,
                deadline: request.deadline,
            },
            RequestOutcome::SystemFault => Sample::Failed,
            RequestOutcome::CallerFault => return,
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

    /// Records the outcome of a caller's at-most-once request, as read from its reply.
    ///
    /// A forwarded request counts at the node that its caller is connected to, not at the node that ran it.
    pub(super) fn record_once_reply(
        &self,
        request: &QueryRequest,
        elapsed: Duration,
        reply: &Reply,
    ) {
        let Ok(answer) = serde_json::from_slice::<OnceAnswer>(&reply.body) else {
            return;
        };
        let outcome = match (answer.coverage, answer.outcome.as_deref(), answer.error) {
            (Some(coverage), ..) => RequestOutcome::Answered(coverage.share()),
            (_, Some("unknown"), _) => RequestOutcome::SystemFault,
            (_, _, Some(ErrorCode::Unknown | ErrorCode::Unavailable)) => {
                RequestOutcome::SystemFault
            }
            // The outcome does not tell whether the request or the system caused the rejection, but the state of this
            // node does.
            (_, Some("not_run"), _) => match self.prepare(request) {
                Err(error) if error.error == ErrorCode::Unavailable => RequestOutcome::SystemFault,
                _ => RequestOutcome::CallerFault,
            },
            _ => RequestOutcome::CallerFault,
        };
        self.record_outcome(request, elapsed, outcome);
    }

    /// Records which documents were rejected, and which became active and so clear an earlier rejection.
    pub(super) fn record_config_result(&self, applied: &ApplyResult) {
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
        let selector = self.rng.lock().expect("no panic while locked").random();
        let alarms = self.alarms.lock().expect("no panic while locked");
        alarms.summaries(now, selector)
    }

    pub(super) fn merge_alarms(&self, now: Time, summaries: SmallVec<[AlarmSummary; 2]>) {
        let mut alarms = self.alarms.lock().expect("no panic while locked");
        alarms.merge(now, summaries);
    }

    pub(super) fn alarm_states(&self, now: Time) -> Vec<AlarmState> {
        let alarms = self.alarms.lock().expect("no panic while locked");
        alarms.states(now)
    }

    /// Evaluates the recorded samples and returns the notices that this node has to send.
    fn evaluate_alarms(&self) -> Vec<Notice> {
        let alive = self
            .members
            .lock()
            .expect("no panic while locked")
            .alive_nodes();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_time = unix_time.unwrap_or_default();
        let (now, view) = (self.clock.now(), self.view());
        let mut notices = Vec::new();
        let mut alarms = self.alarms.lock().expect("no panic while locked");
        alarms.record_violations(now, invariant::violation_count());
        alarms.tick(now, unix_time, &alive, &view.services, &mut notices);
        let states = alarms.states(now);
        let count = |matches: fn(&AlarmState) -> bool| {
            states.iter().filter(|state| matches(state)).count() as f64
        };
        metrics::gauge!("cranberrychute_alarms_active").set(count(|state| state.active));
        metrics::gauge!("cranberrychute_alarms_held").set(count(|state| state.held));
        metrics::counter!("cranberrychute_alarms_dropped_total").absolute(alarms.dropped());
        notices
    }
}
