//! Arguments and settings are validated before any call, and all errors are reported together.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use cli::args::ClientArgs;
use cli::help;
use expect_test::{expect, expect_file, Expect};

/// Parses the arguments and compares the result, or one line per error, with the expected text.
fn assert_parsed(args: &str, env: &[(&str, &str)], expected: &Expect) {
    let env = env
        .iter()
        .map(|(k, v)| ((*k).to_string(), (*v).to_string()));
    let lines = match ClientArgs::parse(args.split_whitespace().map(Into::into), env) {
        Ok(args) => format!("{args:?}"),
        Err(faults) => faults.iter().map(|f| format!("{f}\n")).collect(),
    };
    expected.assert_eq(&lines);
}

#[test]
fn help_text_matches_the_expected_file() {
    expect_file!["./help.txt"].assert_eq(help::HELP);
}

#[test]
fn all_errors_are_reported_together() {
    let args = "ticket zero --format xml --timeout soon --controls localhost --fast";
    assert_parsed(
        args,
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
fn a_missing_command_is_an_error() {
    assert_parsed(
        "",
        &[],
        &expect![[r#"
        command: "" is not allowed: a command that --help lists
    "#]],
    );
}

#[test]
fn check_requires_no_settings() {
    assert_parsed(
        "check a.toml b.toml",
        &[],
        &expect![[
            r#"ClientArgs { command: Check { files: ["a.toml", "b.toml"] }, format: Table, timeout: 10s, controls: [], token: (not shown) }"#
        ]],
    );
}

#[test]
fn environment_variables_are_used_for_missing_flags() {
    let env = [
        ("WISTERIA_CONTROLS", "127.0.0.1:1,127.0.0.1:2"),
        ("WISTERIA_TOKEN", "0123456789abcdef"),
        ("WISTERIA_FORMAT", "json"),
    ];
    assert_parsed(
        "show link/a/b --timeout 2s",
        &env,
        &expect![[
            r#"ClientArgs { command: Show(ObjectFilter { kind: Some(Link), name: Some("a/b") }), format: Json, timeout: 2s, controls: [127.0.0.1:1, 127.0.0.1:2], token: (not shown) }"#
        ]],
    );
}
