//! HTTP interface for operators: tickets, paths, access token and limits on requests.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::region_ticket;
use proof::cluster::{ProofCluster, TOKEN};
use proof::http::{HttpAnswer, HttpCall};
use proof::process::{ProcessPlan, ProofProcess};
use proof::{ports, wait};
use serde_json::{json, Value};

/// A cluster of one replica.
struct SingleReplica {
    cluster: ProofCluster,
    address: SocketAddr,
}

impl SingleReplica {
    fn start() -> Self {
        let plan = ProofCluster::plan().replicas(1).entry_hosts(0);
        let cluster = plan.start().unwrap();
        let address = cluster.replicas[0].operators;
        wait::wait_until("a ready replica", common::TIMEOUT, || {
            let answer = HttpCall::get(address, "/ready").send();
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .unwrap();
        Self { cluster, address }
    }

    fn get(&self, path: &str) -> HttpAnswer {
        HttpCall::get(self.address, path)
            .bearer(TOKEN)
            .send()
            .unwrap()
    }

    fn put(&self, path: &str, content_type: &str, body: &str) -> (u16, Value) {
        let call = HttpCall::put(self.address, path).bearer(TOKEN);
        let call = call
            .header("content-type", content_type)
            .body(body.to_string());
        let answer = call.send().unwrap();
        (answer.status, answer.json().unwrap())
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream
    }

    /// Sends raw bytes and returns the status line of the answer.
    fn send_raw(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        // The server may reject the request before it has read all of it.
        let _ = stream.write_all(bytes);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        let text = String::from_utf8_lossy(&answer).into_owned();
        text.lines().next().unwrap_or_default().to_string()
    }
}

const TOML: &str = "application/toml";
const JSON: &str = "application/json";

#[test]
fn a_ticket_gets_its_verdict() {
    let json = r#"{"number":2,"region":{"a2":{"zones":["a2-a"],"cap":1.5}}}"#;
    let unknown_zone = "number = 3\n[block.\"10.0.0.0/8\"]\nzone = \"nowhere\"\n";
    let conflict = region_ticket(1, "other", 1);
    let cases = [
        (1, TOML, region_ticket(1, "a1", 1).as_str(), 200, "accepted"),
        (2, JSON, json, 200, "accepted"),
        (3, TOML, unknown_zone, 422, "invalid"),
        (1, TOML, conflict.as_str(), 409, "conflict"),
    ]
    .map(|(number, kind, body, status, verdict)| (number, kind, body.to_string(), status, verdict));
    let replica = SingleReplica::start();
    for (number, content_type, body, status, verdict) in cases {
        let path = format!("/v1/tickets/{number}");
        let (got, answer) = replica.put(&path, content_type, &body);
        assert_eq!(
            (got, &answer["verdict"]),
            (status, &verdict.into()),
            "{answer}"
        );
        if verdict != "conflict" {
            assert_eq!(replica.get(&path).json().unwrap()["verdict"], answer);
        }
    }
}

#[test]
fn a_malformed_ticket_is_refused_with_every_fault_and_its_number_stays_free() {
    let other = "number = 2\n[region.a]\nzones = [\"a-a\"]\ncap = 1.0\n";
    let several = "number = 2\n[region.A]\nzones = [\"a-a\"]\ncap = -1.0\n";
    let cases: [(&str, &str, &[&str]); 7] = [
        (TOML, "number = ", &["ticket"]),
        (JSON, "{", &["ticket"]),
        (JSON, "number = 1", &["ticket"]),
        (TOML, "number = 1\ncolour = 1\n", &["ticket"]),
        (TOML, "number = 1\n", &["ticket"]),
        (TOML, other, &["number"]),
        (TOML, several, &["number", "region.A", "region.A.cap"]),
    ];
    let replica = SingleReplica::start();
    for (content_type, body, fields) in cases {
        let (status, faults) = replica.put("/v1/tickets/1", content_type, body);
        assert_eq!(status, 400, "{faults}");
        let faults = faults.as_array().unwrap();
        let named: Vec<_> = faults.iter().map(|fault| &fault["field"]).collect();
        assert_eq!(named, fields, "{faults:?}");
        assert!(faults.iter().all(|fault| fault["allowed"].is_string()));
        assert_eq!(replica.get("/v1/tickets/1").status, 404);
    }
}

#[test]
fn every_path_answers_in_json() {
    let cases = [
        ("GET", "/v1/state", 200),
        ("GET", "/v1/status", 200),
        ("GET", "/v1/dump", 200),
        ("GET", "/v1/tickets", 200),
        ("GET", "/v1/tickets?limit=5", 200),
        ("GET", "/v1/tickets?limit=0", 400),
        ("GET", "/v1/tickets?limit=1001", 400),
        ("GET", "/v1/tickets?limit=x", 400),
        ("GET", "/v1/tickets/999999", 404),
        ("GET", "/v1/tickets/0", 400),
        ("GET", "/v1/tickets/one", 400),
        ("GET", "/v2/state", 404),
        ("POST", "/v1/state", 405),
        ("GET", "/ready", 200),
    ];
    let replica = SingleReplica::start();
    for (method, path, status) in cases {
        let method = method.parse().unwrap();
        let call = HttpCall::new(method, replica.address, path).bearer(TOKEN);
        let answer = call.send().unwrap();
        assert_eq!(answer.status, status, "{path}: {}", answer.text());
        answer.json().unwrap();
    }
}

#[test]
fn without_the_token_only_public_paths_answer() {
    let replica = SingleReplica::start();
    for token in ["", "Bearer wrong-token-0123456789", "Bearer ", TOKEN] {
        let get = |path: &str| {
            let call = HttpCall::get(replica.address, path).header("authorization", token);
            call.send().unwrap()
        };
        for path in [
            "/v1/state",
            "/v1/status",
            "/v1/dump",
            "/v1/tickets/1",
            "/nothing",
        ] {
            let answer = get(path);
            assert_eq!(answer.status, 401, "{path}");
            let body = answer.json().unwrap();
            assert!(body["error"].as_str().unwrap().contains("token"));
        }
        for path in ["/health", "/ready", "/metrics"] {
            let answer = get(path);
            assert_eq!(answer.status, 200, "{path}");
            assert!(!answer.text().contains(TOKEN));
        }
    }
}

#[test]
fn a_dump_shows_the_whole_state_and_no_secret() {
    let replica = SingleReplica::start();
    replica.put("/v1/tickets/1", TOML, &region_ticket(1, "north", 1));
    let answer = replica.get("/v1/dump");
    assert!(!answer.text().contains(TOKEN));
    let dump = answer.json().unwrap();
    assert_eq!(dump["core"]["status"]["role"], "leader");
    assert_eq!(dump["core"]["state"]["regions"]["north"]["ticket"], 1);
    assert_eq!(dump["core"]["settings"]["id"], 1);
    assert!(!replica.cluster.replicas[0].process.log().contains(TOKEN));
}

const HOST: &str = "host: x\r\n";

#[test]
fn malformed_ambiguous_and_oversized_requests_are_rejected() {
    let cases = [
        (format!("GET /health HTTP/1.1\r\n{HOST}\r\n"), "HTTP/1.1 200"),
        ("GET /health HTTP/1.1\r\n\r\n".to_string(), "HTTP/1.1 400"),
        (format!("GET /health HTTP/1.1\r\n{HOST}{HOST}\r\n"), "HTTP/1.1 400"),
        (format!("GET /health HTTP/1.0\r\n{HOST}\r\n"), "HTTP/1.1 400"),
        (format!("GET http://x/health HTTP/1.1\r\n{HOST}\r\n"), "HTTP/1.1 400"),
        (format!("GET /health HTTP/1.1\r\n{HOST}b ad: 1\r\n\r\n"), "HTTP/1.1 400"),
        ("\x16\x03\x01\x02\r\n\r\n".to_string(), "HTTP/1.1 400"),
        (format!("PUT /v1/tickets/1 HTTP/1.1\r\n{HOST}content-length: 1\r\ncontent-length: 2\r\n\r\nab"), "HTTP/1.1 400"),
        (format!("PUT /v1/tickets/1 HTTP/1.1\r\n{HOST}content-length: +1\r\n\r\na"), "HTTP/1.1 400"),
        (format!("PUT /v1/tickets/1 HTTP/1.1\r\n{HOST}transfer-encoding: chunked\r\n\r\n0\r\n\r\n"), "HTTP/1.1 411"),
        (format!("PUT /v1/tickets/1 HTTP/1.1\r\n{HOST}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"), "HTTP/1.1 411"),
        (format!("PUT /v1/tickets/1 HTTP/1.1\r\n{HOST}content-length: 4194305\r\n\r\n"), "HTTP/1.1 413"),
        (format!("PUT /v1/tickets/1 HTTP/1.1\r\n{HOST}content-length: 99999999999999999999999\r\n\r\n"), "HTTP/1.1 413"),
        (format!("GET /health HTTP/1.1\r\n{HOST}a: {}\r\n\r\n", "x".repeat(20_000)), "HTTP/1.1 431"),
        ("x".repeat(100_000), "HTTP/1.1 431"),
        (format!("GET /health HTTP/1.1\r\n{HOST}{}\r\n", "a: b\r\n".repeat(100)), "HTTP/1.1 431"),
        (format!("GET /health HTTP/1.1\r\n{HOST}\r\nGET /metrics HTTP/1.1\r\n{HOST}\r\n"), "HTTP/1.1 200"),
    ];
    let replica = SingleReplica::start();
    for (request, status) in cases {
        let line = replica.send_raw(request.as_bytes());
        assert!(line.starts_with(status), "{line} for {request:.60}");
    }
}

#[test]
fn an_incomplete_request_times_out() {
    let replica = SingleReplica::start();
    let start = Instant::now();
    let line = replica.send_raw(b"GET /health HTTP/1.1\r\nhost: x\r\n");
    assert!(line.starts_with("HTTP/1.1 408"), "{line}");
    assert!(start.elapsed() < Duration::from_secs(7));
}

#[test]
fn idle_connections_block_operators_only_until_their_timeout() {
    let replica = SingleReplica::start();
    let address = replica.address;
    let idle: Vec<_> = (0..200)
        .filter_map(|_| TcpStream::connect(address).ok())
        .collect();
    // A call may wait behind the idle connections in the kernel's backlog until these time out.
    wait::wait_until("a rejection", Duration::from_secs(4), || {
        let call = HttpCall::get(address, "/health").bound(Duration::from_secs(1));
        call.send().is_ok_and(|answer| answer.status == 503)
    })
    .unwrap();
    wait::wait_until("an answer", Duration::from_secs(8), || {
        HttpCall::get(address, "/health")
            .send()
            .is_ok_and(|answer| answer.status == 200)
    })
    .unwrap();
    drop(idle);
}

/// Unread bytes behind a request reset its connection, and the answer could be lost.
#[test]
fn bytes_behind_a_request_do_not_reset_its_answer() {
    let replica = SingleReplica::start();
    let mut stream = replica.connect();
    let request = format!("GET /health HTTP/1.1\r\n{HOST}\r\n");
    let _ = stream.write_all(request.repeat(2_000).as_bytes());
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("no reset");
    assert!(answer.starts_with(b"HTTP/1.1 200"));
}

/// An unasked answer 408 came, and the request was read and thrown away.
#[test]
fn a_request_that_crosses_the_end_of_an_idle_connection_is_reset_unread() {
    let replica = SingleReplica::start();
    let mut stream = replica.connect();
    assert_eq!(stream.read(&mut [0; 16]).unwrap(), 0, "an answer came");
    let request = format!("GET /health HTTP/1.1\r\n{HOST}\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    wait::wait_until("a reset", Duration::from_millis(200), || {
        stream.take_error().unwrap().is_some()
    })
    .unwrap();
}

/// Starts a replica with the given flags.
fn start_replica(flags: &[(&str, String)], folder: &std::path::Path) -> ProofProcess {
    let plan = ProcessPlan::new("wisteria-control", "c1").env("WISTERIA_TOKEN", TOKEN);
    let plan = flags
        .iter()
        .fold(plan, |plan, (name, value)| plan.flag(name, value));
    plan.start(folder).unwrap()
}

#[test]
fn a_number_below_the_kept_verdicts_is_too_old() {
    let folder = tempfile::tempdir().unwrap();
    let (peers, operators) = (
        ports::free_address().unwrap(),
        ports::free_address().unwrap(),
    );
    let flags = [
        ("id", "1".to_string()),
        ("replicas", format!("1={peers}")),
        ("operators", operators.to_string()),
        ("zone", "altiplano-a".to_string()),
        (
            "data-folder",
            folder.path().join("data").display().to_string(),
        ),
        ("verdict-window", "100".to_string()),
        ("snapshot-every", "10".to_string()),
    ];
    let mut process = start_replica(&flags, folder.path());
    let put = |number: u64| {
        let mut answer = (0, Value::Null);
        wait::wait_until("a verdict", common::TIMEOUT, || {
            let call = HttpCall::put(operators, format!("/v1/tickets/{number}")).bearer(TOKEN);
            let call = call.header("content-type", TOML).body(region_ticket(
                number,
                &format!("r{number}"),
                1,
            ));
            if let Ok(got) = call.send() {
                answer = (got.status, got.json().unwrap_or_default());
            }
            answer.0 != 503 && answer.0 != 0
        })
        .unwrap();
        answer
    };
    for number in 10..=120 {
        assert_eq!(put(number).0, 200);
    }
    for restart in [false, true] {
        if restart {
            process.restart().unwrap();
        }
        assert_eq!(put(15), (410, json!({"verdict": "too-old", "lowest": 21})));
        assert_eq!(put(5).0, 410);
        let shown = HttpCall::get(operators, "/v1/tickets/5").bearer(TOKEN);
        let shown = shown.send().unwrap();
        let too_old = json!({"verdict": "too-old", "lowest": 21});
        assert_eq!((shown.status, shown.json().unwrap()), (410, too_old));
        let open = HttpCall::get(operators, "/v1/tickets/500").bearer(TOKEN);
        assert_eq!(open.send().unwrap().status, 404);
        assert_eq!(put(120).0, 200);
    }
    assert_eq!(process.stop(common::TIMEOUT).unwrap(), Some(0));
}
