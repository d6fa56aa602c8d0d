//! A stand-in endpoint: serves requests, announces itself, leaves, and starts again.

use std::collections::HashMap;
use std::io::{BufReader, Result, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, HttpMessage};
use crate::record::RunRecord;

/// Interval of the heartbeats, as the settings of the deployment have it.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time between a heartbeat that wasn't acknowledged and the call of the next node.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after which an endpoint calls the next node.
pub const CALL_LIMIT: Duration = Duration::from_secs(1);

/// A request that an endpoint ran.
#[derive(Debug, Clone)]
pub struct RunEntry {
    pub at: Instant,
    pub request: String,
}

#[derive(Debug, Default)]
struct EndpointState {
    runs: Vec<RunEntry>,
    open: HashMap<SocketAddr, TcpStream>,
}

/// One endpoint. Clones share it.
#[derive(Debug, Clone)]
pub struct StandinEndpoint {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    listening: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    beating: Arc<AtomicBool>,
    /// Control nodes that the endpoint reaches, the one that it calls first.
    nodes: Arc<Mutex<Vec<SocketAddr>>>,
    state: Arc<Mutex<EndpointState>>,
    record: RunRecord,
}

/// Returns the Unix time in milliseconds.
pub fn unix_millis() -> u64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}

impl StandinEndpoint {
    /// Starts an endpoint that serves requests and doesn't announce itself yet.
    pub fn start(
        id: &str,
        service: &str,
        port: u16,
        nodes: Vec<SocketAddr>,
        record: &RunRecord,
    ) -> Result<Self> {
        let endpoint = Self {
            id: id.to_string(),
            service: service.to_string(),
            address: (Ipv4Addr::LOCALHOST, port).into(),
            born: Arc::default(),
            sequence: Arc::default(),
            listening: Arc::default(),
            leaving: Arc::default(),
            beating: Arc::default(),
            nodes: Arc::new(Mutex::new(nodes)),
            state: Arc::default(),
            record: record.clone(),
        };
        endpoint.begin()?;
        Ok(endpoint)
    }

