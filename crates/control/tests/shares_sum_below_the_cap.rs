//! The sum of all unexpired grants of a place never exceeds half of its cap.
#![allow(missing_docs, clippy::unwrap_used)]

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use control::shares::{PlaceKey, PlaceRates, ShareTable};
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;

/// Returns a state with one place of this cap and these entry hosts.
fn state_with(cap: f64, hosts: &[&str]) -> ForceState {
    let mut text = format!(
        "number = 1\n[region.n]\nzones = [\"n-a\"]\ncap = 1000.0\n\
         [service.s]\nclass = \"read\"\nshift = 1.0\n[service.s.places.n-a]\ncap = {cap:?}\n"
    );
    for (index, host) in hosts.iter().enumerate() {
        write!(
            text,
            "[host.{host}]\nzone = \"n-a\"\ncallers = \"10.0.0.1:{}\"\npeers = \"10.0.0.2:{}\"\n",
            index + 1,
            index + 1
        )
        .unwrap();
    }
    let ticket = ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap();
    let mut state = ForceState::default();
    state.apply(&ticket);
    state
}

/// Returns the key of the only place.
fn place() -> PlaceKey {
    ("s".to_string(), "n-a".to_string())
}

/// Runs the commands of the scenario files: `lead`, `stop`, `cap`, `hosts`, `wait` and `lease`.
#[test]
fn grants_match_the_scenarios() {
    datadriven::walk("tests/shares", |file| {
        let start = Instant::now();
        let mut now = start;
        let mut table = ShareTable::new();
        let (mut cap, mut hosts) = (
            100.0,
            vec!["a".to_string(), "b".to_string(), "c".to_string()],
        );
        file.run(|case| {
            let mut output = String::new();
            match case.directive.as_str() {
                "lead" => table.start(now),
                "stop" => table.stop(),
                "cap" => cap = case.input.trim().parse().unwrap(),
                "hosts" => hosts = case.input.split_whitespace().map(String::from).collect(),
                "wait" => now += Duration::from_millis(case.input.trim().parse().unwrap()),
                "lease" => {
                    let names: Vec<_> = hosts.iter().map(String::as_str).collect();
                    let state = state_with(cap, &names);
                    for line in case.input.lines() {
                        let (host, demand) = line.split_once(' ').unwrap();
                        let demand = PlaceRates::from([(place(), demand.parse().unwrap())]);
                        let shares = table.lease(now, &state, host, &demand);
                        let share = shares.get(&place()).copied().unwrap_or(0.0);
                        writeln!(output, "{host} gets {share:.1}").unwrap();
                    }
                }
                other => panic!("unknown command {other}"),
            }
            let sum = table.granted_rate(now, &place());
            let note = if sum <= cap / 2.0 + 1e-9 {
                ""
            } else {
                ", above half"
            };
            writeln!(output, "granted {sum:.1} of {:.1}{note}", cap / 2.0).unwrap();
            output
        });
    });
}

/// With random reports and cap changes, only a lowered cap may leave more than half of the cap
/// granted, and for one time to live at most. All unexpired grants of a host count, as any answer
/// with a newer grant may be lost.
#[test]
fn the_sum_stays_below_half_of_the_cap_for_any_order_of_reports() {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut table = ShareTable::new();
        table.start(now);
        let (mut cap, mut lowered) = (100.0, now);
        let mut state = state_with(cap, &["a", "b", "c"]);
        for _ in 0..300 {
            now += Duration::from_millis(random.random_range(0..700));
            if random.random_bool(0.05) {
                let next = random.random_range(1.0..200.0);
                lowered = if next < cap { now } else { lowered };
                cap = next;
                state = state_with(cap, &["a", "b", "c"]);
            }
            let host = ["a", "b", "c", "gone"][random.random_range(0..4)];
            let demand = PlaceRates::from([(place(), random.random_range(-1.0..500.0))]);
            table.lease(now, &state, host, &demand);
            let sum = table.granted_rate(now, &place());
            if now >= lowered + ShareTable::TTL {
                assert!(sum <= cap / 2.0 + 1e-6, "seed {seed}: {sum} of {cap}");
            }
        }
    }
}
