//! Test backend server, test caller and a running server between them.
//!
//! The backend server and the caller read and write raw bytes, so that tests can send malformed and
//! incomplete messages.

#![allow(
    missing_docs,
    dead_code,
    unreachable_pub,
    clippy::unwrap_used,
    clippy::expect_used
)]

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use forward::fixed::FixedRoutes;
use forward::forwarder::RequestForwarder;
use forward::hooks::{ClaimStore, FallbackHandler};
use forward::idempotency::{ClaimCompletion, ClaimOutcome, ClaimRequest};
use forward::routes::RouteTable;
use forward::server::CallerServer;
use forward::settings::ForwardSettings;
use futures_util::future::BoxFuture;
use futures_util::FutureExt;

/// Longest time that a test waits for a condition or a byte.
const WAIT_TIMEOUT: Duration = Duration::from_secs(8);

/// What a test backend server does with a request.
#[derive(Debug, Clone)]
pub enum BackendAction {
    /// Reads the request and sends a response.
    Respond(String),
    /// Reads the request, sends a response and closes the connection.
    RespondAndClose(String),
    /// Reads the request and sends a response after some milliseconds.
    RespondAfterMs(u64, String),
    /// Reads the request and sends nothing until the connection is closed.
    Hang,
    /// Reads the request, sends a response, and sends more bytes after some milliseconds.
    RespondTwice(String, u64, String),
    /// Sends a response after the head, before it reads the body.
    RespondBeforeBody(String),
    /// Closes the connection after the head, before it reads the body.
    CloseInBody,
    /// Closes each new connection before it reads a request. Must be the first action.
    CloseOnAccept,
}

/// Returns a complete response with status 200.
pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the action that responds with `text`.
pub fn respond(text: &str) -> BackendAction {
    BackendAction::Respond(text.to_string())
}

/// Request that a test backend server read in full.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
    /// Number of the connection, counted from 0.
    pub connection: usize,
}

/// Test backend server that handles its n-th request with the n-th action. The last action handles
/// all further requests.
pub struct FakeBackend {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    connections: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl FakeBackend {
    pub fn start(actions: Vec<BackendAction>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let (requests, closed) = (backend.requests.clone(), backend.closed.clone());
        let connections = backend.connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (actions, requests, closed) =
                    (actions.clone(), requests.clone(), closed.clone());
                let number = connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    serve(stream.unwrap(), &actions, &requests, number);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    /// Returns the number of requests that were read in full.
    pub fn runs(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// Returns the requests that were read in full.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns the number of accepted connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Calls `ask` until a request arrives on the connection of an earlier one, at most ten times.
    /// Several tries are needed because on a busy machine a connection may not become ready for the
    /// next request within its short wait.
    pub fn reuses_connection(&self, mut ask: impl FnMut()) -> bool {
        (0..10).any(|_| {
            ask();
            self.connections() < self.runs()
        })
    }

    /// Returns whether at least this many connections have ended.
    pub fn has_closed(&self, count: usize) -> bool {
        self.closed.load(Ordering::SeqCst) >= count
    }

    /// Waits until at least this many connections have ended, closed by the client or by an action.
    pub fn wait_closed(&self, count: usize) -> bool {
        wait_until(|| self.closed.load(Ordering::SeqCst) >= count)
    }
}

/// Waits until `done` returns true. Returns false after [`WAIT_TIMEOUT`].
pub fn wait_until(done: impl Fn() -> bool) -> bool {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// Serves one connection of a test backend server until it ends.
fn serve(
    mut stream: TcpStream,
    actions: &[BackendAction],
    requests: &Mutex<Vec<ReceivedRequest>>,
    connection: usize,
) {
    if matches!(actions.first(), Some(BackendAction::CloseOnAccept)) {
        return;
    }
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let early = {
            let count = requests.lock().unwrap().len();
            actions[count.min(actions.len() - 1)].clone()
        };
        if let BackendAction::RespondBeforeBody(text) = &early {
            stream.write_all(text.as_bytes()).unwrap();
        }
        if matches!(early, BackendAction::CloseInBody) {
            return;
        }
        let Some(body) = read_body(&mut stream, &mut buffer, &head) else {
            return;
        };
        let action = {
            let mut requests = requests.lock().unwrap();
            requests.push(ReceivedRequest {
                head,
                body,
                connection,
            });
            actions[(requests.len() - 1).min(actions.len() - 1)].clone()
        };
        match action {
            BackendAction::Respond(text) => stream.write_all(text.as_bytes()).unwrap(),
            BackendAction::RespondAndClose(text) => {
                stream.write_all(text.as_bytes()).unwrap();
                return;
            }
            BackendAction::RespondAfterMs(ms, text) => {
                thread::sleep(Duration::from_millis(ms));
                let _ = stream.write_all(text.as_bytes());
            }
            BackendAction::RespondTwice(text, ms, more) => {
                stream.write_all(text.as_bytes()).unwrap();
                thread::sleep(Duration::from_millis(ms));
                let _ = stream.write_all(more.as_bytes());
            }
            BackendAction::Hang => {
                let _ = stream.read(&mut [0; 1]);
                return;
            }
            BackendAction::RespondBeforeBody(_)
            | BackendAction::CloseOnAccept
            | BackendAction::CloseInBody => {}
        }
    }
}

/// Reads the head of a message. Returns `None` if the connection ends before.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = buffer.drain(..end + 4).collect();
            return Some(String::from_utf8(head).unwrap());
        }
        fill(stream, buffer)?;
    }
}

