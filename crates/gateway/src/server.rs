//! Client connections and their graceful shutdown.

use std::convert::Infallible;
use std::io::Cursor;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use director::directory;
use futures_util::future::{self, Either, FutureExt};
use http::header::{HeaderValue, CONNECTION};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use wire::backlog;

use crate::answer::{AnswerBody, HostAnswer};
use crate::close::CloseCause;
use crate::forwarder::{ForwardEnd, RequestForwarder};
use crate::idle::IdleClock;
use crate::intake;
use crate::pipeline::{self, PipelineEnd};
use crate::stream::{ClientStream, DiscardedInput};

/// Longest time for which a client may leave sent bytes unacknowledged.
const CLIENT_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between a failed accept and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which connections to backend servers are checked for their idle timeout.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Share of the shutdown timeout for which the host drains, that is, still accepts connections.
const DRAIN_SHARE: f64 = 0.5;

/// Longest time for which clients use an answer of the directory, as a multiple of its time to live.
const MAX_KEPT_TTLS: u32 = 3;

/// Longest time for which a stopping host still waits for requests on open connections, so that those
/// in transit are answered.
const TRANSIT_GRACE: Duration = Duration::from_millis(300);

/// Largest share of the shutdown timeout that [`TRANSIT_GRACE`] takes.
const MAX_GRACE_SHARE: f64 = 0.2;

/// Share of the shutdown timeout after which the host answers the requests that are still unanswered
/// itself, so that answers that are ready behind them leave before the process ends.
const FINISH_SHARE: f64 = 0.9;

/// Share of the shutdown timeout after which the shutdown ends even if connections are left.
const MAX_SHUTDOWN_SHARE: f64 = 0.94;

/// Interval at which a shutdown checks whether all connections are closed.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Phase of a server, from start to shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Accepts connections and keeps them open between requests.
    Serving,
    /// Accepts connections, and closes each connection after its next answer.
    Draining,
    /// Accepts no connections, and still serves a request on each open one.
    Stopping,
    /// Also closes the connections without a request in flight.
    ClosingIdle,
    /// Also answers all requests that backend servers have not answered.
    Finishing,
}

/// Serves client connections.
#[derive(Debug)]
pub struct ClientServer {
    forwarder: RequestForwarder,
    phase: watch::Sender<ServerPhase>,
    /// Number of open connections.
    connections: AtomicUsize,
    /// Times of the shutdown; unset before it.
    shutdown: OnceLock<ShutdownTimes>,
}

/// Times at which a shutdown changes what it does with requests.
#[derive(Debug, Clone, Copy)]
struct ShutdownTimes {
    /// Time from which clients know that the host stops. It takes only requests that it can finish.
    is_known_at: Instant,
    /// Time from which the host answers all requests itself.
    finishes_at: Instant,
}

impl ShutdownTimes {
    fn new(started_at: Instant, timeout: Duration) -> Self {
        let known_after = directory::TTL * MAX_KEPT_TTLS;
        Self {
            is_known_at: started_at + known_after.min(timeout.mul_f64(DRAIN_SHARE)),
            finishes_at: started_at + timeout.mul_f64(FINISH_SHARE),
        }
    }
}

impl ClientServer {
    /// Creates a server that forwards requests with the given forwarder.
    pub fn new(forwarder: RequestForwarder) -> Arc<Self> {
        Arc::new(Self {
            forwarder,
            phase: watch::Sender::new(ServerPhase::Serving),
            connections: AtomicUsize::new(0),
            shutdown: OnceLock::new(),
        })
    }

