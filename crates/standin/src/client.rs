//! An HTTP client that reuses connections and returns only complete answers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;

quick_error! {
    /// An error of a call without a complete answer.
    #[derive(Debug)]
    pub enum CallError {
        /// Connecting to the server failed.
        Connect(err: io::Error) {
            source(err)
            display("cannot connect: {err}")
        }
        /// The connection broke before the head of the answer.
        NoAnswer(err: hyper::Error) {
            source(err)
            display("connection broke before the answer: {err}")
        }
        /// The connection broke within the body of the answer.
        Truncated(err: hyper::Error) {
            source(err)
            display("connection broke within the answer: {err}")
        }
        /// The timeout of the call passed.
        Timeout(timeout: Duration) {
            display("no complete answer within {timeout:?}")
        }
    }
}

/// A complete HTTP answer.
#[derive(Debug, Clone)]
pub struct CompleteAnswer {
    /// Status and headers of the answer.
    pub head: http::response::Parts,
    /// Body, complete up to its declared length.
    pub body: Bytes,
}

impl CompleteAnswer {
    /// Returns the value of a header, or an empty string if the header is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.head
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

type RequestSender = SendRequest<Full<Bytes>>;

/// An HTTP client with a pool of idle connections per address. Each connection carries one request
/// at a time.
#[derive(Debug, Default)]
pub struct HttpClient {
    idle: Mutex<HashMap<SocketAddr, Vec<RequestSender>>>,
    max_idle: usize,
}

impl HttpClient {
    /// Creates a client that keeps at most `max_idle` idle connections per address.
    pub fn new(max_idle: usize) -> Self {
        Self {
            idle: Mutex::default(),
            max_idle,
        }
    }

    /// Sends a request and waits for its complete answer.
    ///
    /// # Errors
    ///
    /// Fails if connecting fails, the connection breaks, or the answer is incomplete after
    /// `timeout`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: http::Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<CompleteAnswer, CallError> {
        async_std::future::timeout(timeout, self.exchange(address, request))
            .await
            .unwrap_or(Err(CallError::Timeout(timeout)))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: http::Request<Full<Bytes>>,
    ) -> Result<CompleteAnswer, CallError> {
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let answer = sender.send_request(request).await;
        let (head, body) = answer.map_err(CallError::NoAnswer)?.into_parts();
        let body = body
            .collect()
            .await
            .map_err(CallError::Truncated)?
            .to_bytes();
        self.return_idle(address, sender);
        Ok(CompleteAnswer { head, body })
    }

    /// Removes an idle connection that isn't known to be closed from the pool, and returns it.
    fn take_idle(&self, address: SocketAddr) -> Option<RequestSender> {
        let mut idle = self.idle();
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Returns a connection to the pool, or drops it if the pool is full or the connection is
    /// closed.
    fn return_idle(&self, address: SocketAddr, sender: RequestSender) {
        let mut idle = self.idle();
        let senders = idle.entry(address).or_default();
        if senders.len() < self.max_idle && !sender.is_closed() {
            senders.push(sender);
        }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<RequestSender>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Result<RequestSender, CallError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(CallError::Connect)?;
    stream.set_nodelay(true).map_err(CallError::Connect)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(CallError::NoAnswer)?;
    async_std::task::spawn(async move {
        // Errors are ignored, as the sender sees the end of its connection itself.
        let _ = connection.await;
    });
    Ok(sender)
}
