//! A ticket whose verdict is unknown is sent again to the next replica, within a bound.
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
const UNKNOWN: (&str, &str) = ("503 Service Unavailable", "lost quorum");
const UNAUTHORIZED: (&str, &str) = ("401 Unauthorized", "");
const MALFORMED: (&str, &str) = (
    "400 Bad Request",
    r#"[{"field":"number","value":"0","allowed":"from 1"}]"#,
);
const CUT: (&str, &str) = ("cut", "");

/// Replicas that give the answers in turn, the last one for good, over one count of requests.
fn replicas(answers: &[(&'static str, &'static str)]) -> (Vec<SocketAddr>, Arc<AtomicUsize>) {
    let asked = Arc::new(AtomicUsize::new(0));
    let answers = answers.to_vec();
    let start = || {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (asked, answers) = (asked.clone(), answers.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let mut request = vec![0; 65536];
                let mut length = 0;
                // The body of a ticket ends with its closing brace.
                while !request[..length].ends_with(b"}") {
                    length += stream.read(&mut request[length..]).unwrap();
                }
                let turn = asked.fetch_add(1, Ordering::SeqCst);
                let (status, body) = answers[turn.min(answers.len() - 1)];
                let answer = match status {
                    "cut" => "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{}".to_string(),
                    _ => format!(
                        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}",
                        body.len()
                    ),
                };
                stream.write_all(answer.as_bytes()).unwrap();
            }
        });
        address
    };
    (vec![start(), start()], asked)
}

fn submit(controls: &[SocketAddr]) -> Output {
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
        .arg(&file)
        .env_clear()
        .env("WISTERIA_TOKEN", "0123456789abcdef")
        .output()
        .unwrap()
}

#[rstest]
#[case::accepted_at_once(&[ACCEPTED], 0, 1)]
#[case::unknown_then_accepted(&[UNKNOWN, ACCEPTED], 0, 2)]
#[case::cut_then_accepted(&[CUT, ACCEPTED], 0, 2)]
#[case::unknown_round_then_accepted(&[UNKNOWN, UNKNOWN, UNKNOWN, ACCEPTED], 0, 4)]
#[case::conflict(&[CONFLICT], 1, 1)]
#[case::too_old(&[TOO_OLD], 1, 1)]
#[case::malformed(&[MALFORMED], 1, 1)]
#[case::wrong_token(&[UNAUTHORIZED], 1, 1)]
fn verdict_ends_the_sending(
    #[case] answers: &[(&'static str, &'static str)],
    #[case] exit: i32,
    #[case] sends: usize,
) {
    let (controls, asked) = replicas(answers);
    let output = submit(&controls);
    assert_eq!(output.status.code(), Some(exit), "{output:?}");
    assert_eq!(asked.load(Ordering::SeqCst), sends);
}

#[test]
fn lost_quorum_is_unknown_within_the_bound() {
    let (controls, asked) = replicas(&[UNKNOWN]);
    let output = submit(&controls);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    assert!(asked.load(Ordering::SeqCst) > 2);
}

#[test]
fn no_replica_in_reach_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(submit(&[address]).status.code(), Some(3));
}
