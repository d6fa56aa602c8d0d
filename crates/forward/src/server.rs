//! Connections of callers, and their graceful shutdown.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{self, Either};
use http::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING};
use http::{Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use model::outcome::{self, RefusalReason};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use wire::backlog;
use wire::served::{ConnectionLimits, ServedConnection};

use crate::body::{AnswerBody, CallerBody};
use crate::connection;
use crate::forwarder::RequestForwarder;
use crate::head;
use crate::hooks::{CallerAddress, FallbackHandler};
use crate::recorder::{HeadRecorder, RecordedStream};
use crate::refusal::RequestRefusal;
use crate::settings::ForwardSettings;

/// Time in which a stopping server still accepts requests on open connections, so that a request
/// that is already in transit is answered.
const CLOSE_GRACE: Duration = Duration::from_millis(300);
/// Interval at which idle connections to backend servers are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which the connection of a caller is closed if sent bytes are unacknowledged.
const CALLER_UNACKED_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Retry-after time of a request on a connection above the limit.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of connections above the limit whose request gets a refusal; further connections
/// are closed without a response.
const MAX_REFUSED_CONNECTIONS: usize = 256;
/// Timeout for the request head on a connection above the limit.
const REFUSED_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size in bytes of the body of a request that is not forwarded.
const MAX_FALLBACK_BODY_BYTES: usize = 1 << 20;
/// Smallest buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Phase of a server, which decides when connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerPhase {
    /// Connections stay open between requests.
    Serving,
    /// Each connection is closed after its next response.
    Closing,
    /// Connections without a request are closed too, and no new ones are accepted.
    ClosingIdle,
}

/// Result of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Number of connections and of runs under idempotency keys that were unfinished when the time
    /// was over; 0 if all work was finished.
    pub unfinished: usize,
}

/// HTTP server for the connections of callers.
#[derive(Clone)]
pub struct CallerServer {
    shared: Arc<SharedServer>,
}

struct SharedServer {
    forwarder: Arc<RequestForwarder>,
    fallback: Arc<dyn FallbackHandler>,
    phase: watch::Sender<ServerPhase>,
    /// Number of listeners that accept connections.
    listeners: watch::Sender<usize>,
    /// Free connections up to the limit.
    connections: Arc<Semaphore>,
    /// Free connections above the limit whose request gets a refusal.
    refusals: Arc<Semaphore>,
}

