//! All faults of the settings are reported together, before the daemon opens anything.
#![allow(missing_docs, clippy::unwrap_used)]

use control::settings::{ControlSettings, RawSettings};
use rstest::rstest;
use settings::reader::SettingReader;

/// Valid settings, which each case changes.
const VALID: [(&str, &str); 5] = [
    ("--id", "1"),
    (
        "--replicas",
        "1=127.0.0.1:7001,2=127.0.0.1:7002,3=127.0.0.1:7003",
    ),
    ("--operators", "127.0.0.1:7000"),
    ("--zone", "altiplano-a"),
    ("--data-folder", "/tmp/x"),
];

/// Checks the valid settings with some changes (an empty value removes a flag), and returns the
/// fields of all faults.
fn check(change: &[(&str, &str)], token: &str) -> Result<ControlSettings, Vec<String>> {
    let mut args: Vec<(&str, &str)> = VALID.to_vec();
    for (name, value) in change {
        args.retain(|(known, _)| known != name);
        if !value.is_empty() {
            args.push((name, value));
        }
    }
    let args = args
        .into_iter()
        .flat_map(|(name, value)| [name.into(), value.into()]);
    let env = [("WISTERIA_TOKEN".to_string(), token.to_string())];
    let reader = SettingReader::new(args.collect(), env);
    ControlSettings::try_from(RawSettings::read(reader))
        .map_err(|faults| faults.into_iter().map(|fault| fault.field).collect())
}

const TOKEN: &str = "a-token-of-16-bytes";

#[test]
fn valid_settings_are_accepted() {
    let settings = check(&[], TOKEN).unwrap();
    assert_eq!(settings.own_address().port(), 7001);
    assert!(!format!("{settings:?}").contains(TOKEN));
}

#[rstest]
#[case::no_id(&[("--id", "")], 1)]
#[case::unlisted_id(&[("--id", "9")], 1)]
#[case::even_count(&[("--replicas", "1=127.0.0.1:7001,2=127.0.0.1:7002")], 1)]
#[case::no_replicas(&[("--replicas", "")], 2)]
#[case::number_twice(&[("--replicas", "1=127.0.0.1:7001,1=127.0.0.1:7002,2=127.0.0.1:7003")], 1)]
#[case::address_twice(&[("--replicas", "1=127.0.0.1:7001,2=127.0.0.1:7001,3=127.0.0.1:7003")], 1)]
#[case::operators_is_peer(&[("--operators", "127.0.0.1:7001")], 1)]
#[case::no_address(&[("--operators", "localhost:7000")], 1)]
#[case::port_zero(&[("--operators", "127.0.0.1:0")], 1)]
#[case::bad_zone(&[("--zone", "Zone A")], 1)]
#[case::bad_window(&[("--verdict-window", "99")], 1)]
#[case::bad_level(&[("--log-level", "loud")], 1)]
#[case::unknown_flag(&[("--colour", "red")], 2)]
#[case::several(&[("--id", "x"), ("--zone", ""), ("--snapshot-every", "0")], 3)]
fn every_fault_is_reported(#[case] change: &[(&str, &str)], #[case] faults: usize) {
    let found = check(change, TOKEN).unwrap_err();
    assert_eq!(found.len(), faults, "{found:?}");
}

#[test]
fn a_short_token_is_refused() {
    assert_eq!(check(&[], "short").unwrap_err().len(), 1);
}
