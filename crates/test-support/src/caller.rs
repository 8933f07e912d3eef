//! Test callers: an HTTP/1.1 client, and one that sends arbitrary bytes.

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use snafu::{OptionExt, ResultExt, Snafu};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};
use tokio_util::sync::{CancellationToken, DropGuard};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RECEIVED_BYTES: usize = 64 * 1024 * 1024;

/// Result of a test call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Caller that keeps one HTTP/1.1 connection alive and never sends a request twice.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    connection: Option<Connection>,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _close: DropGuard,
}

impl Client {
    /// Creates a caller of the given address; it connects at the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: DEFAULT_TIMEOUT,
            connection: None,
        }
    }

    /// Sets how long a call may take.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a `GET` request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As for [`Client::send`].
    ///
    /// # Panics
    ///
    /// Panics if the path is not valid.
    pub async fn get(&mut self, path: &str) -> Result<Response<Bytes>> {
        let request = Request::builder().method(Method::GET).uri(path);
        self.send(request.body(Bytes::new()).expect("the path is valid"))
            .await
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the stage at which the call failed.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Bytes>> {
        let timeout = self.timeout;
        let call = async {
            let (head, body) = self.exchange(request).await?.into_parts();
            let body = body.collect().await.context(TruncatedSnafu)?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        let result = time::timeout(timeout, call).await;
        self.disconnect_on_error(result)
    }

    /// Sends a request and returns its answer whose body is not read yet.
    ///
    /// The next request waits for the end of that body. [`Client::disconnect`] cancels it.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the stage at which the call failed.
    pub async fn start(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>> {
        let result = time::timeout(self.timeout, self.exchange(request)).await;
        self.disconnect_on_error(result)
    }

    /// Closes the connection, even in the middle of an answer.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    async fn exchange(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>> {
        let mut request = request.map(Full::new);
        if !request.headers().contains_key(header::HOST) {
            let host = HeaderValue::try_from(self.address.to_string());
            let host = host.expect("an address is a header value");
            request.headers_mut().insert(header::HOST, host);
        }
        if let Some(connection) = &mut self.connection
            && connection.sender.ready().await.is_err()
        {
            self.connection = None;
        }
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => connect(self.address).await?,
        };
        let connection = self.connection.insert(connection);
        let answer = connection.sender.send_request(request).await;
        answer.context(UnansweredSnafu)
    }

    /// Closes the connection after a failed call, so that a late answer is not matched to the next.
    fn disconnect_on_error<T>(
        &mut self,
        result: Result<Result<T>, time::error::Elapsed>,
    ) -> Result<T> {
        let result = result.unwrap_or_else(|_elapsed| TimeoutSnafu.fail());
        if result.is_err() {
            self.disconnect();
        }
        result
    }
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
    stream.set_nodelay(true).context(ConnectSnafu)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.context(UnansweredSnafu)?;
    let close = CancellationToken::new();
    tokio::spawn(close.clone().run_until_cancelled_owned(connection));
    Ok(Connection {
        sender,
        _close: close.drop_guard(),
    })
}

/// Caller that sends and receives raw bytes, for malformed and slow requests.
#[derive(Debug)]
pub struct Raw {
    stream: TcpStream,
    timeout: Duration,
    received: Vec<u8>,
}

impl Raw {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if the connection is refused, and [`Error::Timeout`].
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let connect = time::timeout(DEFAULT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connect.ok().context(TimeoutSnafu)?.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        Ok(Self {
            stream,
            timeout: DEFAULT_TIMEOUT,
            received: Vec::new(),
        })
    }

    /// Sets how long each operation may take.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the peer has closed the connection, and [`Error::Timeout`].
    pub async fn send(&mut self, bytes: &[u8]) -> Result<()> {
        let write = time::timeout(self.timeout, self.stream.write_all(bytes)).await;
        write.ok().context(TimeoutSnafu)?.context(ClosedSnafu)
    }

    /// Sends bytes in pieces of a given size with a pause after each.
    ///
    /// # Errors
    ///
    /// As for [`Raw::send`], with the timeout for each piece.
    pub async fn send_slowly(&mut self, bytes: &[u8], piece: usize, pause: Duration) -> Result<()> {
        for piece in bytes.chunks(piece.max(1)) {
            self.send(piece).await?;
            time::sleep(pause).await;
        }
        Ok(())
    }

    /// Closes the sending side only.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the peer has reset the connection.
    pub async fn finish(&mut self) -> Result<()> {
        self.stream.shutdown().await.context(ClosedSnafu)
    }

    /// Receives through the end of the next header block, and returns it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ended`] if the connection ends earlier, [`Error::Closed`] if it is
    /// reset, [`Error::TooLong`], and [`Error::Timeout`].
    pub async fn receive_head(&mut self) -> Result<Vec<u8>> {
        let end = |bytes: &[u8]| Some(bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4);
        let length = self.receive_until(end).await?.context(EndedSnafu)?;
        Ok(self.received.drain(..length).collect())
    }

    /// Receives exactly the given number of bytes.
    ///
    /// # Errors
    ///
    /// As for [`Raw::receive_head`].
    pub async fn receive_exact(&mut self, length: usize) -> Result<Vec<u8>> {
        let end = |bytes: &[u8]| (bytes.len() >= length).then_some(length);
        let length = self.receive_until(end).await?.context(EndedSnafu)?;
        Ok(self.received.drain(..length).collect())
    }

    /// Receives until the peer closes the connection, and returns all bytes not yet returned.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if it is reset, [`Error::TooLong`], and [`Error::Timeout`].
    pub async fn receive_rest(&mut self) -> Result<Vec<u8>> {
        self.receive_until(|_| None).await?;
        Ok(std::mem::take(&mut self.received))
    }

    /// Receives until `end` finds a length, or returns `None` at the end of the connection.
    async fn receive_until(
        &mut self,
        end: impl Fn(&[u8]) -> Option<usize>,
    ) -> Result<Option<usize>> {
        let receive = async {
            loop {
                if let Some(length) = end(&self.received) {
                    return Ok(Some(length));
                }
                if self.received.len() > MAX_RECEIVED_BYTES {
                    return TooLongSnafu.fail();
                }
                let read = self.stream.read_buf(&mut self.received).await;
                if read.context(ClosedSnafu)? == 0 {
                    return Ok(None);
                }
            }
        };
        time::timeout(self.timeout, receive)
            .await
            .unwrap_or_else(|_elapsed| TimeoutSnafu.fail())
    }
}

/// Why a test call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be established.
    #[snafu(display("failed to connect"))]
    Connect {
        /// Cause.
        source: io::Error,
    },
    /// The connection ended before the head of the answer.
    #[snafu(display("connection ended without an answer"))]
    Unanswered {
        /// Cause.
        source: hyper::Error,
    },
    /// The connection ended in the body of the answer.
    #[snafu(display("connection ended in the body of the answer"))]
    Truncated {
        /// Cause.
        source: hyper::Error,
    },
    /// The call took too long.
    #[snafu(display("call took longer than its timeout"))]
    Timeout,
    /// The peer reset the connection.
    #[snafu(display("peer reset the connection"))]
    Closed {
        /// Cause.
        source: io::Error,
    },
    /// The peer ended the connection before the expected bytes.
    #[snafu(display("peer ended the connection early"))]
    Ended,
    /// The peer sent more than a test caller accepts.
    #[snafu(display("peer sent more than {MAX_RECEIVED_BYTES} bytes"))]
    TooLong,
}
