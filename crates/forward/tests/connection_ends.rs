//! The end of a caller's connection loses no request.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{get, ok, post, respond, wait_until, FakeBackend, TestServer};

/// Start of a request without its end.
const PARTIAL: &str = "GET /s/svc/a HTTP/1.1\r\nho";
const HEAD_TIMEOUT: Duration = Duration::from_millis(600);
/// Time within which a caller learns that its request was not read.
const RESET_TIMEOUT: Duration = Duration::from_millis(200);

/// Cause for which the server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndCause {
    IdleTime,
    Stop,
}

/// Starts a server on which idle connections and late heads have 600 ms.
fn start(backends: &[&FakeBackend]) -> TestServer {
    TestServer::with(backends, |settings| settings.head_timeout = HEAD_TIMEOUT)
}

/// Starts the end of a server, or leaves it to the idle time.
fn begin_end(server: &TestServer, cause: EndCause) -> Option<thread::JoinHandle<usize>> {
    let server = server.caller_server.clone();
    let stop = move || async_std::task::block_on(server.stop(Duration::from_secs(5))).unfinished;
    (cause == EndCause::Stop).then(|| thread::spawn(stop))
}

/// The server read such a request and threw it away, and its caller waited for nothing.
#[rstest]
#[case::idle_after_an_answer(EndCause::IdleTime, true)]
#[case::idle_since_its_start(EndCause::IdleTime, false)]
#[case::stop_after_an_answer(EndCause::Stop, true)]
#[case::stop_since_its_start(EndCause::Stop, false)]
fn a_request_that_crosses_the_end_of_an_idle_connection_is_reset_unread(
    #[case] cause: EndCause,
    #[case] is_used: bool,
) {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = start(&[&backend]);
    let mut caller = server.caller();
    if is_used {
        assert_eq!(caller.ask(&get("/s/svc/a")).unwrap().text(), "x");
    }
    assert!(wait_until(|| server.caller_server.connections() == 1));
    let stopping = begin_end(&server, cause);
    assert!(caller.is_closed());
    caller.write(get("/s/svc/crossing").as_bytes());
    assert!(caller.is_reset(RESET_TIMEOUT), "the request was read");
    assert_eq!(backend.runs(), usize::from(is_used));
    assert_eq!(stopping.map_or(0, |stopping| stopping.join().unwrap()), 0);
}

/// The server read such a request and threw it away although no answer had announced the end.
#[test]
fn a_request_that_crosses_the_end_after_an_answer_begun_before_the_stop_is_reset_unread() {
    let body = "y".repeat(8 << 20);
    let backend = FakeBackend::start(vec![respond(&ok(&body))]);
    let server = TestServer::start(&[&backend]);
    let mut caller = server.caller();
    caller.write(get("/s/svc/a").as_bytes());
    assert!(wait_until(|| backend.runs() == 1));
    thread::sleep(Duration::from_millis(200));
    let stopping = begin_end(&server, EndCause::Stop).unwrap();
    thread::sleep(Duration::from_millis(600));
    let answer = caller.answer(false).unwrap();
    assert!(answer.complete);
    assert_eq!(answer.header("connection"), "");
    assert!(caller.is_closed());
    caller.write(get("/s/svc/crossing").as_bytes());
    assert!(caller.is_reset(RESET_TIMEOUT), "the request was read");
    assert_eq!(stopping.join().unwrap(), 0);
}

/// A connection above the limit that had sent nothing was read and thrown away for a second.
#[test]
fn a_request_that_crosses_the_end_of_an_idle_connection_above_the_limit_is_reset_unread() {
    let server = TestServer::with(&[], |settings| settings.max_connections = 1);
    let _first = server.caller();
    assert!(wait_until(|| server.caller_server.connections() == 1));
    let mut above_limit = server.caller();
    assert!(above_limit.is_closed());
    above_limit.write(get("/health").as_bytes());
    assert!(above_limit.is_reset(RESET_TIMEOUT), "the request was read");
}

/// The server dropped what it had read of such a head, and its caller got no answer.
#[rstest]
#[case::idle_time_on_a_new_connection(EndCause::IdleTime, None, PARTIAL)]
#[case::idle_time_after_an_answer(EndCause::IdleTime, Some(""), PARTIAL)]
#[case::idle_time_behind_a_pipelined_request(EndCause::IdleTime, Some(PARTIAL), "")]
#[case::stop_on_a_new_connection(EndCause::Stop, None, PARTIAL)]
#[case::stop_after_an_answer(EndCause::Stop, Some(""), PARTIAL)]
#[case::stop_behind_a_pipelined_request(EndCause::Stop, Some(PARTIAL), "")]
fn a_head_that_does_not_arrive_in_time_is_answered_with_408(
    #[case] cause: EndCause,
    #[case] sent_with_first_request: Option<&str>,
    #[case] sent_after_it: &str,
) {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = start(&[&backend]);
    let mut caller = server.caller();
    if let Some(more) = sent_with_first_request {
        let request = get("/s/svc/a") + more;
        assert_eq!(caller.ask(&request).unwrap().text(), "x");
    }
    caller.write(sent_after_it.as_bytes());
    assert!(wait_until(|| server.caller_server.connections() == 1));
    let stopping = begin_end(&server, cause);
    let answer = caller.answer(false).expect("an answer");
    assert_eq!(
        (answer.status, answer.header("connection").as_str()),
        (408, "close")
    );
    assert!(caller.is_closed());
    drop(caller);
    assert_eq!(stopping.map_or(0, |stopping| stopping.join().unwrap()), 0);
}

/// A head above the limit that was late was dropped.
#[test]
fn a_late_head_above_the_limit_of_connections_is_answered_with_408() {
    let server = TestServer::with(&[], |settings| settings.max_connections = 1);
    let _first = server.caller();
    assert!(wait_until(|| server.caller_server.connections() == 1));
    let mut above_limit = server.caller();
    above_limit.write(PARTIAL.as_bytes());
    let answer = above_limit.answer(false).expect("an answer");
    assert_eq!(
        (answer.status, answer.header("connection").as_str()),
        (408, "close")
    );
    assert!(above_limit.is_closed());
}

/// The rest of the body and a request behind it were thrown away although nothing announced it.
#[test]
fn an_answer_before_the_end_of_its_request_announces_the_end_of_the_connection() {
    let server = TestServer::start(&[]);
    let mut caller = server.caller();
    caller.write(b"POST /s/none/a HTTP/1.1\r\nhost: e\r\ncontent-length: 600000\r\n\r\n");
    let answer = caller.answer(false).unwrap();
    assert!(answer.status >= 400, "{}", answer.status);
    assert_eq!(answer.header("connection"), "close");
    assert!(caller.is_closed());
}

/// Each refusal of a small request would have cost its caller a connection.
#[test]
fn a_refusal_of_a_request_that_has_arrived_in_full_keeps_the_connection() {
    let server = TestServer::start(&[]);
    let mut caller = server.caller();
    for _ in 0..2 {
        let answer = caller.ask(&post("/s/none/a", "", "body")).unwrap();
        assert!(answer.status >= 400, "{}", answer.status);
        assert_eq!(answer.header("connection"), "");
    }
}
