//! Seeded schedules of racing claims, lost messages, restarts and cuts.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use claims::fault::PlantedFault;
use rstest::rstest;
use support::explore;

const SCHEDULES: u64 = 10_000;
const STEPS: usize = 300;

#[test]
fn no_key_runs_twice_with_any_one_keeper_lost_restarted_or_cut_off() {
    let first = std::env::var("EXPLORER_SEED").map_or(0, |seed| seed.parse().unwrap());
    let broken: Vec<_> = (first..first + SCHEDULES)
        .filter_map(|seed| Some((seed, explore(seed, STEPS, None).err()?)))
        .collect();
    let shown: Vec<_> = broken.iter().take(5).collect();
    assert!(broken.is_empty(), "{} broken: {shown:#?}", broken.len());
}

#[rstest]
#[case(PlantedFault::GrantBeforeRecovery)]
#[case(PlantedFault::RecoverAtOnce)]
#[case(PlantedFault::GrantByOne)]
#[case(PlantedFault::GrantAfterDeadline)]
#[case(PlantedFault::ForgetFormerLists)]
#[case(PlantedFault::FreeAfterRun)]
fn a_planted_fault_is_found(#[case] fault: PlantedFault) {
    let found = (0..SCHEDULES).find_map(|seed| {
        let broken = explore(seed, STEPS, Some(fault)).err()?;
        broken.contains("runs twice").then_some(seed)
    });
    assert!(found.is_some(), "{fault} is not found");
    println!("{fault} is found at seed {found:?}");
}
