//! Polls the health and load endpoints of the backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use registry::{BackendKey, HealthReport, LoadReport};
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time;

use crate::context::EntryContext;

/// Time between the starts of two polls of a backend server.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time limit of a request to an endpoint.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of concurrent polls.
pub const MAX_POLLS: usize = 64;

/// Maximum size of the answer of an endpoint in bytes.
const MAX_ANSWER_BYTES: usize = 4_096;

quick_error! {
    /// Error of a request to an endpoint.
    #[derive(Debug)]
    pub enum PollError {
        /// The TCP connection could not be established.
        Connection(err: std::io::Error) {
            from()
            source(err)
            display("connection failed: {err}")
        }
        /// The HTTP exchange failed, such as by a malformed, oversized or incomplete answer.
        Http(text: String) {
            display("HTTP request failed: {text}")
        }
        /// No complete answer arrived in time.
        TimedOut {
            display("no complete answer in time")
        }
    }
}

/// Answer of the load endpoint of a backend server.
#[derive(Debug, Deserialize)]
struct LoadAnswer {
    /// Number of requests that the server is processing.
    in_flight: u32,
    /// Number of requests that wait for a slot.
    #[serde(default)]
    queued: u32,
    /// Number of requests that the server can process concurrently.
    slots: u32,
}

/// Polls all registered backend servers periodically until the process ends.
pub async fn run(context: Arc<EntryContext>) {
    loop {
        let started = context.now();
        let snapshot = context.registry.snapshot();
        let targets: Vec<_> = snapshot
            .entries()
            .map(|entry| (entry.key, entry.announcement.address))
            .collect();
        stream::iter(targets)
            .for_each_concurrent(MAX_POLLS, |(key, address)| poll(&context, key, address))
            .await;
        context.clock.sleep_until(started + POLL_INTERVAL).await;
    }
}

/// Polls one backend server; after an error, the previous report stays until it is too old.
async fn poll(context: &EntryContext, key: BackendKey, address: SocketAddr) {
    let at = context.now();
    match with_timeout(fetch(address, "/health")).await {
        Ok((status, _)) => {
            let healthy = status.is_success();
            context
                .registry
                .report_health(context.now(), key, HealthReport { at, healthy });
        }
        Err(error) => log::debug!(
            target: "polls",
            "health poll of backend server {address} failed: {error}"
        ),
    }
    match with_timeout(fetch(address, "/load")).await {
        Ok((_, body)) => report_load(context, at, key, &body),
        Err(error) => log::debug!(
            target: "polls",
            "load poll of backend server {address} failed: {error}"
        ),
    }
}

/// Records a load report; one that can't be parsed is ignored.
fn report_load(context: &EntryContext, at: Instant, key: BackendKey, body: &[u8]) {
    let Ok(answer) = serde_json::from_slice::<LoadAnswer>(body) else {
        return;
    };
    let busy = f64::from(answer.in_flight) + f64::from(answer.queued);
    let utilisation = busy / f64::from(answer.slots.max(1));
    context
        .registry
        .report_load(context.now(), key, LoadReport { at, utilisation });
}

/// Runs a request with [`POLL_TIMEOUT`].
async fn with_timeout<T>(
    work: impl std::future::Future<Output = Result<T, PollError>>,
) -> Result<T, PollError> {
    match time::timeout(POLL_TIMEOUT, work).await {
        Ok(done) => done,
        Err(_) => Err(PollError::TimedOut),
    }
}

/// Sends a GET request over a new connection and returns the status and the body.
async fn fetch(address: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), PollError> {
    let http_error = |e: &dyn std::fmt::Display| PollError::Http(e.to_string());
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| http_error(&e))?;
    let driver = async_std::task::spawn(connection);
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .map_err(|e| http_error(&e))?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|e| http_error(&e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    let body = body.map_err(|e| PollError::Http(e.to_string()))?.to_bytes();
    drop(sender);
    driver.cancel().await;
    Ok((status, body))
}
