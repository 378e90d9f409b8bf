use std::fmt;

use thiserror::Error;

/// Error of a request that got no usable answer.
#[derive(Debug, Error)]
#[error("{step}{}: {kind}", peer.as_deref().map(|peer| format!(" at {peer}")).unwrap_or_default())]
pub struct ClientError {
    pub kind: ErrorKind,
    /// The step that failed.
    pub step: Step,
    /// Address of the node that the step was sent to.
    pub peer: Option<String>,
    /// Whether an earlier attempt of the same request may have run.
    pub(super) earlier_may_have_run: bool,
}

impl ClientError {
    pub(super) fn new(kind: ErrorKind, step: Step, peer: impl ToString) -> Self {
        Self {
            kind,
            step,
            peer: Some(peer.to_string()),
            earlier_may_have_run: false,
        }
    }

    /// Creates an error that does not belong to a single address.
    pub(super) fn without_peer(kind: ErrorKind, step: Step) -> Self {
        Self {
            kind,
            step,
            peer: None,
            earlier_may_have_run: false,
        }
    }

    /// Records whether an earlier attempt of the same request may have run.
    pub(super) fn with_earlier_attempt(mut self, may_have_run: bool) -> Self {
        self.earlier_may_have_run |= may_have_run;
        self
    }

    /// Returns whether it is certain that the query did not run.
    pub fn is_not_run(&self) -> bool {
        if self.earlier_may_have_run {
            return false;
        }
        match &self.kind {
            ErrorKind::Settings(_) | ErrorKind::Connect(_) => true,
            ErrorKind::Rejected { not_run, .. } => *not_run,
            _ => matches!(self.step, Step::Discover | Step::Key),
        }
    }
}

/// The kind of a [`ClientError`].
#[derive(Debug, Error)]
pub enum ErrorKind {
    #[error("{0}")]
    Settings(String),
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection failed or the peer stopped responding after it may have received the request.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    #[error("no answer before the deadline")]
    DeadlineExceeded,
    #[error("refused with {status} {code}: {message}")]
    Rejected {
        status: u16,
        code: String,
        message: String,
        not_run: bool,
    },
    #[error("cannot read the answer: {0}")]
    InvalidAnswer(String),
}

/// A step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Setup,
    Discover,
    Key,
    Query,
    Once,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Setup => "client settings",
            Step::Discover => "address discovery",
            Step::Key => "request key",
            Step::Query => "query",
            Step::Once => "at-most-once request",
        })
    }
}
