//! Checks of a configuration before it is published, and its differences from the active version.
//!
//! For an operator or a release script that checks one configuration at a time, of up to thousands of routes and 100,000 keys.
//! Findings name accounts and contain no key.

mod changes;
mod draft;
mod finding;
mod warnings;

pub use self::{
    draft::{Draft, Dropped, LongestKey},
    finding::{Finding, Severity},
};

use self::{changes::Changes, warnings::warnings};

/// Checks a configuration that nodes accept, and compares it with the active version. Returns the most severe findings first.
///
/// Both must be decoded under the same digest key, so that their keys can be compared.
pub fn check(draft: &Draft, active: Option<&Draft>) -> Vec<Finding> {
    let mut findings = warnings(draft);
    if let Some(active) = active {
        findings.extend(version_error(draft, active));
        findings.extend(Changes::between(&active.routing, &draft.routing));
    }
    // The routing table has no order, and its output must not depend on the process.
    findings.sort();
    findings
}

fn version_error(draft: &Draft, active: &Draft) -> Option<Finding> {
    let (version, active) = (draft.routing.version(), active.routing.version());
    (version <= active).then(|| {
        let text = format!(
            "{version} is not higher than {active}, which is in force: nodes may keep that one"
        );
        Finding::error("version", text)
    })
}
