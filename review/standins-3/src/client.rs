//! A caller that sends one request on a connection of its own.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1);
        let mut fields = lines.filter_map(|line| line.split_once(':'));
        fields
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }
}

/// Sends a GET request and waits for its answer for `limit` at most.
pub async fn get(
    address: SocketAddr,
    path: &str,
    host: &str,
    id: &str,
    deadline_ms: Option<u64>,
    limit: Duration,
) -> io::Result<Answer> {
    let mut request = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n");
    if !id.is_empty() {
        request += &format!("Request-Id: {id}\r\n");
    }
    if let Some(millis) = deadline_ms {
        request += &format!("Deadline-Ms: {millis}\r\n");
    }
    request += "\r\n";
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(request.as_bytes()).await?;
        read_answer(&mut stream).await
    };
    timeout(limit, exchange)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Reads an answer whose body has a length.
pub async fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut body = bytes.split_off(head_end + 4);
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let mut answer = Answer {
        status,
        head,
        body: Vec::new(),
    };
    let length = answer
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let length = length.unwrap_or(0);
    while body.len() < length {
        if stream.read_buf(&mut body).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    body.truncate(length);
    answer.body = body;
    Ok(answer)
}
