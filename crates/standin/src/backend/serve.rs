//! Serves the requests of one stand-in backend server.

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

/// Most bytes of a request's body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Seconds after which a shed request may come again.
const SHED_RETRY_AFTER: &str = "1";

/// Pause after the listener has failed to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

quick_error! {
    /// Why a connection is closed without an answer.
    #[derive(Debug)]
    pub enum ServeError {
        /// A fault was ordered.
        Ordered(kind: FaultKind) {
            display("ordered fault: {kind}")
        }
        /// The request could not be read.
        Request(err: hyper::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// An answer could not be written as HTTP.
        Answer(err: http::Error) {
            from()
            source(err)
            display("{err}")
        }
    }
}

type ServeAnswer = Response<BoxBody<Bytes, io::Error>>;

/// Accepts connections of a server for as long as the process runs.
pub async fn serve(server: Arc<StandinServer>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(serve_connection(server.clone(), stream));
            }
            Err(e) => {
                log::warn!(target: "standin", "accept failed: {e}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(server: Arc<StandinServer>, stream: TcpStream) {
    // A connection without the option is only slower.
    let _ = stream.set_nodelay(true);
    task::sleep(server.work.connection_time).await;
    let faults = server.register();
    let stream = TokioIo::new(FaultStream::new(stream, faults.clone()));
    let service = service_fn(move |request| {
        let (server, faults) = (server.clone(), faults.clone());
        async move { answer(&server, &faults, request).await }
    });
    // The peer sees the end of the connection; there is nobody else to tell.
    let _ = http1::Builder::new()
        .serve_connection(stream, service)
        .await;
}

async fn answer(
    server: &StandinServer,
    faults: &StreamFaults,
    request: Request<Incoming>,
) -> Result<ServeAnswer, ServeError> {
    match request.uri().path() {
        "/health" => report(server.health().map(|healthy| {
            let status = if healthy { 200 } else { 503 };
            (status, serde_json::json!({ "healthy": healthy }))
        })),
        "/load" => report(
            server
                .load()
                .map(|load| (200, serde_json::to_value(load).unwrap_or_default())),
        ),
        _ => work(server, faults, request).await,
    }
}

/// Answers with a report, or closes the connection where the endpoint doesn't answer.
fn report(report: Option<(u16, serde_json::Value)>) -> Result<ServeAnswer, ServeError> {
    let (status, value) = report.ok_or(ServeError::Ordered(FaultKind::NoReports))?;
    let answer = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(full(Bytes::from(value.to_string())))?;
    Ok(answer)
}

/// Takes a request through its delays, its wait for a slot and its work.
async fn work(
    server: &StandinServer,
    faults: &StreamFaults,
    request: Request<Incoming>,
) -> Result<ServeAnswer, ServeError> {
    let start = Instant::now();
    let _flight = server.arrive();
    let fault = server.next_fault();
    let (head, body) = request.into_parts();
    let request_id = text(&head.headers, outcome::REQUEST_ID_HEADER);
    let from = text(&head.headers, digest::FROM_HEADER);
    let deadline = deadline(&head.headers, start);
    if matches!(fault, Some((FaultKind::DieMidRequest, _))) {
        return Err(ServeError::Ordered(FaultKind::DieMidRequest));
    }
    let body = body.collect().await?.to_bytes();
    server
        .log
        .count_arrival(server.index, &from, body.len().min(MAX_BODY_BYTES));
    let delay = server.work.delay(&from, &server.zone);
    sleep(delay).await;
    if server.is_draining() || server.is_full() || matches!(fault, Some((FaultKind::Shed, _))) {
        return shed(&request_id);
    }
    let slot = match wait_for(deadline, server.slots.acquire()).await {
        Some(Ok(slot)) => slot,
        _ => return shed(&request_id),
    };
    for name in [outcome::KEY_HEADER, digest::MARK_HEADER] {
        let key = text(&head.headers, name);
        if !key.is_empty() {
            server.log.count_run(&key);
        }
    }
    sleep(server.work_time(&head.method)).await;
    drop(slot);
    sleep(delay).await;
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let request_digest = digest::request_digest(head.method.as_str(), path, &body);
    let answer = digest::answer_body(request_digest, server.work.answer_bytes as usize);
    server.log.count_answer(server.index, &from, answer.len());
    let builder = Response::builder()
        .header(outcome::REQUEST_ID_HEADER, request_id)
        .header(digest::DIGEST_HEADER, format!("{request_digest:016x}"))
        .header(digest::LENGTH_HEADER, answer.len())
        .header(digest::SERVER_HEADER, server.address.to_string());
    finish(builder, answer, fault, faults).await
}

/// Writes the answer, with the fault that hits it.
async fn finish(
    builder: http::response::Builder,
    answer: Bytes,
    fault: Option<(FaultKind, Duration)>,
    faults: &StreamFaults,
) -> Result<ServeAnswer, ServeError> {
    let Some((kind, late)) = fault else {
        return Ok(builder.body(full(answer))?);
    };
    match kind {
        FaultKind::DieBeforeAnswer => Err(ServeError::Ordered(kind)),
        FaultKind::DieMidAnswer | FaultKind::Short => {
            let length = answer.len();
            let part = answer.slice(..length / 2);
            let body = CutBody::new(part, kind == FaultKind::Short);
            Ok(builder
                .header(header::CONTENT_LENGTH, length)
                .body(body.boxed())?)
        }
        FaultKind::Late => {
            sleep(late).await;
            Ok(builder.body(full(answer))?)
        }
        FaultKind::Extra => {
            faults.add_extra();
            Ok(builder.body(full(answer))?)
        }
        FaultKind::PlainError => Ok(builder
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .body(full(answer))?),
        _ => Ok(builder.body(full(answer))?),
    }
}

/// Says in the documented form that a request did not run.
fn shed(request_id: &str) -> Result<ServeAnswer, ServeError> {
    let answer = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(outcome::SHED_HEADER, "not-run")
        .header(outcome::REQUEST_ID_HEADER, request_id)
        .header(header::RETRY_AFTER, SHED_RETRY_AFTER)
        .body(full(Bytes::new()))?;
    Ok(answer)
}

fn full(bytes: Bytes) -> BoxBody<Bytes, io::Error> {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// A body that ends before its declared length.
struct CutBody {
    part: Option<Bytes>,
    in_good_form: bool,
}

impl CutBody {
    fn new(part: Bytes, in_good_form: bool) -> Self {
        Self {
            part: Some(part),
            in_good_form,
        }
    }
}

impl Body for CutBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(part) = self.part.take() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        if self.in_good_form {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string()
}

/// Returns the moment after which the answer is of no use.
fn deadline(headers: &HeaderMap, start: Instant) -> Option<Instant> {
    let ms = text(headers, outcome::DEADLINE_HEADER).parse().ok()?;
    start.checked_add(Duration::from_millis(ms))
}

/// Waits at most until a deadline.
async fn wait_for<T>(deadline: Option<Instant>, wait: impl Future<Output = T>) -> Option<T> {
    let Some(deadline) = deadline else {
        return Some(wait.await);
    };
    let left = deadline.saturating_duration_since(Instant::now());
    async_std::future::timeout(left, wait).await.ok()
}

async fn sleep(time: Duration) {
    if !time.is_zero() {
        task::sleep(time).await;
    }
}
