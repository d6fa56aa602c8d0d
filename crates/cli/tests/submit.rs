//! A ticket whose verdict is unknown is resent to the next replica until the command times out.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use rstest::rstest;

const ACCEPTED: (&str, &str) = (
    "200 OK",
    r#"{"verdict":"accepted","revision":1,"digest":"d"}"#,
);
const CONFLICT: (&str, &str) = ("409 Conflict", r#"{"verdict":"conflict","holder":"x"}"#);
const TOO_OLD: (&str, &str) = ("410 Gone", r#"{"verdict":"too-old","lowest":4}"#);
const NOT_FOUND: (&str, &str) = ("404 Not Found", r#"{"error":"no ticket has this number"}"#);
const EMPTY_STATE: (&str, &str) = (
    "200 OK",
    r#"{"revision":0,"digest":0,"regions":{},"links":{},"hosts":{},"services":{},"blocks":{}}"#,
);
const UNKNOWN: (&str, &str) = ("503 Service Unavailable", "lost quorum");
const UNAUTHORIZED: (&str, &str) = ("401 Unauthorized", "");
const MALFORMED: (&str, &str) = (
    "400 Bad Request",
    r#"[{"field":"number","value":"0","allowed":"from 1"}]"#,
);
/// A response whose body ends before its content-length.
const TRUNCATED: (&str, &str) = ("truncated", "");

/// Starts two replicas and returns their addresses and the number of requests to both.
///
/// The replicas share one sequence of responses: each request gets the next one, and all requests
/// after the last response get the last one.
fn start_replicas(
    responses: &[(&'static str, &'static str)],
) -> (Vec<SocketAddr>, Arc<AtomicUsize>) {
    let requests = Arc::new(AtomicUsize::new(0));
    let responses = responses.to_vec();
    let start = || {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (requests, responses) = (requests.clone(), responses.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let mut request = vec![0; 65536];
                let mut length = 0;
                // The body of a submitted ticket ends with the closing brace of its JSON.
                loop {
                    let read = &request[..length];
                    let is_query = read.starts_with(b"GET ") && read.ends_with(b"\r\n\r\n");
                    if is_query || read.ends_with(b"}") {
                        break;
                    }
                    length += stream.read(&mut request[length..]).unwrap();
                }
                let index = requests.fetch_add(1, Ordering::SeqCst);
                let (status, body) = responses[index.min(responses.len() - 1)];
                let response = match status {
                    "truncated" => "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{}".to_string(),
                    _ => format!(
                        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}",
                        body.len()
                    ),
                };
                stream.write_all(response.as_bytes()).unwrap();
            }
        });
        address
    };
    (vec![start(), start()], requests)
}

/// Runs `wisteria submit` with a timeout of 1 s.
fn submit(controls: &[SocketAddr]) -> Output {
    submit_with(controls, &[])
}

/// Runs [`submit`] with further flags.
fn submit_with(controls: &[SocketAddr], flags: &[&str]) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("ticket.toml");
    fs::write(
        &file,
        "number = 1\n[region.r]\nzones = [\"z\"]\ncap = 1.0\n",
    )
    .unwrap();
    let controls: Vec<_> = controls.iter().map(SocketAddr::to_string).collect();
    Command::new(env!("CARGO_BIN_EXE_wisteria"))
        .args([
            "submit",
            "--timeout",
            "1s",
            "--controls",
            &controls.join(","),
        ])
        .args(flags)
        .arg(&file)
        .env_clear()
        .env("WISTERIA_TOKEN", "0123456789abcdef")
        .output()
        .unwrap()
}

#[rstest]
#[case::accepted_at_once(&[ACCEPTED], 0, 1)]
#[case::unknown_then_accepted(&[UNKNOWN, ACCEPTED], 0, 2)]
#[case::truncated_then_accepted(&[TRUNCATED, ACCEPTED], 0, 2)]
#[case::unknown_round_then_accepted(&[UNKNOWN, UNKNOWN, UNKNOWN, ACCEPTED], 0, 4)]
#[case::conflict(&[CONFLICT], 1, 1)]
#[case::too_old(&[TOO_OLD], 1, 1)]
#[case::malformed(&[MALFORMED], 1, 1)]
#[case::wrong_token(&[UNAUTHORIZED], 1, 1)]
fn a_ticket_is_resent_until_a_verdict_or_refusal(
    #[case] responses: &[(&'static str, &'static str)],
    #[case] exit: i32,
    #[case] sends: usize,
) {
    let (controls, requests) = start_replicas(responses);
    let output = submit(&controls);
    assert_eq!(output.status.code(), Some(exit), "{output:?}");
    assert_eq!(requests.load(Ordering::SeqCst), sends);
}

#[test]
fn a_lost_quorum_is_unknown_after_the_timeout() {
    let (controls, requests) = start_replicas(&[UNKNOWN]);
    let output = submit(&controls);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    assert!(requests.load(Ordering::SeqCst) > 2);
}

#[test]
fn an_unreachable_replica_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(submit(&[address]).status.code(), Some(3));
}

/// The replicas' answers to the query for the number, and then for the state, decide the preview.
#[rstest]
#[case::too_old(&[TOO_OLD], 1, "the number is below 4")]
#[case::open(&[NOT_FOUND, EMPTY_STATE], 0, "would be: accepted")]
#[case::wrong_token(&[UNAUTHORIZED], 1, "the access token is wrong")]
fn a_preview_says_what_would_become_of_the_ticket(
    #[case] responses: &[(&'static str, &'static str)],
    #[case] exit: i32,
    #[case] text: &str,
) {
    let (controls, requests) = start_replicas(responses);
    let output = submit_with(&controls, &["--dry-run"]);
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8_lossy(&printed);
    assert_eq!(output.status.code(), Some(exit), "{printed}");
    assert!(printed.contains(text), "{printed}");
    assert_eq!(requests.load(Ordering::SeqCst), responses.len());
}
