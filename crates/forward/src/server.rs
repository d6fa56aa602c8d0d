//! Connections of callers, and their planned stop.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{self, Either, FutureExt};
use http::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING};
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use model::outcome::{self, RefusalReason};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

use crate::body::AnswerBody;
use crate::connection;
use crate::edges::{CallerAddress, OtherRoutes};
use crate::facts;
use crate::forwarder::RequestForwarder;
use crate::refusal::RequestRefusal;
use crate::settings::ForwardSettings;
use crate::tap::{HeadTap, TappedStream};

/// Time in which a stopping server still takes requests on open connections, so that one that is
/// on its way is answered rather than cut.
const CLOSE_GRACE: Duration = Duration::from_millis(300);
/// Longest time in which a closed connection's last bytes are read and dropped.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Most bytes that are read and dropped after a connection was closed.
const LINGER_BYTES: usize = 4 << 20;
/// Time between two looks for idle connections to backend servers.
const REAP_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time that a caller takes no byte of its answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a caller without a connection comes back.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Most connections beyond the bound whose request is refused rather than cut.
const REFUSED_CONNECTIONS: usize = 256;
/// Longest wait for the head of a request that is refused for want of a connection.
const REFUSED_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of a body of a request that is not forwarded.
const OTHER_BODY_BYTES: usize = 1 << 20;

/// What a server does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerPhase {
    /// Keeps them open between requests.
    Serving,
    /// Closes each after its next answer.
    Closing,
    /// Closes those without a request.
    Closed,
}

/// How a planned stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Connections and runs under keys that went on when the time was over; 0 when nothing was
    /// cut.
    pub left: usize,
}

/// Serves the connections of callers.
#[derive(Clone)]
pub struct CallerServer {
    shared: Arc<SharedServer>,
}

struct SharedServer {
    forwarder: Arc<RequestForwarder>,
    others: Arc<dyn OtherRoutes>,
    phase: watch::Sender<ServerPhase>,
    connections: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
}

impl CallerServer {
    /// Creates a server.
    pub fn new(forwarder: Arc<RequestForwarder>, others: Arc<dyn OtherRoutes>) -> Self {
        let connections = Semaphore::new(forwarder.settings().max_connections);
        let shared = SharedServer {
            forwarder,
            others,
            phase: watch::Sender::new(ServerPhase::Serving),
            connections: Arc::new(connections),
            refusals: Arc::new(Semaphore::new(REFUSED_CONNECTIONS)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the number of connections of callers.
    pub fn connections(&self) -> usize {
        let bound = self.shared.forwarder.settings().max_connections;
        bound.saturating_sub(self.shared.connections.available_permits())
    }

    /// Accepts connections until the server stops. Runs inside an async-std task.
    pub async fn serve(&self, listener: TcpListener) {
        let mut phase = self.shared.phase.subscribe();
        let mut reaps = tokio::time::interval(REAP_INTERVAL);
        loop {
            let closed = Box::pin(wait_closed(&mut phase));
            let accepted = Box::pin(listener.accept());
            let reap = Box::pin(reaps.tick());
            match future::select(future::select(closed, accepted), reap).await {
                Either::Left((Either::Left(_), _)) => break,
                Either::Left((Either::Right((accepted, _)), _)) => self.take(accepted).await,
                Either::Right(_) => self.shared.forwarder.close_idle(Instant::now()),
            }
        }
        while let Some(accepted) = listener.accept().now_or_never() {
            self.take(accepted).await;
        }
    }

    /// Stops as planned: announces the end on every answer, closes connections without a request
    /// and waits for the others, at most for the given time.
    pub async fn stop(&self, drain: Duration) -> StopReport {
        let end = Instant::now() + drain;
        log::info!(target: "forward", "stopping; {} connections open", self.connections());
        self.shared.phase.send_replace(ServerPhase::Closing);
        tokio::time::sleep(CLOSE_GRACE.min(drain / 2)).await;
        self.shared.phase.send_replace(ServerPhase::Closed);
        let bound = self.shared.forwarder.settings().max_connections;
        let all = self.shared.connections.acquire_many(bound as u32);
        let _ = tokio::time::timeout_at(end.into(), all).await;
        let forwarder = &self.shared.forwarder;
        let _ = tokio::time::timeout_at(end.into(), forwarder.wait_claimed()).await;
        let left = self.connections() + forwarder.claimed_runs();
        log::info!(target: "forward", "stopped; {left} connections and runs cut");
        StopReport { left }
    }

    async fn take(&self, accepted: std::io::Result<(TcpStream, SocketAddr)>) {
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!(target: "forward", "can't accept a connection: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                return;
            }
        };
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
    /// Refuses the request of a connection beyond the bound; beyond a second bound, closes it.
    fn refuse_connection(self: Arc<Self>, stream: TcpStream) {
        let Ok(permit) = self.refusals.clone().try_acquire_owned() else {
            return;
        };
        let refusal = RequestRefusal::no_room(
            self.full_reason(),
            REFUSED_RETRY_AFTER,
            "this entry host takes no more connections; ask another one",
        );
        async_std::task::spawn(async move {
            let _permit = permit;
            let service = service_fn(|request| future::ready(refuse(&request, &refusal)));
            let mut http = server_builder(self.forwarder.settings())
                .header_read_timeout(REFUSED_HEAD_TIMEOUT)
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), service);
            let _ = future::poll_fn(|cx| http.poll_without_shutdown(cx)).await;
            linger(http.into_parts().io.into_inner()).await;
        });
    }

    /// Says why no connection is free: a stopping server holds them all back.
    fn full_reason(&self) -> RefusalReason {
        match *self.phase.borrow() {
            ServerPhase::Serving => RefusalReason::Overloaded,
            ServerPhase::Closing | ServerPhase::Closed => RefusalReason::Stopping,
        }
    }

    async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) {
        if let Err(err) = connection::set_timeouts(&stream, CALLER_TIMEOUT) {
            log::debug!(target: "forward", "{peer}: {err}");
            return;
        }
        let mut phase = self.phase.subscribe();
        let settings = self.forwarder.settings();
        let tap = HeadTap::new(settings.max_head_bytes);
        let service = service_fn(|request| Box::pin(self.serve_request(request, peer, &tap)));
        let io = TokioIo::new(TappedStream::new(stream, tap.clone()));
        let mut http = server_builder(settings).serve_connection(io, service);
        let closed = Box::pin(wait_closed(&mut phase));
        let serving = future::poll_fn(|cx| http.poll_without_shutdown(cx));
        let ended = match future::select(serving, closed).await {
            Either::Left((ended, _)) => ended,
            Either::Right(_) => {
                Pin::new(&mut http).graceful_shutdown();
                let serving = future::poll_fn(|cx| http.poll_without_shutdown(cx));
                finish(serving, &tap).await
            }
        };
        if let Err(err) = ended {
            log::debug!(target: "forward", "{peer}: {err}");
        }
        let io = http.into_parts().io;
        linger(io.into_inner().into_inner()).await;
        drop(permit);
    }

