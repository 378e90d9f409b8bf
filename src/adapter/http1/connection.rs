use std::{fmt, io, net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use rustix::net::sockopt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::adapter::http1::{
    Reply,
    reply::{Framing, Head, parse_head},
};

/// Longest head of an answer, bytes. Answers of leafs carry a dozen short headers.
const MAX_HEAD: usize = 32 << 10;
/// First size of a read buffer, bytes: a usual answer in one read.
const READ_BYTES: usize = 4 << 10;

/// Probes of a silent connection before it counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// The step at which an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStep {
    Connect,
    /// Nothing of the request was handed to the socket.
    Start,
    Head,
    Body,
}

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} with {peer}: {reason}")]
pub struct ExchangeError {
    pub step: ExchangeStep,
    pub peer: SocketAddr,
    pub reason: Reason,
}

/// The cause of an [`ExchangeError`].
#[derive(Debug)]
pub enum Reason {
    Io(io::Error),
    Protocol(&'static str),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Io(error) => error.fmt(f),
            Reason::Protocol(reason) => f.write_str(reason),
        }
    }
}

impl ExchangeError {
    /// Returns the error of a connection that was not opened in time.
    pub fn connect_timeout(peer: SocketAddr) -> Self {
        Self {
            step: ExchangeStep::Connect,
            peer,
            reason: Reason::Protocol("no connection in time"),
        }
    }

    /// Returns whether the peer reset the connection.
    pub fn is_reset(&self) -> bool {
        matches!(&self.reason, Reason::Io(error) if error.kind() == io::ErrorKind::ConnectionReset)
    }

    /// Returns whether no byte of the request can have reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(self.step, ExchangeStep::Connect | ExchangeStep::Start)
    }
}

