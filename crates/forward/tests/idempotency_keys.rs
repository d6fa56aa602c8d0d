//! A non-idempotent request with an idempotency key runs at most once, and a repeated request is
//! answered correctly.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use rstest::rstest;
use support::{ok, post, respond, wait_until, BackendAction, FakeBackend, TestServer};

const KEY: &str = "idempotency-key: k-1\r\n";

#[test]
fn repeated_request_gets_the_first_answer() {
    let backend = FakeBackend::start(vec![respond(&ok("booked"))]);
    let server = TestServer::start(&[&backend]);
    let first = server.ask(&post("/s/svc/a", KEY, "1"));
    let again = server.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(
        (first.text(), again.text()),
        ("booked".into(), "booked".into())
    );
    assert_eq!(first.header("wisteria-replayed"), "");
    assert_eq!(again.header("wisteria-replayed"), "true");
    assert_eq!(backend.runs(), 1);
}

#[rstest]
#[case::body("/s/svc/a", "2")]
#[case::path("/s/svc/b", "1")]
#[case::bytes_moved_from_body_to_path("/s/svc/a1", "")]
fn another_request_with_the_key_never_runs(#[case] path: &str, #[case] body: &str) {
    let backend = FakeBackend::start(vec![respond(&ok("booked"))]);
    let server = TestServer::start(&[&backend]);
    server.ask(&post("/s/svc/a", KEY, "1"));
    let other = server.ask(&post(path, KEY, body));
    assert_eq!(other.summary(), "422 not-run key-used");
    assert_eq!(backend.runs(), 1);
}

#[test]
fn repeated_request_during_the_run_gets_a_retry_after_time() {
    let backend = FakeBackend::start(vec![BackendAction::RespondAfterMs(300, ok("booked"))]);
    let server = TestServer::start(&[&backend]);
    let mut first = server.caller();
    first.write(post("/s/svc/a", KEY, "1").as_bytes());
    assert!(wait_until(|| backend.runs() == 1));
    let again = server.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(again.summary(), "409 unknown key-in-progress");
    assert_eq!(again.header("retry-after"), "1");
    assert_eq!(first.answer(false).unwrap().text(), "booked");
    assert_eq!(backend.runs(), 1);
}

#[test]
fn run_finishes_and_its_answer_is_kept_after_its_caller_disconnects() {
    let backend = FakeBackend::start(vec![BackendAction::RespondAfterMs(200, ok("booked"))]);
    let server = TestServer::start(&[&backend]);
    let mut caller = server.caller();
    caller.write(post("/s/svc/a", KEY, "1").as_bytes());
    assert!(wait_until(|| backend.runs() == 1));
    caller.disconnect();
    std::thread::sleep(Duration::from_millis(400));
    let again = server.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(again.text(), "booked");
    assert_eq!(backend.runs(), 1);
}

#[test]
fn repeated_request_after_an_unknown_outcome_never_runs() {
    let backend = FakeBackend::start(vec![
        BackendAction::RespondAndClose(String::new()),
        respond(&ok("twice")),
    ]);
    let server = TestServer::start(&[&backend]);
    let first = server.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(first.summary(), "502 unknown backend-failed");
    assert!(wait_until(|| {
        let answer = server.ask(&post("/s/svc/a", KEY, "1"));
        answer.summary() != "409 unknown key-in-progress"
    }));
    let again = server.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(again.summary(), "409 unknown key-used");
    assert_eq!(backend.runs(), 1);
}

#[test]
fn repeated_request_after_not_run_runs() {
    let shed = "HTTP/1.1 503 No\r\nwisteria-shed: not-run\r\ncontent-length: 0\r\n\r\n";
    let backend = FakeBackend::start(vec![respond(shed), respond(&ok("booked"))]);
    let server = TestServer::start(&[&backend]);
    let first = server.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(first.summary(), "503 not-run overloaded");
    assert!(wait_until(|| server
        .ask(&post("/s/svc/a", KEY, "1"))
        .status
        == 200));
    assert_eq!(backend.runs(), 2, "one request was shed, one ran");
}

#[test]
fn request_whose_answer_is_too_long_to_keep_is_not_run_again() {
    let backend = FakeBackend::start(vec![BackendAction::Respond(ok(&"y".repeat(100 << 10)))]);
    let server = TestServer::start(&[&backend]);
    assert!(server.ask(&post("/s/svc/a", KEY, "1")).complete);
    let again = server.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(again.summary(), "409 unknown key-used");
    assert_eq!(backend.runs(), 1);
}

/// Reason for which a repeated request is refused before its key is claimed.
#[derive(Debug, Clone, Copy)]
enum RefusalCase {
    KeeperUnreachable,
    BufferMemoryFull,
    DeadlinePassed,
    TooManyRuns,
}

#[rstest]
#[case::keeper_unreachable(RefusalCase::KeeperUnreachable, "503 unknown key-unconfirmed")]
#[case::buffer_memory_full(RefusalCase::BufferMemoryFull, "503 unknown overloaded")]
#[case::deadline_passed(RefusalCase::DeadlinePassed, "503 unknown deadline-exceeded")]
#[case::too_many_runs(RefusalCase::TooManyRuns, "503 unknown overloaded")]
fn repeated_request_that_is_refused_before_its_claim_never_gets_not_run(
    #[case] why: RefusalCase,
    #[case] summary: &str,
) {
    let backend = FakeBackend::start(vec![respond(&ok("booked")), BackendAction::Hang]);
    let server = TestServer::with(&[&backend], |settings| {
        settings.max_buffered_bytes = 100;
        settings.max_claimed_runs = 1;
    });
    assert_eq!(server.ask(&post("/s/svc/a", KEY, "1")).text(), "booked");
    assert!(wait_until(|| server.forwarder.claimed_runs() == 0));
    let mut other = server.caller();
    let mut repeated = post("/s/svc/a", KEY, "1");
    match why {
        RefusalCase::KeeperUnreachable => server.claims.unreachable.store(true, Ordering::SeqCst),
        RefusalCase::BufferMemoryFull => {
            other.write(b"POST /s/svc/b HTTP/1.1\r\nhost: e\r\ncontent-length: 100\r\n\r\nx");
            assert!(wait_until(|| server.forwarder.buffered_bytes() == 100));
        }
        RefusalCase::DeadlinePassed => {
            repeated = post(
                "/s/svc/a",
                &format!("{KEY}wisteria-deadline-ms: 50\r\n"),
                "1",
            );
            repeated.pop();
        }
        RefusalCase::TooManyRuns => {
            other.write(post("/s/svc/b", "idempotency-key: k-2\r\n", "1").as_bytes());
            assert!(wait_until(|| backend.runs() == 2));
        }
    }
    assert_eq!(server.ask(&repeated).summary(), summary);
}
