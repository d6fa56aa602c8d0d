//! What backend servers may answer, and what callers are told of what they may not.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{dead_address, get, ok, post, say, wait_until, Act, FakeBackend, Rig};

fn cut(text: &str) -> Act {
    Act::SayAndClose(text.to_string())
}

const FAILED: &str = "502 unknown backend-failed";

#[rstest]
#[case::before_the_answer(cut(""))]
#[case::mid_head(cut("HTTP/1.1 200 OK\r\ncontent-le"))]
#[case::cut_length(cut("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345"))]
#[case::cut_chunked(cut("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n"))]
#[case::unframed(cut("HTTP/1.1 200 OK\r\n\r\n12345"))]
#[case::unframed_old(cut("HTTP/1.0 200 OK\r\n\r\n12345"))]
#[case::differing_lengths(say(
    "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
))]
#[case::no_http(say("hello\r\n\r\n"))]
#[case::switched(say("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n"))]
#[case::foreign(say("HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 1\r\n\r\nx"))]
fn answer_that_is_not_whole_is_unknown_and_never_tried_again(#[case] act: Act) {
    let backend = FakeBackend::start(vec![act]);
    let second = FakeBackend::start(vec![say(&ok("twice"))]);
    let rig = Rig::start(&[&backend, &second]);
    assert_eq!(rig.ask(&post("/s/svc/a", "", "1")).verdict(), FAILED);
    assert!(backend.runs() <= 1);
    assert_eq!(second.runs(), 0);
}

#[rstest]
#[case::before_the_answer(cut(""))]
#[case::cut_length(cut("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345"))]
#[case::unframed(cut("HTTP/1.1 200 OK\r\n\r\n12345"))]
#[case::foreign(say("HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 1\r\n\r\nx"))]
fn read_whose_answer_is_not_whole_is_tried_elsewhere(#[case] act: Act) {
    let backend = FakeBackend::start(vec![act]);
    let second = FakeBackend::start(vec![say(&ok("good"))]);
    let rig = Rig::start(&[&backend, &second]);
    assert_eq!(rig.ask(&get("/s/svc/a")).text(), "good");
    assert_eq!((backend.runs(), second.runs()), (1, 1));
}

#[test]
fn write_on_a_connection_that_closes_unread_runs_at_most_once() {
    for _ in 0..20 {
        let closing = FakeBackend::start(vec![Act::CloseUnread]);
        let second = FakeBackend::start(vec![say(&ok("once"))]);
        let rig = Rig::start(&[&closing, &second]);
        let verdict = rig.ask(&post("/s/svc/a", "", "1")).verdict();
        let told = (verdict.as_str(), second.runs());
        assert!([(FAILED, 0), ("200", 1)].contains(&told), "{told:?}");
        assert_eq!(closing.runs(), 0);
    }
}

#[rstest]
#[case::continued("HTTP/1.1 100 Continue\r\n\r\n", 200, "x")]
#[case::hinted("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n", 200, "x")]
fn informational_answer_is_skipped(#[case] before: &str, #[case] status: u16, #[case] text: &str) {
    let backend = FakeBackend::start(vec![Act::Say(format!("{before}{}", ok("x")))]);
    let answer = Rig::start(&[&backend]).ask(&post("/s/svc/a", "", "1"));
    assert_eq!((answer.status, answer.text().as_str()), (status, text));
}

