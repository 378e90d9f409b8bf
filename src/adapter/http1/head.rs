use crate::adapter::http1::{Reply, framing::Framing};

/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 48;

/// The parsed head of a response.
pub(super) struct Head {
    pub(super) reply: Reply,
    /// Length of the head including the empty line, bytes.
    pub(super) length: usize,
    pub(super) framing: Framing,
    /// The peer closes the connection after the response.
    pub(super) closes: bool,
}

impl Head {
    /// Parses the head of the response to a HEAD request (`to_head`) or another one; returns `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the bytes are not the head of a response, or do not tell where its body ends.
    pub(super) fn parse(buffer: &[u8], to_head: bool) -> Result<Option<Self>, &'static str> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("not a valid HTTP response"),
        };
        let head = &buffer[..length];
        check_line_ends(head)?;
        let status = parsed.code.ok_or("no status code")?;
        check_status(status)?;
        let fields = parsed.headers.iter();
        let fields = fields.map(|field| (field.name.as_bytes(), field.value));
        let reply = Reply::new(status, head, fields);
        let is_http_10 = parsed.version == Some(0);
        let framing = Framing::of(&reply, is_http_10, to_head)?;
        let closes =
            is_http_10 || framing == Framing::UntilClose || reply.has_connection_option("close");
        Ok(Some(Self {
            reply,
            length,
            framing,
            closes,
        }))
    }
}

/// Fails if a line does not end with CRLF. The parser also accepts a lone LF, so a head that lost a byte could end early.
fn check_line_ends(head: &[u8]) -> Result<(), &'static str> {
    let mut previous = 0;
    for byte in head {
        if *byte == b'\n' && previous != b'\r' {
            return Err("a line of the head does not end with CRLF");
        }
        previous = *byte;
    }
    Ok(())
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
