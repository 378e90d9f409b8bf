//! A caller's connection, and the check that an answer is the leaf's answer to its request.

use std::{io, net::SocketAddr, time::Duration};

use cranberrychute_emulator::Stamped;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

use crate::site::TOP_RECORDS;

/// Pause after each piece of an answer that is read slowly.
const PIECE_PAUSE: Duration = Duration::from_millis(10);
/// Size of the pieces of an answer that is read at once.
const READ_BYTES: usize = 64 << 10;
/// Maximum number of fields in the head of an answer.
const MAX_FIELDS: usize = 32;
/// Size of the records in answers to queries over several leaves.
const RECORD_BYTES: usize = 16;

/// A connection that carries one request at a time.
pub(crate) struct Caller {
    stream: TcpStream,
    /// Size of the pieces in which answers are read slowly.
    piece: Option<usize>,
}

/// The state of a connection between two requests.
pub(crate) enum Idle {
    Open(Caller),
    Closed,
    /// This number of bytes came without a request.
    Stray(usize),
}

impl Caller {
    pub(crate) async fn open(node: SocketAddr, piece: Option<usize>) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = piece {
            socket.set_recv_buffer_size(bytes as u32)?;
        }
        let stream = socket.connect(node).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, piece })
    }

    /// Returns whether the connection can carry another request.
    pub(crate) fn idle(self) -> Idle {
        match self.stream.try_read(&mut [0; 1 << 10]) {
            Ok(0) => Idle::Closed,
            Ok(bytes) => Idle::Stray(bytes),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Idle::Open(self),
            Err(_) => Idle::Closed,
        }
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads a whole answer.
    pub(crate) async fn read(&mut self) -> io::Result<Answer> {
        let mut bytes = Vec::new();
        let mut buffer = vec![0; self.piece.unwrap_or(READ_BYTES)];
        loop {
            let received = self.stream.read(&mut buffer).await?;
            if received == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            bytes.extend_from_slice(&buffer[..received]);
            if let Some(answer) = Answer::parse(&bytes)? {
                return Ok(answer);
            }
            if self.piece.is_some() {
                sleep(PIECE_PAUSE).await;
            }
        }
    }
}

/// Reads the bytes of an answer, up to its end or that of the connection.
pub(crate) async fn read_bytes(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let received = stream.read(&mut buffer).await?;
        bytes.extend_from_slice(&buffer[..received]);
        if received == 0 || Answer::parse(&bytes)?.is_some() {
            return Ok(bytes);
        }
    }
}

/// Returns the status of an answer that is whole.
pub(crate) fn status(bytes: &[u8]) -> Option<u16> {
    let answer = Answer::parse(bytes).ok()??;
    Some(answer.status)
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Whether the connection ends with it.
    pub(crate) closes: bool,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
    /// Number of bytes behind the answer.
    extra: usize,
}

impl Answer {
    fn parse(bytes: &[u8]) -> io::Result<Option<Self>> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let parsed = head.parse(bytes).map_err(io::Error::other)?;
        let httparse::Status::Complete(start) = parsed else {
            return Ok(None);
        };
        let fields = head.headers.iter().map(|field| {
            let value = String::from_utf8_lossy(field.value);
            (field.name.to_ascii_lowercase(), value.into_owned())
        });
        let mut answer = Self {
            status: head.code.unwrap(),
            closes: false,
            fields: fields.collect(),
            body: Vec::new(),
            extra: 0,
        };
        let length = answer.field("content-length");
        let length: usize = length.map_or(0, |length| length.parse().unwrap());
        let Some(body) = bytes.get(start..start + length) else {
            return Ok(None);
        };
        answer.body = body.to_vec();
        answer.extra = bytes.len() - start - length;
        answer.closes = answer.field("connection") == Some("close");
        Ok(Some(answer))
    }

    fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns whether the answer holds the stamp of a leaf.
    pub(crate) fn is_stamped(&self) -> bool {
        self.field("server-stamp").is_some() || self.field("part-stamps").is_some()
    }

    /// Returns why this is not the answer of a leaf to the request, if it is not.
    pub(crate) fn mixed(&self, id: &str) -> Option<String> {
        if self.extra > 0 {
            return Some(format!("{} bytes behind the answer", self.extra));
        }
        if let Some(other) = self.field("request-id")
            && other != id
        {
            return Some(format!("the answer is to {other}"));
        }
        if let Some(stamps) = self.field("part-stamps") {
            return self.mixed_parts(id, stamps);
        }
        let Some(stamp) = self.field("server-stamp") else {
            let is_success = (200..300).contains(&self.status);
            return is_success.then(|| "success without a stamp".to_owned());
        };
        let stamped = Stamped::parse(stamp)?;
        let is_same = stamped.id == id && stamped.status == self.status;
        (!is_same || stamped.body != self.body)
            .then(|| format!("status {} with stamp {stamp}", self.status))
    }

    fn mixed_parts(&self, id: &str, stamps: &str) -> Option<String> {
        let parts: Option<Vec<Stamped<'_>>> = stamps
            .split(',')
            .map(|stamp| Stamped::parse(stamp.trim()))
            .collect();
        let parts = parts?;
        let is_part = |part: &Stamped<'_>| part.id == id && part.status == 200;
        let mut records: Vec<&[u8]> = parts
            .iter()
            .flat_map(|part| part.body.chunks_exact(RECORD_BYTES))
            .collect();
        records.sort_unstable_by(|a, b| b.cmp(a));
        records.truncate(TOP_RECORDS);
        (!parts.iter().all(is_part) || records.concat() != self.body)
            .then(|| format!("parts {stamps} with {} bytes", self.body.len()))
    }
}

/// Guards against soaks that do not notice the answer to another request, or an answer that is not the leaf's.
#[test]
fn answers_that_are_not_the_leafs_are_noticed() {
    let stamp = "i-0a.q-7.1.200.32";
    let whole = Stamped::parse(stamp).unwrap().body;
    let mixed = |status: u16, fields: &str, body: &[u8]| {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} x\r\n{fields}content-length: {length}\r\n\r\n");
        let answer = Answer::parse(&[head.as_bytes(), body].concat());
        answer.unwrap().unwrap().mixed("q-7")
    };
    let stamped = |stamp: &str| format!("server-stamp: {stamp}\r\n");
    assert_eq!(mixed(200, &stamped(stamp), &whole), None);
    assert_eq!(mixed(503, "", b""), None);
    let faults = [
        mixed(200, "", &whole),
        mixed(200, &stamped(stamp), &whole[1..]),
        mixed(502, &stamped(stamp), &whole),
        mixed(200, &stamped("i-0a.q-8.1.200.0"), b""),
        mixed(503, "request-id: q-8\r\n", b""),
    ];
    assert!(faults.iter().all(Option::is_some), "{faults:?}");
    let mut records: Vec<&[u8]> = whole.chunks(RECORD_BYTES).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    let falling = records.concat();
    let parts = format!("part-stamps: {stamp}\r\n");
    assert_eq!(mixed(200, &parts, &falling), None);
    records.reverse();
    assert!(mixed(200, &parts, &records.concat()).is_some());
}
