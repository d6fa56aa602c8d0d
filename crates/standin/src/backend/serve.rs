//! The HTTP service of one stand-in backend server.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use http::{header, HeaderMap, Request, Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use model::outcome;
use quick_error::quick_error;
use tokio::net::{TcpListener, TcpStream};

use crate::backend::fault::FaultKind;
use crate::backend::server::StandinServer;
use crate::backend::stream::{FaultStream, StreamFaults};
use crate::digest;

/// Maximum number of body bytes that are counted for one request.
const MAX_COUNTED_BODY_BYTES: usize = 64 << 20;

/// Value of the `retry-after` header of a shed request.
const SHED_RETRY_AFTER_SECONDS: &str = "1";

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

quick_error! {
    /// An error that closes the connection without an answer.
    #[derive(Debug)]
    pub enum ServeError {
        /// An injected fault closes the connection.
        Injected(kind: FaultKind) {
            display("injected fault: {kind}")
        }
        /// Reading the request failed.
        Request(err: hyper::Error) {
            from()
            source(err)
            display("cannot read the request: {err}")
        }
        /// The answer has no valid form in HTTP.
        Answer(err: http::Error) {
            from()
            source(err)
            display("cannot build the answer: {err}")
        }
    }
}

type BoxedAnswer = Response<BoxBody<Bytes, io::Error>>;

