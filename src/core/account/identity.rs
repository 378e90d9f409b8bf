use std::sync::Arc;

use crate::core::account::Account;

/// What is known about the sender of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Identity {
    /// The configuration has no accounts, so senders are not distinguished.
    Unchecked,
    /// The route needs no key.
    Anonymous,
    Account(Arc<Account>),
}

impl Identity {
    /// Returns the account that sent the request.
    pub fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Self::Account(account) => Some(account),
            Self::Unchecked | Self::Anonymous => None,
        }
    }
}
