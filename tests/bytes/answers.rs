//! Answers of leaves that are mutated byte by byte, against a reference that reads them strictly by the grammar of RFC 9112.

use proptest::{collection::vec, prelude::*, sample::select};

use crate::{MAX_BODY_BYTES, exchange, seeds};

/// Maximum number of interim answers before the final one.
const MAX_INTERIM: usize = 16;

const SOUND: [&str; 8] = [
    "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=4\r\nA:\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nhe\r\n3 \r\nllo\r\n0\r\nEnd: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
    "HTTP/1.0 503 Busy\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    "HTTP/1.1 204 None\r\n\r\n",
];

const PIECES: [&str; 16] = [
    "\r\n",
    "\n",
    "\r",
    " ",
    "\t",
    ":",
    "+",
    "0",
    "5",
    ";",
    ",",
    "\0",
    "Content-Length: 5\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Keep-Alive: timeout=4\r\n",
    "no field\r\n",
];

#[derive(Clone, Debug)]
enum Mutation {
    Set(u8),
    Insert(&'static str),
    Delete,
    /// Repeats up to this number of bytes.
    Repeat(usize),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        any::<u8>().prop_map(Mutation::Set),
        select(PIECES.as_slice()).prop_map(Mutation::Insert),
        Just(Mutation::Delete),
        (1..30_usize).prop_map(Mutation::Repeat),
    ]
}

impl Mutation {
    fn apply(&self, bytes: &mut Vec<u8>, at: usize) {
        match self {
            Self::Set(byte) => bytes[at] = *byte,
            Self::Insert(piece) => drop(bytes.splice(at..at, piece.bytes())),
            Self::Delete => drop(bytes.remove(at)),
            Self::Repeat(count) => {
                let end = bytes.len().min(at + count);
                let part = bytes[at..end].to_vec();
                bytes.splice(at..at, part);
            }
        }
    }
}

/// The status and body of an answer, `None` for bytes that are none.
type Answer = Option<(u16, Vec<u8>)>;

/// Reads an answer after which the connection is closed.
fn reference(mut bytes: &[u8]) -> Answer {
    for _ in 0..=MAX_INTERIM {
        while let Some(rest) = bytes.strip_prefix(b"\r\n") {
            bytes = rest;
        }
        let (version, status) = status_line(line(&mut bytes)?)?;
        let fields = fields(&mut bytes)?;
        if !(100..600).contains(&status) || status == 101 {
            return None;
        }
        let body = body(bytes, &fields, version, status)?;
        if status >= 200 {
            return Some((status, body));
        }
    }
    None
}

/// Takes a line and its end from the front.
fn line<'b>(bytes: &mut &'b [u8]) -> Option<&'b [u8]> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    let (line, rest) = bytes.split_at(end);
    *bytes = &rest[2..];
    line.iter().all(|byte| is_text(*byte)).then_some(line)
}

fn is_text(byte: u8) -> bool {
    byte == b'\t' || byte >= b' ' && byte != 127
}

fn status_line(line: &[u8]) -> Option<(u8, u16)> {
    let line = line.strip_prefix(b"HTTP/1.")?;
    let (minor, line) = line.split_first()?;
    let line = line.strip_prefix(b" ")?;
    let (code, reason) = line.split_at_checked(3)?;
    let is_status = code.iter().all(u8::is_ascii_digit) && matches!(minor, b'0' | b'1');
    let is_reason = reason.is_empty() || reason[0] == b' ';
    let code = std::str::from_utf8(code).ok()?.parse().ok()?;
    (is_status && is_reason).then_some((*minor, code))
}

fn fields<'b>(bytes: &mut &'b [u8]) -> Option<Vec<(String, &'b [u8])>> {
    let mut fields = Vec::new();
    loop {
        let line = line(bytes)?;
        if line.is_empty() {
            return Some(fields);
        }
        let colon = line.iter().position(|byte| *byte == b':')?;
        let is_token =
            |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
        if colon == 0 || !line[..colon].iter().all(is_token) {
            return None;
        }
        let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
        fields.push((name, trim(&line[colon + 1..])));
    }
}

