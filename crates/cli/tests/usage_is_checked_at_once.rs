//! Arguments and settings are checked before anything is called, and all faults are shown.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use cli::args::ClientArgs;
use cli::help;
use expect_test::{expect, expect_file, Expect};

fn faults(words: &str, env: &[(&str, &str)], expected: &Expect) {
    let env = env
        .iter()
        .map(|(k, v)| ((*k).to_string(), (*v).to_string()));
    let lines = match ClientArgs::read(words.split_whitespace().map(Into::into), env) {
        Ok(args) => format!("{args:?}"),
        Err(faults) => faults.iter().map(|f| format!("{f}\n")).collect(),
    };
    expected.assert_eq(&lines);
}

#[test]
fn help_names_every_command_and_exit_code() {
    expect_file!["./help.txt"].assert_eq(help::HELP);
}

#[test]
fn all_faults_at_once() {
    let words = "ticket zero --format xml --timeout soon --controls localhost --fast";
    faults(
        words,
        &[],
        &expect![[r#"
        NUMBER: "zero" is not allowed: a whole number from 1
        --format or WISTERIA_FORMAT: "xml" is not allowed: table or json
        --timeout or WISTERIA_TIMEOUT: "soon" is not allowed: a time above 0 with its unit, such as 500ms or 2s
        --controls or WISTERIA_CONTROLS: "localhost" is not allowed: IP number and port, such as 10.0.0.1:8080
        argument: "--fast" is not allowed: the flags that --help lists
    "#]],
    );
}

#[test]
fn no_command() {
    faults(
        "",
        &[],
        &expect![[r#"
        command: "" is not allowed: a command that --help lists
    "#]],
    );
}

#[test]
fn check_needs_no_settings() {
    faults(
        "check a.toml b.toml",
        &[],
        &expect![[
            r#"ClientArgs { command: Check { files: ["a.toml", "b.toml"] }, format: Table, timeout: 10s, controls: [], token: (not shown) }"#
        ]],
    );
}

#[test]
fn variables_stand_in_for_flags() {
    let env = [
        ("WISTERIA_CONTROLS", "127.0.0.1:1,127.0.0.1:2"),
        ("WISTERIA_TOKEN", "0123456789abcdef"),
        ("WISTERIA_FORMAT", "json"),
    ];
    faults(
        "show link/a/b --timeout 2s",
        &env,
        &expect![[
            r#"ClientArgs { command: Show(ObjectFilter { kind: Some(Link), name: Some("a/b") }), format: Json, timeout: 2s, controls: [127.0.0.1:1, 127.0.0.1:2], token: (not shown) }"#
        ]],
    );
}
