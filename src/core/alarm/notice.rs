use std::{
    sync::Arc,
    time::{Duration, UNIX_EPOCH},
};

use serde::Serialize;

use super::{AlarmSummary, Cause};
use crate::core::{
    NodeId, ServiceName,
    config::{AlarmPolicy, ServicePolicy},
};

/// A notification delivered to a webhook.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Notice {
    pub kind: NoticeKind,
    /// The sending node.
    pub node: NodeId,
    pub alarms: Vec<Alarm>,
    #[serde(skip)]
    pub webhook: Arc<str>,
}

/// Whether a notice reports one current cause or the causes held back during quiet hours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NoticeKind {
    Alarm,
    MorningReport,
}

/// Description of a cause for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Alarm {
    /// Name of the cause, such as `coverage/parts`.
    pub name: String,
    /// What fails.
    pub fails: String,
    /// Who is affected.
    pub whom: String,
    /// When the cause was first observed, in UTC.
    pub since: String,
    /// Recommended action.
    pub action: String,
    /// The cause was no longer observed when the notice was created.
    pub healed: bool,
    #[serde(skip)]
    pub cause: Cause,
}

impl Alarm {
    pub(super) fn new(
        summary: &AlarmSummary,
        wall: Duration,
        policy: impl Fn(&ServiceName) -> Option<Arc<ServicePolicy>>,
    ) -> Self {
        let share = format!("{}.{}%", summary.share / 10, summary.share % 10);
        let target = |service: &ServiceName, text: fn(&AlarmPolicy) -> String| {
            let policy = policy(service);
            let alarm = policy.as_ref().and_then(|policy| policy.alarm.as_ref());
            alarm.map_or_else(|| "promised".to_owned(), text)
        };
        let (fails, whom, action) = match &summary.cause {
            Cause::Latency(service) => {
                let target = target(service, |alarm| format!("{} ms", alarm.latency_ms));
                (
                    format!("{share} of the answers take longer than {target}"),
                    format!("callers of service {service}"),
                    "look for slow or cold leaves in GET /v1/state and for overloaded upstreams; see docs/alarms.md, \
                     latency",
                )
            }
            Cause::Coverage(service) => {
                let target = target(service, |alarm| format!("{}", alarm.coverage));
                (
                    format!(
                        "{share} of the queries are refused or answered with a coverage below {target}"
                    ),
                    format!("callers of service {service}"),
                    "look at the reasons in `missing` of an answer, and for failure domains and leaves out of \
                     service; see docs/alarms.md, coverage",
                )
            }
            Cause::ConfigRejected(key) => (
                format!(
                    "the published value of {key} is not valid; the previous one stays in force"
                ),
                match summary.cause.service() {
                    Some(service) => format!("operators of service {service}"),
                    None => "operators of all services".to_owned(),
                },
                "check the value with `cranberrychute check` and publish a valid one with a higher version; see \
                 docs/alarms.md, configuration",
            ),
            Cause::Invariant => (
                "an invariant was violated; the act was refused".to_owned(),
                "callers of all services".to_owned(),
                "find the error in the log of the node that counts it in cranberrychute_invariant_violations_total \
                 and report it; see docs/alarms.md, invariant",
            ),
        };
        let since = wall.saturating_sub(Duration::from_millis(summary.since.into()));
        Self {
            name: summary.cause.to_string(),
            fails,
            whom,
            since: humantime::format_rfc3339_seconds(UNIX_EPOCH + since).to_string(),
            action: action.to_owned(),
            healed: !summary.is_active(),
            cause: summary.cause.clone(),
        }
    }
}
