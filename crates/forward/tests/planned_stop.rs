//! A graceful shutdown finishes running requests and closes idle connections.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::net::{Ipv4Addr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use forward::idempotency::ClaimOutcome;
use futures_util::future::{self, Either};
use support::{get, ok, post, respond, wait_until, BackendAction, FakeBackend, TestServer};

/// Starts a graceful shutdown and returns the number of unfinished connections and runs.
fn stop(server: &TestServer) -> thread::JoinHandle<usize> {
    let server = server.caller_server.clone();
    thread::spawn(move || async_std::task::block_on(server.stop(Duration::from_secs(5))).unfinished)
}

#[test]
fn in_flight_request_is_answered_in_full() {
    let body = "y".repeat(1 << 20);
    let backend = FakeBackend::start(vec![BackendAction::RespondAfterMs(700, ok(&body))]);
    let server = TestServer::start(&[&backend]);
    let mut caller = server.caller();
    caller.write(get("/s/svc/a").as_bytes());
    assert!(wait_until(|| backend.runs() == 1));
    let stopping = stop(&server);
    let answer = caller.answer(false).unwrap();
    assert!(answer.complete);
    assert_eq!(answer.header("connection"), "close");
    assert_eq!(stopping.join().unwrap(), 0);
}

#[test]
fn request_sent_just_after_the_stop_begins_is_answered() {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = TestServer::start(&[&backend]);
    let mut caller = server.caller();
    caller.ask(&get("/s/svc/a")).unwrap();
    let stopping = stop(&server);
    thread::sleep(Duration::from_millis(100));
    let answer = caller.ask(&get("/s/svc/a")).unwrap();
    assert_eq!(
        (answer.text().as_str(), answer.header("connection").as_str()),
        ("x", "close")
    );
    assert!(caller.is_closed());
    assert_eq!(stopping.join().unwrap(), 0);
}

#[test]
fn idle_connection_is_closed_and_no_new_one_is_accepted() {
    let server = TestServer::start(&[]);
    let mut caller = server.caller();
    caller.ask(&get("/health")).unwrap();
    let start = Instant::now();
    let stopping = stop(&server);
    assert!(caller.is_closed());
    drop(caller);
    assert_eq!(stopping.join().unwrap(), 0);
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    assert!(TcpStream::connect(server.address).is_err());
}

/// The task that accepts connections may run later than the one that stops the server; until then
/// the kernel accepts connections that nobody serves.
#[test]
fn stop_ends_only_after_the_listener_is_closed() {
    let server = TestServer::start(&[]).caller_server;
    async_std::task::block_on(async {
        let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.unwrap();
        let address = listener.local_addr().unwrap();
        let mut serving = std::pin::pin!(server.serve(listener));
        assert!(futures_util::poll!(serving.as_mut()).is_pending());
        // Whenever both can run, the stop runs first.
        let stopping = std::pin::pin!(server.stop(Duration::from_secs(5)));
        let report = match future::select(stopping, serving.as_mut()).await {
            Either::Left((report, _)) => report,
            Either::Right(((), stopping)) => stopping.await,
        };
        assert_eq!(report.unfinished, 0);
        assert!(TcpStream::connect(address).is_err());
    });
}

#[test]
fn run_under_a_key_finishes_before_the_stop_after_its_caller_disconnects() {
    let backend = FakeBackend::start(vec![BackendAction::RespondAfterMs(800, ok("booked"))]);
    let server = TestServer::start(&[&backend]);
    let mut caller = server.caller();
    caller.write(post("/s/svc/a", "idempotency-key: k\r\n", "1").as_bytes());
    assert!(wait_until(|| backend.runs() == 1));
    caller.disconnect();
    assert_eq!(stop(&server).join().unwrap(), 0);
    assert_eq!(server.forwarder.claimed_runs(), 0);
    let kept = server.claims.outcome("svc", "k");
    assert!(matches!(kept, Some(ClaimOutcome::Answered(_))), "{kept:?}");
}

#[test]
fn connection_without_a_complete_request_does_not_delay_the_stop() {
    let server = TestServer::start(&[]);
    let mut silent = server.caller();
    let mut partial = server.caller();
    partial.write(b"GET /s/svc/a HTTP/1.1\r\nho");
    assert!(wait_until(|| server.caller_server.connections() == 2));
    let start = Instant::now();
    let stopping = stop(&server);
    assert!(silent.is_closed());
    let answer = partial.answer(false).unwrap();
    assert_eq!(
        (answer.status, answer.header("connection").as_str()),
        (408, "close")
    );
    assert!(partial.is_closed());
    drop((silent, partial));
    assert_eq!(stopping.join().unwrap(), 0);
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
}

#[test]
fn running_upload_and_long_answer_are_finished() {
    let body = "y".repeat(4 << 20);
    let backend = FakeBackend::start(vec![BackendAction::Respond(ok(&body))]);
    let server = TestServer::start(&[&backend]);
    let mut caller = server.caller();
    caller.write(b"POST /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: 600000\r\n\r\n");
    caller.write(&[b'z'; 300_000]);
    assert!(wait_until(|| server.caller_server.connections() == 1));
    let stopping = stop(&server);
    thread::sleep(Duration::from_millis(700));
    caller.write(&[b'z'; 300_000]);
    thread::sleep(Duration::from_millis(700));
    let answer = caller.answer(false).unwrap();
    assert!(answer.complete);
    assert_eq!(answer.body.len(), body.len());
    drop(caller);
    assert_eq!(stopping.join().unwrap(), 0);
}
