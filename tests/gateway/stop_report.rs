//! Checks of what callers and leaves have seen around stops.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    time::Duration,
};

use tokio::time::Instant;

use crate::load::{End, ORDERS, Request};

/// Time after which a request that a node has received must not end without an answer even if no leaf has received it.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// The checks, each of which must have run.
const CHECKS: [&str; 9] = [
    "exit",
    "panic",
    "LOST",
    "LOST around a stop",
    "HELD",
    "TWICE",
    "REFUSED",
    "MIXED",
    "MIXED failure",
];

/// A process of a node.
#[derive(Debug)]
pub(crate) struct Lifetime {
    pub(crate) started: Instant,
    /// When SIGTERM was sent.
    pub(crate) stopped: Option<Instant>,
    pub(crate) ended: Option<Instant>,
}

impl Lifetime {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            stopped: None,
            ended: None,
        }
    }

    fn covers(&self, request: &Request) -> bool {
        self.started <= request.sent && self.ended.is_none_or(|ended| request.sent <= ended)
    }
}

/// How often each check ran.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally(BTreeMap<&'static str, usize>);

impl Tally {
    pub(crate) fn add(&mut self, other: &Tally) {
        for (check, count) in &other.0 {
            *self.0.entry(check).or_default() += count;
        }
    }

    pub(crate) fn assert_all_ran(&self) {
        for check in CHECKS {
            assert!(self.0.contains_key(check), "{check} was never checked");
        }
    }
}

/// The outcome of a schedule.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) tally: Tally,
    pub(crate) faults: Vec<String>,
    /// Times between SIGTERM and the exit.
    pub(crate) exits: Vec<Duration>,
    /// Number of exits of processes that were paused meanwhile.
    pub(crate) paused_exits: usize,
    /// Number of requests that crossed the end of their connection: no leaf has received them.
    crossed: usize,
    ends: HashMap<End, usize>,
}

impl Report {
    pub(crate) fn check(
        &mut self,
        check: &'static str,
        holds: bool,
        fault: impl FnOnce() -> String,
    ) {
        *self.tally.0.entry(check).or_default() += 1;
        if !holds {
            self.faults.push(format!("{check}: {}", fault()));
        }
    }

    /// Checks that a schedule had enough load to find a fault.
    pub(crate) fn assert_enough(&self, min_checked: usize) {
        let checked = self.tally.0.get("LOST").copied().unwrap_or(0);
        let served = self.ends.get(&End::Status(200)).copied().unwrap_or(0);
        assert!(
            checked >= min_checked && served >= min_checked / 2,
            "{checked} requests checked, {served} served"
        );
    }

    /// Checks a request that leaves have run `ran` times, at a node with these lifetimes. `is_disturbed` says that the node
    /// was disturbed without a plan meanwhile.
    pub(crate) fn judge(
        &mut self,
        request: &Request,
        ran: u32,
        lifetimes: &[Lifetime],
        node: usize,
        is_disturbed: bool,
    ) {
        *self.ends.entry(request.end).or_default() += 1;
        let lifetime = lifetimes.iter().find(|lifetime| lifetime.covers(request));
        let text = || describe(request, ran, lifetime, node);
        if let Some(mixed) = &request.mixed {
            self.check("MIXED", false, || format!("{mixed}: {}", text()));
        } else if request.is_stamped {
            self.check("MIXED", true, String::new);
            if !matches!(request.end, End::Status(200)) {
                self.check("MIXED failure", true, String::new);
            }
        }
        if request.id.starts_with(ORDERS) {
            self.check("TWICE", ran <= 1, text);
            if matches!(request.end, End::Status(408 | 421 | 429 | 503)) {
                self.check("REFUSED", ran == 0, text);
            }
        }
        if is_disturbed {
            return;
        }
        let is_read = ran > 0 || request.ended - request.sent > LOSS_SLACK;
        let is_lost = request.end == End::Cut && is_read;
        self.crossed += usize::from(request.end == End::Cut && !is_lost);
        self.check("LOST", !is_lost, text);
        if lifetime
            .and_then(|lifetime| lifetime.stopped)
            .is_some_and(|at| request.ended >= at)
        {
            self.check("LOST around a stop", !is_lost, text);
        }
        self.check("HELD", request.end != End::Timeout, text);
    }
}

fn describe(request: &Request, ran: u32, lifetime: Option<&Lifetime>, node: usize) -> String {
    let Request { id, end, .. } = request;
    let took = (request.ended - request.sent).as_millis();
    let ms = |at: Option<Instant>| {
        at.map(|at| {
            let since = request.ended.checked_duration_since(at);
            since.map_or_else(
                || -((at - request.ended).as_millis() as i64),
                |since| since.as_millis() as i64,
            )
        })
    };
    let (stopped, ended) = (
        ms(lifetime.and_then(|lifetime| lifetime.stopped)),
        ms(lifetime.and_then(|lifetime| lifetime.ended)),
    );
    format!(
        "{id} at node-{node}: {end:?} after {took} ms, ran {ran} times, ended {stopped:?} ms after SIGTERM and {ended:?} ms \
         after the exit"
    )
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |exit: Option<&Duration>| exit.map_or(0, Duration::as_millis);
        let lost = |fault: &&String| fault.starts_with("LOST:");
        write!(
            f,
            "checked {:?}; lost {}, faults {}; crossed {}; {} exits after {} to {} ms, {} with a pause; {:?}",
            self.tally.0,
            self.faults.iter().filter(lost).count(),
            self.faults.len(),
            self.crossed,
            self.exits.len(),
            ms(self.exits.iter().min()),
            ms(self.exits.iter().max()),
            self.paused_exits,
            self.ends,
        )
    }
}
