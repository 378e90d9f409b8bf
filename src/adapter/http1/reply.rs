use bytes::Bytes;
use smallvec::SmallVec;

/// Maximum number of headers in a response.
pub(super) const MAX_HEADERS: usize = 48;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length(usize),
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    head: Bytes,
    /// Name and value of each header, as byte ranges of the head.
    headers: SmallVec<[(Span, Span); 12]>,
    pub body: Bytes,
}

type Span = (u32, u32);

/// The parsed head of a response.
pub(super) struct Head {
    pub(super) reply: Reply,
    /// Length of the head including the empty line, bytes.
    pub(super) length: usize,
    pub(super) framing: Framing,
    /// The peer closes the connection after the response.
    pub(super) closes: bool,
}

impl Reply {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers()
            .find(|(key, _)| key.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Returns all headers in order.
    pub fn headers(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.headers
            .iter()
            .map(|(name, value)| (self.span(*name), self.span(*value)))
    }

    /// Returns the first value of a header if it is valid UTF-8.
    pub fn header_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.header(name)?).ok()
    }

    fn span(&self, (from, to): Span) -> &[u8] {
        &self.head[from as usize..to as usize]
    }
}

/// Parses a response head; returns `None` while it is incomplete.
pub(super) fn parse_head(buffer: &[u8]) -> Result<Option<Head>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err("not a valid HTTP response"),
    };
    let status = parsed.code.ok_or("no status code")?;
    check_status(status)?;
    let span = |part: &[u8]| {
        let from = part.as_ptr() as usize - buffer.as_ptr() as usize;
        (from as u32, (from + part.len()) as u32)
    };
    let spans = parsed
        .headers
        .iter()
        .map(|header| (span(header.name.as_bytes()), span(header.value)))
        .collect();
    let reply = Reply {
        status,
        head: Bytes::copy_from_slice(&buffer[..length]),
        headers: spans,
        body: Bytes::new(),
    };
    let framing = framing(&reply)?;
    let closes = parsed.version == Some(0)
        || framing == Framing::UntilClose
        || reply
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case(b"close"));
    Ok(Some(Head {
        reply,
        length,
        framing,
        closes,
    }))
}

/// Fails for a code that is no status of HTTP (RFC 9110, section 15), and for a switch of the protocol, which no request asks
/// for.
fn check_status(status: u16) -> Result<(), &'static str> {
    match status {
        101 => Err("protocol switch that was not requested"),
        100..600 => Ok(()),
        _ => Err("invalid status code"),
    }
}

fn framing(reply: &Reply) -> Result<Framing, &'static str> {
    if reply.status < 200 || matches!(reply.status, 204 | 304) {
        return Ok(Framing::Length(0));
    }
    if let Some(coding) = reply.header("transfer-encoding") {
        if coding.eq_ignore_ascii_case(b"chunked") {
            return Ok(Framing::Chunked);
        }
        return Err("unsupported transfer coding");
    }
    let mut lengths = reply
        .headers()
        .filter(|(name, _)| name.eq_ignore_ascii_case(b"content-length"))
        .map(|(_, value)| value);
    let Some(first) = lengths.next() else {
        return Ok(Framing::UntilClose);
    };
    if lengths.any(|other| other != first) {
        return Err("conflicting content-length headers");
    }
    let text = std::str::from_utf8(first).map_err(|_| "content-length is not a valid number")?;
    let length = text
        .trim()
        .parse()
        .map_err(|_| "content-length is not a valid number")?;
    Ok(Framing::Length(length))
}
