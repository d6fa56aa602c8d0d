//! Output of the JSON line logger.
//!
//! The logger is global to a process and writes to standard output, so the test runs itself again
//! as a child process and reads the output of the child.
#![allow(missing_docs, clippy::unwrap_used)]

use std::process::Command;

use serde_json::Value;
use telemetry::lines;

/// Environment variable that is set in the child process.
const CHILD: &str = "LINES_TEST_CHILD";

/// Runs in the child process and logs more lines than the rate limit allows.
fn write_lines() {
    lines::start(log::LevelFilter::Info);
    log::info!(target: "part", "first line; request=0012 took_ms=7 what=a b = c");
    log::debug!(target: "part", "not shown");
    for number in 0..5_000 {
        log::info!(target: "part", "many; number={number}");
    }
    log::error!(target: "part", "an error is never dropped");
    lines::flush();
}

#[test]
fn lines_are_json_and_rate_limited_except_errors() {
    if std::env::var_os(CHILD).is_some() {
        return write_lines();
    }
    let output = Command::new(std::env::current_exe().unwrap())
        .args(["--nocapture", "lines_are_json"])
        .env(CHILD, "1")
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let parsed: Vec<Value> = text
        .lines()
        .filter_map(|line| line.find('{').map(|start| &line[start..]))
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    let first = &parsed[0];
    assert_eq!(first["message"], "first line");
    assert_eq!(first["part"], "part");
    assert_eq!(first["request"], "0012");
    assert_eq!(first["took_ms"], 7);
    assert_eq!(first["what"], "a b = c");
    assert!(parsed.len() < 1_500, "{} lines", parsed.len());
    let last = parsed.last().unwrap();
    assert_eq!(last["message"], "an error is never dropped");
    let dropped: u64 = parsed
        .iter()
        .filter_map(|line| line["dropped_before"].as_u64())
        .sum();
    assert_eq!(dropped as usize + parsed.len(), 5_002);
}