/// Reads the body of a request. Returns `None` if the connection ends before.
pub fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) -> Option<Vec<u8>> {
    if header(head, "transfer-encoding").is_some() {
        let end = loop {
            if let Some(end) = find(buffer, b"0\r\n\r\n") {
                break end + 5;
            }
            fill(stream, buffer)?;
        };
        return Some(buffer.drain(..end).collect());
    }
    let length = header(head, "content-length").map_or(0, |text| text.parse().unwrap());
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    Some(buffer.drain(..length).collect())
}

/// Appends received bytes to the buffer. Returns `None` if the connection has ended.
fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16384];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            buffer.extend_from_slice(&chunk[..count]);
            Some(())
        }
    }
}

fn find(buffer: &[u8], wanted: &[u8]) -> Option<usize> {
    buffer.windows(wanted.len()).position(|part| part == wanted)
}

/// Returns the value of a header in a raw head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_string())
    })
}

/// Response that a test caller read.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body has all bytes that the head announced.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> String {
        header(&self.head, name).unwrap_or_default()
    }

    /// Returns the status, outcome and reason in one line.
    pub fn summary(&self) -> String {
        let (outcome, reason) = (
            self.header("wisteria-outcome"),
            self.header("wisteria-reason"),
        );
        format!("{} {outcome} {reason}", self.status)
            .trim()
            .to_string()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }
}

