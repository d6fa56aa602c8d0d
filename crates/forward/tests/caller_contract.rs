//! Contract with callers: which requests are accepted, and how others are refused.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{get, ok, post, respond, wait_until, BackendAction, FakeBackend, TestServer};

const MALFORMED: &str = "400 not-run bad-request";

#[rstest]
#[case::no_service("GET /s/ HTTP/1.1\r\nhost: e\r\n\r\n", MALFORMED)]
#[case::escaped_slash_in_service("GET /s/svc%2fx/a HTTP/1.1\r\nhost: e\r\n\r\n", MALFORMED)]
#[case::dots("GET /s/svc/../v1 HTTP/1.1\r\nhost: e\r\n\r\n", MALFORMED)]
#[case::escaped_dots("GET /s/svc/%2E%2e/v1 HTTP/1.1\r\nhost: e\r\n\r\n", MALFORMED)]
#[case::no_host("GET /s/svc/a HTTP/1.1\r\n\r\n", MALFORMED)]
#[case::two_hosts("GET /s/svc/a HTTP/1.1\r\nhost: e\r\nhost: f\r\n\r\n", MALFORMED)]
#[case::length_then_chunked(
    "POST /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    MALFORMED
)]
#[case::chunked_then_length(
    "POST /s/svc/a HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n",
    MALFORMED
)]
#[case::http_1_0("GET /s/svc/a HTTP/1.0\r\nhost: e\r\n\r\n", "505 not-run bad-request")]
#[case::bad_deadline(
    "GET /s/svc/a HTTP/1.1\r\nhost: e\r\nwisteria-deadline-ms: x\r\n\r\n",
    MALFORMED
)]
#[case::bad_key(
    "POST /s/svc/a HTTP/1.1\r\nhost: e\r\nidempotency-key: a b\r\ncontent-length: 0\r\n\r\n",
    MALFORMED
)]
#[case::two_keys("POST /s/svc/a HTTP/1.1\r\nhost: e\r\nidempotency-key: a\r\nidempotency-key: b\r\ncontent-length: 0\r\n\r\n", MALFORMED)]
#[case::method(
    "TRACE /s/svc/a HTTP/1.1\r\nhost: e\r\n\r\n",
    "405 not-run bad-request"
)]
#[case::unknown_service(
    "GET /s/none/a HTTP/1.1\r\nhost: e\r\n\r\n",
    "404 not-run unknown-service"
)]
#[case::too_large(
    "POST /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: 99999999999\r\n\r\n",
    "413 not-run bad-request"
)]
#[case::no_time(
    "GET /s/svc/a HTTP/1.1\r\nhost: e\r\nwisteria-deadline-ms: 0\r\n\r\n",
    "503 not-run deadline-exceeded"
)]
fn invalid_request_is_refused_as_not_run_and_never_runs(
    #[case] request: &str,
    #[case] summary: &str,
) {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = TestServer::start(&[&backend]);
    assert_eq!(server.ask(request).summary(), summary);
    assert_eq!(backend.runs(), 0);
}

#[rstest]
#[case::differing_lengths(
    "POST /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    400
)]
#[case::not_http("hello\r\n\r\n", 400)]
#[case::space_in_name("GET /s/svc/a HTTP/1.1\r\nhost : e\r\n\r\n", 400)]
#[case::folded_header("GET /s/svc/a HTTP/1.1\r\nhost: e\r\nx: a\r\n b\r\n\r\n", 400)]
#[case::bad_coding(
    "POST /s/svc/a HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked, gzip\r\n\r\n",
    400
)]
fn malformed_head_is_refused_and_its_connection_closed(#[case] request: &str, #[case] status: u16) {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = TestServer::start(&[&backend]);
    let mut caller = server.caller();
    assert_eq!(caller.ask(request).unwrap().status, status);
    assert!(caller.is_closed());
    assert_eq!(backend.runs(), 0);
}

#[rstest]
#[case::endless_line(&"a".repeat(64 << 10), 431)]
#[case::many_headers(&format!("GET / HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(100)), 431)]
fn head_above_its_size_limit_is_refused(#[case] request: &str, #[case] status: u16) {
    let server = TestServer::start(&[]);
    let answer = server.ask(request);
    assert!([400, status].contains(&answer.status), "{}", answer.status);
}

#[test]
fn slow_head_ends_at_the_head_timeout() {
    let server = TestServer::with(&[], |settings| {
        settings.head_timeout = Duration::from_millis(200)
    });
    let mut caller = server.caller();
    let start = Instant::now();
    caller.write(b"GET /s/svc/a HT");
    assert!(caller.is_closed() || caller.answer(false).is_some());
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
}

