//! Guards against truncated answers: `HttpCall` returns only complete ones, and stops waiting for a
//! silent server at its timeout.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use proof::error::ProofError;
use proof::http::HttpCall;
use rstest::rstest;

/// Accepts one connection, sends the given bytes, and closes the connection after `hold`.
fn serve_once(bytes: &'static str, hold: Duration) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        thread::sleep(hold);
    });
    address
}

#[rstest]
#[case::complete("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", true)]
#[case::truncated_content_length("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello", false)]
#[case::truncated_chunked(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
    false
)]
#[case::no_answer("", false)]
fn only_complete_answers_are_returned(#[case] bytes: &'static str, #[case] complete: bool) {
    let answer = HttpCall::get(serve_once(bytes, Duration::ZERO), "/").send();
    assert_eq!(answer.is_ok(), complete, "{answer:?}");
}

#[test]
fn missing_answer_fails_at_the_timeout() {
    let address = serve_once("", Duration::from_secs(2));
    let answer = HttpCall::get(address, "/")
        .bound(Duration::from_millis(200))
        .send();
    assert!(matches!(answer, Err(ProofError::Timeout(..))), "{answer:?}");
}