/// Test caller that writes raw bytes.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    pub fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Sends a request and reads its response.
    pub fn ask(&mut self, request: &str) -> Option<Answer> {
        self.write(request.as_bytes());
        self.answer(request.starts_with("HEAD"))
    }

    /// Reads a response and skips informational ones. `bodiless` is set for the response to a HEAD
    /// request. Returns `None` if the connection ends before the head is complete.
    pub fn answer(&mut self, bodiless: bool) -> Option<Answer> {
        let head = loop {
            let head = read_head(&mut self.stream, &mut self.buffer)?;
            if !head.starts_with("HTTP/1.1 1") {
                break head;
            }
        };
        let status = head[9..12].parse().unwrap();
        let chunked = header(&head, "transfer-encoding").is_some();
        let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
        let full = |buffer: &[u8]| match chunked {
            true => find(buffer, b"0\r\n\r\n").is_some(),
            false => bodiless || buffer.len() >= length,
        };
        while !full(&self.buffer) && fill(&mut self.stream, &mut self.buffer).is_some() {}
        let complete = full(&self.buffer);
        let end = if bodiless {
            0
        } else if chunked {
            self.buffer.len()
        } else {
            length
        };
        let body = self.buffer.drain(..end.min(self.buffer.len())).collect();
        Some(Answer {
            status,
            head,
            body,
            complete,
        })
    }

    /// Waits for the next byte, and returns whether the connection ends instead.
    pub fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && fill(&mut self.stream, &mut self.buffer).is_none()
    }

    /// Returns whether the server resets the connection within a time.
    pub fn is_reset(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if self.stream.take_error().unwrap().is_some() {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Closes the connection in both directions.
    pub fn disconnect(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: e\r\n\r\n")
}

pub fn post(path: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: e\r\ncontent-length: {length}\r\n{extra}\r\n{body}")
}

/// Store of idempotency keys in memory.
#[derive(Default)]
pub struct MemoryClaims {
    /// Whether claims fail because no keeper can be reached.
    pub unreachable: AtomicBool,
    /// Digest and outcome by service and key.
    claims: Mutex<HashMap<(String, String), (u64, ClaimOutcome)>>,
}

impl MemoryClaims {
    pub fn outcome(&self, service: &str, key: &str) -> Option<ClaimOutcome> {
        let claims = self.claims.lock().unwrap();
        let record = claims.get(&(service.to_string(), key.to_string()));
        record.map(|(_, outcome)| outcome.clone())
    }
}

impl ClaimStore for MemoryClaims {
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, ClaimOutcome> {
        let mut claims = self.claims.lock().unwrap();
        let outcome = match claims.get(&(request.service.clone(), request.key.clone())) {
            _ if self.unreachable.load(Ordering::SeqCst) => ClaimOutcome::Unconfirmed,
            None => {
                let running = (request.digest, ClaimOutcome::InProgress);
                claims.insert((request.service, request.key), running);
                ClaimOutcome::Granted { attempt: 1 }
            }
            Some((digest, _)) if *digest != request.digest => ClaimOutcome::Used,
            Some((_, outcome)) => outcome.clone(),
        };
        async move { outcome }.boxed()
    }

    fn complete(
        &self,
        request: ClaimRequest,
        _: u64,
        completion: ClaimCompletion,
    ) -> BoxFuture<'_, ()> {
        let mut claims = self.claims.lock().unwrap();
        let key = (request.service, request.key);
        match completion {
            ClaimCompletion::NotRun => claims.remove(&key),
            ClaimCompletion::AnswerLost => {
                claims.insert(key, (request.digest, ClaimOutcome::AnswerLost))
            }
            ClaimCompletion::Answered(kept) => {
                claims.insert(key, (request.digest, ClaimOutcome::Answered(kept)))
            }
        };
        async {}.boxed()
    }
}

/// Fallback that responds with the path and the size of the body.
struct EchoFallback;

impl FallbackHandler for EchoFallback {
    fn handle(&self, request: http::Request<Bytes>) -> BoxFuture<'_, http::Response<Bytes>> {
        let text = format!("other {} {}", request.uri().path(), request.body().len());
        async move { http::Response::new(Bytes::from(text)) }.boxed()
    }
}

/// Running server with the service `svc`.
pub struct TestServer {
    pub address: SocketAddr,
    pub caller_server: CallerServer,
    pub forwarder: Arc<RequestForwarder>,
    pub claims: Arc<MemoryClaims>,
}

impl TestServer {
    pub fn start(backends: &[&FakeBackend]) -> Self {
        Self::with(backends, |_| {})
    }

    /// Starts a server with adjusted settings.
    pub fn with(backends: &[&FakeBackend], adjust: impl Fn(&mut ForwardSettings)) -> Self {
        let addresses: Vec<_> = backends.iter().map(|backend| backend.address).collect();
        Self::at(&addresses, adjust)
    }

    /// Starts a server with backend servers at these addresses.
    pub fn at(backends: &[SocketAddr], adjust: impl Fn(&mut ForwardSettings)) -> Self {
        let routes = FixedRoutes::default();
        routes.set("svc", backends, 8);
        Self::routed(RouteTable::Fixed(routes), adjust)
    }

    /// Starts a server with a routing table.
    pub fn routed(routes: RouteTable, adjust: impl Fn(&mut ForwardSettings)) -> Self {
        let mut settings = ForwardSettings {
            default_deadline: Duration::from_secs(2),
            default_hedge_delay: Duration::from_secs(1),
            ..ForwardSettings::default()
        };
        adjust(&mut settings);
        let routes = Arc::new(routes);
        let claims = Arc::new(MemoryClaims::default());
        let forwarder = Arc::new(RequestForwarder::new(settings, routes, claims.clone()));
        let server = CallerServer::new(forwarder.clone(), Arc::new(EchoFallback));
        let address = async_std::task::block_on(async {
            let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
            let listener = listener.unwrap();
            let address = listener.local_addr().unwrap();
            let server = server.clone();
            async_std::task::spawn(async move { server.serve(listener).await });
            address
        });
        Self {
            address,
            caller_server: server,
            forwarder,
            claims,
        }
    }

    /// Opens a connection to the server.
    pub fn caller(&self) -> Caller {
        Caller::connect(self.address)
    }

    /// Sends a request on a new connection and reads its response.
    pub fn ask(&self, request: &str) -> Answer {
        self.caller().ask(request).expect("an answer")
    }
}

/// Returns an address at which nothing listens.
pub fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}
