use std::{fmt, io, net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use rustix::net::sockopt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::adapter::http1::{
    Reply,
    chunk::{check_trailer, first_line, parse_size},
    framing::Framing,
    head::Head,
};

/// Maximum size of a response head, a chunk header or a trailer field, bytes. Responses of leaves carry a dozen short
/// headers.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Maximum number of bytes of an exchange beyond its body: heads, chunk headers, trailers and skipped responses.
const MAX_OVERHEAD_BYTES: usize = 64 << 10;
/// Maximum number of interim responses, and of responses to other requests, in an exchange.
const MAX_SKIPPED: u32 = 16;
/// Buffer space reserved before each read, bytes. A typical response fits in one read.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Number of unanswered keep-alive probes after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// The step at which an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStep {
    Connect,
    /// Sending the first bytes of the request: no byte was handed to the socket.
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
    /// Returns the error for a connection that was not opened before the timeout.
    pub fn connect_timeout(peer: SocketAddr) -> Self {
        Self {
            step: ExchangeStep::Connect,
            peer,
            reason: Reason::Protocol("connection timed out"),
        }
    }

    /// Returns the error for an exchange that is no longer needed and was not started.
    pub fn cancelled(peer: SocketAddr) -> Self {
        Self {
            step: ExchangeStep::Start,
            peer,
            reason: Reason::Protocol("the request is no longer needed"),
        }
    }

    /// Returns whether the peer reset the connection.
    pub fn is_reset(&self) -> bool {
        matches!(&self.reason, Reason::Io(error) if error.kind() == io::ErrorKind::ConnectionReset)
    }

    /// Returns whether nothing listens at the peer's address.
    pub fn is_refused(&self) -> bool {
        matches!(&self.reason, Reason::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
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
    /// Number of bytes that the exchange in progress may still receive.
    allowance: usize,
    reusable: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened. This function applies no timeout, so its callers must set one.
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
            allowance: 0,
            reusable: true,
        })
    }

    /// Enables TCP keep-alive. The system probes the connection when the peer has sent nothing for `idle`, and again
    /// every `idle`. After [`KEEPALIVE_PROBES`] unanswered probes the exchange fails: a connection may stop delivering
    /// bytes without a reset.
    ///
    /// # Errors
    ///
    /// Fails if the system rejects the socket options.
    pub fn keep_alive(&self, idle: Duration) -> io::Result<()> {
        let stream = &self.stream;
        sockopt::set_socket_keepalive(stream, true)?;
        sockopt::set_tcp_keepidle(stream, idle)?;
        sockopt::set_tcp_keepintvl(stream, idle)?;
        sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
        let idle_ms = u32::try_from(idle.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(stream, idle_ms.saturating_mul(KEEPALIVE_PROBES + 1))?;
        Ok(())
    }

    /// Returns whether the connection can carry another exchange: the last one completed, the peer has not closed
    /// the connection and no bytes have arrived since.
    pub fn is_idle(&mut self) -> bool {
        if !self.reusable || !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        self.reusable = matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.reusable
    }

    /// Sends a request and returns the first response that `accept` matches; others are discarded.
    ///
    /// After an error the connection must not be used again.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or no complete HTTP response with a body of at most `limit` bytes arrives, and as
    /// soon as the peer has sent more than such a response can need.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        limit: usize,
        accept: impl Fn(&Reply) -> bool,
    ) -> Result<Reply, ExchangeError> {
        self.reusable = false;
        self.allowance = limit.saturating_add(MAX_OVERHEAD_BYTES);
        let peer = self.peer;
        let fail = |step| move |reason| ExchangeError { step, peer, reason };
        let written = self.stream.write(request).await;
        let written = written
            .map_err(Reason::Io)
            .map_err(fail(ExchangeStep::Start))?;
        let mut unsent = &request[written..];
        let to_head = request.starts_with(b"HEAD ");
        let (mut skipped, mut interim) = (0_u32, 0_u32);
        loop {
            let head = loop {
                match Head::parse(&self.buffer, to_head) {
                    Ok(Some(_)) if skipped > MAX_SKIPPED => {
                        let reason = Reason::Protocol("too many responses");
                        return Err(fail(ExchangeStep::Head)(reason));
                    }
                    Ok(Some(head)) if (100..200).contains(&head.reply.status) => {
                        self.buffer.advance(head.length);
                        interim += 1;
                        if interim > MAX_SKIPPED {
                            let reason = Reason::Protocol("too many interim responses");
                            return Err(fail(ExchangeStep::Head)(reason));
                        }
                    }
                    Ok(Some(head)) => break head,
                    Ok(None) if self.buffer.len() < MAX_HEAD_BYTES => {
                        self.fill(&mut unsent)
                            .await
                            .map_err(fail(ExchangeStep::Head))?;
                    }
                    Ok(None) => {
                        let reason = Reason::Protocol("response head is too long");
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
            let body = self.read_body(framing, limit, &mut unsent).await;
            reply.body = body.map_err(fail(ExchangeStep::Body))?;
            if accept(&reply) {
                // A peer that responds before it has read the whole request may still read the rest later.
                self.reusable =
                    !closes && unsent.is_empty() && skipped == 0 && self.buffer.is_empty();
                return Ok(reply);
            }
            skipped += 1;
            if closes {
                let reason = Reason::Protocol("response belongs to another request");
                return Err(fail(ExchangeStep::Head)(reason));
            }
        }
    }

    /// Reads more bytes into the buffer, or writes more of the request if the peer accepts it first.
    async fn fill(&mut self, unsent: &mut &[u8]) -> Result<(), Reason> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        let read = if unsent.is_empty() {
            self.stream.read_buf(&mut self.buffer).await
        } else {
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                read = reader.read_buf(&mut self.buffer) => read,
                wrote = writer.write(unsent) => {
                    *unsent = &unsent[wrote.map_err(Reason::Io)?..];
                    return Ok(());
                }
            }
        };
        match read.map_err(Reason::Io)? {
            0 => Err(Reason::Protocol("connection closed by peer")),
            received => self.spend(received),
        }
    }

    /// Counts bytes received in the exchange in progress.
    fn spend(&mut self, received: usize) -> Result<(), Reason> {
        let left = self.allowance.checked_sub(received);
        self.allowance = left.ok_or(Reason::Protocol("response is too long"))?;
        Ok(())
    }

    async fn read_body(
        &mut self,
        framing: Framing,
        limit: usize,
        unsent: &mut &[u8],
    ) -> Result<Bytes, Reason> {
        match framing {
            Framing::Length(length) if length > limit => {
                Err(Reason::Protocol("response body is too long"))
            }
            Framing::Length(length) => {
                while self.buffer.len() < length {
                    self.fill(unsent).await?;
                }
                Ok(self.take_body(length))
            }
            Framing::UntilClose => {
                loop {
                    self.buffer.reserve(READ_BUFFER_BYTES);
                    // A reset is an error here, so a truncated body is not mistaken for a complete one.
                    let read = self.stream.read_buf(&mut self.buffer).await;
                    let received = read.map_err(Reason::Io)?;
                    if received == 0 {
                        break;
                    }
                    self.spend(received)?;
                    if self.buffer.len() > limit {
                        return Err(Reason::Protocol("response body is too long"));
                    }
                }
                let length = self.buffer.len();
                Ok(self.take_body(length))
            }
            Framing::Chunked => self.read_chunked(limit, unsent).await,
        }
    }

    async fn read_chunked(&mut self, limit: usize, unsent: &mut &[u8]) -> Result<Bytes, Reason> {
        let mut body = BytesMut::new();
        loop {
            let line = self.read_line(unsent, "invalid chunk size").await?;
            let size = parse_size(&line).map_err(Reason::Protocol)?;
            if size == 0 {
                self.skip_trailers(unsent).await?;
                return Ok(body.freeze());
            }
            if body.len().saturating_add(size) > limit {
                return Err(Reason::Protocol("response body is too long"));
            }
            while self.buffer.len() < size + 2 {
                self.fill(unsent).await?;
            }
            body.extend_from_slice(&self.buffer[..size]);
            if &self.buffer[size..size + 2] != b"\r\n" {
                return Err(Reason::Protocol("chunk data is not followed by CRLF"));
            }
            self.buffer.advance(size + 2);
        }
    }

    async fn skip_trailers(&mut self, unsent: &mut &[u8]) -> Result<(), Reason> {
        loop {
            let line = self
                .read_line(unsent, "response trailers are too long")
                .await?;
            if line.is_empty() {
                return Ok(());
            }
            check_trailer(&line).map_err(Reason::Protocol)?;
        }
    }

    /// Reads a line that ends with CRLF, and returns it without its end. A line that is too long fails with `reason`.
    async fn read_line(
        &mut self,
        unsent: &mut &[u8],
        reason: &'static str,
    ) -> Result<BytesMut, Reason> {
        loop {
            if let Some(length) = first_line(&self.buffer).map(<[u8]>::len) {
                let line = self.buffer.split_to(length);
                self.buffer.advance(2);
                return Ok(line);
            }
            if self.buffer.len() >= MAX_HEAD_BYTES {
                return Err(Reason::Protocol(reason));
            }
            self.fill(unsent).await?;
        }
    }

    /// Removes a body from the buffer. A body that fills the buffer takes over its memory; a shorter one is copied, so
    /// that it does not keep the memory of the rest allocated.
    fn take_body(&mut self, length: usize) -> Bytes {
        if length == self.buffer.len() {
            let body = std::mem::take(&mut self.buffer);
            return body.freeze();
        }
        let body = Bytes::copy_from_slice(&self.buffer[..length]);
        self.buffer.advance(length);
        body
    }
}
