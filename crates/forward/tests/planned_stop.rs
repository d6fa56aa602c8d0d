//! A planned stop cuts nothing.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use forward::claimed::ClaimOutcome;
use support::{get, ok, post, say, wait_until, Act, FakeBackend, Rig};

fn stop(rig: &Rig) -> thread::JoinHandle<usize> {
    let server = rig.server.clone();
    thread::spawn(move || async_std::task::block_on(server.stop(Duration::from_secs(5))).left)
}

#[test]
fn request_in_flight_is_answered_whole() {
    let body = "y".repeat(1 << 20);
    let backend = FakeBackend::start(vec![Act::SayLater(700, ok(&body))]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    caller.write(get("/s/svc/a").as_bytes());
    assert!(wait_until(|| backend.runs() == 1));
    let stopping = stop(&rig);
    let answer = caller.answer(false).unwrap();
    assert!(answer.whole);
    assert_eq!(answer.header("connection"), "close");
    assert_eq!(stopping.join().unwrap(), 0);
}

#[test]
fn request_on_its_way_while_the_stop_begins_is_answered() {
    let backend = FakeBackend::start(vec![say(&ok("x"))]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    caller.ask(&get("/s/svc/a")).unwrap();
    let stopping = stop(&rig);
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
fn idle_connection_closes_and_no_new_one_is_taken() {
    let rig = Rig::start(&[]);
    let mut caller = rig.caller();
    caller.ask(&get("/health")).unwrap();
    let start = Instant::now();
    let stopping = stop(&rig);
    assert!(caller.is_closed());
    drop(caller);
    assert_eq!(stopping.join().unwrap(), 0);
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "{:?}",
        start.elapsed()
    );
    assert!(TcpStream::connect(rig.address).is_err());
}

#[test]
fn run_under_a_key_whose_caller_left_ends_before_the_stop() {
    let backend = FakeBackend::start(vec![Act::SayLater(800, ok("booked"))]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    caller.write(post("/s/svc/a", "idempotency-key: k\r\n", "1").as_bytes());
    assert!(wait_until(|| backend.runs() == 1));
    caller.leave();
    assert_eq!(stop(&rig).join().unwrap(), 0);
    assert_eq!(rig.forwarder.claimed_runs(), 0);
    let kept = rig.claims.outcome("svc", "k");
    assert!(matches!(kept, Some(ClaimOutcome::Answered(_))), "{kept:?}");
}

#[test]
fn connection_that_never_sent_a_request_holds_up_no_stop() {
    let rig = Rig::start(&[]);
    let mut silent = rig.caller();
    let mut partial = rig.caller();
    partial.write(b"GET /s/svc/a HTTP/1.1\r\nho");
    assert!(wait_until(|| rig.server.connections() == 2));
    let start = Instant::now();
    let stopping = stop(&rig);
    assert!(silent.is_closed() && partial.is_closed());
    drop((silent, partial));
    assert_eq!(stopping.join().unwrap(), 0);
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
}

#[test]
fn upload_under_way_and_long_answer_are_finished() {
    let body = "y".repeat(4 << 20);
    let backend = FakeBackend::start(vec![Act::Say(ok(&body))]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    caller.write(b"POST /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: 600000\r\n\r\n");
    caller.write(&[b'z'; 300_000]);
    assert!(wait_until(|| rig.server.connections() == 1));
    let stopping = stop(&rig);
    thread::sleep(Duration::from_millis(700));
    caller.write(&[b'z'; 300_000]);
    thread::sleep(Duration::from_millis(700));
    let answer = caller.answer(false).unwrap();
    assert!(answer.whole);
    assert_eq!(answer.body.len(), body.len());
    drop(caller);
    assert_eq!(stopping.join().unwrap(), 0);
}
