//! A voter freezes, a waiting machine takes its place, and it wakes again. Then the core falls into two
//! halves, of which the operator reaches first the one and then the other.

use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, Deployment, Route, Terms};
use crate::record::Record;
use crate::Outcome;

/// Machines of the core at the site, and the one that is added.
const CORE: u8 = 5;
const ADDED: u8 = 5;
/// Voter that freezes: one of the seeds.
const FROZEN: u8 = 0;
/// The halves. The second holds three of the five voters after the replacement, the first two.
const FIRST_HALF: [u8; 3] = [0, 1, 2];
const SECOND_HALF: [u8; 3] = [3, 4, ADDED];
/// Time for which the voter is frozen; the site has up to 7.5 s.
const FREEZE: Duration = Duration::from_secs(7);
/// Time for a clear answer of one half.
const HALF_TIME: Duration = Duration::from_secs(6);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let terms = Terms {
        tolerated: 2,
        ..Terms::default()
    };
    let mut deployment = Deployment::new(terms, "replaced-voter");
    let outcome = play(record, trouble, &mut deployment);
    deployment.stop(record);
    outcome
}

fn play(record: &Record, trouble: bool, deployment: &mut Deployment) -> Outcome {
    for number in 0..CORE {
        deployment.start_control(number, true);
    }
    if deployment.submit("config.replace", "", &document(1, 0, 1_000)) != Some(200) {
        return Outcome::NotRun("no configuration".to_string());
    }
    thread::sleep(Duration::from_secs(3));
    deployment.start_control(ADDED, false);
    record.line(&format!("core-{ADDED} is added, with an empty disk"));
    thread::sleep(Duration::from_secs(4));
    if trouble {
        record.line(&format!("core-{FROZEN} freezes for {} s", FREEZE.as_secs()));
        deployment.signal_control(FROZEN, "STOP");
        thread::sleep(FREEZE);
        deployment.signal_control(FROZEN, "CONT");
        record.line(&format!("core-{FROZEN} wakes"));
    }
    thread::sleep(Duration::from_secs(7));
    let voters = deployment.control_log(ADDED);
    let voters = voters
        .lines()
        .rev()
        .find(|line| line.contains("voters changed"));
    record.line(&format!(
        "voters by the log of core-{ADDED}: {}",
        voters.unwrap_or("not named")
    ));

    // The halves can't reach each other: the operator reaches the first one, while the second stands still.
    if trouble {
        set_running(deployment, &SECOND_HALF, false);
        record.line("the core is split; the second half stands still");
    }
    let first = change(record, deployment, &FIRST_HALF, &document(2, 1, 1_100));
    if trouble {
        set_running(deployment, &FIRST_HALF, false);
        set_running(deployment, &SECOND_HALF, true);
        record.line("the first half stands still, the second goes on");
    }
    let second = change(record, deployment, &SECOND_HALF, &document(3, 1, 1_200));
    if trouble {
        set_running(deployment, &FIRST_HALF, true);
        record.line("the split ends");
    }
    thread::sleep(Duration::from_secs(5));
    let read = read_version(record, deployment);
    record.line(&format!(
        "version 2 on top of 1: {first:?}; version 3 on top of 1: {second:?}; read back: version {read:?}"
    ));
    match (first, second) {
        (Some(200), Some(200)) => {
            record.line("two changes on top of the same version are both acknowledged");
            Outcome::Broken
        }
        _ => Outcome::Held,
    }
}

fn set_running(deployment: &Deployment, half: &[u8], is_running: bool) {
    for number in half {
        deployment.signal_control(*number, if is_running { "CONT" } else { "STOP" });
    }
}

/// Sends a change to the replicas in turn until one gives a clear answer.
fn change(record: &Record, deployment: &Deployment, half: &[u8], document: &str) -> Option<u16> {
    let until = Instant::now() + HALF_TIME;
    let version = document.split(',').next().unwrap_or_default();
    for number in half.iter().cycle() {
        if Instant::now() >= until {
            return None;
        }
        let answer = deployment.call(*number, "config.replace", "", document);
        let status = answer.map(|(status, _)| status);
        record.line(&format!("core-{number} answers {status:?} to {version}"));
        if let Some(status) = status.filter(|status| *status < 500) {
            return Some(status);
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}

/// Reads the configuration back at the replicas in turn.
fn read_version(record: &Record, deployment: &Deployment) -> Option<u64> {
    let until = Instant::now() + Duration::from_secs(15);
    for number in (0..=ADDED).cycle() {
        if Instant::now() >= until {
            return None;
        }
        if let Some((200, document)) = deployment.call(number, "config.get", "", "") {
            let version = document
                .strip_prefix(r#"{"version":"#)?
                .split(',')
                .next()?
                .parse()
                .ok();
            record.line(&format!("core-{number} returns version {version:?}"));
            return version;
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}

fn document(version: u64, base: u64, timeout_ms: u32) -> String {
    let route = Route {
        prefix: "/lepu270/",
        kind: "safe",
        service: "huvo11a",
        timeout_ms,
        target_ms: 200,
    };
    deployment::configuration(version, base, &["huvo11a"], &[route])
}
