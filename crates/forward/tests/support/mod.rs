//! A raw backend server, a raw caller and a running server between them.

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
use forward::claimed::{ClaimEnd, ClaimOutcome, ClaimRequest};
use forward::edges::{ClaimEdge, OtherRoutes};
use forward::fixed::FixedRoutes;
use forward::forwarder::RequestForwarder;
use forward::routes::RouteTable;
use forward::server::CallerServer;
use forward::settings::ForwardSettings;
use futures_util::future::BoxFuture;
use futures_util::FutureExt;

const BOUND: Duration = Duration::from_secs(8);

/// What a raw backend server does with a request after reading it.
#[derive(Debug, Clone)]
pub enum Act {
    Say(String),
    SayAndClose(String),
    SayLater(u64, String),
    Hang,
    /// Answers, and says something more after some milliseconds.
    Split(String, u64, String),
    /// Answers after the head, before the body is read.
    SayEarly(String),
    /// Closes after the head and before the body was read.
    DieInBody,
    /// Closes each new connection before reading.
    CloseUnread,
}

pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn say(text: &str) -> Act {
    Act::Say(text.to_string())
}

/// A request as a raw backend server read it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
    pub connection: usize,
}

/// A backend server that does for its n-th request what the n-th act says; the last one repeats.
pub struct FakeBackend {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    connections: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl FakeBackend {
    pub fn start(acts: Vec<Act>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let (seen, closed) = (backend.seen.clone(), backend.closed.clone());
        let connections = backend.connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (acts, seen, closed) = (acts.clone(), seen.clone(), closed.clone());
                let number = connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    serve(stream.unwrap(), &acts, &seen, number);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    pub fn runs(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Asks until a request comes on the connection of an earlier one, at most ten times. A busy
    /// machine may let a connection miss its short wait for the next request.
    pub fn reuses_a_connection(&self, mut ask: impl FnMut()) -> bool {
        (0..10).any(|_| {
            ask();
            self.connections() < self.runs()
        })
    }

    pub fn has_closed(&self, count: usize) -> bool {
        self.closed.load(Ordering::SeqCst) >= count
    }

    /// Waits until this many connections were closed by the other side or by the act.
    pub fn wait_closed(&self, count: usize) -> bool {
        wait_until(|| self.closed.load(Ordering::SeqCst) >= count)
    }
}

pub fn wait_until(done: impl Fn() -> bool) -> bool {
    let end = Instant::now() + BOUND;
    while Instant::now() < end {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

fn serve(mut stream: TcpStream, acts: &[Act], seen: &Mutex<Vec<Seen>>, connection: usize) {
    if matches!(acts.first(), Some(Act::CloseUnread)) {
        return;
    }
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let early = {
            let count = seen.lock().unwrap().len();
            acts[count.min(acts.len() - 1)].clone()
        };
        if let Act::SayEarly(text) = &early {
            stream.write_all(text.as_bytes()).unwrap();
        }
        if matches!(early, Act::DieInBody) {
            return;
        }
        let Some(body) = read_body(&mut stream, &mut buffer, &head) else {
            return;
        };
        let act = {
            let mut seen = seen.lock().unwrap();
            seen.push(Seen {
                head,
                body,
                connection,
            });
            acts[(seen.len() - 1).min(acts.len() - 1)].clone()
        };
        match act {
            Act::Say(text) => stream.write_all(text.as_bytes()).unwrap(),
            Act::SayAndClose(text) => {
                stream.write_all(text.as_bytes()).unwrap();
                return;
            }
            Act::SayLater(ms, text) => {
                thread::sleep(Duration::from_millis(ms));
                let _ = stream.write_all(text.as_bytes());
            }
            Act::Split(text, ms, more) => {
                stream.write_all(text.as_bytes()).unwrap();
                thread::sleep(Duration::from_millis(ms));
                let _ = stream.write_all(more.as_bytes());
            }
            Act::Hang => {
                let _ = stream.read(&mut [0; 1]);
                return;
            }
            Act::SayEarly(_) | Act::CloseUnread | Act::DieInBody => {}
        }
    }
}

pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = buffer.drain(..end + 4).collect();
            return Some(String::from_utf8(head).unwrap());
        }
        fill(stream, buffer)?;
    }
}

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

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_string())
    })
}

