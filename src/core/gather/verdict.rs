/// What a leaf's answer shows about the request that it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerSigns {
    /// The leaf states that it has not run the request.
    pub not_run: bool,
    /// The address belongs to another leaf.
    pub misdirected: bool,
    /// The status is a server error.
    pub failed: bool,
    /// The leaf has signed the answer, as it does whenever it has run the request.
    pub signed: bool,
    /// The answer names its request.
    pub named: bool,
}

/// The call that an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredCall {
    /// The request may run more than once.
    pub repeatable: bool,
    /// The answer is the first one on its connection, so it cannot be a late copy of another one.
    pub is_first: bool,
}

/// What the answer of a leaf means for its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller can get the answer.
    Answer,
    /// The leaf failed while it ran the request. The caller gets the answer if no other leaf succeeds.
    Failed,
    /// The leaf had no free capacity and did not run the request.
    Shed,
    /// Another leaf received the request and did not run it.
    Misdirected,
    /// The request may have run, and the caller must not get the answer, for this reason.
    Unusable(&'static str),
}

impl AnswerSigns {
    /// Decides what the answer means for a call.
    pub fn verdict(&self, call: AnsweredCall) -> Verdict {
        match self {
            Self { not_run: true, .. } if !call.repeatable && !self.named && !call.is_first => {
                Verdict::Unusable("a rejection without an id")
            }
            Self {
                not_run: true,
                misdirected: true,
                ..
            } => Verdict::Misdirected,
            Self { not_run: true, .. } => Verdict::Shed,
            Self { signed: false, .. } => Verdict::Unusable("not signed by the leaf"),
            Self { failed: true, .. } => Verdict::Failed,
            _ => Verdict::Answer,
        }
    }
}
