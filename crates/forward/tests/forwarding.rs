//! A request reaches a backend server and its own whole answer comes back.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use support::{get, header, ok, post, say, FakeBackend, Rig};

#[test]
fn read_gets_its_own_whole_answer() {
    let backend = FakeBackend::start(vec![say(&ok("first")), say(&ok("second"))]);
    let rig = Rig::start(&[&backend]);
    let mut caller = rig.caller();
    let first = caller.ask(&get("/s/svc/a?b=c")).unwrap();
    let second = caller.ask(&get("/s/svc/a")).unwrap();
    assert_eq!(
        (first.text(), second.text()),
        ("first".into(), "second".into())
    );
    assert!(backend.seen()[0]
        .head
        .starts_with("GET /s/svc/a?b=c HTTP/1.1\r\n"));
}

#[test]
fn upload_arrives_whole() {
    let backend = FakeBackend::start(vec![say(&ok("stored"))]);
    let rig = Rig::start(&[&backend]);
    let body = "x".repeat(1 << 20);
    let answer = rig.ask(&post("/s/svc/scan", "", &body));
    assert_eq!(answer.verdict(), "200");
    assert_eq!(backend.seen()[0].body.len(), 1 << 20);
}

#[test]
fn long_answer_arrives_whole() {
    let body = "y".repeat(1 << 20);
    let backend = FakeBackend::start(vec![say(&ok(&body))]);
    let rig = Rig::start(&[&backend]);
    let answer = rig.ask(&get("/s/svc/scan"));
    assert!(answer.whole);
    assert_eq!(answer.body.len(), 1 << 20);
}

#[test]
fn backend_learns_the_deadline_and_the_request_id() {
    let backend = FakeBackend::start(vec![say(&ok("x"))]);
    let rig = Rig::start(&[&backend]);
    let extra = "wisteria-deadline-ms: 1500\r\nrequest-id: r-1\r\n";
    let answer = rig.ask(&post("/s/svc/a", extra, "1"));
    assert_eq!(answer.header("request-id"), "r-1");
    let head = &backend.seen()[0].head;
    assert_eq!(header(head, "request-id").unwrap(), "r-1");
    let left: u64 = header(head, "wisteria-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!((1000..=1500).contains(&left), "{left}");
}

#[test]
fn other_paths_go_to_the_process() {
    let rig = Rig::start(&[]);
    assert_eq!(
        rig.ask(&get("/v1/entry-hosts")).text(),
        "other /v1/entry-hosts 0"
    );
    let announced = rig.ask(&post("/v1/announcements", "", "12345"));
    assert_eq!(announced.text(), "other /v1/announcements 5");
}
