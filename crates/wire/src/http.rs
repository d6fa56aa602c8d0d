//! HTTP/1 connections to backend servers.

use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use async_std::task;
use futures_util::future;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::metered::{MeteredStream, ReadAllowance};

/// Timeout for an open connection to become ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that may be read until the head of an answer is complete: informational heads before it, and
/// what the HTTP library reads ahead of the body.
const HEAD_ALLOWANCE_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// A connection that carries one request at a time.
///
/// Dropping it closes the socket. During an exchange the socket is reset, so that what the peer hasn't got of
/// the request, such as behind a partition, isn't delivered after the request was given up.
#[derive(Debug)]
pub struct HttpConnection<B> {
    /// Sender of requests on the connection.
    pub sender: http1::SendRequest<B>,
    socket: socket2::Socket,
    allowance: ReadAllowance,
    /// Whether a request was sent whose answer isn't complete.
    in_exchange: bool,
    _closer: oneshot::Sender<Infallible>,
}

impl<B> HttpConnection<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Starts HTTP/1 on a TCP stream.
    ///
    /// `guard` is dropped when the connection ends, so that a permit can be held until then.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket handle can't be duplicated or the HTTP handshake fails.
    pub async fn start<E>(
        stream: TcpStream,
        mut builder: http1::Builder,
        guard: impl Send + 'static,
    ) -> Result<Self, E>
    where
        E: From<io::Error> + From<hyper::Error>,
    {
        let socket = socket2::SockRef::from(&stream).try_clone()?;
        let allowance = ReadAllowance::unlimited();
        let stream = MeteredStream::new(stream, allowance.clone());
        let (sender, driver) = builder
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let (closer, closed) = oneshot::channel::<Infallible>();
        task::spawn(async move {
            future::select(driver, closed).await;
            drop(guard);
        });
        Ok(Self {
            sender,
            socket,
            allowance,
            in_exchange: false,
            _closer: closer,
        })
    }

    /// Begins an exchange, and limits what is read until the head of its answer is complete. Must be called
    /// before a request is sent.
    pub fn begin_head(&mut self) {
        self.in_exchange = true;
        self.allowance.set(HEAD_ALLOWANCE_BYTES);
    }

    /// Records that the answer is complete.
    pub fn end_exchange(&mut self) {
        self.in_exchange = false;
    }

    /// Limits what is read of the rest of an answer whose body has at most `max_bytes` bytes.
    ///
    /// The limit leaves room for the framing of a body in chunks.
    pub fn begin_body(&self, max_bytes: usize) {
        let framed = max_bytes.saturating_mul(2);
        self.allowance
            .set(framed.saturating_add(HEAD_ALLOWANCE_BYTES));
    }

    /// Returns whether the peer sent more than is allowed, upon which the connection fails.
    pub fn is_exhausted(&self) -> bool {
        self.allowance.is_exhausted()
    }

    /// Waits a short time until the connection can send its next request.
    ///
    /// Returns `false` if the connection is closed, does not become ready in time, or has received
    /// bytes that belong to no request. Such a connection must not be reused.
    pub async fn get_ready(&mut self) -> bool {
        if !self.sender.is_ready() {
            let ready = tokio::time::timeout(READY_TIMEOUT, self.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                return false;
            }
        }
        self.is_idle()
    }

    /// Returns whether the socket is open and has no bytes to read.
    fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::<u8>::uninit()];
        let peeked = self.socket.peek(&mut byte);
        matches!(peeked, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }
}

impl<B> Drop for HttpConnection<B> {
    fn drop(&mut self) {
        if !self.in_exchange {
            return;
        }
        // A linger time of zero makes the close a reset, which drops what is in the send queue.
        if let Err(e) = self.socket.set_linger(Some(Duration::ZERO)) {
            log::warn!(target: "server", "connection closed without a reset, its request may still arrive; error={e}");
        }
    }
}