    /// Begins an incarnation.
    fn begin(&self) -> Result<()> {
        let listener = TcpListener::bind(self.address)?;
        self.born.store(unix_millis(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.leaving.store(false, Ordering::SeqCst);
        self.listening.store(true, Ordering::SeqCst);
        self.record.note(format!(
            "endpoint {} starts; service={} address={} born={}",
            self.id,
            self.service,
            self.address,
            self.born()
        ));
        let endpoint = self.clone();
        std::thread::spawn(move || {
            while let Ok((stream, peer)) = listener.accept() {
                if !endpoint.listening.load(Ordering::SeqCst) {
                    return;
                }
                let serving = endpoint.clone();
                std::thread::spawn(move || {
                    if let Ok(open) = stream.try_clone() {
                        serving.state.lock().unwrap().open.insert(peer, open);
                    }
                    let _ = serving.serve(&stream);
                    serving.state.lock().unwrap().open.remove(&peer);
                });
            }
        });
        Ok(())
    }

    /// Ends the process of the endpoint: nothing listens, and all connections are closed.
    pub fn exit(&self) {
        self.beating.store(false, Ordering::SeqCst);
        self.listening.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.state.lock().unwrap().open.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.note(format!("endpoint {} exits", self.id));
    }

    /// Starts again under the same id and address.
    pub fn restart(&self) -> Result<()> {
        self.begin()
    }

    pub fn born(&self) -> u64 {
        self.born.load(Ordering::SeqCst)
    }

    /// Sets the control nodes that the endpoint reaches.
    pub fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        *self.nodes.lock().unwrap() = nodes;
    }

    /// Says in all answers from now on that the endpoint leaves.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns the requests that ran.
    pub fn runs(&self) -> Vec<RunEntry> {
        self.state.lock().unwrap().runs.clone()
    }

    fn serve(&self, mut stream: &TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = HttpMessage::read(&mut reader)? {
            let answer = self.answer(&request);
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &HttpMessage) -> String {
        let path = request.start_line.split(' ').nth(1).unwrap_or_default();
        let leaving = match self.leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        if path == "/health" {
            let status = match leaving {
                "" => "200 OK",
                _ => "503 Service Unavailable",
            };
            return format!(
                "HTTP/1.1 {status}\r\nWisteriaspread-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        let id = request.header("wisteriaspread-request-id");
        let target = request.header("wisteriaspread-target-instance");
        if !target.is_empty() && target != self.id {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nWisteriaspread-Request-Id: {id}\r\n\
                 Wisteriaspread-Instance-Id: {}\r\n{leaving}Content-Length: 0\r\n\r\n",
                self.id
            );
        }
        let entry = RunEntry {
            at: Instant::now(),
            request: id.to_string(),
        };
        self.state.lock().unwrap().runs.push(entry);
        self.record
            .note(format!("endpoint {} runs {id} {path}", self.id));
        std::thread::sleep(Duration::from_millis(10));
        format!(
            "HTTP/1.1 200 OK\r\nWisteriaspread-Request-Id: {id}\r\n\
             Wisteriaspread-Response-Seal: {}.{id}\r\nWisteriaspread-Server-Load: 1,0,8\r\n\
             {leaving}Content-Length: 5\r\n\r\nwhole",
            self.id
        )
    }

    /// Returns the body of the next heartbeat.
    pub fn beat_body(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"xela-a","slots":8}},"status":{{"state":"{state}","seq_no":{sequence},"cold_left":"0ms"}}}}"#,
            self.address,
            self.born(),
            self.service,
        )
    }

    /// Calls the first node once; after a failure the next one becomes the first. Returns whether the call
    /// was acknowledged.
    fn call_once(&self, call: &str, body: &str) -> bool {
        let Some(target) = self.nodes.lock().unwrap().first().copied() else {
            std::thread::sleep(Duration::from_millis(200));
            return false;
        };
        let bytes = http::rpc(target, call, &self.id, body);
        let outcome = http::exchange(target, &bytes, CALL_LIMIT);
        let status = outcome.map_or(0, |answer| answer.status());
        self.record.note(format!(
            "endpoint {} calls {target}: {call} {body} -> {status}",
            self.id
        ));
        let is_acknowledged = (200..300).contains(&status);
        if !is_acknowledged {
            let mut nodes = self.nodes.lock().unwrap();
            if nodes.first() == Some(&target) {
                nodes.rotate_left(1);
            }
        }
        is_acknowledged
    }

    /// Calls node after node until one acknowledges; returns when that was.
    pub fn call(&self, call: &str, body: &str, limit: Duration) -> Option<Instant> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.call_once(call, body) {
                return Some(Instant::now());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Announces the endpoint as ready until [`exit`](Self::exit) or [`stop_beats`](Self::stop_beats).
    pub fn beat(&self) {
        self.beating.store(true, Ordering::SeqCst);
        let endpoint = self.clone();
        let born = self.born();
        std::thread::spawn(move || {
            while endpoint.beating.load(Ordering::SeqCst) && endpoint.born() == born {
                let sent_at = Instant::now();
                let body = endpoint.beat_body("ready");
                if endpoint.call_once("instances.heartbeat", &body) {
                    std::thread::sleep(HEARTBEAT.saturating_sub(sent_at.elapsed()));
                } else {
                    std::thread::sleep(RETRY_DELAY);
                }
            }
        });
    }

    /// Stops the heartbeats.
    pub fn stop_beats(&self) {
        self.beating.store(false, Ordering::SeqCst);
    }
}

/// A call whose bytes a partition holds up. The caller gives it up after [`CALL_LIMIT`] and closes its
/// connection, so the bytes, and the close behind them, are delivered when the link carries packets again.
#[derive(Debug)]
pub struct HeldCall {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent_at: Instant,
    what: String,
}

/// First interval after which TCP sends unacknowledged bytes again; it doubles each time.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

/// Time between the delivery of the bytes and of the close, which goes out when the bytes are acknowledged: a
/// round trip between two regions, and the usual delay of an acknowledgement.
const CLOSE_DELAY: Duration = Duration::from_millis(40 + 40);

impl HeldCall {
    /// Opens the connection, which is up before the partition.
    pub fn open(target: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(target)?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            bytes: Vec::new(),
            sent_at: Instant::now(),
            what: String::new(),
        })
    }

    /// Sends a call into the partition.
    pub fn send(
        &mut self,
        target: SocketAddr,
        call: &str,
        id: &str,
        body: &str,
        record: &RunRecord,
    ) {
        self.bytes = http::rpc(target, call, id, body);
        self.sent_at = Instant::now();
        self.what = format!("endpoint {id} calls {target}: {call} {body}");
        record.note(format!("{} -> held up by the partition", self.what));
    }

    /// Delivers the call at the first retransmission after the partition has ended at `healed_at`.
    pub fn deliver(mut self, healed_at: Instant, record: &RunRecord) -> Result<Instant> {
        let mut interval = FIRST_RETRANSMISSION;
        let mut due = self.sent_at + interval;
        while due < healed_at {
            interval *= 2;
            due += interval;
        }
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        self.stream.write_all(&self.bytes)?;
        record.note(format!("{} -> delivered late", self.what));
        let delivered_at = Instant::now();
        std::thread::sleep(CLOSE_DELAY);
        self.stream.shutdown(Shutdown::Write)?;
        Ok(delivered_at)
    }
}
