use std::collections::HashSet;

use crate::core::{
    ServiceName,
    account::Accounts,
    lint::{Draft, Dropped, Finding, Severity},
    routing::{Route, Routing, Target},
};

/// Returns the entries that have no effect, and those that contradict each other.
pub(super) fn warnings(draft: &Draft) -> Vec<Finding> {
    let routing = &draft.routing;
    let routes = routing.routes();
    let accounts = routing.accounts().into_iter();
    let mut findings: Vec<Finding> = routes
        .flat_map(|route| route_warnings(routing, route))
        .chain(unused_services(routing))
        .chain(accounts.flat_map(Accounts::without_keys).map(|account| {
            let text = "has no key, so no request can belong to it";
            warning(format!("account {}", account.name), text)
        }))
        .chain(draft.dropped.iter().map(dropped_warning))
        .collect();
    let limit = routing.limits().header_bytes;
    if let Some(key) = &draft.longest_key
        && key.header_bytes > limit
    {
        let account = &key.account;
        let text = format!(
            "headers may have {limit} bytes, less than a key of account {account} takes: requests with it get 431"
        );
        findings.push(warning("limits", text));
    }
    findings
}

fn warning(entry: impl Into<String>, text: impl Into<String>) -> Finding {
    Finding::new(Severity::Warning, entry, text)
}

fn route_warnings(routing: &Routing, route: &Route) -> Vec<Finding> {
    let mut texts = Vec::new();
    texts.extend(mismatch(routing, route));
    for service in route.services().collect::<HashSet<_>>() {
        if routing.service(service).is_none() {
            texts.push(format!(
                "service {service} is not listed: its leaves get one connection each and no limit while they are cold"
            ));
        }
    }
    let (objective, timeout) = (route.objective, route.timeout);
    if objective > timeout {
        texts.push(format!(
            "the objective {objective:?} is above the timeout {timeout:?}: requests time out before the objective"
        ));
    }
    match &route.target {
        Target::Gather(gather) if !(0.0..=1.0).contains(&gather.min_coverage) => {
            let coverage = gather.min_coverage;
            texts.push(format!(
                "a coverage of {coverage:?} is outside 0 to 1, and no number of shards reaches one above 1: the nearest applies"
            ));
        }
        Target::Split(parts) => {
            let negative = parts.iter().filter(|(_, weight)| *weight < 0.0);
            texts.extend(negative.map(|(service, weight)| {
                format!("the weight {weight:?} of service {service} counts as 0")
            }));
        }
        Target::Gather(_) | Target::Service(_) => {}
    }
    let entry = format!("route {}", route.name);
    let findings = texts.into_iter().map(|text| warning(entry.as_str(), text));
    findings.collect()
}

/// Returns why no request can match a route. A route with a longer prefix takes only a part of its requests.
fn mismatch(routing: &Routing, route: &Route) -> Option<String> {
    let (host, prefix) = (&*route.host, &*route.prefix);
    if prefix.contains(|c: char| matches!(c, '?' | '#' | ' ') || c.is_control()) {
        return Some(format!(
            "never matches: no path contains what is in the prefix {prefix:?}"
        ));
    }
    // The port is cut off before the lookup, and the colons of an IPv6 address would be taken for it.
    let authority = match host.ends_with(']') {
        true => format!("{host}:80"),
        false => host.to_owned(),
    };
    match routing.find(&authority, prefix) {
        Some(found) if std::ptr::eq(&**found, route) => None,
        Some(found) => Some(format!(
            "never matches: route {} has the same host and prefix and comes first",
            found.name
        )),
        None => Some(format!(
            "never matches: the host {host:?} contains a port, which is not part of the lookup"
        )),
    }
}

fn unused_services(routing: &Routing) -> impl Iterator<Item = Finding> {
    let used: HashSet<&ServiceName> = routing
        .routes()
        .flat_map(|route| route.services())
        .collect();
    let services = routing.services().map(|(name, _)| name);
    let unused = services.filter(move |name| !used.contains(name));
    unused.map(|name| warning(format!("service {name}"), "no route uses it"))
}

fn dropped_warning(dropped: &Dropped) -> Finding {
    match dropped {
        Dropped::Service(service) => warning(
            format!("service {service}"),
            "is listed more than once: only the last entry applies",
        ),
        Dropped::Target { route } => warning(
            format!("route {route}"),
            "has several targets: shards take precedence over a split, and a split over a service",
        ),
        Dropped::Time { route, field } => warning(
            format!("route {route}"),
            format!("{field} is out of range: the nearest of 0 and a day applies"),
        ),
        Dropped::Burst { account } => warning(
            format!("account {account}"),
            "has a burst without a rate: the account has no limit",
        ),
        Dropped::Keys { account, count } => warning(
            format!("account {account}"),
            format!(
                "{count} of its keys can never match: too long, not ASCII, or not possible in a header"
            ),
        ),
    }
}
