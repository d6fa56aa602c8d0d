//! Tests that the explorer detects each injected fault, which leaves out one safety rule.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use quorum::fault::PlantedFault;
use rstest::rstest;
use support::explorer::explore;

/// Seeds that are tried for each fault; each seed gives one schedule.
const MAX_SEEDS: u64 = 10_000;
/// Steps of a schedule.
const STEPS: usize = 400;

#[rstest]
#[case(PlantedFault::VoteBeforeSync)]
#[case(PlantedFault::BlankVotes)]
#[case(PlantedFault::CommitEarlierTerm)]
#[case(PlantedFault::ReadWithoutRound)]
#[case(PlantedFault::AnswerBeforeCommit)]
#[case(PlantedFault::OldSnapshot)]
#[case(PlantedFault::AckBeforeSync)]
#[case(PlantedFault::ProposeWithoutLease)]
#[case(PlantedFault::LeaseEndedByAnyone)]
fn an_injected_fault_is_detected(#[case] fault: PlantedFault) {
    let found = (0..MAX_SEEDS).find_map(|seed| {
        let violation = explore(seed, STEPS, Some(fault)).err()?;
        Some((seed, violation))
    });
    assert!(
        found.is_some(),
        "fault {fault} is not detected by {MAX_SEEDS} schedules"
    );
    println!("{fault}: {found:.120?}");
}
