//! Stand-in endpoints: they announce themselves, run requests for a time that the path gives, and answer
//! with a seal.

use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::Deployment;
use crate::http;
use crate::record::Record;

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub endpoint: String,
    pub began: Instant,
    pub ended: Option<Instant>,
}

#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born: u128,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Endpoint {
    /// Starts an endpoint. A path ends with the work in milliseconds and the bytes of the answer, as in
    /// `/page/300/1000`.
    pub fn start(id: &str, service: &str, ip: Ipv4Addr, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for an endpoint");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time")
            .as_millis();
        let endpoint = Self {
            id: id.to_string(),
            service: service.to_string(),
            address: listener.local_addr().expect("an address"),
            born,
            runs: Arc::default(),
            record: record.clone(),
        };
        let accepting = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = accepting.clone();
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        endpoint
    }

    /// Announces the endpoint every `heartbeat`.
    pub fn announce(&self, controls: Vec<SocketAddr>) {
        let endpoint = self.clone();
        thread::spawn(move || {
            let mut turn = 0;
            for sequence in 1_u64.. {
                let body = format!(
                    r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"lhr-gulberg","slots":64}},"status":{{"state":"ready","seq_no":{sequence},"cold_left":"0ms"}}}}"#,
                    endpoint.address, endpoint.born, endpoint.service
                );
                let path = format!(
                    "/wisteriaspread/rpc?call=instances.heartbeat&of={}",
                    endpoint.id
                );
                for _ in 0..controls.len() {
                    let control = controls[turn % controls.len()];
                    let answer = http::call(control, "POST", &path, &body, Duration::from_secs(1));
                    if answer.is_some_and(|(status, _)| status == 200) {
                        break;
                    }
                    turn += 1;
                }
                thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("the runs").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let mut body = vec![0; head.length()];
            if reader.read_exact(&mut body).is_err() || !self.answer(&stream, &head) {
                return;
            }
        }
    }

    /// Runs a request; returns whether the connection stays open.
    fn answer(&self, mut stream: &TcpStream, head: &http::Head) -> bool {
        let id = head.header("wisteriaspread-request-id").unwrap_or_default();
        if head.path() == "/health" {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nWisteriaspread-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let target = head.header("wisteriaspread-target-instance");
        if target.is_some_and(|target| target != self.id) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nWisteriaspread-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let mut parts = head
            .path()
            .rsplit('/')
            .map(|part| part.parse::<u64>().unwrap_or(0));
        let (bytes, work) = (parts.next().unwrap_or(0), parts.next().unwrap_or(0));
        let index = {
            let mut runs = self.runs.lock().expect("the runs");
            runs.push(Run {
                id: id.to_string(),
                endpoint: self.id.clone(),
                began: Instant::now(),
                ended: None,
            });
            runs.len() - 1
        };
        self.record
            .line(&format!("{} runs {id} for {work} ms", self.id));
        if !self.work(stream, Duration::from_millis(work)) {
            self.record.line(&format!(
                "{} stops {id}, as its connection was closed",
                self.id
            ));
            return false;
        }
        self.runs.lock().expect("the runs")[index].ended = Some(Instant::now());
        if work > 0 {
            self.record
                .line(&format!("{} has run {id}, answers 200", self.id));
        }
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nWisteriaspread-Request-Id: {id}\r\n\
             Wisteriaspread-Response-Seal: 3e1b.07.{id}\r\nContent-Length: {bytes}\r\n\r\n"
        )
        .into_bytes();
        answer.resize(answer.len() + bytes as usize, b'x');
        stream.write_all(&answer).is_ok()
    }

    /// Works until the time is over; returns `false` where the connection is closed before.
    fn work(&self, stream: &TcpStream, time: Duration) -> bool {
        let until = Instant::now() + time;
        let _ = stream.set_nonblocking(true);
        let mut is_open = true;
        while is_open && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(10)));
            is_open = !matches!(stream.peek(&mut [0]), Ok(0));
        }
        let _ = stream.set_nonblocking(false);
        is_open
    }
}

/// Starts endpoints of a service and announces them.
pub fn start_endpoints(
    deployment: &Deployment,
    service: &str,
    count: u32,
    record: &Record,
) -> Vec<Endpoint> {
    let controls: Vec<_> = (0..crate::deployment::CONTROLS)
        .map(|n| deployment.control_address(n))
        .collect();
    (0..count)
        .map(|number| {
            let id = format!("i-{service}-{number}");
            let endpoint = Endpoint::start(&id, service, deployment.endpoint_ip(), record);
            endpoint.announce(controls.clone());
            endpoint
        })
        .collect()
}
