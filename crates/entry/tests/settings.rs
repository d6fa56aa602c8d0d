//! Validation of the settings of an entry host, which reports all errors at once.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use entry::settings::EntrySettings;
use expect_test::expect;
use settings::reader::SettingReader;

const TOKEN: (&str, &str) = ("WISTERIA_TOKEN", "0123456789abcdef");

fn parse(args: &str, token: bool) -> Result<EntrySettings, String> {
    let env = token.then(|| (TOKEN.0.to_string(), TOKEN.1.to_string()));
    let args = args.split_whitespace().map(Into::into).collect();
    let settings = EntrySettings::try_from(SettingReader::new(args, env));
    settings.map_err(|faults| {
        let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}

#[test]
fn valid_settings_are_accepted_and_debug_output_hides_the_token() {
    let args = "--name e1 --zone r-a --callers 127.0.0.1:1 --peers 127.0.0.1:2 \
                --controls 127.0.0.1:3,127.0.0.1:4 --answer-max-age 2s --log-json";
    let settings = parse(args, true).unwrap();
    assert_eq!(settings.controls.len(), 2);
    assert_eq!(settings.answer_max_age.as_secs(), 2);
    assert!(settings.logs.json);
    assert!(!format!("{settings:?}").contains(TOKEN.1));
}

#[test]
fn every_invalid_setting_is_reported_with_its_value() {
    let args = "--name E1 --zone r-a --callers localhost:1 --peers 127.0.0.1:2 --controls x \
                --stop-bound soon --log-level loud --verbose";
    expect![[r#"
        --name or WISTERIA_NAME: "E1" is not allowed: 1 to 64 of a-z, 0-9, - and ., starting with a letter or digit
        --callers or WISTERIA_CALLERS: "localhost:1" is not allowed: IP number and port, such as 10.0.0.1:8080
        --controls or WISTERIA_CONTROLS: "x" is not allowed: IP number and port, such as 10.0.0.1:8080
        --controls or WISTERIA_CONTROLS: "" is not allowed: at least one address
        --token-file or WISTERIA_TOKEN_FILE: "(not shown)" is not allowed: at least 16 printable characters without spaces, in WISTERIA_TOKEN or in the file of --token-file
        --stop-bound or WISTERIA_STOP_BOUND: "soon" is not allowed: a time above 0 with its unit, such as 500ms or 2s
        --log-level or WISTERIA_LOG_LEVEL: "loud" is not allowed: off, error, warn, info, debug or trace
        argument: "--verbose" is not allowed: the flags that --help lists"#]]
    .assert_eq(&parse(args, false).unwrap_err());
}
