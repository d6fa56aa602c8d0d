//! Client connections and their graceful shutdown.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use director::directory;
use futures_util::future::{self, Either, FutureExt};
use http::header::HeaderValue;
use http::request::Parts;
use http::Response;
use http_body_util::Full;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use wire::backlog;

use crate::answer::{AnswerBody, HostAnswer};
use crate::body::ClientBody;
use crate::close::{CloseCause, Continuation};
use crate::forwarder::{ForwardEnd, RequestForwarder};
use crate::intake;
use crate::pipeline::{self, PipelineEnd};
use crate::sequential::{self, SequentialEnd};
use crate::stream::{ClientStream, DiscardedInput};
use crate::tracker::ConnectionTracker;

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
        let tracker = ConnectionTracker::new(&sender.state);
        let cause = self.serve_requests(&stream, &tracker).await;
        sender.metrics.record_close(cause);
        if cause == CloseCause::LateHead {
            let answer = self.host_response(&HostAnswer::LateHead, None, Duration::ZERO);
            let mut writer = stream.clone();
            let written = pipeline::write_answer(&mut writer, answer, Continuation::Close).await;
            if written.is_err() {
                return;
            }
        }
        // Without an announcement, dropping the socket closes it and resets what arrives later.
        if cause.is_announced() {
            if let Some(input) = stream.lingering_close().await {
                self.log_discarded(peer, cause, &input);
            }
        }
    }

    /// Serves the requests of a connection until it ends.
    async fn serve_requests(
        &self,
        stream: &ClientStream,
        tracker: &ConnectionTracker<'_>,
    ) -> CloseCause {
        let state = &self.forwarder.sender().state;
        let max_header_bytes = state.routes().site.limits.max_header_bytes;
        let mut phase = self.phase.subscribe();
        let mut buffered = Bytes::new();
        loop {
            let answer = |parts: Parts| self.serve_request(parts, None, tracker).boxed();
            let end = pipeline::serve(
                stream,
                buffered,
                tracker,
                max_header_bytes,
                &mut phase,
                answer,
            );
            let unparsed = match end.await {
                PipelineEnd::Close(cause) => return cause,
                PipelineEnd::HandOver(unparsed) => unparsed,
            };
            let end = sequential::serve(
                stream,
                unparsed,
                tracker,
                max_header_bytes,
                &phase,
                |parts, mut body| {
                    let answer = async move {
                        let answer = self.serve_request(parts, Some(&mut body), tracker).await;
                        (answer, body)
                    };
                    answer.boxed()
                },
            );
            buffered = match end.await {
                SequentialEnd::Close(cause) => return cause,
                SequentialEnd::Resume(unparsed) => unparsed,
            };
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

    /// Answers a request, and records the answer. `body` is `None` for a request without a body.
    async fn serve_request(
        &self,
        parts: Parts,
        body: Option<&mut ClientBody>,
        tracker: &ConnectionTracker<'_>,
    ) -> Response<AnswerBody> {
        let started_at = Instant::now();
        let idle = tracker.begin_request();
        let sender = self.forwarder.sender();
        let names = &sender.names;
        let id = parts.headers.get(&names.request_id).cloned();
        let limit = tracker.idle_limit();
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
        self.host_response(&answer, id, started_at.elapsed())
    }

    /// Records an answer of the host, and returns the response with it.
    fn host_response(
        &self,
        answer: &HostAnswer,
        id: Option<HeaderValue>,
        took: Duration,
    ) -> Response<AnswerBody> {
        let sender = self.forwarder.sender();
        let status = answer.status().as_u16();
        sender.metrics.record_answer(status, true, took);
        log::info!(
            target: "request",
            "answered by the host; request={} status={} cause={:?}",
            id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default(),
            status,
            answer.text()
        );
        let mut response = answer.to_response();
        if let Some(id) = id {
            let name = sender.names.request_id.clone();
            response.headers_mut().insert(name, id);
        }
        response
    }

    /// Forwards a request, and gives its answer up when the host finishes its shutdown.
    async fn forward_until_finishing(
        &self,
        parts: Parts,
        body: Option<&mut ClientBody>,
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
        body: Option<&mut ClientBody>,
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

/// Waits until the server is in the given phase or a later one.
async fn wait_phase(phase: &mut watch::Receiver<ServerPhase>, awaited: ServerPhase) {
    let _ = phase.wait_for(|phase| *phase >= awaited).await;
}
