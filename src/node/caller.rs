use std::{sync::Arc, sync::atomic::Ordering, time::Instant};

use http::StatusCode;
use serde_json::json;

use super::{
    Node,
    alarm::RequestOutcome,
    api::{self, AddressesAnswer, QueryAnswer, QueryBody},
    query::{self, Mode},
    render_metrics, telemetry,
};
use crate::{
    adapter::caller::{ApiError, CallerPort, ErrorCode, QueryRequest, Reply},
    core::{
        address, invariant,
        query::{Query, QueryError},
    },
};

/// Maximum length of the query text, in bytes.
const MAX_TEXT_BYTES: usize = 4_096;

/// Serves the HTTP interface for callers and operators.
#[derive(Debug)]
pub(super) struct Api(pub(super) Arc<Node>);

impl CallerPort for Api {
    fn addresses(&self, caller: &str, with_key: bool) -> Reply {
        let node = &self.0;
        let view = node.view();
        let members = node.members.lock().expect("no panic while locked");
        let departing = node.departing.lock().expect("no panic while locked");
        let leaving = node.leaving.load(Ordering::Relaxed);
        let usable = |id: &_| {
            members.is_alive(id) && !departing.contains(id) && !(leaving && *id == node.me)
        };
        let answer = address::answer(caller, &view.vms, &view.domains, usable);
        drop((members, departing));
        if answer.addresses.is_empty() {
            let message = "no entry node is known to take work; try again or ask another address";
            return ApiError::not_run(ErrorCode::Unavailable, message).into();
        }
        let key = match with_key.then(|| node.new_key()).transpose() {
            Ok(key) => key,
            Err(error) => return error.into(),
        };
        let lifetime_ms = node.address_lifetime().as_millis() as u64;
        Reply::json(
            StatusCode::OK,
            &AddressesAnswer {
                addresses: answer.addresses,
                lifetime_ms,
                key,
            },
        )
    }

    fn issue_key(&self) -> Reply {
        match self.0.new_key() {
            Ok(key) => Reply::json(StatusCode::OK, &key),
            Err(error) => error.into(),
        }
    }

    async fn query(&self, request: QueryRequest) -> Reply {
        let node = &self.0;
        let _in_progress = node.in_progress.token();
        let begin = Instant::now();
        let (reply, outcome) = match node.prepare(&request) {
            Ok(query) => self.answer(&request, query).await,
            Err(error) => error_reply(error),
        };
        node.record_outcome(&request, begin.elapsed(), outcome);
        // Service names that do not exist must not become label values, because their number is unbounded.
        let exists = node.view().services.contains_key(&request.service);
        let service = if exists {
            request.service.to_string()
        } else {
            "unknown".to_owned()
        };
        let status = reply.status.as_str().to_owned();
        metrics::counter!("cranberrychute_queries_total", "service" => service.clone(), "status" => status)
            .increment(1);
        metrics::histogram!("cranberrychute_query_seconds", "service" => service)
            .record(begin.elapsed().as_secs_f64());
        reply
    }

    async fn once(&self, request: QueryRequest) -> Reply {
        let begin = Instant::now();
        let reply = self.0.serve_once(request.clone()).await;
        self.0.record_once_reply(&request, begin.elapsed(), &reply);
        reply
    }

    fn state(&self) -> Reply {
        let node = &self.0;
        let view = node.view();
        let now = node.clock.now();
        let leaves: Vec<_> = node.pool.states().iter().map(|leaf| json!({
            "leaf": leaf.leaf, "cold": leaf.status.cold, "queued": leaf.status.queued,
            "in_flight": leaf.in_flight, "limit": leaf.limit, "connections": leaf.connections,
            "p95_us": leaf.p95,
        })).collect();
        let held: Vec<_> = {
            let leases = node.leases.lock().expect("no panic while locked");
            let partitions = node.leaf_partitions(&view);
            partitions
                .iter()
                .filter(|id| leases.expiry(now, id).is_some())
                .map(|id| id.to_string())
                .collect()
        };
        let config = node.config.lock().expect("no panic while locked");
        let (versions, rejected) = (config.store.versions(), config.rejected.clone());
        drop(config);
        let quarantined = node
            .crash
            .lock()
            .expect("no panic while locked")
            .quarantined_count(now);
        let state = json!({
            "node": node.me,
            "incarnation": node.incarnation,
            "failure_domain": node.settings.failure_domain,
            "refusal": node.unready_reason(),
            "leaving": node.leaving.load(Ordering::Relaxed),
            "alive": node.members.lock().expect("no panic while locked").alive_nodes(),
            "domains_out": view.domains.out,
            "partitions_held": held,
            "leaves": leaves,
            "configuration": versions,
            "configuration_rejected": rejected,
            "keys": node.keys.lock().expect("no panic while locked").len(),
            "queries_quarantined": quarantined,
            "alarms": node.alarm_states(now),
            "requests_in_progress": node.in_progress.len(),
            "invariant_violations": invariant::violation_count(),
            "recent_spans": telemetry::recent_spans(),
        });
        Reply::json(StatusCode::OK, &state)
    }

