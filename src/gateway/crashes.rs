use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use http::{header, request};
use rand::{Rng, seq::IteratorRandom};
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    adapter::http1::ExchangeError,
    core::{
        Time,
        crash::{Admission, CrashEvent, CrashId, Fingerprint, Reachability, has_ended},
    },
    gateway::{ingress::CountGuard, leaf::Leaf, state::Gateway},
};

/// Maximum number of crashes in a message. Together with all else that it carries, a message must fit into a datagram.
pub(super) const MAX_REPORTED: usize = 4;
/// Time in which a leaf that runs accepts a new connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// Number of other leaves that are asked for a connection to tell the end of a leaf from the loss of this node's link.
const WITNESSES: usize = 3;

/// Maximum number of lost calls that are examined at a time. If this node's link breaks, all calls are lost at once.
const MAX_EXAMINATIONS: usize = 8;

/// The crashes in one message.
pub(super) type CrashReports = SmallVec<[CrashEvent; MAX_REPORTED]>;

/// Returns the identity of a request's content: method, host, path with query, the caller's credentials and the body.
/// Other headers may differ between the attempts of one caller.
pub(super) fn fingerprint(parts: &request::Parts, host: &str, body: &[u8]) -> Fingerprint {
    let host = host.to_ascii_lowercase();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let credentials = [header::AUTHORIZATION, header::COOKIE]
        .into_iter()
        .flat_map(|name| parts.headers.get_all(name))
        .map(|value| value.as_bytes());
    let fields = [parts.method.as_str(), &host, path].map(str::as_bytes);
    Fingerprint::of_fields(fields.into_iter().chain([body]).chain(credentials))
}

/// The only call of a suspected content that is in progress on this node. Dropping it ends the trial.
pub(super) struct Trial {
    gateway: Rc<Gateway>,
    content: Fingerprint,
    pub(super) answered: Cell<bool>,
}

impl Trial {
    pub(super) fn start(gateway: &Rc<Gateway>, content: Fingerprint) -> Self {
        gateway.crashes.borrow_mut().start_trial(content);
        Self {
            gateway: gateway.clone(),
            content,
            answered: Cell::new(false),
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut crashes = self.gateway.crashes.borrow_mut();
        crashes.end_trial(now, self.content, self.answered.get());
    }
}

/// A call whose connection was lost after the request had been sent.
pub(super) struct LostCall {
    pub(super) leaf: Rc<Leaf>,
    /// Id of the caller's request.
    pub(super) id: Arc<str>,
    pub(super) content: Fingerprint,
    /// Identifies the crash. The calls of one request that are lost together count as one crash.
    pub(super) crash: CrashId,
    /// The call was the only one of its content in progress.
    pub(super) is_trial: bool,
}

impl Gateway {
    /// Returns a new random id of a crash.
    pub(super) fn new_crash_id(&self) -> CrashId {
        CrashId(self.rng.borrow_mut().random())
    }

    /// Finds out whether a call was lost because its leaf ended, and records the crash.
    ///
    /// Runs to the end even if the caller of the request leaves.
    pub(super) async fn examine_loss(self: &Rc<Self>, lost: LostCall) {
        if self.examinations.get() >= MAX_EXAMINATIONS {
            if let Some(suppressed) = self.log_limiter.admit(self.now(), "not_examined") {
                log::info!(
                    id = &*lost.id,
                    leaf:% = lost.leaf.instance(),
                    suppressed;
                    "connection lost among many, not examined"
                );
            }
            return;
        }
        let examination = tokio::task::spawn_local(self.clone().examine(lost));
        if let Err(error) = examination.await {
            log::error!(error:% = error; "failed to examine the loss of a connection");
        }
    }

    async fn examine(self: Rc<Self>, lost: LostCall) {
        let _guard = CountGuard::new(&self.examinations);
        let leaf = self.reach(&lost.leaf).await;
        let ended = leaf == Reachability::Refused && {
            let witnesses = self.witnesses(&lost.leaf);
            let mut probes: FuturesUnordered<_> =
                witnesses.iter().map(|leaf| self.reach(leaf)).collect();
            let mut seen = SmallVec::<[Reachability; WITNESSES]>::new();
            while let Some(reached) = probes.next().await {
                seen.push(reached);
                if reached == Reachability::Accepted {
                    break;
                }
            }
            has_ended(leaf, seen)
        };
        if ended {
            self.record_loss(lost).await;
        } else if let Some(suppressed) = self.log_limiter.admit(self.now(), "crash_ruled_out") {
            log::info!(
                id = &*lost.id,
                leaf:% = lost.leaf.instance(),
                reachability:? = leaf,
                suppressed;
                "connection lost, but the end of its leaf is not shown"
            );
        }
    }

    async fn record_loss(&self, lost: LostCall) {
        let now = self.now();
        let event = CrashEvent::new(lost.crash, [lost.content], lost.is_trial);
        let is_new = self.crashes.borrow_mut().record_crash(now, event);
        metrics::counter!("cranberrychute_leaf_crashes_total").increment(u64::from(is_new));
        let rejected = matches!(
            self.crashes.borrow().admit(now, lost.content),
            Admission::Reject(_)
        );
        if let Some(suppressed) = self.log_limiter.admit(now, "leaf_crashed") {
            log::warn!(
                id = &*lost.id,
                fingerprint:% = lost.content,
                leaf:% = lost.leaf.instance(),
                service:% = lost.leaf.record.borrow().service,
                trial = lost.is_trial,
                rejected,
                suppressed;
                "leaf ended while it ran a request"
            );
        }
        if rejected {
            self.announce_crashes().await;
        }
    }

    /// Records the crashes that another node reports.
    pub(super) fn record_crash_reports(&self, now: Time, reports: &[CrashEvent]) {
        for report in reports {
            let is_new = self.crashes.borrow_mut().record_crash(now, report.clone());
            if !is_new {
                continue;
            }
            let crashes = self.crashes.borrow();
            for content in &report.fingerprints {
                if matches!(crashes.admit(now, *content), Admission::Reject(_))
                    && let Some(suppressed) = self.log_limiter.admit(now, "content_rejected")
                {
                    log::warn!(
                        fingerprint:% = content,
                        age_ms = report.age_ms,
                        suppressed;
                        "another node reports a request that crashes leaves"
                    );
                }
            }
        }
    }

    /// Tries to open a connection to a leaf, and keeps it if the leaf accepts.
    async fn reach(&self, leaf: &Rc<Leaf>) -> Reachability {
        match timeout(PROBE_TIMEOUT, self.connect(leaf)).await {
            Ok(Ok(lease)) => {
                lease.release(self.now());
                Reachability::Accepted
            }
            Ok(Err(error)) if ExchangeError::is_refused(&error) => Reachability::Refused,
            Ok(Err(_)) | Err(_) => Reachability::Unknown,
        }
    }

    /// Returns some random leaves at other addresses than `leaf`.
    fn witnesses(&self, leaf: &Rc<Leaf>) -> Vec<Rc<Leaf>> {
        let address = leaf.address();
        let leaves = self.upstreams.leaves.borrow();
        let others = leaves.values().filter(|other| other.address() != address);
        let chosen = others.choose_multiple(&mut *self.rng.borrow_mut(), WITNESSES);
        chosen.into_iter().cloned().collect()
    }
}
