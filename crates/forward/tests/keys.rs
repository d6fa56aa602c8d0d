//! A non-idempotent request with a key runs at most once, and its resend is told the truth.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use rstest::rstest;
use support::{ok, post, say, wait_until, Act, FakeBackend, Rig};

const KEY: &str = "idempotency-key: k-1\r\n";

#[test]
fn resend_gets_the_first_answer() {
    let backend = FakeBackend::start(vec![say(&ok("booked"))]);
    let rig = Rig::start(&[&backend]);
    let first = rig.ask(&post("/s/svc/a", KEY, "1"));
    let again = rig.ask(&post("/s/svc/a", KEY, "1"));
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
    let backend = FakeBackend::start(vec![say(&ok("booked"))]);
    let rig = Rig::start(&[&backend]);
    rig.ask(&post("/s/svc/a", KEY, "1"));
    let other = rig.ask(&post(path, KEY, body));
    assert_eq!(other.verdict(), "422 not-run key-used");
    assert_eq!(backend.runs(), 1);
}

#[test]
fn resend_during_the_run_is_told_to_come_back() {
    let backend = FakeBackend::start(vec![Act::SayLater(300, ok("booked"))]);
    let rig = Rig::start(&[&backend]);
    let mut first = rig.caller();
    first.write(post("/s/svc/a", KEY, "1").as_bytes());
    assert!(wait_until(|| backend.runs() == 1));
    let again = rig.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(again.verdict(), "409 unknown key-in-progress");
    assert_eq!(again.header("retry-after"), "1");
    assert_eq!(first.answer(false).unwrap().text(), "booked");
    assert_eq!(backend.runs(), 1);
}

#[test]
fn run_whose_caller_left_ends_and_its_answer_is_kept() {
    let backend = FakeBackend::start(vec![Act::SayLater(200, ok("booked"))]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    caller.write(post("/s/svc/a", KEY, "1").as_bytes());
    assert!(wait_until(|| backend.runs() == 1));
    caller.leave();
    std::thread::sleep(Duration::from_millis(400));
    let again = rig.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(again.text(), "booked");
    assert_eq!(backend.runs(), 1);
}

#[test]
fn resend_after_an_unknown_end_never_runs() {
    let backend = FakeBackend::start(vec![Act::SayAndClose(String::new()), say(&ok("twice"))]);
    let rig = Rig::start(&[&backend]);
    let first = rig.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(first.verdict(), "502 unknown backend-failed");
    assert!(wait_until(|| {
        let answer = rig.ask(&post("/s/svc/a", KEY, "1"));
        answer.verdict() != "409 unknown key-in-progress"
    }));
    let again = rig.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(again.verdict(), "409 unknown key-used");
    assert_eq!(backend.runs(), 1);
}

#[test]
fn resend_after_not_run_runs() {
    let shed = "HTTP/1.1 503 No\r\nwisteria-shed: not-run\r\ncontent-length: 0\r\n\r\n";
    let backend = FakeBackend::start(vec![say(shed), say(&ok("booked"))]);
    let rig = Rig::start(&[&backend]);
    let first = rig.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(first.verdict(), "503 not-run overloaded");
    assert!(wait_until(
        || rig.ask(&post("/s/svc/a", KEY, "1")).status == 200
    ));
    assert_eq!(backend.runs(), 2, "one shed, one run");
}

#[test]
fn answer_too_long_to_keep_is_not_run_again() {
    let backend = FakeBackend::start(vec![Act::Say(ok(&"y".repeat(100 << 10)))]);
    let rig = Rig::start(&[&backend]);
    assert!(rig.ask(&post("/s/svc/a", KEY, "1")).whole);
    let again = rig.ask(&post("/s/svc/a", KEY, "1"));
    assert_eq!(again.verdict(), "409 unknown key-used");
    assert_eq!(backend.runs(), 1);
}

/// Why a resend is refused before its key is settled.
#[derive(Debug, Clone, Copy)]
enum Unsettled {
    NoKeeper,
    NoMemory,
    NoTime,
    TooManyRuns,
}

#[rstest]
#[case::no_keeper(Unsettled::NoKeeper, "503 unknown key-unconfirmed")]
#[case::no_memory(Unsettled::NoMemory, "503 unknown overloaded")]
#[case::no_time(Unsettled::NoTime, "503 unknown deadline-exceeded")]
#[case::too_many_runs(Unsettled::TooManyRuns, "503 unknown overloaded")]
fn resend_refused_before_its_key_is_settled_is_never_told_not_run(
    #[case] why: Unsettled,
    #[case] verdict: &str,
) {
    let backend = FakeBackend::start(vec![say(&ok("booked")), Act::Hang]);
    let rig = Rig::with(&[&backend], |settings| {
        settings.max_held_bytes = 100;
        settings.max_claimed_runs = 1;
    });
    assert_eq!(rig.ask(&post("/s/svc/a", KEY, "1")).text(), "booked");
    assert!(wait_until(|| rig.forwarder.claimed_runs() == 0));
    let mut other = rig.caller();
    let mut resend = post("/s/svc/a", KEY, "1");
    match why {
        Unsettled::NoKeeper => rig.claims.unreachable.store(true, Ordering::SeqCst),
        Unsettled::NoMemory => {
            other.write(b"POST /s/svc/b HTTP/1.1\r\nhost: e\r\ncontent-length: 100\r\n\r\nx");
            assert!(wait_until(|| rig.forwarder.held_bytes() == 100));
        }
        Unsettled::NoTime => {
            resend = post(
                "/s/svc/a",
                &format!("{KEY}wisteria-deadline-ms: 50\r\n"),
                "1",
            );
            resend.pop();
        }
        Unsettled::TooManyRuns => {
            other.write(post("/s/svc/b", "idempotency-key: k-2\r\n", "1").as_bytes());
            assert!(wait_until(|| backend.runs() == 2));
        }
    }
    assert_eq!(rig.ask(&resend).verdict(), verdict);
}
