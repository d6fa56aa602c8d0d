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
use support::explorer::{explore, explore_replacements};

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

/// The rule that a replaced voter doesn't vote is only tested by schedules in which voters are replaced
/// before the cluster is split.
#[test]
fn votes_of_replaced_voters_are_detected() {
    const MAX_SEEDS: u64 = 200;
    let fault = Some(InjectedFault::ReplacedVotes);
    let found = (0..MAX_SEEDS).find_map(|seed| {
        let violation = explore_replacements(seed, fault).err()?;
        Some((seed, violation))
    });
    assert!(
        found.is_some(),
        "votes of replaced voters are not detected by {MAX_SEEDS} schedules"
    );
    println!("{found:.120?}");
}
