//! HTTP/1.1 messages over blocking sockets, as far as the cases need them.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response: its first line, its headers and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message. Returns `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message {
        start: start.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    }))
}

/// Reads a message with a body of a stated length. Returns `None` if the connection ended before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message.header("content-length").unwrap_or("0");
    let length: usize = length.parse().map_err(io::Error::other)?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Why a caller has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// The connection was not established.
    Unconnected,
    /// The connection ended without a complete answer.
    Closed,
    /// The caller's time is over.
    Timeout,
}

/// Sends a request on a connection of its own and returns the answer.
pub fn call(to: SocketAddr, request: &str, time: Duration) -> Result<Message, NoAnswer> {
    let end = Instant::now() + time;
    let connect_time = time.min(Duration::from_secs(1));
    let stream = TcpStream::connect_timeout(&to, connect_time);
    let mut stream = stream.map_err(|_| NoAnswer::Unconnected)?;
    let left = end.saturating_duration_since(Instant::now());
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let sent = stream.write_all(request.as_bytes());
    sent.map_err(|_| NoAnswer::Closed)?;
    match read_message(&mut BufReader::new(stream)) {
        Ok(Some(answer)) => Ok(answer),
        Ok(None) => Err(NoAnswer::Closed),
        Err(error) if Instant::now() >= end || is_timeout(&error) => Err(NoAnswer::Timeout),
        Err(_) => Err(NoAnswer::Closed),
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
