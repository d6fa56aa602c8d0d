//! The scenarios and the ticket in `examples/` are valid, and every fault of a scenario is
//! reported.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::fs;
use std::path::Path;

use expect_test::expect;
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;
use rstest::rstest;
use standin::load::scenario::{RawScenario, Scenario};

/// Returns the content of a file in `examples/`.
fn example(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(folder.join(name)).unwrap()
}

/// Parses and checks a scenario.
fn parse_scenario(text: &str) -> Result<Scenario, String> {
    let raw: RawScenario = toml::from_str(text).map_err(|e| e.to_string())?;
    Scenario::try_from(raw)
        .map_err(|faults| faults.iter().map(|fault| format!("{fault}\n")).collect())
}

#[rstest]
#[case::cumbre("load/cumbre.toml", 6)]
#[case::roshni("load/roshni.toml", 6)]
#[case::cumbre_faults("load/cumbre-faults.toml", 2)]
#[case::roshni_faults("load/roshni-faults.toml", 2)]
fn example_scenario_is_valid(#[case] name: &str, #[case] phases: usize) {
    assert_eq!(parse_scenario(&example(name)).unwrap().phases.len(), phases);
}

#[test]
fn example_ticket_is_valid_for_the_empty_state() {
    let raw = RawTicket::from_toml(&example("cumbre.toml")).unwrap();
    let ticket = ChangeTicket::try_from(raw).unwrap();
    assert_eq!(ForceState::default().faults_after(&ticket), Vec::new());
}

#[test]
fn all_faults_of_a_scenario_are_reported() {
    let text = r#"
deployment = "nowhere"
scale = 2.0
seed = 1
policies = ["wisteria", "random"]
[[phase]]
name = "steady"
seconds = -1.0
load = 0.0
fault = [{ at = 1.0, service = "x", order = { fault = "explode" } }]
"#;
    expect![[r#"
        deployment: "nowhere" is not allowed: cumbre or roshni
        scale: "2" is not allowed: above 0, at most 1
        policies: "random" is not allowed: wisteria, round-robin or nearest-zone
        phase.steady.seconds: "-1" is not allowed: 0 to 600 seconds
        phase.steady.load: "0" is not allowed: above 0, at most 20
        fault: "explode" is not allowed: a kind of fault that docs/testing.md lists
    "#]]
    .assert_eq(&parse_scenario(text).unwrap_err());
}