#[rstest]
#[case::no_content("GET", "HTTP/1.1 204 No Content\r\n\r\n", "204")]
#[case::not_modified("GET", "HTTP/1.1 304 Not Modified\r\netag: a\r\n\r\n", "304")]
#[case::head("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n", "200")]
#[case::empty("GET", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "200")]
#[case::own_refusal("GET", "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n", "409")]
#[case::own_failure("GET", "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", "503 unknown")]
#[case::false_claim(
    "GET",
    "HTTP/1.1 503 No\r\nwisteria-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
    "503 unknown"
)]
#[case::shed_without_its_status(
    "GET",
    "HTTP/1.1 500 No\r\nwisteria-shed: not-run\r\ncontent-length: 0\r\n\r\n",
    "500"
)]
#[case::shed_with_another_word(
    "GET",
    "HTTP/1.1 503 No\r\nwisteria-shed: maybe\r\ncontent-length: 0\r\n\r\n",
    "503 unknown"
)]
fn whole_answer_is_passed_on(#[case] method: &str, #[case] said: &str, #[case] verdict: &str) {
    let backend = FakeBackend::start(vec![say(said)]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    let request = format!("{method} /s/svc/a HTTP/1.1\r\nhost: e\r\n\r\n");
    assert_eq!(caller.ask(&request).unwrap().verdict(), verdict);
    assert!(backend.reuses_a_connection(|| {
        assert_eq!(caller.ask(&request).unwrap().verdict(), verdict);
    }));
}

const SHED: &str = "HTTP/1.1 503 No\r\nwisteria-shed: not-run\r\ncontent-length: 0\r\n\r\n";

#[test]
fn shed_in_the_documented_form_runs_elsewhere_or_is_not_run() {
    let backend = FakeBackend::start(vec![say(SHED)]);
    let second = FakeBackend::start(vec![say(&ok("good")), say(SHED)]);
    let rig = Rig::start(&[&backend, &second]);
    assert_eq!(rig.ask(&post("/s/svc/a", "", "1")).text(), "good");
    let refused = rig.ask(&post("/s/svc/a", "", "1"));
    assert_eq!(refused.verdict(), "503 not-run overloaded");
    assert_eq!(refused.header("retry-after"), "1");
    assert_eq!(refused.header("wisteria-retry-after-ms"), "200");
}

#[test]
fn unreachable_backend_is_not_run() {
    let rig = Rig::at(&[dead_address()], |_| {});
    let refused = rig.ask(&post("/s/svc/a", "", "1"));
    assert_eq!(refused.verdict(), "503 not-run backend-failed");
}

#[test]
fn unreachable_backend_is_passed_over() {
    let backend = FakeBackend::start(vec![say(&ok("good"))]);
    let rig = Rig::at(&[dead_address(), backend.address], |_| {});
    assert_eq!(rig.ask(&post("/s/svc/a", "", "1")).text(), "good");
    assert_eq!(backend.runs(), 1);
}

#[rstest]
#[case::read("GET", "504 unknown deadline-exceeded")]
#[case::write("POST", "504 unknown deadline-exceeded")]
fn late_answer_is_given_up_at_the_deadline(#[case] method: &str, #[case] verdict: &str) {
    let backend = FakeBackend::start(vec![Act::SayLater(900, ok("late")), say(&ok("own"))]);
    let rig = Rig::start(&[&backend]);
    let extra = "wisteria-deadline-ms: 200\r\ncontent-length: 0\r\n";
    let request = format!("{method} /s/svc/a HTTP/1.1\r\nhost: e\r\n{extra}\r\n");
    let start = Instant::now();
    let mut caller = rig.caller();
    assert_eq!(caller.ask(&request).unwrap().verdict(), verdict);
    let took = start.elapsed();
    assert!(
        (Duration::from_millis(200)..Duration::from_millis(600)).contains(&took),
        "{took:?}"
    );
    assert_eq!(caller.ask(&get("/s/svc/a")).unwrap().text(), "own");
    assert_eq!(
        backend.connections(),
        2,
        "a late connection is never reused"
    );
}

#[rstest]
#[case::too_long(format!("{}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale", ok("own")))]
#[case::too_long_by_a_byte(format!("{}x", ok("own")))]
fn bytes_after_an_answer_never_reach_the_next_request(#[case] said: String) {
    let backend = FakeBackend::start(vec![Act::Say(said), say(&ok("next"))]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    assert_eq!(caller.ask(&get("/s/svc/a")).unwrap().text(), "own");
    assert_eq!(caller.ask(&get("/s/svc/b")).unwrap().text(), "next");
    assert_eq!(backend.connections(), 2);
}

#[test]
fn answer_on_an_idle_connection_never_reaches_the_next_request() {
    let unasked = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale";
    let late = Act::Split(ok("own"), 30, unasked.to_string());
    let backend = FakeBackend::start(vec![late, say(&ok("next"))]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    assert_eq!(caller.ask(&get("/s/svc/a")).unwrap().text(), "own");
    std::thread::sleep(Duration::from_millis(60));
    assert_eq!(caller.ask(&get("/s/svc/b")).unwrap().text(), "next");
    assert_eq!(backend.connections(), 2);
}

#[test]
fn read_on_a_silent_connection_is_hedged_on_a_new_one() {
    let silent = FakeBackend::start(vec![say(&ok("a")), Act::Hang]);
    let lively = FakeBackend::start(vec![say(&ok("b"))]);
    let rig = Rig::with(&[&silent, &lively], |settings| {
        settings.hedge_delay = Duration::from_millis(50);
    });
    assert_eq!(rig.ask(&get("/s/svc/a")).text(), "a");
    let start = Instant::now();
    assert_eq!(rig.ask(&get("/s/svc/a")).text(), "b");
    assert!(
        start.elapsed() < Duration::from_millis(500),
        "{:?}",
        start.elapsed()
    );
    assert!(silent.wait_closed(1), "the slower attempt is cancelled");
}

#[test]
fn write_never_uses_a_connection_that_was_idle_for_long() {
    let backend = FakeBackend::start(vec![say(&ok("a"))]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    let mut write = || assert!(caller.ask(&post("/s/svc/a", "", "1")).unwrap().whole);
    write();
    assert!(backend.reuses_a_connection(&mut write));
    let before = backend.connections();
    std::thread::sleep(Duration::from_millis(150));
    write();
    assert_eq!(backend.connections(), before + 1);
}

#[test]
fn long_answer_that_is_cut_is_not_whole_for_its_caller() {
    let body = "y".repeat(400 << 10);
    let length = 500 << 10;
    let said = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let backend = FakeBackend::start(vec![Act::SayAndClose(said)]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    let answer = caller.ask(&get("/s/svc/a")).unwrap();
    assert!(!answer.whole);
    assert!(caller.is_closed());
}

#[test]
fn long_chunked_answer_that_is_cut_is_not_whole_for_its_caller() {
    let chunk = format!("64000\r\n{}\r\n", "y".repeat(0x64000));
    let said = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}");
    let backend = FakeBackend::start(vec![Act::SayAndClose(said)]);
    let answer = Rig::start(&[&backend]).ask(&get("/s/svc/a"));
    assert!(!answer.whole);
}

#[test]
fn early_answer_to_an_upload_is_passed_on_whole() {
    let said = "HTTP/1.1 422 No\r\ncontent-length: 4\r\n\r\nnope";
    let backend = FakeBackend::start(vec![Act::SayEarly(said.to_string())]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    let head = "POST /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: 2000000\r\n\r\n";
    caller.write(head.as_bytes());
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(5));
        assert!(caller.try_write(&[b'z'; 100_000]), "the upload may go on");
    }
    let answer = caller.answer(false).unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (422, "nope"));
}

#[test]
fn upload_whose_backend_dies_is_unknown_and_never_tried_again() {
    let dying = FakeBackend::start(vec![Act::DieInBody]);
    let second = FakeBackend::start(vec![say(&ok("twice"))]);
    let rig = Rig::start(&[&dying, &second]);
    for size in [1000, 1 << 20] {
        let answer = rig.ask(&post("/s/svc/a", "", &"z".repeat(size)));
        assert_eq!(answer.verdict(), FAILED, "{size}");
    }
    assert_eq!((dying.runs(), second.runs()), (0, 0));
}

#[test]
fn connections_that_are_idle_for_long_are_closed() {
    let backend = FakeBackend::start(vec![say(&ok("a"))]);
    let rig = Rig::with(&[&backend], |settings| settings.idle_limit = Duration::ZERO);
    let mut caller = rig.caller();
    caller.ask(&get("/s/svc/a")).unwrap();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) && !backend.has_closed(1) {
        rig.caller().ask(&get("/health")).unwrap();
    }
    assert!(backend.has_closed(1), "also while connections keep coming");
    let counts = || rig.forwarder.open_connections().into_iter();
    assert!(wait_until(|| counts().all(|(_, count)| count == 0)));
}

#[test]
fn write_whose_body_is_cut_by_its_caller_runs_nowhere() {
    let backend = FakeBackend::start(vec![say(&ok("x"))]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    caller.write(b"POST /s/svc/a HTTP/1.1\r\nhost: e\r\ncontent-length: 600000\r\n\r\nabc");
    caller.leave();
    assert!(backend.wait_closed(backend.connections()));
    assert_eq!(backend.runs(), 0);
}
