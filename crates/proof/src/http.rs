//! Calls with a time bound, and whole answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::error::ProofError;

/// Bound on a call where it sets none.
const DEFAULT_BOUND: Duration = Duration::from_secs(10);

/// One HTTP request on a connection of its own.
#[derive(Debug, Clone)]
#[must_use]
pub struct HttpCall {
    address: SocketAddr,
    method: http::Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    bound: Duration,
}

impl HttpCall {
    /// Plans a request.
    pub fn new(method: http::Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            bound: DEFAULT_BOUND,
        }
    }

    /// Plans a GET.
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(http::Method::GET, address, path)
    }

    /// Plans a PUT.
    pub fn put(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(http::Method::PUT, address, path)
    }

    /// Plans a POST.
    pub fn post(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(http::Method::POST, address, path)
    }

    /// Sets a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.retain(|(other, _)| other != name);
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Adds an access token.
    pub fn bearer(self, token: &str) -> Self {
        self.header("authorization", format!("Bearer {token}"))
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the bound on the whole call.
    pub fn bound(mut self, bound: Duration) -> Self {
        self.bound = bound;
        self
    }

    /// Makes the call and blocks for its whole answer.
    ///
    /// # Errors
    ///
    /// Fails where the connection is refused, the answer is malformed or cut, or the bound passes.
    pub fn send(self) -> Result<HttpAnswer, ProofError> {
        async_std::task::block_on(async_std::task::spawn(self.send_async()))
    }

    /// Makes the call and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// As [`HttpCall::send`].
    pub async fn send_async(self) -> Result<HttpAnswer, ProofError> {
        let bound = self.bound;
        let what = format!("{} {} at {}", self.method, self.path, self.address);
        match async_std::future::timeout(bound, self.exchange()).await {
            Ok(answer) => answer,
            Err(_) => Err(ProofError::Timeout(what, bound)),
        }
    }

    async fn exchange(self) -> Result<HttpAnswer, ProofError> {
        let start = Instant::now();
        let stream = TcpStream::connect(self.address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = async_std::task::spawn(connection);
        let mut request = http::Request::builder().method(self.method).uri(self.path);
        if !self.headers.iter().any(|(name, _)| name == "host") {
            request = request.header("host", self.address.to_string());
        }
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let answer = sender
            .send_request(request.body(Full::new(self.body))?)
            .await?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await?.to_bytes();
        driver.cancel().await;
        Ok(HttpAnswer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
            time: start.elapsed(),
        })
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body, complete to its declared length.
    pub body: Bytes,
    /// Time from before the connection to the end of the body.
    pub time: Duration,
}

impl HttpAnswer {
    /// Returns a header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the body as text; bytes that are none are replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails where it is none.
    pub fn json(&self) -> Result<serde_json::Value, ProofError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}