/// Accepts and serves connections of a server for as long as the process runs.
pub async fn serve(server: Arc<StandinServer>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(serve_connection(server.clone(), stream));
            }
            Err(e) => {
                log::warn!(
                    target: "standin",
                    "cannot accept a connection: {e}; retrying in {ACCEPT_RETRY_DELAY:?}"
                );
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(server: Arc<StandinServer>, stream: TcpStream) {
    // Errors are ignored, as the option only reduces latency.
    let _ = stream.set_nodelay(true);
    task::sleep(server.work.connection_time).await;
    let faults = server.register_connection();
    let stream = TokioIo::new(FaultStream::new(stream, faults.clone()));
    let service = service_fn(move |request| {
        let (server, faults) = (server.clone(), faults.clone());
        async move { answer(&server, &faults, request).await }
    });
    // Errors are ignored, as the peer sees the end of the connection itself.
    let _ = http1::Builder::new()
        .serve_connection(stream, service)
        .await;
}

/// Answers a request for a health report, a load report or the service itself.
async fn answer(
    server: &StandinServer,
    faults: &StreamFaults,
    request: Request<Incoming>,
) -> Result<BoxedAnswer, ServeError> {
    match request.uri().path() {
        "/health" => report_answer(server.reported_health().map(|healthy| {
            let status = if healthy { 200 } else { 503 };
            (status, serde_json::json!({ "healthy": healthy }))
        })),
        "/load" => report_answer(
            server
                .reported_load()
                .map(|load| (200, serde_json::to_value(load).unwrap_or_default())),
        ),
        _ => run_request(server, faults, request).await,
    }
}

/// Returns the answer for a report, or an error that closes the connection if a fault suppresses
/// the report.
fn report_answer(report: Option<(u16, serde_json::Value)>) -> Result<BoxedAnswer, ServeError> {
    let (status, value) = report.ok_or(ServeError::Injected(FaultKind::NoReports))?;
    let answer = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(full_body(Bytes::from(value.to_string())))?;
    Ok(answer)
}

/// Runs a request: network delay, queueing for a slot, processing time, and the delay back.
async fn run_request(
    server: &StandinServer,
    faults: &StreamFaults,
    request: Request<Incoming>,
) -> Result<BoxedAnswer, ServeError> {
    let start = Instant::now();
    let _guard = server.begin_request();
    let fault = server.next_fault();
    let (head, body) = request.into_parts();
    let request_id = header_text(&head.headers, outcome::REQUEST_ID_HEADER);
    let from = header_text(&head.headers, digest::FROM_HEADER);
    let deadline = request_deadline(&head.headers, start);
    if matches!(fault, Some((FaultKind::DieMidRequest, _))) {
        return Err(ServeError::Injected(FaultKind::DieMidRequest));
    }
    let body = body.collect().await?.to_bytes();
    server
        .counts
        .count_arrival(server.index, &from, body.len().min(MAX_COUNTED_BODY_BYTES));
    let delay = server.work.network_delay(&from, &server.zone);
    sleep(delay).await;
    if server.is_draining() || server.is_full() || matches!(fault, Some((FaultKind::Shed, _))) {
        return shed_answer(&request_id);
    }
    let slot = match wait_until_deadline(deadline, server.slots.acquire()).await {
        Some(Ok(slot)) => slot,
        _ => return shed_answer(&request_id),
    };
    for name in [outcome::KEY_HEADER, digest::MARK_HEADER] {
        let key = header_text(&head.headers, name);
        if !key.is_empty() {
            server.counts.count_run(&key);
        }
    }
    sleep(server.processing_time(&head.method)).await;
    drop(slot);
    sleep(delay).await;
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let request_digest = digest::request_digest(head.method.as_str(), path, &body);
    let answer = digest::answer_body(request_digest, server.work.answer_bytes as usize);
    server
        .counts
        .count_answer(server.index, &from, answer.len());
    let builder = Response::builder()
        .header(outcome::REQUEST_ID_HEADER, request_id)
        .header(digest::DIGEST_HEADER, format!("{request_digest:016x}"))
        .header(digest::LENGTH_HEADER, answer.len())
        .header(digest::SERVER_HEADER, server.address.to_string());
    build_answer(builder, answer, fault, faults).await
}

/// Builds the answer of a request that has run, and applies the request's fault to it.
async fn build_answer(
    builder: http::response::Builder,
    answer: Bytes,
    fault: Option<(FaultKind, Duration)>,
    faults: &StreamFaults,
) -> Result<BoxedAnswer, ServeError> {
    let Some((kind, delay)) = fault else {
        return Ok(builder.body(full_body(answer))?);
    };
    match kind {
        FaultKind::DieBeforeAnswer => Err(ServeError::Injected(kind)),
        FaultKind::DieMidAnswer | FaultKind::Short => {
            let length = answer.len();
            let first_half = answer.slice(..length / 2);
            let body = TruncatedBody::new(first_half, kind == FaultKind::Short);
            Ok(builder
                .header(header::CONTENT_LENGTH, length)
                .body(body.boxed())?)
        }
        FaultKind::Late => {
            sleep(delay).await;
            Ok(builder.body(full_body(answer))?)
        }
        FaultKind::Extra => {
            faults.add_extra();
            Ok(builder.body(full_body(answer))?)
        }
        FaultKind::PlainError => Ok(builder
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .body(full_body(answer))?),
        _ => Ok(builder.body(full_body(answer))?),
    }
}

/// Returns the documented answer for a request that did not run.
fn shed_answer(request_id: &str) -> Result<BoxedAnswer, ServeError> {
    let answer = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(outcome::SHED_HEADER, "not-run")
        .header(outcome::REQUEST_ID_HEADER, request_id)
        .header(header::RETRY_AFTER, SHED_RETRY_AFTER_SECONDS)
        .body(full_body(Bytes::new()))?;
    Ok(answer)
}

fn full_body(bytes: Bytes) -> BoxBody<Bytes, io::Error> {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// A body that ends before its declared length, either cleanly or with an aborted connection.
struct TruncatedBody {
    data: Option<Bytes>,
    ends_cleanly: bool,
}

impl TruncatedBody {
    fn new(data: Bytes, ends_cleanly: bool) -> Self {
        Self {
            data: Some(data),
            ends_cleanly,
        }
    }
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(data) = self.data.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if self.ends_cleanly {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string()
}

/// Returns the deadline of a request that arrived at `start`, or `None` if it names none.
fn request_deadline(headers: &HeaderMap, start: Instant) -> Option<Instant> {
    let ms = header_text(headers, outcome::DEADLINE_HEADER)
        .parse()
        .ok()?;
    start.checked_add(Duration::from_millis(ms))
}

/// Waits for a future, and returns `None` if the deadline passes first.
async fn wait_until_deadline<T>(
    deadline: Option<Instant>,
    future: impl Future<Output = T>,
) -> Option<T> {
    let Some(deadline) = deadline else {
        return Some(future.await);
    };
    let left = deadline.saturating_duration_since(Instant::now());
    async_std::future::timeout(left, future).await.ok()
}

/// Sleeps for a duration; a duration of zero doesn't yield.
async fn sleep(time: Duration) {
    if !time.is_zero() {
        task::sleep(time).await;
    }
}