/// Removes spaces and tabs at both ends.
fn trim(text: &[u8]) -> &[u8] {
    let is_blank = |byte: &u8| matches!(byte, b' ' | b'\t');
    let start = text.iter().take_while(|byte| is_blank(byte)).count();
    let end = text[start..]
        .iter()
        .rev()
        .take_while(|byte| is_blank(byte))
        .count();
    &text[start..text.len() - end]
}

fn body(rest: &[u8], fields: &[(String, &[u8])], version: u8, status: u16) -> Option<Vec<u8>> {
    let values = |name: &str| -> Vec<&[u8]> {
        let named = fields.iter().filter(|(key, _)| key == name);
        named.map(|(_, value)| *value).collect()
    };
    let codings = values("transfer-encoding");
    let lengths = values("content-length");
    let is_chunked = !codings.is_empty();
    if is_chunked
        && (codings.len() > 1
            || !codings[0].eq_ignore_ascii_case(b"chunked")
            || !lengths.is_empty()
            || version == b'0')
    {
        return None;
    }
    let length = match lengths.as_slice() {
        [] => None,
        [first, others @ ..] => {
            let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
            if !is_number || others.iter().any(|other| other != first) {
                return None;
            }
            Some(std::str::from_utf8(first).ok()?.parse::<usize>().ok()?)
        }
    };
    if status < 200 || status == 204 {
        return (!is_chunked && length.unwrap_or(0) == 0).then(Vec::new);
    }
    if status == 304 {
        return Some(Vec::new());
    }
    if is_chunked {
        return chunks(rest);
    }
    let mut options = values("connection")
        .into_iter()
        .flat_map(|value| value.split(|byte| *byte == b','));
    let persists = options.any(|option| trim(option).eq_ignore_ascii_case(b"keep-alive"))
        || !values("keep-alive").is_empty();
    match length {
        Some(length) if length > MAX_BODY_BYTES => None,
        Some(length) => Some(rest.get(..length)?.to_vec()),
        None if persists => None,
        None => Some(rest.to_vec()),
    }
}

fn chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = line(&mut rest)?;
        let digits = line
            .iter()
            .take_while(|byte| byte.is_ascii_hexdigit())
            .count();
        let extensions = trim(&line[digits..]);
        if !(1..=16).contains(&digits) || !extensions.is_empty() && extensions[0] != b';' {
            return None;
        }
        let size = std::str::from_utf8(&line[..digits]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return fields(&mut rest).map(|_| body);
        }
        body.extend(rest.get(..size)?);
        rest = rest[size..].strip_prefix(b"\r\n")?;
        if body.len() > MAX_BODY_BYTES {
            return None;
        }
    }
}

#[test]
fn the_reference_takes_sound_answers() {
    for sound in SOUND {
        assert!(reference(sound.as_bytes()).is_some(), "{sound:?}");
    }
}

proptest! {
    #![proptest_config(seeds::proptest_config())]

    /// Guards against a spoilt answer that is read as a complete one, and against a sound one that is refused. For long runs, set
    /// `PROPTEST_CASES` and `SEED`.
    #[test]
    fn mutated_answers_are_read_by_the_grammar(
        sound in select(SOUND.as_slice()),
        mutations in vec((any::<prop::sample::Index>(), mutation()), 0..4),
    ) {
        let mut bytes = sound.as_bytes().to_vec();
        for (at, mutation) in mutations {
            let at = at.index(bytes.len());
            mutation.apply(&mut bytes, at);
        }
        let read = exchange(bytes.clone()).map(|reply| (reply.status, reply.body.to_vec()));
        prop_assert_eq!(read, reference(&bytes), "{}", bytes.escape_ascii());
    }
}
