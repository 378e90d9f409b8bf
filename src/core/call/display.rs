use std::fmt;

use super::{Failure, NotRun, Outcome};

impl fmt::Display for NotRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            NotRun::NotOwner {
                holder: Some(holder),
            } => {
                return write!(f, "not run: node {holder} holds the lease of the leaf");
            }
            NotRun::NotOwner { holder: None } => "not run: no node holds the lease of the leaf",
            NotRun::QueueFull => "not run: the queue of the leaf is full",
            NotRun::TooLate => "not run: too little time left",
            NotRun::Cold => "not run: the leaf is cold and has no spare capacity",
            NotRun::Shed => "not run: the leaf shed the call",
            NotRun::Unreachable => "not run: no connection to the leaf or its owner",
            NotRun::Leaving => {
                "not run: the leaf is leaving or its failure domain is out of service"
            }
            NotRun::Quarantined => "not run: the query crashed leaves and is quarantined",
            NotRun::UnknownLeaf => "not run: the leaf is not in the map in force at its owner",
        };
        f.write_str(text)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Failure::Deadline => "may have run: no answer before the deadline",
            Failure::Reset => "may have run: the leaf closed the connection",
            Failure::Silent => "may have run: the connection to the leaf went silent",
            Failure::BadAnswer => "may have run: the leaf's answer is not usable",
            Failure::OwnerLost => "may have run: the connection to the owner broke",
            Failure::Cancelled => "may have run: cancelled",
        })
    }
}

impl Outcome {
    /// Returns the label of the outcome for traces and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Outcome::Hits { complete: true, .. } => "hits",
            Outcome::Hits {
                complete: false, ..
            } => "truncated",
            Outcome::WrongSnapshot { .. } => "wrong_snapshot",
            Outcome::NotRun(_) => "not_run",
            Outcome::Failed(_) => "failed",
        }
    }
}
