//! Seeded random schedules of concurrent claims, lost messages, restarts and network partitions.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use claims::fault::InjectedFault;
use rstest::rstest;
use support::explore;

const SCHEDULES: u64 = 10_000;
const STEPS: usize = 300;

#[test]
fn no_key_runs_twice_with_one_keeper_unreachable_restarted_or_partitioned() {
    let first_seed = std::env::var("EXPLORER_SEED").map_or(0, |seed| seed.parse().unwrap());
    let failures: Vec<_> = (first_seed..first_seed + SCHEDULES)
        .filter_map(|seed| Some((seed, explore(seed, STEPS, None).err()?)))
        .collect();
    let shown: Vec<_> = failures.iter().take(5).collect();
    assert!(
        failures.is_empty(),
        "{} schedules failed: {shown:#?}",
        failures.len()
    );
}

#[rstest]
#[case(InjectedFault::GrantBeforeRecovery)]
#[case(InjectedFault::RecoverAtOnce)]
#[case(InjectedFault::GrantByOne)]
#[case(InjectedFault::GrantAfterDeadline)]
#[case(InjectedFault::ForgetFormerLists)]
#[case(InjectedFault::FreeAfterRun)]
fn an_injected_fault_is_detected(#[case] fault: InjectedFault) {
    let detecting_seed = (0..SCHEDULES).find_map(|seed| {
        let error = explore(seed, STEPS, Some(fault)).err()?;
        error.contains("runs twice").then_some(seed)
    });
    assert!(
        detecting_seed.is_some(),
        "no schedule detects the fault {fault}"
    );
    println!("{fault} is detected at seed {detecting_seed:?}");
}