    fn ready(&self) -> Reply {
        let node = &self.0;
        let reason = node
            .unready_reason()
            .or(node.leaving.load(Ordering::Relaxed).then_some("leaving"));
        match reason {
            None => Reply::json(StatusCode::OK, &json!({ "ready": true })),
            Some(reason) => ApiError::not_run(ErrorCode::Unavailable, reason).into(),
        }
    }

    fn metrics(&self) -> String {
        self.0.metrics.run_upkeep();
        render_metrics(&self.0.metrics)
    }
}

impl Api {
    async fn answer(&self, request: &QueryRequest, query: Query) -> (Reply, RequestOutcome) {
        let span = api::root_span("query", request);
        match query::run(&self.0, query, Mode::Repeatable, span).await {
            Ok(answer) => {
                let share = answer.coverage.share();
                metrics::histogram!("cranberrychute_coverage", "service" => request.service.to_string())
                    .record(share);
                log::debug!(request = request.request.as_str(), coverage = share; "query answered");
                let reply =
                    Reply::json(StatusCode::OK, &QueryAnswer::new(&request.request, &answer));
                (reply, RequestOutcome::Answered(share))
            }
            Err(error) => error_reply(query_error(&error)),
        }
    }
}

impl Node {
    /// Checks that this node can accept a request and parses its query.
    pub(super) fn prepare(&self, request: &QueryRequest) -> Result<Query, ApiError> {
        if let Some(reason) = self.unready_reason() {
            return Err(ApiError::not_run(ErrorCode::Unavailable, reason));
        }
        let view = self.view();
        if !view.services.contains_key(&request.service) {
            let known = view
                .services
                .keys()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join(", ");
            let message = format!(
                "service \"{}\" does not exist; known: {known}",
                request.service
            );
            return Err(ApiError::not_run(ErrorCode::NotFound, message));
        }
        if self.in_progress.len() > self.settings.limits.queries as usize {
            let message = "this node is at its limit of queries in progress; ask another address";
            return Err(ApiError::not_run(ErrorCode::Unavailable, message));
        }
        let body: QueryBody = serde_json::from_slice(&request.body).map_err(|error| {
            let message = format!(
                "the body is not a query: {error}; send {{\"text\": \"...\", \"top\": 10}}"
            );
            ApiError::not_run(ErrorCode::BadRequest, message)
        })?;
        if body.text.is_empty() || body.text.len() > MAX_TEXT_BYTES {
            let message = format!("text must have 1 to {MAX_TEXT_BYTES} bytes");
            return Err(ApiError::not_run(ErrorCode::BadRequest, message));
        }
        Ok(Query {
            request: request.request.clone(),
            service: request.service.clone(),
            text: body.text,
            top: body.top,
            deadline: request.deadline,
        })
    }
}

/// Converts an error into its reply. Only [`ErrorCode::Unavailable`] counts as a fault of the system.
fn error_reply(error: ApiError) -> (Reply, RequestOutcome) {
    let outcome = match error.error {
        ErrorCode::Unavailable => RequestOutcome::SystemFault,
        _ => RequestOutcome::CallerFault,
    };
    (error.into(), outcome)
}

fn query_error(error: &QueryError) -> ApiError {
    let code = match error {
        QueryError::NoSnapshot(_) => ErrorCode::Unavailable,
        QueryError::Top { .. } | QueryError::NoTime => ErrorCode::BadRequest,
        QueryError::Quarantined => ErrorCode::Quarantined,
    };
    ApiError {
        error: code,
        message: error.to_string(),
        not_run: error.not_run(),
    }
}
