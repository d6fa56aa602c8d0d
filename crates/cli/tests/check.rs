//! `wisteria check` reports all validation errors of a ticket file, offline.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::fs;
use std::process::Command;

use expect_test::{expect, Expect};

/// Runs `wisteria check` on a file with the given content and compares its whole output.
fn assert_check(name: &str, content: &str, exit: i32, expected: &Expect) {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join(name), content).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_wisteria"))
        .args(["check", name])
        .current_dir(folder.path())
        .env_clear()
        .output()
        .unwrap();
    let text =
        String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
    expected.assert_eq(&text);
    assert_eq!(output.status.code(), Some(exit));
}

const VALID_TICKET: &str = r#"
number = 7
[region.altiplano]
zones = ["altiplano-a"]
cap = 100
[service.ascent-lookup]
class = "read"
shift = 10.5
[service.ascent-lookup.places.altiplano-a]
cap = 50.0
"#;

#[test]
fn a_valid_ticket_is_summarized() {
    assert_check(
        "good.toml",
        VALID_TICKET,
        0,
        &expect![[r#"
        good.toml: ticket 7 is well formed, 2 objects
    "#]],
    );
}

#[test]
fn a_json_ticket_is_parsed_by_its_extension() {
    let text = r#"{"number": 0, "region": {"b": {"zones": ["z"], "cap": "much"}}}"#;
    assert_check(
        "ticket.json",
        text,
        1,
        &expect![[r#"
        ticket.json: number: "0" is not allowed: a whole number from 1 to 9223372036854775807
        ticket.json: region.b.cap: "much" is not allowed: a number
    "#]],
    );
}

#[test]
fn type_and_value_errors_are_reported_together() {
    let text = r#"
number = "seven"
colour = "red"
[region.altiplano]
zones = ["Altiplano A", "altiplano-b", "altiplano-b"]
cap = "much"
height = 4000
[link."altiplano/altiplano"]
mbits = 280.0
[host.e1]
zone = "altiplano-a"
callers = "localhost:80"
[service.ascent-lookup]
class = "urgent"
shift = -1.0
leaving = ["10.0.0.1"]
[service.ascent-lookup.places.altiplano-a]
cap = -5.0
weight = 3
[block."10.1.0.0/99"]
zone = "altiplano-a"
"#;
    assert_check(
        "faults.toml",
        text,
        1,
        &expect![[r#"
        faults.toml: number: "seven" is not allowed: a whole number from 1 to 9223372036854775807
        faults.toml: colour: "red" is not allowed: number, region, link, host, service, block or remove
        faults.toml: host.e1.peers: "" is not allowed: a string; the field is required
        faults.toml: region.altiplano.height: "4000" is not allowed: one of the fields zones, cap
        faults.toml: region.altiplano.cap: "much" is not allowed: a number
        faults.toml: service.ascent-lookup.places.altiplano-a.weight: "3" is not allowed: one of the fields cap
        faults.toml: region.altiplano.zones: "Altiplano A" is not allowed: 1 to 64 of a-z, 0-9, - and ., starting with a letter or digit
        faults.toml: region.altiplano.zones: "altiplano-b" is not allowed: each availability zone once
        faults.toml: link.altiplano/altiplano: "altiplano/altiplano" is not allowed: the names of two different regions, such as altiplano/oriente
        faults.toml: host.e1.callers: "localhost:80" is not allowed: IP number and port, such as 10.0.0.1:8080
        faults.toml: service.ascent-lookup.shift: "-1" is not allowed: requests a second each second, above 0
        faults.toml: service.ascent-lookup.class: "urgent" is not allowed: bulk, read or write
        faults.toml: service.ascent-lookup.places.altiplano-a.cap: "-5" is not allowed: a number of requests a second, 0 to 1000000000
        faults.toml: service.ascent-lookup.leaving: "10.0.0.1" is not allowed: IP number and port, such as 10.0.0.1:8080
        faults.toml: block.10.1.0.0/99: "10.1.0.0/99" is not allowed: an address prefix, such as 10.1.0.0/16
    "#]],
    );
}

#[test]
fn invalid_toml_is_reported_with_its_line() {
    assert_check(
        "broken.toml",
        "number = 1\n[region\n",
        1,
        &expect![[r#"
        broken.toml: ticket: "unclosed table, expected `]`" is not allowed: a ticket in TOML, see docs/tickets.md (line 2)
    "#]],
    );
}

#[test]
fn a_missing_file_is_a_usage_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_wisteria"))
        .args(["check", "/nowhere/ticket.toml"])
        .env_clear()
        .output()
        .unwrap();
    expect![[r#"
        wisteria: /nowhere/ticket.toml: No such file or directory (os error 2)
    "#]]
    .assert_eq(&String::from_utf8(output.stderr).unwrap());
    assert_eq!(output.status.code(), Some(2));
}
