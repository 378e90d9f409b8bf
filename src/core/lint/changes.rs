use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
    sync::Arc,
};

use crate::core::{
    ServiceName,
    account::{Account, Accounts, RateLimit},
    lint::{Finding, Severity},
    routing::{Repeat, Route, Routing, ServiceSpec, Target},
};

/// Collects the differences between two versions of a configuration.
#[derive(Debug, Default)]
pub(super) struct Changes {
    findings: Vec<Finding>,
}

impl Changes {
    /// Returns the differences, with their effects on callers.
    pub(super) fn between(old: &Routing, new: &Routing) -> Vec<Finding> {
        let mut changes = Self::default();
        changes.add_routes(old, new);
        changes.add_services(old, new);
        changes.add_limits(old, new);
        match (old.accounts(), new.accounts()) {
            (Some(old), Some(new)) => changes.add_accounts(old, new),
            (None, Some(new)) => {
                let (accounts, keys) = (new.iter().len(), new.key_count());
                changes.push("accounts", format!("{accounts} introduced with {keys} keys: requests without one get 401, except on anonymous routes"));
            }
            (Some(_), None) => changes.push(
                "accounts",
                "all removed: requests need no key and have no quota",
            ),
            (None, None) => {}
        }
        changes.findings
    }

    fn push(&mut self, entry: &str, text: impl Into<String>) {
        self.findings
            .push(Finding::new(Severity::Change, entry, text));
    }

    /// Adds a change of a value, with the effects of raising and of lowering it.
    fn push_value<T: PartialOrd + Debug>(
        &mut self,
        entry: &str,
        name: &str,
        [old, new]: [T; 2],
        [raised, lowered]: [&str; 2],
    ) {
        if old == new {
            return;
        }
        let (verb, effect) = match new > old {
            true => ("raised", raised),
            false => ("lowered", lowered),
        };
        let text = format!("{name} {verb} from {old:?} to {new:?}: {effect}");
        self.push(entry, text);
    }

    /// Compares the routes at the same host and prefix, which is how callers reach them.
    fn add_routes(&mut self, old: &Routing, new: &Routing) {
        let (old_routes, new_routes) = (routes_by_place(old), routes_by_place(new));
        for (place @ (host, prefix), route) in &old_routes {
            let entry = format!("route {}", route.name);
            if let Some(changed) = new_routes.get(place) {
                self.add_route(route, changed);
                continue;
            }
            let effect = match new.find(host, prefix) {
                Some(other) => format!("its requests go to route {}", other.name),
                None => "its requests get 404".to_owned(),
            };
            self.push(&entry, format!("removed from {host}{prefix}: {effect}"));
        }
        for (place @ (host, prefix), route) in &new_routes {
            if old_routes.contains_key(place) {
                continue;
            }
            let effect = match old.find(host, prefix) {
                Some(other) => format!("takes over requests of route {}", other.name),
                None => "requests that got 404 are served".to_owned(),
            };
            let entry = format!("route {}", route.name);
            self.push(&entry, format!("added at {host}{prefix}: {effect}"));
        }
    }

    fn add_route(&mut self, old: &Route, new: &Route) {
        let entry = &*format!("route {}", new.name);
        if old.name != new.name {
            let text = format!("renamed from {}: none for callers", old.name);
            self.push(entry, text);
        }
        self.add_target(entry, old, new);
        self.push_value(
            entry,
            "timeout",
            [old.timeout, new.timeout],
            ["callers may wait longer", "slow requests fail earlier"],
        );
        self.push_value(
            entry,
            "objective",
            [old.objective, new.objective],
            [
                "answers may come later and with more shards",
                "answers come earlier, perhaps with fewer shards",
            ],
        );
        self.push_value(
            entry,
            "attempts",
            [old.max_attempts, new.max_attempts],
            [
                "a request may run on more leaves",
                "more requests fail when leaves do",
            ],
        );
        self.push_value(
            entry,
            "priority",
            [old.priority, new.priority],
            [
                "its requests are less urgent",
                "its requests are more urgent",
            ],
        );
        if old.repeat != new.repeat {
            self.push(
                entry,
                match new.repeat {
                    Repeat::Idempotent => "now idempotent: a request may run more than once",
                    Repeat::AtMostOnce => {
                        "no longer idempotent: requests that may have run are not repeated"
                    }
                },
            );
        }
        if old.anonymous != new.anonymous {
            self.push(
                entry,
                match new.anonymous {
                    true => "now anonymous: requests need no key",
                    false => "no longer anonymous: requests without a valid key get 401",
                },
            );
        }
        if old.regions != new.regions {
            let text = format!(
                "regions changed from {} to {}: only leaves there run its requests",
                regions(old),
                regions(new)
            );
            self.push(entry, text);
        }
    }

