use http::{header, request};

use crate::core::crash::Fingerprint;

/// Returns the identity of a request's content: method, host, path with query, the caller's credentials and the body.
/// Other headers may differ between the attempts of one caller.
pub(super) fn fingerprint(parts: &request::Parts, host: &str, body: &[u8]) -> Fingerprint {
    let host = host.to_ascii_lowercase();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let credentials = [header::AUTHORIZATION, header::COOKIE]
        .into_iter()
        .flat_map(|name| parts.headers.get_all(name))
        .map(|value| value.as_bytes());
    let fields = [parts.method.as_str(), &host, path].map(str::as_bytes);
    Fingerprint::of_fields(fields.into_iter().chain([body]).chain(credentials))
}
