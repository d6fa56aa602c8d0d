//! Under random faults of backend servers, no write runs twice, no request that ran is reported as
//! not run, and no caller gets the answer of another request.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{header, read_body, read_head, Caller, TestServer};

const CALLERS: usize = 8;
const REQUESTS_PER_CALLER: usize = 60;

/// Number of runs by request id, over all backend servers.
type RunCounts = Arc<Mutex<HashMap<String, usize>>>;

fn start_backend(seed: u64, runs: &RunCounts) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let runs = runs.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let runs = runs.clone();
            let rng = SmallRng::seed_from_u64(seed ^ (number as u64) << 20);
            thread::spawn(move || serve(stream.unwrap(), rng, &runs));
        }
    });
    address
}

/// Serves one connection with a random fault for each request. Returns when the connection ends.
fn serve(mut stream: TcpStream, mut rng: SmallRng, runs: &RunCounts) -> Option<()> {
    let mut buffer = Vec::new();
    loop {
        if rng.random_ratio(1, 20) {
            return None;
        }
        let head = read_head(&mut stream, &mut buffer)?;
        read_body(&mut stream, &mut buffer, &head)?;
        let id = header(&head, "request-id").unwrap();
        let draw = rng.random_range(0..12);
        if draw == 0 {
            let shed = "HTTP/1.1 503 No\r\nwisteria-shed: not-run\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(shed.as_bytes()).ok()?;
            continue;
        }
        *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        let body = id.repeat(if rng.random_ratio(1, 10) { 30_000 } else { 1 });
        let whole = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        match draw {
            1 => return None,
            2 => {
                let cut = rng.random_range(1..whole.len());
                stream.write_all(&whole.as_bytes()[..cut]).ok()?;
                return None;
            }
            3 => thread::sleep(Duration::from_millis(rng.random_range(0..300))),
            4 => stream.write_all(whole.as_bytes()).ok()?,
            5 => {
                let foreign = whole.replace(&id, &"x".repeat(id.len()));
                stream.write_all(foreign.as_bytes()).ok()?;
                return None;
            }
            6 => {
                stream.write_all(whole.as_bytes()).ok()?;
                thread::sleep(Duration::from_millis(rng.random_range(0..5)));
            }
            _ => {}
        }
        // Draws 4 and 6 send a second response, which belongs to no request.
        stream.write_all(whole.as_bytes()).ok()?;
    }
}

/// Result of one request as its caller saw it.
struct ReportedRequest {
    id: String,
    write: bool,
    status: u16,
    outcome: String,
    /// Whether the answer belongs to this request.
    own: bool,
}

fn call(address: SocketAddr, caller: usize, seed: u64) -> Vec<ReportedRequest> {
    let mut rng = SmallRng::seed_from_u64(seed + caller as u64);
    let mut connection = Caller::connect(address);
    (0..REQUESTS_PER_CALLER)
        .map(|number| {
            let id = format!("{seed}.{caller}.{number}.");
            let write = rng.random_bool(0.5);
            let method = if write { "POST" } else { "GET" };
            let size = if rng.random_ratio(1, 10) { 400_000 } else { 10 };
            let length = if write { size } else { 0 };
            let request = format!(
                "{method} /s/svc/a HTTP/1.1\r\nhost: e\r\nrequest-id: {id}\r\n\
                 wisteria-deadline-ms: 150\r\ncontent-length: {length}\r\n\r\n{}",
                "z".repeat(length)
            );
            let answer = connection.ask(&request);
            let Some(answer) = answer.filter(|answer| answer.complete) else {
                connection = Caller::connect(address);
                let (status, outcome) = (0, String::new());
                return ReportedRequest {
                    id,
                    write,
                    status,
                    outcome,
                    own: true,
                };
            };
            if answer.header("connection") == "close" || answer.status != 200 {
                connection = Caller::connect(address);
            }
            let own = answer.status != 200 || answer.text().replace(&id, "").is_empty();
            let outcome = answer.header("wisteria-outcome");
            ReportedRequest {
                id,
                write,
                status: answer.status,
                outcome,
                own,
            }
        })
        .collect()
}

#[rstest]
fn outcomes_are_correct_under_random_faults(#[values(1, 2, 3, 4)] seed: u64) {
    let runs = RunCounts::default();
    let backends: Vec<_> = (0..3)
        .map(|n| start_backend(seed * 100 + n, &runs))
        .collect();
    let server = TestServer::at(&backends, |settings| {
        settings.default_hedge_delay = Duration::from_millis(60)
    });
    let address = server.address;
    let callers = (0..CALLERS).map(|caller| thread::spawn(move || call(address, caller, seed)));
    let callers: Vec<_> = callers.collect();
    let requests: Vec<_> = callers
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect();
    let runs = runs.lock().unwrap();
    let ran = |request: &ReportedRequest| runs.get(&request.id).copied().unwrap_or(0);
    let count = |wrong: &dyn Fn(&ReportedRequest) -> bool| {
        requests.iter().filter(|request| wrong(request)).count()
    };
    let doubled = count(&|request| request.write && ran(request) > 1);
    let false_not_run = count(&|request| request.outcome == "not-run" && ran(request) > 0);
    let lost = count(&|request| request.status == 200 && ran(request) == 0);
    let crossed = count(&|request| !request.own);
    let answered = count(&|request| request.status == 200);
    let counts = [doubled, false_not_run, lost, crossed];
    assert_eq!(
        counts, [0; 4],
        "ran twice, falsely not run, answered without a run, crossed; seed {seed}"
    );
    assert!(
        answered > requests.len() / 4,
        "{answered} of {} answered",
        requests.len()
    );
}
