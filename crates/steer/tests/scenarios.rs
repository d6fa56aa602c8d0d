//! Runs the scenario files in `tests/scenarios`; docs/design/scenarios.md says how to write one.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use datadriven::TestCase;

mod simulation;

use simulation::{Fault, Load, Simulation};

#[rstest::rstest]
fn sums_over_all_hosts_stay_within_limits_in_every_window(
    #[files("tests/scenarios/*.scn")] path: std::path::PathBuf,
) {
    datadriven::walk(path.to_str().unwrap(), |file| {
        let mut simulation = None;
        file.run(|case| run_case(&mut simulation, case));
    });
}

#[rstest::rstest]
fn limits_break_exactly_in_scenarios_that_disable_a_protection(
    #[files("tests/scenarios/*.scn")] path: std::path::PathBuf,
) {
    let text = std::fs::read_to_string(path).unwrap();
    let lines: Vec<&str> = text.lines().filter(|line| !line.starts_with('#')).collect();
    let disables_protection = lines.iter().any(|line| line.contains(" without="));
    assert_eq!(lines.join("\n").contains("BROKEN"), disables_protection);
}

fn run_case(simulation: &mut Option<Simulation>, case: &mut TestCase) -> String {
    let seed = case.try_take_arg("seed").unwrap().unwrap_or(1);
    let faults = case.try_take_args("without").unwrap().unwrap_or_default();
    let skew = case.try_take_arg("skew-ms").unwrap().unwrap_or(2000);
    let waits = case.take_flag("waits").unwrap();
    let deployment: Option<String> = case.try_take_arg("deployment").unwrap();
    let mut words: Vec<String> = case.args.drain().map(|(word, _)| word).collect();
    words.sort();
    if case.directive == "given" {
        let ticket = match deployment {
            Some(name) => std::fs::read_to_string(format!("tests/scenarios/{name}.toml")).unwrap(),
            None => case.input.clone(),
        };
        let faults = faults.iter().map(|name: &String| fault(name)).collect();
        let mut new = Simulation::new(&ticket, seed, faults);
        new.waits = waits;
        let text = format!("{} entry hosts\n", new.host_count());
        *simulation = Some(new);
        return text;
    }
    let simulation = simulation
        .as_mut()
        .expect("a scenario starts with the directive given");
    if let Some(at) = words.iter().find_map(|word| seconds(word)) {
        simulation.run_until(at);
    }
    match case.directive.as_str() {
        "when" => set_loads(simulation, &case.input),
        "at" => {
            simulation.start_growth_measurement();
            words.retain(|word| seconds(word).is_none());
            case.input
                .lines()
                .filter(|_| words.is_empty())
                .for_each(|line| apply_event(simulation, line));
            if words == ["load"] {
                set_loads(simulation, &case.input);
            }
            if words == ["ticket"] {
                simulation.accept(&case.input, skew);
            }
        }
        "then" => {
            let hosts = simulation.host_count();
            return simulation.trace.report(hosts);
        }
        other => panic!("unknown directive {other}; expected given, when, at or then"),
    }
    "ok\n".to_string()
}

fn seconds(word: &str) -> Option<u64> {
    let seconds: f64 = word.strip_suffix('s')?.parse().ok()?;
    Some((seconds * 1000.0) as u64)
}

fn fault(name: &str) -> Fault {
    match name {
        "expiry" => Fault::LeasesNeverExpire,
        "ramp" => Fault::NoRamp,
        "link-budget" => Fault::NoLinkBudget,
        "leader-wait" => Fault::LeaderDoesNotWait,
        other => panic!("unknown protection {other}"),
    }
}

/// Sets the loads given by lines such as `ascent-lookup altiplano-a 60/s up 300 down 4000`.
fn set_loads(simulation: &mut Simulation, text: &str) {
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [service, zone, rate, "up", up, "down", down] = words[..] else {
            panic!("malformed load {line}; expected SERVICE ZONE RATE/s up BYTES down BYTES");
        };
        simulation.set_load(Load {
            service: service.to_string(),
            zone: zone.to_string(),
            rate: rate.strip_suffix("/s").unwrap().parse().unwrap(),
            up: up.parse().unwrap(),
            down: down.parse().unwrap(),
        });
    }
}

fn apply_event(simulation: &mut Simulation, line: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        ["region", name, "lost"] => simulation.set_lost(name, true),
        ["region", name, "back"] => simulation.set_lost(name, false),
        ["host", name, "cut", "off"] => simulation.set_cut_off(name, true),
        ["host", name, "back"] => simulation.set_cut_off(name, false),
        ["host", name, "stopped"] => simulation.stop_host(name),
        ["leader", "lost"] => simulation.set_leader(false),
        ["leader", "new"] => simulation.set_leader(true),
        _ => panic!("unknown event {line}"),
    }
}
