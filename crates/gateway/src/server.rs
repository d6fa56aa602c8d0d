//! Connections of clients and their planned stop.

use std::convert::Infallible;
use std::io::Cursor;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use bytes::Bytes;
use fleet::site::ClientLimits;
use futures_util::future::{self, Either, FutureExt};
use http::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::answer::{AnswerBody, OwnAnswer};
use crate::attempt;
use crate::forwarder::{ForwardEnd, RequestForwarder};
use crate::pipeline::{self, PipelineEnd};
use crate::request::{self, ForwardRequest};
use crate::stream::ClientStream;

/// Longest time that a client takes no byte of its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time between two looks for idle connections to backend servers.
const REAP_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the grace in which a stopping host still takes new connections.
const CLOSE_SHARE: f64 = 0.5;

/// Part of the grace after which it ends, whatever is left.
const END_SHARE: f64 = 0.94;

/// Pause between two looks while connections end.
const STOP_PAUSE: Duration = Duration::from_millis(25);

/// When a caller comes back that came too early or too late.
const ELSEWHERE_COME_BACK: Duration = Duration::from_millis(50);

/// What a server does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPhase {
    /// Keeps them open between requests.
    Serving,
    /// Closes each after its next answer.
    Closing,
    /// Closes those without a request.
    Closed,
}

/// Serves the connections of clients.
#[derive(Debug)]
pub struct ClientServer {
    forwarder: RequestForwarder,
    phase: watch::Sender<ServerPhase>,
    connections: AtomicUsize,
}

impl ClientServer {
    /// Creates a server.
    pub fn new(forwarder: RequestForwarder) -> Arc<Self> {
        Arc::new(Self {
            forwarder,
            phase: watch::Sender::new(ServerPhase::Serving),
            connections: AtomicUsize::new(0),
        })
    }

