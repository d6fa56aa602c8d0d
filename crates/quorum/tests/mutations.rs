//! Checks that the explorer detects each injected fault.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use quorum::fault::InjectedFault;
use rstest::rstest;
use support::explorer::explore;

const MAX_SEEDS: u64 = 10_000;
const STEPS: usize = 400;

#[rstest]
#[case(InjectedFault::VoteBeforeSync)]
#[case(InjectedFault::BlankVotes)]
#[case(InjectedFault::CommitEarlierTerm)]
#[case(InjectedFault::ReadWithoutRound)]
#[case(InjectedFault::AnswerBeforeCommit)]
#[case(InjectedFault::OldSnapshot)]
#[case(InjectedFault::AckBeforeSync)]
#[case(InjectedFault::ProposeWithoutLease)]
#[case(InjectedFault::LeaseEndedByAnyone)]
fn an_injected_fault_is_detected(#[case] fault: InjectedFault) {
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
