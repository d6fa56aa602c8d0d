//! HTTP calls with a timeout that return complete answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::error::ProofError;

/// Timeout of a call that sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// A builder of one HTTP request, which is sent on its own connection.
#[derive(Debug, Clone)]
#[must_use]
pub struct HttpCall {
    address: SocketAddr,
    method: http::Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    timeout: Duration,
}

impl HttpCall {
    /// Creates a request without headers and with an empty body.
    pub fn new(method: http::Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Creates a GET request.
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(http::Method::GET, address, path)
    }

    /// Creates a PUT request.
    pub fn put(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(http::Method::PUT, address, path)
    }

    /// Creates a POST request.
    pub fn post(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(http::Method::POST, address, path)
    }

    /// Sets a header, replacing an earlier value of the same name.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.retain(|(other, _)| other != name);
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Sets the `authorization` header to a bearer token.
    pub fn bearer(self, token: &str) -> Self {
        self.header("authorization", format!("Bearer {token}"))
    }

    /// Sets the body of the request.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the timeout of the whole call, from the connection to the end of the answer.
    pub fn bound(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends the request and blocks until the complete answer has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused, the answer is malformed or truncated, or the timeout
    /// passes.
    pub fn send(self) -> Result<HttpAnswer, ProofError> {
        async_std::task::block_on(async_std::task::spawn(self.send_async()))
    }

    /// Sends the request and waits for the complete answer.
    ///
    /// # Errors
    ///
    /// Fails like [`HttpCall::send`].
    pub async fn send_async(self) -> Result<HttpAnswer, ProofError> {
        let timeout = self.timeout;
        let call = format!("{} {} at {}", self.method, self.path, self.address);
        match async_std::future::timeout(timeout, self.exchange()).await {
            Ok(answer) => answer,
            Err(_) => Err(ProofError::Timeout(call, timeout)),
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

/// A complete HTTP answer.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers of the answer.
    pub headers: http::HeaderMap,
    /// Body, complete up to its declared length.
    pub body: Bytes,
    /// Time from the start of connecting to the end of the body.
    pub time: Duration,
}

impl HttpAnswer {
    /// Returns the value of a header, or an empty string if the header is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid JSON.
    pub fn json(&self) -> Result<serde_json::Value, ProofError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}