/// A client connection that carries one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    buffer: BytesMut,
    reusable: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses it; the caller bounds the time.
    pub async fn open(peer: SocketAddr) -> Result<Self, ExchangeError> {
        let failed = |error| ExchangeError {
            step: ExchangeStep::Connect,
            peer,
            reason: Reason::Io(error),
        };
        let stream = TcpStream::connect(peer).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        Ok(Self {
            stream,
            peer,
            buffer: BytesMut::new(),
            reusable: true,
        })
    }

    /// Lets the system probe the connection when the peer sends nothing for `idle`, and again each such time. After
    /// [`KEEPALIVE_PROBES`] probes without an answer the exchange fails: a connection may go silent for good without
    /// a reset.
    ///
    /// # Errors
    ///
    /// Fails if the system does not take the options.
    pub fn keep_alive(&self, idle: Duration) -> io::Result<()> {
        let stream = &self.stream;
        sockopt::set_socket_keepalive(stream, true)?;
        sockopt::set_tcp_keepidle(stream, idle)?;
        sockopt::set_tcp_keepintvl(stream, idle)?;
        sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
        let limit = u32::try_from(idle.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(stream, limit.saturating_mul(KEEPALIVE_PROBES + 1))?;
        Ok(())
    }

    /// Returns whether the connection may carry another exchange: the last one ended cleanly, the peer has not
    /// closed it and nothing arrived since.
    pub fn is_idle(&mut self) -> bool {
        if !self.reusable || !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        let waiting = self.stream.try_read(&mut byte);
        self.reusable = matches!(waiting, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.reusable
    }

    /// Sends a request and returns the answer that `accept` takes for its own; others are dropped.
    ///
    /// After an error the connection must not be used again.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the answer is no complete HTTP answer of at most `limit` bytes.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        limit: usize,
        accept: impl Fn(&Reply) -> bool,
    ) -> Result<Reply, ExchangeError> {
        self.reusable = false;
        let peer = self.peer;
        let fail = |step| move |reason| ExchangeError { step, peer, reason };
        let first = self.stream.write(request).await;
        let first = first
            .map_err(Reason::Io)
            .map_err(fail(ExchangeStep::Start))?;
        let mut rest = &request[first..];
        let mut strangers = 0_u32;
        loop {
            let head = loop {
                match parse_head(&self.buffer) {
                    Ok(Some(head)) if (100..200).contains(&head.reply.status) => {
                        self.buffer.advance(head.length);
                    }
                    Ok(Some(head)) => break head,
                    Ok(None) if self.buffer.len() < MAX_HEAD => {
                        self.fill(&mut rest)
                            .await
                            .map_err(fail(ExchangeStep::Head))?;
                    }
                    Ok(None) => {
                        let reason = Reason::Protocol("the head is too long");
                        return Err(fail(ExchangeStep::Head)(reason));
                    }
                    Err(reason) => {
                        return Err(fail(ExchangeStep::Head)(Reason::Protocol(reason)));
                    }
                }
            };
            let Head {
                mut reply,
                length,
                framing,
                closes,
            } = head;
            self.buffer.advance(length);
            let body = self.body(framing, limit, &mut rest).await;
            reply.body = body.map_err(fail(ExchangeStep::Body))?;
            if accept(&reply) {
                // A peer that answers before it has read the request may read the rest later.
                self.reusable =
                    !closes && rest.is_empty() && strangers == 0 && self.buffer.is_empty();
                return Ok(reply);
            }
            strangers += 1;
            if closes {
                let reason = Reason::Protocol("the answer belongs to another request");
                return Err(fail(ExchangeStep::Head)(reason));
            }
        }
    }

    /// Reads more, and writes the rest of the request where the peer takes it.
    async fn fill(&mut self, rest: &mut &[u8]) -> Result<(), Reason> {
        self.buffer.reserve(READ_BYTES);
        let read = if rest.is_empty() {
            self.stream.read_buf(&mut self.buffer).await
        } else {
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                read = reader.read_buf(&mut self.buffer) => read,
                wrote = writer.write(rest) => {
                    *rest = &rest[wrote.map_err(Reason::Io)?..];
                    return Ok(());
                }
            }
        };
        match read.map_err(Reason::Io)? {
            0 => Err(Reason::Protocol("the peer closed the connection")),
            _ => Ok(()),
        }
    }

    async fn body(
        &mut self,
        framing: Framing,
        limit: usize,
        rest: &mut &[u8],
    ) -> Result<Bytes, Reason> {
        match framing {
            Framing::Length(length) if length > limit => {
                Err(Reason::Protocol("the body is too long"))
            }
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.fill(rest).await?;
                }
                Ok(self.take(length))
            }
            Framing::Close => {
                loop {
                    self.buffer.reserve(READ_BYTES);
                    // A reset is an error here, so an interrupted body is not taken for a complete one.
                    let read = self.stream.read_buf(&mut self.buffer).await;
                    if read.map_err(Reason::Io)? == 0 {
                        break;
                    }
                    if self.buffer.len() > limit {
                        return Err(Reason::Protocol("the body is too long"));
                    }
                }
                let length = self.buffer.len();
                Ok(self.take(length))
            }
            Framing::Chunked => self.chunks(limit, rest).await,
        }
    }

    async fn chunks(&mut self, limit: usize, rest: &mut &[u8]) -> Result<Bytes, Reason> {
        let mut body = BytesMut::new();
        loop {
            let (start, size) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete(parsed)) => break parsed,
                    Ok(httparse::Status::Partial) if self.buffer.len() < MAX_HEAD => {
                        self.fill(rest).await?;
                    }
                    _ => return Err(Reason::Protocol("a chunk has no valid size")),
                }
            };
            self.buffer.advance(start);
            let size = usize::try_from(size).unwrap_or(usize::MAX);
            if size == 0 {
                self.trailers(rest).await?;
                return Ok(body.freeze());
            }
            if body.len().saturating_add(size) > limit {
                return Err(Reason::Protocol("the body is too long"));
            }
            while self.buffer.len() < size + 2 {
                self.fill(rest).await?;
            }
            body.extend_from_slice(&self.buffer[..size]);
            if &self.buffer[size..size + 2] != b"\r\n" {
                return Err(Reason::Protocol("a chunk does not end where its size says"));
            }
            self.buffer.advance(size + 2);
        }
    }

    async fn trailers(&mut self, rest: &mut &[u8]) -> Result<(), Reason> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\r\n");
            match end {
                Some(0) => {
                    self.buffer.advance(2);
                    return Ok(());
                }
                Some(end) => self.buffer.advance(end + 2),
                None if self.buffer.len() < MAX_HEAD => self.fill(rest).await?,
                None => return Err(Reason::Protocol("the trailers are too long")),
            }
        }
    }

    /// Takes a body off the buffer: all of it with its memory, a part as a copy that does not hold the rest.
    fn take(&mut self, length: usize) -> Bytes {
        if length == self.buffer.len() {
            let body = std::mem::take(&mut self.buffer);
            return body.freeze();
        }
        let body = Bytes::copy_from_slice(&self.buffer[..length]);
        self.buffer.advance(length);
        body
    }
}