    async fn serve_request(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
        tap: &HeadTap,
    ) -> Result<Response<AnswerBody>, Infallible> {
        tap.pause();
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let mut response = if chunked && !tap.is_chunked_only(request.method().as_str()) {
            refuse_framing()
        } else if request.uri().path().starts_with(facts::SERVICE_PREFIX) {
            self.forwarder.forward(request).await
        } else {
            self.answer_other(request, peer).await.map(Into::into)
        };
        if *self.phase.borrow() != ServerPhase::Serving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        tap.restart();
        Ok(response)
    }

    async fn answer_other(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Bytes> {
        let (parts, incoming) = request.into_parts();
        let reading = Limited::new(incoming, OTHER_BODY_BYTES).collect();
        let limit = self.forwarder.settings().head_timeout;
        let body = match tokio::time::timeout(limit, reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return facts::too_large().to_response(),
            Err(_) => return RequestRefusal::malformed("the body is late").to_response(),
        };
        let mut request = Request::from_parts(parts, body);
        request.extensions_mut().insert(CallerAddress(peer));
        self.others.answer(request).await
    }
}

/// Serves a closing connection to its end; one that has brought no request by then is given up.
async fn finish<F>(serving: F, tap: &HeadTap) -> hyper::Result<()>
where
    F: Future<Output = hyper::Result<()>> + Unpin,
{
    let grace = Box::pin(tokio::time::sleep(CLOSE_GRACE));
    match future::select(serving, grace).await {
        Either::Left((ended, _)) => ended,
        Either::Right(((), serving)) if tap.has_request() => serving.await,
        Either::Right(((), _)) => Ok(()),
    }
}

/// Refuses a request whose end can be read in two ways, and closes its connection.
fn refuse_framing() -> Response<AnswerBody> {
    let refusal = RequestRefusal::malformed(
        "a request has content-length or transfer-encoding, not both, and a chunked one isn't \
         sent before the answer to the one before it",
    );
    let mut response = refusal.to_response().map(AnswerBody::from);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Refuses a request for want of a connection; one with a key may be the resend of one that ran.
fn refuse(
    request: &Request<Incoming>,
    refusal: &RequestRefusal,
) -> Result<Response<AnswerBody>, Infallible> {
    let keyed = request.headers().contains_key(outcome::KEY_HEADER);
    let refusal = refusal.clone().may_have_run(keyed);
    Ok(refusal.to_response().map(AnswerBody::from))
}

/// Waits until connections without a request are to be closed.
async fn wait_closed(phase: &mut watch::Receiver<ServerPhase>) {
    let _ = phase
        .wait_for(|phase| *phase == ServerPhase::Closed)
        .await
        .is_ok();
}

fn server_builder(settings: &ForwardSettings) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout)
        .max_headers(settings.max_headers)
        .max_header_size(settings.max_head_bytes)
        .max_buf_size(settings.max_head_bytes.max(MIN_BUFFER_BYTES));
    builder
}

/// Least size that the HTTP library takes for its buffer.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Ends a connection so that its last answer arrives also where unread bytes came in.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut scratch = vec![0; 4096];
    let reading = async {
        let mut left = LINGER_BYTES;
        while let Ok(count) = stream.read(&mut scratch).await {
            left = left.saturating_sub(count);
            if count == 0 || left == 0 {
                break;
            }
        }
    };
    let _ = tokio::time::timeout(LINGER_TIME, reading).await;
}
