//! Health and load of backend servers, polled at their endpoints.

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

/// Time between two polls of a backend server.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time in which an endpoint must answer.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Polls that run at once.
pub const MAX_POLLS: usize = 64;

/// Most bytes of an endpoint's answer.
const MAX_ANSWER_BYTES: usize = 4_096;

quick_error! {
    /// Why a poll brought nothing.
    #[derive(Debug)]
    pub enum PollError {
        /// The connection failed.
        Connection(err: std::io::Error) {
            from()
            source(err)
            display("the connection failed: {err}")
        }
        /// The answer was malformed or cut.
        Answer(text: String) {
            display("the answer was malformed: {text}")
        }
        /// No answer came in time.
        Silent {
            display("no answer came in time")
        }
    }
}

/// What a backend server's load endpoint says.
#[derive(Debug, Deserialize)]
struct LoadAnswer {
    /// Requests that it works on.
    in_flight: u32,
    /// Requests that wait for a slot.
    #[serde(default)]
    queued: u32,
    /// Requests that it can work on at once.
    slots: u32,
}

/// Polls every known backend server, for as long as the process runs.
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

/// Polls one backend server; what can't be read is left out and ages.
async fn poll(context: &EntryContext, key: BackendKey, address: SocketAddr) {
    let at = context.now();
    match bounded(fetch(address, "/health")).await {
        Ok((status, _)) => {
            let healthy = status.is_success();
            context
                .registry
                .report_health(context.now(), key, HealthReport { at, healthy });
        }
        Err(error) => log::debug!(target: "polls", "health of {address}: {error}"),
    }
    match bounded(fetch(address, "/load")).await {
        Ok((_, body)) => report_load(context, at, key, &body),
        Err(error) => log::debug!(target: "polls", "load of {address}: {error}"),
    }
}

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

async fn bounded<T>(
    work: impl std::future::Future<Output = Result<T, PollError>>,
) -> Result<T, PollError> {
    match time::timeout(POLL_TIMEOUT, work).await {
        Ok(done) => done,
        Err(_) => Err(PollError::Silent),
    }
}

async fn fetch(address: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), PollError> {
    let malformed = |e: &dyn std::fmt::Display| PollError::Answer(e.to_string());
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| malformed(&e))?;
    let driver = async_std::task::spawn(connection);
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .map_err(|e| malformed(&e))?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|e| malformed(&e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    let body = body
        .map_err(|e| PollError::Answer(e.to_string()))?
        .to_bytes();
    drop(sender);
    driver.cancel().await;
    Ok((status, body))
}