    /// Accepts connections until the server stops.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut phase = self.phase.subscribe();
        let mut reaps = tokio::time::interval(REAP_INTERVAL);
        loop {
            let closed = std::pin::pin!(wait_closed(&mut phase));
            let accepted = std::pin::pin!(listener.accept());
            let reap = std::pin::pin!(reaps.tick());
            match future::select(future::select(closed, accepted), reap).await {
                Either::Left((Either::Left(_), _)) => return,
                Either::Left((Either::Right((Ok((socket, peer)), _)), _)) => {
                    task::spawn(Arc::clone(&self).serve_connection(socket, peer));
                }
                Either::Left((Either::Right((Err(e), _)), _)) => {
                    log::warn!(target: "clients", "no connection accepted; error={e}");
                    task::sleep(ACCEPT_PAUSE).await;
                }
                Either::Right(_) => self.forwarder.sender().pool.close_idle(Instant::now()),
            }
        }
    }

    /// Stops as planned: closes each connection after its next answer, later those without a
    /// request, and waits for the others until the grace is nearly over.
    pub async fn stop(&self, grace: Duration) {
        let start = Instant::now();
        self.phase.send_replace(ServerPhase::Closing);
        task::sleep(grace.mul_f64(CLOSE_SHARE)).await;
        self.phase.send_replace(ServerPhase::Closed);
        let end = start + grace.mul_f64(END_SHARE);
        while self.connections.load(Ordering::Acquire) > 0 && Instant::now() < end {
            task::sleep(STOP_PAUSE).await;
        }
        let left = self.connections.load(Ordering::Acquire);
        log::info!(target: "clients", "stopped; connections_left={left}");
    }

    async fn serve_connection(self: Arc<Self>, socket: TcpStream, peer: SocketAddr) {
        self.connections.fetch_add(1, Ordering::AcqRel);
        let options = socket2::SockRef::from(&socket);
        let set = options
            .set_tcp_nodelay(true)
            .and_then(|()| options.set_tcp_user_timeout(Some(CLIENT_TIMEOUT)));
        match set {
            Ok(()) => self.serve_stream(ClientStream::new(socket)).await,
            Err(e) => {
                log::info!(target: "clients", "socket refused options; peer={peer} error={e}")
            }
        }
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    async fn serve_stream(&self, stream: ClientStream) {
        let limits = self.forwarder.sender().state.routes().site.limits.clone();
        let mut phase = self.phase.subscribe();
        let answer = |parts: Parts| self.serve_request(parts, None).boxed();
        match pipeline::serve(&stream, &limits, &mut phase, answer).await {
            PipelineEnd::Left => {}
            PipelineEnd::Closed => stream.linger().await,
            PipelineEnd::HandOver(read) => self.serve_library(stream, read, &limits).await,
        }
    }

    /// Serves a connection by the HTTP library, one request at a time.
    async fn serve_library(&self, stream: ClientStream, read: Bytes, limits: &ClientLimits) {
        let service = service_fn(|request: Request<Incoming>| {
            let (parts, body) = request.into_parts();
            Box::pin(async move {
                let mut response = self.serve_request(parts, Some(body)).await;
                if *self.phase.borrow() != ServerPhase::Serving {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            })
        });
        // The library's limit on the head also runs while a connection is idle.
        let rewound = Cursor::new(read).chain(stream.clone());
        let io = TokioIo::new(tokio::io::join(rewound, stream.clone()));
        let mut http = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(io, service);
        let mut phase = self.phase.subscribe();
        let ended = {
            let left = std::pin::pin!(stream.closed());
            let closed = std::pin::pin!(wait_closed(&mut phase));
            let serving = future::poll_fn(|cx| http.poll_without_shutdown(cx));
            match future::select(serving, future::select(left, closed)).await {
                Either::Left(_) => ServingEnd::Done,
                Either::Right((Either::Left(_), _)) => ServingEnd::Left,
                Either::Right((Either::Right(_), _)) => ServingEnd::Stopping,
            }
        };
        match ended {
            ServingEnd::Done => {}
            ServingEnd::Left => return,
            ServingEnd::Stopping => {
                Pin::new(&mut http).graceful_shutdown();
                let left = std::pin::pin!(stream.closed());
                let serving = future::poll_fn(|cx| http.poll_without_shutdown(cx));
                let _ = future::select(serving, left).await;
            }
        }
        drop(http);
        stream.linger().await;
    }

    async fn serve_request(&self, parts: Parts, body: Option<Incoming>) -> Response<AnswerBody> {
        let began_at = Instant::now();
        let sender = self.forwarder.sender();
        let names = &sender.names;
        let id = parts.headers.get(&names.request_id).cloned();
        let own = match self.answer(parts, body).await {
            Ok(ForwardEnd::Answer(answer)) => {
                let status = answer.status().as_u16();
                sender
                    .metrics
                    .count_answer(status, false, began_at.elapsed());
                return answer.map(Full::new);
            }
            Ok(ForwardEnd::Own(own)) | Err(own) => own,
        };
        let status = own.status().as_u16();
        sender
            .metrics
            .count_answer(status, true, began_at.elapsed());
        log::info!(
            target: "request",
            "answered by the host; request={} status={} cause={:?}",
            id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default(),
            status,
            own.text()
        );
        let mut response = own.to_response();
        if let Some(id) = id {
            response.headers_mut().insert(names.request_id.clone(), id);
        }
        response
    }

    async fn answer(&self, parts: Parts, body: Option<Incoming>) -> Result<ForwardEnd, OwnAnswer> {
        let now = Instant::now();
        let request = self.read(now, parts, body).await?;
        Ok(self.forwarder.forward(&request).await)
    }

    /// Reads a request whole and finds its route.
    async fn read(
        &self,
        now: Instant,
        parts: Parts,
        body: Option<Incoming>,
    ) -> Result<ForwardRequest, OwnAnswer> {
        let sender = self.forwarder.sender();
        let mut headers = parts.headers;
        if headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH) {
            return Err(OwnAnswer::Malformed(
                "content-length and transfer-encoding can't both be given",
            ));
        }
        if headers.get_all(HOST).iter().count() > 1 {
            return Err(OwnAnswer::Malformed("host is given more than once"));
        }
        let table = sender.state.routes();
        let not_known = |cause: &str| OwnAnswer::NotRun {
            cause: cause.to_string(),
            come_back: ELSEWHERE_COME_BACK,
        };
        if table.version == 0 {
            return Err(not_known("this host has no configuration yet"));
        }
        let host = attempt::host_of(&headers, &parts.uri).unwrap_or_default();
        let Some(route) = table.site.route(&host, parts.uri.path()) else {
            if sender.state.is_current(now) {
                return Err(OwnAnswer::NoRoute);
            }
            return Err(not_known("this host may lack the latest configuration"));
        };
        let Some(service) = sender.state.split(route) else {
            return Err(not_known("the route sends nothing anywhere"));
        };
        let names = &sender.names;
        let id = headers
            .get(&names.request_id)
            .and_then(|id| id.to_str().ok());
        let id = id.unwrap_or_default().to_string();
        let deadline = request::deadline(names, &headers, route, now);
        let object = request::object(names, &headers, route);
        let body = match body {
            Some(body) => read_body(body, table.site.limits.max_body_bytes).await?,
            None => Bytes::new(),
        };
        request::strip_hop_headers(&mut headers);
        Ok(ForwardRequest {
            id,
            method: parts.method,
            target: parts.uri,
            headers,
            body,
            service: service.to_string(),
            route: route.clone(),
            arrived_at: now,
            deadline,
            object,
        })
    }
}

/// Why a connection is no longer served.
enum ServingEnd {
    /// It was closed or failed.
    Done,
    /// The client left.
    Left,
    /// The host stops.
    Stopping,
}

/// Least size that the HTTP library takes for its buffer.
const MIN_BUFFER_BYTES: usize = 8 << 10;

async fn read_body(body: Incoming, most: u64) -> Result<Bytes, OwnAnswer> {
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(OwnAnswer::TooLarge),
        Err(_) => Err(OwnAnswer::Malformed("the body was cut")),
    }
}

/// Waits until connections without a request are to be closed.
async fn wait_closed(phase: &mut watch::Receiver<ServerPhase>) {
    let _ = phase.wait_for(|phase| *phase == ServerPhase::Closed).await;
}