    fn add_target(&mut self, entry: &str, old: &Route, new: &Route) {
        let [gained, lost] = [(new, old), (old, new)].map(|(route, other)| {
            let others: BTreeSet<&ServiceName> = other.services().collect();
            let services = route.services().filter(|name| !others.contains(name));
            let names: BTreeSet<&str> = services.map(ServiceName::as_str).collect();
            names.into_iter().collect::<Vec<_>>().join(", ")
        });
        let moved = match (&*gained, &*lost) {
            ("", "") => None,
            (gained, "") => Some(format!("its requests also go to {gained}")),
            ("", lost) => Some(format!("its requests no longer go to {lost}")),
            (gained, lost) => Some(format!("its requests go to {gained} instead of {lost}")),
        };
        if let Some(moved) = moved {
            self.push(entry, format!("services changed: {moved}"));
        }
        let [old_kind, new_kind] = [old, new].map(target_kind);
        if old_kind != new_kind {
            let text = format!(
                "target changed from {old_kind} to {new_kind}: the form of answers may change"
            );
            self.push(entry, text);
        }
        match (&old.target, &new.target) {
            (Target::Split(old), Target::Split(new)) if old != new => {
                let [old, new] = [old, new].map(|parts| {
                    let parts = parts.iter();
                    let parts = parts.map(|(service, weight)| format!("{service} {weight:?}"));
                    parts.collect::<Vec<_>>().join(", ")
                });
                let text = format!("weights changed from {old} to {new}: traffic shifts");
                self.push(entry, text);
            }
            (Target::Gather(old), Target::Gather(new)) => {
                self.push_value(
                    entry,
                    "number of shards",
                    [old.shards.len(), new.shards.len()],
                    ["answers cover more shards", "answers cover fewer shards"],
                );
                self.push_value(
                    entry,
                    "coverage",
                    [old.min_coverage, new.min_coverage],
                    [
                        "more requests fail when shards are missing",
                        "answers may lack more shards",
                    ],
                );
                self.push_value(
                    entry,
                    "number of records",
                    [old.top_k, new.top_k],
                    ["answers have more records", "answers have fewer records"],
                );
            }
            _ => {}
        }
    }

    fn add_services(&mut self, old: &Routing, new: &Routing) {
        let [old, new] = [old, new].map(|routing| {
            routing
                .services()
                .collect::<BTreeMap<&ServiceName, &ServiceSpec>>()
        });
        for (name, spec) in &new {
            let entry = &*format!("service {name}");
            let Some(old) = old.get(name) else {
                self.push(entry, "added: none for callers until a route names it");
                continue;
            };
            self.push_value(
                entry,
                "connections of a leaf",
                [old.max_connections, spec.max_connections],
                [
                    "nodes can send it more requests at once",
                    "requests wait earlier for a connection",
                ],
            );
            if old.cold_rate != spec.cold_rate {
                let (old, new) = (old.cold_rate, spec.cold_rate);
                let text = format!(
                    "rate of a cold leaf changed from {old:?} to {new:?} per s (0 is no limit): the capacity after starts changes"
                );
                self.push(entry, text);
            }
        }
        for name in old.keys().filter(|name| !new.contains_key(*name)) {
            let text = "removed: routes that still name it get one connection to each leaf";
            self.push(&format!("service {name}"), text);
        }
    }

    fn add_limits(&mut self, old: &Routing, new: &Routing) {
        let (old, new) = (old.limits(), new.limits());
        let sizes = [
            (
                "bytes of headers",
                [old.header_bytes, new.header_bytes],
                "larger ones get 431",
            ),
            (
                "bytes of a body",
                [old.body_bytes, new.body_bytes],
                "larger ones get 413",
            ),
        ];
        for (name, values, lowered) in sizes {
            self.push_value(
                "limits",
                name,
                values,
                ["larger requests are accepted", lowered],
            );
        }
        let times = [
            ("time for headers", [old.header_timeout, new.header_timeout]),
            ("idle time", [old.idle_timeout, new.idle_timeout]),
        ];
        let effects = [
            "slow connections stay open longer",
            "slow connections are closed earlier",
        ];
        for (name, values) in times {
            self.push_value("limits", name, values, effects);
        }
    }

