//! A request reaches a backend server, and its caller gets its own complete answer.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use support::{get, header, ok, post, respond, FakeBackend, TestServer};

#[test]
fn each_read_gets_its_own_complete_answer() {
    let backend = FakeBackend::start(vec![respond(&ok("first")), respond(&ok("second"))]);
    let server = TestServer::start(&[&backend]);
    let mut caller = server.caller();
    let first = caller.ask(&get("/s/svc/a?b=c")).unwrap();
    let second = caller.ask(&get("/s/svc/a")).unwrap();
    assert_eq!(
        (first.text(), second.text()),
        ("first".into(), "second".into())
    );
    assert!(backend.requests()[0]
        .head
        .starts_with("GET /s/svc/a?b=c HTTP/1.1\r\n"));
}

#[test]
fn upload_arrives_in_full() {
    let backend = FakeBackend::start(vec![respond(&ok("stored"))]);
    let server = TestServer::start(&[&backend]);
    let body = "x".repeat(1 << 20);
    let answer = server.ask(&post("/s/svc/scan", "", &body));
    assert_eq!(answer.summary(), "200");
    assert_eq!(backend.requests()[0].body.len(), 1 << 20);
}

#[test]
fn long_answer_arrives_in_full() {
    let body = "y".repeat(1 << 20);
    let backend = FakeBackend::start(vec![respond(&ok(&body))]);
    let server = TestServer::start(&[&backend]);
    let answer = server.ask(&get("/s/svc/scan"));
    assert!(answer.complete);
    assert_eq!(answer.body.len(), 1 << 20);
}

#[test]
fn backend_server_receives_the_deadline_and_the_request_id() {
    let backend = FakeBackend::start(vec![respond(&ok("x"))]);
    let server = TestServer::start(&[&backend]);
    let extra = "wisteria-deadline-ms: 1500\r\nrequest-id: r-1\r\n";
    let answer = server.ask(&post("/s/svc/a", extra, "1"));
    assert_eq!(answer.header("request-id"), "r-1");
    let head = &backend.requests()[0].head;
    assert_eq!(header(head, "request-id").unwrap(), "r-1");
    let left: u64 = header(head, "wisteria-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!((1000..=1500).contains(&left), "{left}");
}

#[test]
fn request_outside_the_service_paths_goes_to_the_fallback() {
    let server = TestServer::start(&[]);
    assert_eq!(
        server.ask(&get("/v1/entry-hosts")).text(),
        "other /v1/entry-hosts 0"
    );
    let announced = server.ask(&post("/v1/announcements", "", "12345"));
    assert_eq!(announced.text(), "other /v1/announcements 5");
}