    /// Accepts and serves connections until the server is [`ServerPhase::Stopping`].
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut phase = self.phase.subscribe();
        let mut idle_checks = tokio::time::interval(IDLE_CHECK_INTERVAL);
        loop {
            let stopping = std::pin::pin!(wait_phase(&mut phase, ServerPhase::Stopping));
            let accepted = std::pin::pin!(listener.accept());
            let idle_check = std::pin::pin!(idle_checks.tick());
            match future::select(future::select(stopping, accepted), idle_check).await {
                Either::Left((Either::Left(_), _)) => break,
                Either::Left((Either::Right((Ok((socket, peer)), _)), _)) => {
                    task::spawn(Arc::clone(&self).serve_connection(socket, peer));
                }
                Either::Left((Either::Right((Err(e), _)), _)) => {
                    log::warn!(
                        target: "clients",
                        "accepting a connection failed, trying again; error={e}"
                    );
                    task::sleep(ACCEPT_RETRY_DELAY).await;
                }
                Either::Right(_) => self.forwarder.sender().pool.close_idle(Instant::now()),
            }
        }
        let spawn = |socket, peer| {
            task::spawn(Arc::clone(&self).serve_connection(socket, peer));
        };
        backlog::close(listener, spawn).await;
    }

    /// Shuts down gracefully: closes each connection after its next answer, then also the
    /// connections without a request in flight, and waits for the others. When the timeout is nearly
    /// over, it answers the requests that are left itself.
    pub async fn shutdown(&self, timeout: Duration) {
        let started_at = Instant::now();
        let times = ShutdownTimes::new(started_at, timeout);
        let finishes_at = self.shutdown.get_or_init(|| times).finishes_at;
        self.phase.send_replace(ServerPhase::Draining);
        task::sleep(timeout.mul_f64(DRAIN_SHARE)).await;
        self.phase.send_replace(ServerPhase::Stopping);
        task::sleep(TRANSIT_GRACE.min(timeout.mul_f64(MAX_GRACE_SHARE))).await;
        self.phase.send_replace(ServerPhase::ClosingIdle);
        self.wait_closed(finishes_at).await;
        self.phase.send_replace(ServerPhase::Finishing);
        self.wait_closed(started_at + timeout.mul_f64(MAX_SHUTDOWN_SHARE))
            .await;
        let left = self.connections.load(Ordering::Acquire);
        log::info!(
            target: "clients",
            "shutdown of client connections ended; connections_left={left}"
        );
    }

    /// Waits until all connections are closed, or until `end`.
    async fn wait_closed(&self, end: Instant) {
        while self.connections.load(Ordering::Acquire) > 0 && Instant::now() < end {
            task::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }

    async fn serve_connection(self: Arc<Self>, socket: TcpStream, peer: SocketAddr) {
        self.connections.fetch_add(1, Ordering::AcqRel);
        let options = socket2::SockRef::from(&socket);
        let set = options
            .set_tcp_nodelay(true)
            .and_then(|()| options.set_tcp_user_timeout(Some(CLIENT_USER_TIMEOUT)));
        match set {
            Ok(()) => self.serve_stream(ClientStream::new(socket), peer).await,
            Err(e) => {
                log::info!(
                    target: "clients",
                    "setting socket options failed, closing the connection; peer={peer} error={e}"
                );
            }
        }
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    async fn serve_stream(&self, stream: ClientStream, peer: SocketAddr) {
        let sender = self.forwarder.sender();
        let max_header_bytes = sender.state.routes().site.limits.max_header_bytes;
        let clock = IdleClock::new(&sender.state);
        let mut phase = self.phase.subscribe();
        let answer = |parts: Parts| self.serve_request(parts, None, &clock).boxed();
        let end = pipeline::serve(&stream, &clock, max_header_bytes, &mut phase, answer).await;
        let cause = match end {
            PipelineEnd::Disconnected => CloseCause::Disconnected,
            PipelineEnd::Complete(cause) => cause,
            PipelineEnd::HandOver(buffered) => {
                self.serve_sequential(&stream, buffered, max_header_bytes, &clock)
                    .await
            }
        };
        sender.metrics.record_close(cause);
        if cause == CloseCause::Disconnected {
            return;
        }
        if let Some(input) = stream.lingering_close().await {
            self.log_discarded(peer, cause, &input);
        }
    }

    /// Logs bytes that arrived while a connection was being closed.
    fn log_discarded(&self, peer: SocketAddr, cause: CloseCause, input: &DiscardedInput) {
        let cause: &'static str = cause.into();
        let id_header = &self.forwarder.sender().names.request_id;
        log::info!(
            target: "clients",
            "bytes discarded that arrived while the connection was being closed; peer={peer} cause={cause} request={} \
             bytes={} delay_ms={}",
            pipeline::header_value(&input.first, id_header).unwrap_or_default(),
            input.bytes,
            input.delay.as_millis()
        );
    }

    /// Serves a connection with hyper, one request at a time; `buffered` holds the bytes that were
    /// read from the stream before.
    async fn serve_sequential(
        &self,
        stream: &ClientStream,
        buffered: Bytes,
        max_header_bytes: usize,
        clock: &IdleClock<'_>,
    ) -> CloseCause {
        let service = service_fn(|request: Request<Incoming>| {
            let (parts, body) = request.into_parts();
            Box::pin(async move {
                let mut response = self.serve_request(parts, Some(body), clock).await;
                clock.restart();
                if *self.phase.borrow() != ServerPhase::Serving {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            })
        });
        // hyper's time limit for reading a head also applies while a connection is idle, and can't follow the
        // configuration, so the clock bounds both.
        let input = Cursor::new(buffered).chain(stream.clone());
        let io = TokioIo::new(tokio::io::join(input, stream.clone()));
        let mut http = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(io, service);
        let mut phase = self.phase.subscribe();
        let end = {
            let disconnected = std::pin::pin!(stream.disconnected());
            let closing = std::pin::pin!(wait_phase(&mut phase, ServerPhase::ClosingIdle));
            let expired = std::pin::pin!(clock.expired());
            let closing = future::select(closing, expired);
            let serving = future::poll_fn(|cx| http.poll_without_shutdown(cx));
            match future::select(serving, future::select(disconnected, closing)).await {
                Either::Left(_) => ServingEnd::Complete,
                Either::Right((Either::Left(_), _)) => ServingEnd::Disconnected,
                Either::Right((Either::Right((Either::Left(_), _)), _)) => {
                    ServingEnd::Closing(CloseCause::Shutdown)
                }
                Either::Right((Either::Right((Either::Right(_), _)), _)) => {
                    ServingEnd::Closing(CloseCause::Idle)
                }
            }
        };
        match end {
            ServingEnd::Complete => CloseCause::Announced,
            ServingEnd::Disconnected => CloseCause::Disconnected,
            ServingEnd::Closing(cause) => {
                Pin::new(&mut http).graceful_shutdown();
                let disconnected = std::pin::pin!(stream.disconnected());
                let serving = future::poll_fn(|cx| http.poll_without_shutdown(cx));
                let _ = future::select(serving, disconnected).await;
                cause
            }
        }
    }

    /// Answers a request, and records the answer. `body` is `None` for a request without a body.
    async fn serve_request(
        &self,
        parts: Parts,
        body: Option<Incoming>,
        clock: &IdleClock<'_>,
    ) -> Response<AnswerBody> {
        let started_at = Instant::now();
        let idle = clock.begin_request();
        let sender = self.forwarder.sender();
        let names = &sender.names;
        let id = parts.headers.get(&names.request_id).cloned();
        let limit = clock.limit();
        if idle > limit {
            log::info!(
                target: "clients",
                "a request came after a longer idle time than the limit; request={} idle_ms={} limit_ms={}",
                id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default(),
                idle.as_millis(),
                limit.as_millis()
            );
        }
        let answer = match self.forward_until_finishing(parts, body).await {
            Ok(ForwardEnd::Server(answer)) => {
                let status = answer.status().as_u16();
                sender
                    .metrics
                    .record_answer(status, false, started_at.elapsed());
                return answer.map(Full::new);
            }
            Ok(ForwardEnd::Host(answer)) | Err(answer) => answer,
        };
        let status = answer.status().as_u16();
        sender
            .metrics
            .record_answer(status, true, started_at.elapsed());
        log::info!(
            target: "request",
            "answered by the host; request={} status={} cause={:?}",
            id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default(),
            status,
            answer.text()
        );
        let mut response = answer.to_response();
        if let Some(id) = id {
            response.headers_mut().insert(names.request_id.clone(), id);
        }
        response
    }

    /// Forwards a request, and gives its answer up when the host finishes its shutdown.
    async fn forward_until_finishing(
        &self,
        parts: Parts,
        body: Option<Incoming>,
    ) -> Result<ForwardEnd, HostAnswer> {
        let mut phase = self.phase.subscribe();
        let finishing = std::pin::pin!(wait_phase(&mut phase, ServerPhase::Finishing));
        let forwarding = std::pin::pin!(self.forward(parts, body));
        match future::select(forwarding, finishing).await {
            Either::Left((end, _)) => end,
            Either::Right(_) => Err(HostAnswer::Unknown("the host stops before the answer came")),
        }
    }

    async fn forward(
        &self,
        parts: Parts,
        body: Option<Incoming>,
    ) -> Result<ForwardEnd, HostAnswer> {
        let now = Instant::now();
        let sender = self.forwarder.sender();
        let request = intake::read(sender, self.last_deadline(now), now, parts, body).await?;
        let end = self.forwarder.forward(&request).await;
        if matches!(end, ForwardEnd::Host(HostAnswer::NotRun { .. })) {
            intake::refund_quota(&sender.state, request.organisation.as_deref());
        }
        Ok(end)
    }

    /// Returns the latest deadline of a request that this host still takes; `None` while clients may not know
    /// that it stops. The client of a request with a later deadline still has time to ask another host.
    fn last_deadline(&self, now: Instant) -> Option<Instant> {
        let times = self.shutdown.get()?;
        (now >= times.is_known_at).then_some(times.finishes_at)
    }
}

/// Why hyper's serving of a connection ended or is interrupted.
enum ServingEnd {
    /// hyper finished, or the connection failed.
    Complete,
    /// The client disconnected.
    Disconnected,
    /// The server closes the connection for the given cause.
    Closing(CloseCause),
}

/// Waits until the server is in the given phase or a later one.
pub(crate) async fn wait_phase(phase: &mut watch::Receiver<ServerPhase>, awaited: ServerPhase) {
    let _ = phase.wait_for(|phase| *phase >= awaited).await;
}
