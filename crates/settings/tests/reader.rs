//! Settings from flags and environment variables, and the validation errors of invalid ones.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use expect_test::expect;
use settings::reader::SettingReader;
use settings::secret;

fn reader(args: &[&str], env: &[(&str, &str)]) -> SettingReader {
    let env: Vec<_> = env
        .iter()
        .map(|(name, value)| ((*name).to_string(), (*value).to_string()))
        .collect();
    SettingReader::new(args.iter().map(Into::into).collect(), env)
}

#[test]
fn flags_take_precedence_over_variables_and_variables_over_defaults() {
    let read = |args: &[&str], env: &[(&str, &str)]| {
        let mut reader = reader(args, env);
        reader.or("bound", SettingReader::duration, Duration::from_secs(9))
    };
    let env = [("WISTERIA_BOUND", "2s")];
    assert_eq!(read(&["--bound", "1s"], &env).as_secs(), 1);
    assert_eq!(read(&["--bound=3s"], &env).as_secs(), 3);
    assert_eq!(read(&[], &env).as_secs(), 2);
    assert_eq!(read(&[], &[]).as_secs(), 9);
}

#[test]
fn all_validation_errors_are_reported_together() {
    let args = [
        "--listen",
        "localhost:80",
        "--peers",
        "10.0.0.1:1,x",
        "--colour",
        "red",
    ];
    let mut reader = reader(&args, &[("WISTERIA_BOUND", "0s")]);
    reader.required("listen", SettingReader::address);
    reader.required("zone", SettingReader::name);
    reader.optional("bound", SettingReader::duration);
    reader.list("peers", SettingReader::address);
    let faults = reader.finish().unwrap_err();
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    expect![[r#"
        --listen or WISTERIA_LISTEN: "localhost:80" is not allowed: IP number and port, such as 10.0.0.1:8080
        --zone or WISTERIA_ZONE: "" is not allowed: a value; the setting is needed
        --bound or WISTERIA_BOUND: "0s" is not allowed: a time above 0 with its unit, such as 500ms or 2s
        --peers or WISTERIA_PEERS: "x" is not allowed: IP number and port, such as 10.0.0.1:8080
        argument: "--colour" is not allowed: the flags that --help lists
        argument: "red" is not allowed: the flags that --help lists"#]]
    .assert_eq(&lines.join("\n"));
}

/// A value that is taken for "not set" would silently turn a flag off.
#[test]
fn a_flag_takes_true_or_false_from_its_variable_and_refuses_others() {
    for (value, set) in [("true", true), ("1", true), ("false", false), ("0", false)] {
        let mut reader = reader(&[], &[("WISTERIA_BOOTSTRAP", value)]);
        assert_eq!(reader.flag("bootstrap"), set);
        assert!(reader.finish().is_ok());
    }
    for value in ["yes", "TRUE", ""] {
        let mut reader = reader(&[], &[("WISTERIA_BOOTSTRAP", value)]);
        assert!(!reader.flag("bootstrap"));
        let fault = reader.finish().unwrap_err().remove(0);
        assert_eq!(
            fault.to_string(),
            format!("--bootstrap or WISTERIA_BOOTSTRAP: \"{value}\" is not allowed: true, 1, false or 0")
        );
    }
}

#[test]
fn the_token_is_read_from_a_file_or_a_variable_and_never_shown() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("token");
    std::fs::write(&path, "from-a-file-0123456789\n").unwrap();
    let path = path.to_str().unwrap();
    let env = [("WISTERIA_TOKEN", "from-env-0123456789")];
    let mut both = reader(&["--token-file", path], &env);
    assert_eq!(
        secret::read_token(&mut both).unwrap(),
        "from-a-file-0123456789"
    );
    let mut variable = reader(&[], &env);
    assert_eq!(
        secret::read_token(&mut variable).unwrap(),
        "from-env-0123456789"
    );
    for bad in [
        "",
        "short",
        "with a space in the middle",
        "line\nbreak-in-the-middle",
    ] {
        let mut reader = reader(&[], &[("WISTERIA_TOKEN", bad)]);
        assert!(secret::read_token(&mut reader).is_none());
        let fault = reader.finish().unwrap_err().remove(0);
        assert_eq!(fault.value, "(not shown)");
    }
}