    fn add_accounts(&mut self, old: &Accounts, new: &Accounts) {
        for account in new.iter() {
            let entry = &*format!("account {}", account.name);
            match old.named(&account.name) {
                Some(old) => self.add_account(entry, old, account),
                None => self.push(entry, "added: requests with its keys are accepted"),
            }
        }
        for account in old.iter().filter(|old| new.named(&old.name).is_none()) {
            let text = "removed: its keys are withdrawn, or belong to other accounts";
            self.push(&format!("account {}", account.name), text);
        }
        self.add_keys(old, new);
    }

    fn add_account(&mut self, entry: &str, old: &Account, new: &Account) {
        if old.priority != new.priority {
            let [old, new] = [old, new].map(|account| match account.priority {
                Some(priority) => priority.to_string(),
                None => "that of the route".to_owned(),
            });
            let text = format!("priority changed from {old} to {new}: 0 is the most urgent");
            self.push(entry, text);
        }
        match (old.limit, new.limit) {
            (Some(old), Some(new)) => {
                self.push_value(
                    entry,
                    "rate per s",
                    [old.per_s, new.per_s],
                    ["more of its requests run", "more of its requests get 429"],
                );
                self.push_value(
                    entry,
                    "burst",
                    [old.burst, new.burst],
                    ["larger bursts run", "bursts get 429 earlier"],
                );
            }
            (None, Some(RateLimit { per_s, burst })) => {
                let text = format!(
                    "limited to {per_s:?} per s with a burst of {burst:?}: requests above it get 429"
                );
                self.push(entry, text);
            }
            (Some(RateLimit { per_s, .. }), None) => {
                let text = format!("no longer limited to {per_s:?} per s: none get 429");
                self.push(entry, text);
            }
            (None, None) => {}
        }
    }

    /// Counts keys by the accounts to which they belonged and belong.
    fn add_keys(&mut self, old: &Accounts, new: &Accounts) {
        let (Some(old_keys), Some(new_keys)) = (old.compare_keys(new), new.compare_keys(old))
        else {
            let text =
                "keys were not compared: the versions are decoded under different digest keys";
            self.findings
                .push(Finding::new(Severity::Warning, "accounts", text));
            return;
        };
        let mut counts: BTreeMap<(Option<&str>, Option<&str>), usize> = BTreeMap::new();
        let gone = old_keys.map(|(from, to)| (Some(from), to));
        let fresh = new_keys.filter(|(_, from)| from.is_none());
        for (from, to) in gone.chain(fresh.map(|(to, _)| (None, Some(to)))) {
            let [from, to] = [from, to].map(|account| account.map(|account| &*account.name));
            *counts.entry((from, to)).or_default() += 1;
        }
        for ((from, to), count) in counts {
            let keys = if count == 1 { "key" } else { "keys" };
            match (from, to) {
                (None, Some(to)) => self.push(
                    &format!("account {to}"),
                    format!("{count} {keys} added: requests with them are accepted"),
                ),
                (Some(from), None) => self.push(
                    &format!("account {from}"),
                    format!("{count} {keys} withdrawn: requests with them get 401"),
                ),
                (Some(from), Some(to)) if from != to => self.push(
                    &format!("account {from}"),
                    format!(
                        "{count} {keys} moved to account {to}: requests with them count as its own"
                    ),
                ),
                _ => {}
            }
        }
    }
}

/// Returns the routes that requests can match, by host and prefix. Of several at one place, the first is used.
fn routes_by_place(routing: &Routing) -> BTreeMap<(&str, &str), &Route> {
    let mut routes = BTreeMap::new();
    for route in routing.routes() {
        let place = (&*route.host, &*route.prefix);
        routes.entry(place).or_insert(&**route);
    }
    routes
}

fn target_kind(route: &Route) -> &'static str {
    match route.target {
        Target::Service(_) => "one service",
        Target::Split(_) => "a split",
        Target::Gather(_) => "shards",
    }
}

fn regions(route: &Route) -> String {
    match &*route.regions {
        [] => "all".to_owned(),
        regions => {
            let names: Vec<&str> = regions.iter().map(Arc::as_ref).collect();
            names.join(", ")
        }
    }
}
