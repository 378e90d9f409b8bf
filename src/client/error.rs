use std::fmt;

use thiserror::Error;

/// Why a request has no answer.
#[derive(Debug, Error)]
#[error("{step}{}: {kind}", peer.as_deref().map(|peer| format!(" at {peer}")).unwrap_or_default())]
pub struct ClientError {
    pub kind: ErrorKind,
    /// What was being done.
    pub step: Step,
    /// The address it was done at.
    pub peer: Option<String>,
    /// An attempt before this one may have run.
    pub(super) earlier: bool,
}

impl ClientError {
    pub(super) fn new(kind: ErrorKind, step: Step, peer: impl ToString) -> Self {
        Self {
            kind,
            step,
            peer: Some(peer.to_string()),
            earlier: false,
        }
    }

    /// Creates an error that belongs to no single address.
    pub(super) fn anywhere(kind: ErrorKind, step: Step) -> Self {
        Self {
            kind,
            step,
            peer: None,
            earlier: false,
        }
    }

    /// Marks that an earlier attempt of the same request may have run.
    pub(super) fn after(mut self, sent: bool) -> Self {
        self.earlier |= sent;
        self
    }

    /// Returns whether it is certain that the query did not run.
    pub fn is_not_run(&self) -> bool {
        if self.earlier {
            return false;
        }
        match &self.kind {
            ErrorKind::Settings(_) | ErrorKind::Connect(_) => true,
            ErrorKind::Rejected { not_run, .. } => *not_run,
            _ => matches!(self.step, Step::Discover | Step::Key),
        }
    }
}

/// The kinds of [`ClientError`].
#[derive(Debug, Error)]
pub enum ErrorKind {
    #[error("{0}")]
    Settings(String),
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection broke or the peer stopped answering after it may have got the request.
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

/// The steps of a request.
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
