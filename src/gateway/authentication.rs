use http::HeaderMap;

use crate::{
    core::{
        account::Identity,
        routing::{Route, Routing},
    },
    platform::{KeyFault, api_key, handed_over_account},
};

/// Why a request is not authenticated. Contains no part of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AuthenticationError {
    #[error(transparent)]
    Key(#[from] KeyFault),
    #[error("unknown key")]
    UnknownKey,
    #[error("unknown account of a request that another node handed over")]
    UnknownAccount,
}

/// Determines who sent a request, by the active configuration. `route` is the route of the request, `None` if none matches.
///
/// A request that another node has handed over names its account, if that node has looked it up; otherwise the node is of an
/// earlier build, or has no accounts yet, and the request carries the caller's key.
///
/// # Errors
///
/// Fails if the configuration has accounts, the route needs one and the request has none.
pub(super) fn authenticate(
    routing: &Routing,
    route: Option<&Route>,
    headers: &HeaderMap,
    handed_over: bool,
) -> Result<Identity, AuthenticationError> {
    let Some(accounts) = routing.accounts() else {
        return Ok(Identity::Unchecked);
    };
    if route.is_some_and(|route| route.anonymous) {
        return Ok(Identity::Anonymous);
    }
    let name = handed_over.then(|| handed_over_account(headers)).flatten();
    let account = match name {
        Some(name) => accounts
            .named(name)
            .ok_or(AuthenticationError::UnknownAccount),
        None => accounts
            .find(api_key(headers)?)
            .ok_or(AuthenticationError::UnknownKey),
    };
    Ok(Identity::Account(account?.clone()))
}