impl CallerServer {
    /// Creates a server.
    pub fn new(forwarder: Arc<RequestForwarder>, fallback: Arc<dyn FallbackHandler>) -> Self {
        let connections = Semaphore::new(forwarder.settings().max_connections);
        let shared = SharedServer {
            forwarder,
            fallback,
            phase: watch::Sender::new(ServerPhase::Serving),
            listeners: watch::Sender::new(0),
            connections: Arc::new(connections),
            refusals: Arc::new(Semaphore::new(MAX_REFUSED_CONNECTIONS)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the number of open connections of callers.
    pub fn connections(&self) -> usize {
        let max = self.shared.forwarder.settings().max_connections;
        max.saturating_sub(self.shared.connections.available_permits())
    }

    /// Accepts connections until the server is stopped. Must run in an async-std task.
    pub async fn serve(&self, listener: TcpListener) {
        self.shared.listeners.send_modify(|count| *count += 1);
        let mut phase = self.shared.phase.subscribe();
        let mut idle_checks = tokio::time::interval(IDLE_CHECK_INTERVAL);
        loop {
            let closing = Box::pin(wait_closing_idle(&mut phase));
            let accepted = Box::pin(listener.accept());
            let idle_check = Box::pin(idle_checks.tick());
            match future::select(future::select(closing, accepted), idle_check).await {
                Either::Left((Either::Left(_), _)) => break,
                Either::Left((Either::Right((accepted, _)), _)) => {
                    self.handle_accepted(accepted).await
                }
                Either::Right(_) => self.shared.forwarder.close_idle_connections(Instant::now()),
            }
        }
        backlog::close(listener, |stream, peer| {
            self.handle_connection(stream, peer)
        })
        .await;
        self.shared.listeners.send_modify(|count| *count -= 1);
    }

    /// Shuts down gracefully within `timeout`: every response announces the end of its connection,
    /// the listeners and the connections without a request are closed, and running requests are
    /// finished.
    pub async fn stop(&self, timeout: Duration) -> StopReport {
        let end = Instant::now() + timeout;
        let open = self.connections();
        log::info!(target: "forward", "shutting down; {open} open connections");
        self.shared.phase.send_replace(ServerPhase::Closing);
        tokio::time::sleep(CLOSE_GRACE.min(timeout / 2)).await;
        self.shared.phase.send_replace(ServerPhase::ClosingIdle);
        let mut listeners = self.shared.listeners.subscribe();
        let closed = listeners.wait_for(|count| *count == 0);
        let _ = tokio::time::timeout_at(end.into(), closed).await;
        let max = self.shared.forwarder.settings().max_connections;
        let all = self.shared.connections.acquire_many(max as u32);
        let _ = tokio::time::timeout_at(end.into(), all).await;
        let forwarder = &self.shared.forwarder;
        let _ = tokio::time::timeout_at(end.into(), forwarder.wait_claimed_runs()).await;
        let unfinished = self.connections() + forwarder.claimed_runs();
        log::info!(target: "forward", "shut down; {unfinished} connections and runs unfinished");
        StopReport { unfinished }
    }

    /// Handles the result of an accept. Waits after a failed one.
    async fn handle_accepted(&self, accepted: std::io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, peer)) => self.handle_connection(stream, peer),
            Err(err) => {
                log::warn!(
                    target: "forward",
                    "can't accept a connection, trying again in {ACCEPT_RETRY_DELAY:?}: {err}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Serves an accepted connection, or refuses it above the limit.
    fn handle_connection(&self, stream: TcpStream, peer: SocketAddr) {
        let shared = self.shared.clone();
        match shared.connections.clone().try_acquire_owned() {
            Ok(permit) => {
                async_std::task::spawn(shared.serve_connection(stream, peer, permit));
            }
            Err(_) => shared.refuse_connection(stream),
        }
    }
}

impl SharedServer {
    /// Refuses the request on a connection above the limit. Closes the connection without a
    /// response if too many are being refused already.
    fn refuse_connection(self: Arc<Self>, stream: TcpStream) {
        let Ok(permit) = self.refusals.clone().try_acquire_owned() else {
            return;
        };
        let refusal = RequestRefusal::unavailable(
            self.refusal_reason(),
            REFUSED_RETRY_AFTER,
            "this entry host takes no more connections; ask another one",
        );
        async_std::task::spawn(async move {
            let _permit = permit;
            let settings = self.forwarder.settings();
            let recorder = HeadRecorder::new(settings.max_head_bytes);
            let limits = connection_limits(REFUSED_HEAD_TIMEOUT);
            let stream = RecordedStream::new(stream, recorder);
            let connection = ServedConnection::new(stream, limits);
            let mut builder = server_builder(settings);
            builder.keep_alive(false);
            let answer = |request| future::ready(refusal_response(&request, &refusal));
            let _ = connection.serve(builder, answer, future::pending()).await;
        });
    }

    /// Returns the reason for which no connection is free. A stopping server reserves all of them.
    fn refusal_reason(&self) -> RefusalReason {
        match *self.phase.borrow() {
            ServerPhase::Serving => RefusalReason::Overloaded,
            ServerPhase::Closing | ServerPhase::ClosingIdle => RefusalReason::Stopping,
        }
    }

    async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) {
        if let Err(err) = connection::configure_socket(&stream, CALLER_UNACKED_TIMEOUT) {
            log::debug!(
                target: "forward",
                "closed the connection of caller {peer}, can't set socket options: {err}"
            );
            return;
        }
        let mut phase = self.phase.subscribe();
        let settings = self.forwarder.settings();
        let recorder = HeadRecorder::new(settings.max_head_bytes);
        let limits = connection_limits(settings.head_timeout);
        let stream = RecordedStream::new(stream, recorder.clone());
        let connection = ServedConnection::new(stream, limits);
        let builder = server_builder(settings);
        let answer = |request| self.serve_request(request, peer, &recorder);
        let closing = wait_closing_idle(&mut phase);
        if let Err(err) = connection.serve(builder, answer, closing).await {
            log::debug!(target: "forward", "connection of caller {peer} failed: {err}");
        }
        drop(permit);
    }

    /// Returns the response to a request: refuses ambiguous framing, forwards requests to services
    /// and passes all others to the fallback.
    async fn serve_request(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
        recorder: &HeadRecorder,
    ) -> Response<AnswerBody> {
        recorder.pause();
        // The HTTP library reads and drops an unread body only if all of it has arrived.
        let has_whole_body = request.body().size_hint().exact().is_some_and(|bytes| {
            usize::try_from(bytes).is_ok_and(|body_bytes| recorder.has_body(body_bytes))
        });
        let (parts, incoming) = request.into_parts();
        let (body, body_ended) = CallerBody::track(incoming);
        let request = Request::from_parts(parts, body);
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let mut response = if chunked && !recorder.is_chunked_only(request.method().as_str()) {
            ambiguous_framing()
        } else if request.uri().path().starts_with(head::SERVICE_PREFIX) {
            self.forwarder.forward(request).await
        } else {
            self.handle_fallback(request, peer).await.map(Into::into)
        };
        let leaves_body = !has_whole_body && !body_ended.load(Ordering::Acquire);
        if leaves_body || *self.phase.borrow() != ServerPhase::Serving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        recorder.restart();
        response
    }

    async fn handle_fallback(
        &self,
        request: Request<CallerBody>,
        peer: SocketAddr,
    ) -> Response<Bytes> {
        let (parts, body) = request.into_parts();
        let reading = Limited::new(body, MAX_FALLBACK_BODY_BYTES).collect();
        let timeout = self.forwarder.settings().head_timeout;
        let body = match tokio::time::timeout(timeout, reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return head::body_too_large().to_response(),
            Err(_) => return RequestRefusal::malformed("the body is late").to_response(),
        };
        let mut request = Request::from_parts(parts, body);
        request.extensions_mut().insert(CallerAddress(peer));
        self.fallback.handle(request).await
    }
}

/// Creates the refusal of a request whose end is ambiguous. It closes the connection, because the
/// bytes that follow may be a smuggled request.
fn ambiguous_framing() -> Response<AnswerBody> {
    let refusal = RequestRefusal::malformed(
        "a request has content-length or transfer-encoding, not both, and a chunked one isn't \
         sent before the answer to the one before it",
    );
    let mut response = refusal.to_response().map(AnswerBody::from);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Builds the response to a request on a connection above the limit. The outcome of a request with
/// an idempotency key is unknown, because it may repeat an earlier request that ran.
fn refusal_response(request: &Request<Incoming>, refusal: &RequestRefusal) -> Response<AnswerBody> {
    let may_be_repeated = request.headers().contains_key(outcome::KEY_HEADER);
    let refusal = refusal.clone().unknown_if(may_be_repeated);
    refusal.to_response().map(AnswerBody::from)
}

/// Waits until connections without a request must be closed.
async fn wait_closing_idle(phase: &mut watch::Receiver<ServerPhase>) {
    let _ = phase
        .wait_for(|phase| *phase == ServerPhase::ClosingIdle)
        .await
        .is_ok();
}

/// Returns the limits of a connection whose idle time and heads have this timeout.
fn connection_limits(head_timeout: Duration) -> ConnectionLimits {
    ConnectionLimits {
        head_timeout,
        close_grace: CLOSE_GRACE,
    }
}

fn server_builder(settings: &ForwardSettings) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .max_headers(settings.max_headers)
        .max_header_size(settings.max_head_bytes)
        .max_buf_size(settings.max_head_bytes.max(MIN_BUFFER_BYTES));
    builder
}