/// An answer as a raw caller read it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// All bytes that the head promised came.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> String {
        header(&self.head, name).unwrap_or_default()
    }

    /// Status, outcome and reason in one line.
    pub fn verdict(&self) -> String {
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

/// A caller that writes raw bytes.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
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

    pub fn ask(&mut self, request: &str) -> Option<Answer> {
        self.write(request.as_bytes());
        self.answer(request.starts_with("HEAD"))
    }

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
        let whole = full(&self.buffer);
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
            whole,
        })
    }

    /// Tells whether the other side closes without a further byte.
    pub fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && fill(&mut self.stream, &mut self.buffer).is_none()
    }

    pub fn leave(self) {
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

/// Keys in memory, as one entry host alone would keep them.
#[derive(Default)]
pub struct MemoryClaims {
    /// No keeper is in reach.
    pub unreachable: AtomicBool,
    held: Mutex<HashMap<(String, String), (u64, ClaimOutcome)>>,
}

impl MemoryClaims {
    pub fn outcome(&self, service: &str, key: &str) -> Option<ClaimOutcome> {
        let held = self.held.lock().unwrap();
        let record = held.get(&(service.to_string(), key.to_string()));
        record.map(|(_, outcome)| outcome.clone())
    }
}

impl ClaimEdge for MemoryClaims {
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, ClaimOutcome> {
        let mut held = self.held.lock().unwrap();
        let outcome = match held.get(&(request.service.clone(), request.key.clone())) {
            _ if self.unreachable.load(Ordering::SeqCst) => ClaimOutcome::Unconfirmed,
            None => {
                let running = (request.digest, ClaimOutcome::InProgress);
                held.insert((request.service, request.key), running);
                ClaimOutcome::Granted { attempt: 1 }
            }
            Some((digest, _)) if *digest != request.digest => ClaimOutcome::Used,
            Some((_, outcome)) => outcome.clone(),
        };
        async move { outcome }.boxed()
    }

    fn complete(&self, request: ClaimRequest, _: u64, end: ClaimEnd) -> BoxFuture<'_, ()> {
        let mut held = self.held.lock().unwrap();
        let key = (request.service, request.key);
        match end {
            ClaimEnd::NotRun => held.remove(&key),
            ClaimEnd::AnswerLost => held.insert(key, (request.digest, ClaimOutcome::AnswerLost)),
            ClaimEnd::Answered(kept) => {
                held.insert(key, (request.digest, ClaimOutcome::Answered(kept)))
            }
        };
        async {}.boxed()
    }
}

struct Others;

impl OtherRoutes for Others {
    fn answer(&self, request: http::Request<Bytes>) -> BoxFuture<'_, http::Response<Bytes>> {
        let text = format!("other {} {}", request.uri().path(), request.body().len());
        async move { http::Response::new(Bytes::from(text)) }.boxed()
    }
}

/// A running server with the service `svc`.
pub struct Rig {
    pub address: SocketAddr,
    pub server: CallerServer,
    pub forwarder: Arc<RequestForwarder>,
    pub claims: Arc<MemoryClaims>,
}

impl Rig {
    pub fn start(backends: &[&FakeBackend]) -> Self {
        Self::with(backends, |_| {})
    }

    pub fn with(backends: &[&FakeBackend], adjust: impl Fn(&mut ForwardSettings)) -> Self {
        let addresses: Vec<_> = backends.iter().map(|backend| backend.address).collect();
        Self::at(&addresses, adjust)
    }

    pub fn at(backends: &[SocketAddr], adjust: impl Fn(&mut ForwardSettings)) -> Self {
        let routes = FixedRoutes::default();
        routes.set("svc", backends, 8);
        Self::routed(RouteTable::Fixed(routes), adjust)
    }

    pub fn routed(routes: RouteTable, adjust: impl Fn(&mut ForwardSettings)) -> Self {
        let mut settings = ForwardSettings {
            default_deadline: Duration::from_secs(2),
            hedge_delay: Duration::from_secs(1),
            ..ForwardSettings::default()
        };
        adjust(&mut settings);
        let routes = Arc::new(routes);
        let claims = Arc::new(MemoryClaims::default());
        let forwarder = Arc::new(RequestForwarder::new(settings, routes, claims.clone()));
        let server = CallerServer::new(forwarder.clone(), Arc::new(Others));
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
            server,
            forwarder,
            claims,
        }
    }

    pub fn caller(&self) -> Caller {
        Caller::connect(self.address)
    }

    pub fn ask(&self, request: &str) -> Answer {
        self.caller().ask(request).expect("an answer")
    }
}

/// An address at which nothing listens.
pub fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}