#[rstest]
#[case::read(get("/s/svc/a"), "503 not-run overloaded")]
#[case::write(post("/s/svc/a", "", "1"), "503 not-run overloaded")]
#[case::write_with_a_key(
    post("/s/svc/a", "idempotency-key: k\r\n", "1"),
    "503 unknown overloaded"
)]
fn connection_above_the_limit_is_refused_at_once(#[case] request: String, #[case] summary: &str) {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = TestServer::with(&[&backend], |settings| settings.max_connections = 1);
    let mut first = server.caller();
    assert_eq!(first.ask(&get("/s/svc/a")).unwrap().status, 200);
    let mut above_limit = server.caller();
    let refused = above_limit.ask(&request).unwrap();
    assert_eq!(refused.summary(), summary);
    assert_eq!(refused.header("retry-after"), "1");
    assert!(above_limit.is_closed());
    assert_eq!(backend.runs(), 1);
}

#[test]
fn read_is_cancelled_when_its_caller_disconnects() {
    let backend = FakeBackend::start(vec![BackendAction::Hang]);
    let server = TestServer::start(&[&backend]);
    let mut caller = server.caller();
    caller.write(get("/s/svc/a").as_bytes());
    assert!(wait_until(|| backend.runs() == 1));
    caller.disconnect();
    assert!(backend.wait_closed(1));
}

#[test]
fn chunked_upload_above_the_size_limit_is_refused() {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = TestServer::with(&[&backend], |settings| {
        settings.max_body_bytes = 64 << 10;
        settings.max_buffered_body_bytes = 16 << 10;
    });
    let mut caller = server.caller();
    caller.write(b"POST /s/svc/a HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n");
    for _ in 0..10 {
        caller.write(format!("4000\r\n{}\r\n", "z".repeat(0x4000)).as_bytes());
    }
    let answer = caller.answer(false).unwrap();
    assert_eq!(answer.summary(), "413 unknown bad-request");
    assert_eq!(backend.runs(), 0);
}

#[test]
fn hop_by_hop_and_reserved_headers_are_not_forwarded() {
    let response =
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\nconnection: x-b\r\nx-b: 1\r\nx-c: 1\r\n\
                keep-alive: timeout=5\r\nwisteria-outcome: not-run\r\n\r\nx";
    let backend = FakeBackend::start(vec![respond(response)]);
    let server = TestServer::start(&[&backend]);
    let extra = "connection: x-a, keep-alive\r\nx-a: 1\r\nx-keep: 1\r\nte: trailers\r\n\
                 upgrade: h2c\r\nproxy-authorization: p\r\nexpect: 100-continue\r\n";
    let answer = server.ask(&post("/s/svc/a", extra, "1"));
    let sent = backend.requests()[0].head.to_lowercase();
    for name in [
        "x-a:",
        "te:",
        "upgrade:",
        "proxy-authorization:",
        "expect:",
        "connection:",
    ] {
        assert!(!sent.contains(&format!("\r\n{name}")), "{name} in {sent}");
    }
    assert!(sent.contains("x-keep: 1"));
    for name in ["x-b", "keep-alive", "wisteria-outcome"] {
        assert_eq!(answer.header(name), "", "{name}");
    }
    assert_eq!(answer.header("x-c"), "1");
}

#[test]
fn absolute_uri_is_forwarded_as_its_path_and_host() {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = TestServer::start(&[&backend]);
    let request = "GET http://a.example/s/svc/%2fa HTTP/1.1\r\nhost: b.example\r\n\r\n";
    assert_eq!(server.ask(request).status, 200);
    let head = &backend.requests()[0].head;
    assert!(head.starts_with("GET /s/svc/%2fa HTTP/1.1\r\n"), "{head}");
    assert_eq!(support::header(head, "host").unwrap(), "a.example");
}

#[test]
fn body_above_the_free_buffer_memory_is_refused() {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = TestServer::with(&[&backend], |settings| settings.max_buffered_bytes = 100);
    let mut slow = server.caller();
    slow.write(b"POST /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: 80\r\n\r\nx");
    assert!(wait_until(|| server.forwarder.buffered_bytes() == 80));
    let refused = server.ask(&post("/s/svc/a", "", &"y".repeat(40)));
    assert_eq!(refused.summary(), "503 not-run overloaded");
    slow.write(&[b'x'; 79]);
    assert_eq!(slow.answer(false).unwrap().status, 200);
    assert_eq!(
        server.ask(&post("/s/svc/a", "", &"y".repeat(40))).status,
        200
    );
}

#[rstest]
#[case::smuggled_chunk("POST /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: 4\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\nGET /s/svc/evil HTTP/1.1\r\nhost: e\r\n\r\n")]
#[case::smuggled_length("POST /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: +4\r\n\r\nGET /s/svc/evil HTTP/1.1\r\nhost: e\r\n\r\n")]
#[case::bare_return("GET /s/svc/a HTTP/1.1\r\nhost: e\r\nx: a\rGET /s/svc/evil HTTP/1.1\r\n\r\n")]
#[case::both("POST /s/svc/a HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\nGET /s/svc/evil HTTP/1.1\r\nhost: e\r\n\r\n")]
fn smuggled_request_never_runs(#[case] request: &str) {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = TestServer::start(&[&backend]);
    let mut caller = server.caller();
    assert_eq!(caller.ask(request).unwrap().status, 400);
    assert!(caller.is_closed());
    assert_eq!(backend.runs(), 0);
}
