//! HTTP calls on kept connections, with whole answers.

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
    /// Why a call gave no whole answer.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection could be made.
        Connect(err: io::Error) {
            source(err)
            display("no connection: {err}")
        }
        /// The connection ended before the head of an answer.
        NoAnswer(err: hyper::Error) {
            source(err)
            display("no answer: {err}")
        }
        /// The answer broke off after its head.
        Cut(err: hyper::Error) {
            source(err)
            display("the answer broke off: {err}")
        }
        /// The bound passed.
        Late(bound: Duration) {
            display("no whole answer within {bound:?}")
        }
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Head of the answer.
    pub head: http::response::Parts,
    /// Body, complete to its declared length.
    pub body: Bytes,
}

impl WholeAnswer {
    /// Returns a header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.head
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

type RequestSender = SendRequest<Full<Bytes>>;

/// Keeps idle connections by address; one request at a time on each.
#[derive(Debug, Default)]
pub struct HttpClient {
    idle: Mutex<HashMap<SocketAddr, Vec<RequestSender>>>,
    limit: usize,
}

impl HttpClient {
    /// Creates a client that keeps at most `limit` idle connections to one address.
    pub fn new(limit: usize) -> Self {
        Self {
            idle: Mutex::default(),
            limit,
        }
    }

    /// Sends a request and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Tells where the call ended.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: http::Request<Full<Bytes>>,
        bound: Duration,
    ) -> Result<WholeAnswer, CallError> {
        async_std::future::timeout(bound, self.exchange(address, request))
            .await
            .unwrap_or(Err(CallError::Late(bound)))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: http::Request<Full<Bytes>>,
    ) -> Result<WholeAnswer, CallError> {
        let mut sender = match self.take(address) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let answer = sender.send_request(request).await;
        let (head, body) = answer.map_err(CallError::NoAnswer)?.into_parts();
        let body = body.collect().await.map_err(CallError::Cut)?.to_bytes();
        self.keep(address, sender);
        Ok(WholeAnswer { head, body })
    }

    /// Takes an idle connection that isn't known to be closed.
    fn take(&self, address: SocketAddr) -> Option<RequestSender> {
        let mut idle = self.idle();
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, sender: RequestSender) {
        let mut idle = self.idle();
        let senders = idle.entry(address).or_default();
        if senders.len() < self.limit && !sender.is_closed() {
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
        // The sender sees the end of its connection by itself.
        let _ = connection.await;
    });
    Ok(sender)
}
