use smallvec::SmallVec;

use crate::adapter::http1::Reply;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length(usize),
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

impl Framing {
    /// Determines how the body of a response ends (RFC 9112, section 6.3). `to_head` is set for the response to a HEAD request,
    /// which has no body.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the headers contradict each other or are not valid. The end of the body is then unknown.
    pub(super) fn of(reply: &Reply, is_http_10: bool, to_head: bool) -> Result<Self, &'static str> {
        let is_chunked = is_chunked(reply)?;
        let length = content_length(reply)?;
        if is_chunked && length.is_some() {
            return Err("both transfer-encoding and content-length");
        }
        if is_chunked && is_http_10 {
            return Err("transfer-encoding in an HTTP/1.0 response");
        }
        match reply.status {
            100..200 | 204 if is_chunked || length.is_some_and(|length| length > 0) => {
                Err("a body with a status that has none")
            }
            100..200 | 204 | 304 => Ok(Self::Length(0)),
            _ if to_head => Ok(Self::Length(0)),
            _ if is_chunked => Ok(Self::Chunked),
            _ => match length {
                Some(length) => Ok(Self::Length(length)),
                // A connection persists only if all its messages define their length (RFC 9112, section 9.3).
                None if states_persistence(reply) => {
                    Err("no body length on a connection that persists")
                }
                None => Ok(Self::UntilClose),
            },
        }
    }
}

/// Returns whether the body is chunked. No other coding is supported, as requests do not offer any.
fn is_chunked(reply: &Reply) -> Result<bool, &'static str> {
    let codings: SmallVec<[&[u8]; 1]> = reply.header_values("transfer-encoding").collect();
    match codings.as_slice() {
        [] => Ok(false),
        [coding] if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err("unsupported transfer coding"),
    }
}

/// Returns the length that the response states. Repeated headers must agree.
fn content_length(reply: &Reply) -> Result<Option<usize>, &'static str> {
    let mut values = reply.header_values("content-length");
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.any(|other| other != first) {
        return Err("conflicting content-length headers");
    }
    // `parse` alone accepts a sign.
    let digits = Some(first).filter(|value| value.iter().all(u8::is_ascii_digit));
    let text = digits.and_then(|digits| std::str::from_utf8(digits).ok());
    let length = text.and_then(|text| text.parse().ok());
    length
        .map(Some)
        .ok_or("content-length is not a valid number")
}

/// Returns whether the peer states that the connection stays open after the response.
fn states_persistence(reply: &Reply) -> bool {
    reply.header("keep-alive").is_some() || reply.has_connection_option("keep-alive")
}
