//! Answers of one keeper, and outcomes of one claim.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use claims::claimant::{AttemptEffect, ClaimAttempt, ClaimOutcome};
use claims::keeper::{ClaimKeeper, KeeperLimits};
use claims::record::{AttemptId, ClaimAnswer, ClaimRecord, ClaimState, KeptAnswer, RunOutcome};
use rstest::rstest;

const REQUEST: u64 = 7;

fn attempt(number: u64) -> AttemptId {
    let host = "entry-1".to_string();
    AttemptId { host, number }
}

fn keeper(now: Instant, limits: KeeperLimits) -> ClaimKeeper {
    let mut keeper = ClaimKeeper::new(now, limits);
    keeper.skip_recovery();
    keeper
}

fn held(request: u64, state: ClaimState, age: u64) -> ClaimAnswer {
    ClaimAnswer::Held(ClaimRecord {
        key: "k".to_string(),
        request,
        holders: vec![attempt(1)],
        state,
        age: Duration::from_secs(age),
    })
}

#[test]
fn a_full_keeper_refuses_claims_and_evicts_no_records() {
    let now = Instant::now();
    let limits = KeeperLimits {
        max_records: 2,
        ..KeeperLimits::default()
    };
    let mut keeper = keeper(now, limits);
    let mut claim = |now, key: &str| keeper.claim(now, &key.to_string(), REQUEST, &attempt(1));
    assert_eq!(claim(now, "a"), ClaimAnswer::Granted);
    assert_eq!(claim(now, "b"), ClaimAnswer::Granted);
    assert_eq!(claim(now, "c"), ClaimAnswer::Full);
    assert_eq!(claim(now, "a"), ClaimAnswer::Granted);
    assert_eq!(claim(now + limits.retention, "c"), ClaimAnswer::Granted);
}

#[test]
fn kept_answers_stay_within_the_byte_limits() {
    let now = Instant::now();
    let limits = KeeperLimits {
        max_bytes: 150,
        max_answer_bytes: 100,
        ..KeeperLimits::default()
    };
    let mut keeper = keeper(now, limits);
    for (key, body, kept) in [("a", 101, false), ("b", 100, true), ("c", 100, false)] {
        let key = key.to_string();
        keeper.claim(now, &key, REQUEST, &attempt(1));
        let body = vec![0; body];
        let answer = KeptAnswer {
            body,
            ..KeptAnswer::default()
        };
        keeper.complete(
            now,
            &key,
            REQUEST,
            &attempt(1),
            RunOutcome::Answered(answer),
        );
        let ClaimAnswer::Held(record) = keeper.claim(now, &key, REQUEST, &attempt(2)) else {
            panic!("the key was granted again");
        };
        assert_eq!(matches!(record.state, ClaimState::Answered(_)), kept);
    }
    assert!(keeper.bytes() <= limits.max_bytes);
}

#[test]
fn a_restarted_keeper_grants_no_claims_until_it_has_the_records_of_all_others() {
    let now = Instant::now();
    let limits = KeeperLimits::default();
    let others: BTreeSet<_> = ["entry-2", "entry-3"].map(String::from).into();
    let mut keeper = ClaimKeeper::new(now, limits);
    let key = "k".to_string();
    assert!(keeper.recovery_sources(now, &others).is_empty());
    let later = now + limits.attempt_timeout;
    assert_eq!(keeper.recovery_sources(later, &others).len(), 2);
    keeper.recover(later, "entry-2".to_string(), Vec::new(), &others);
    let answer = keeper.claim(later, &key, REQUEST, &attempt(2));
    assert_eq!(answer, ClaimAnswer::Recovering);
    assert_eq!(keeper.dump(later), None);
    let ClaimAnswer::Held(record) = held(REQUEST, ClaimState::Claimed, 1) else {
        unreachable!();
    };
    keeper.recover(later, "entry-3".to_string(), vec![record.clone()], &others);
    let answer = keeper.claim(later, &key, REQUEST, &attempt(2));
    assert_eq!(answer, ClaimAnswer::Held(record));
    let other = keeper.claim(later, &"other".to_string(), REQUEST, &attempt(2));
    assert_eq!(other, ClaimAnswer::Granted);
}

#[test]
fn a_restarted_keeper_that_reaches_no_others_recovers_after_the_retention() {
    let now = Instant::now();
    let limits = KeeperLimits::default();
    let mut keeper = ClaimKeeper::new(now, limits);
    let mut claim = |now| keeper.claim(now, &"k".to_string(), REQUEST, &attempt(1));
    let before_end = now + limits.retention - Duration::from_millis(1);
    assert_eq!(claim(before_end), ClaimAnswer::Recovering);
    assert_eq!(claim(now + limits.retention), ClaimAnswer::Granted);
}

#[rstest]
#[case::two_grants(&[ClaimAnswer::Granted, ClaimAnswer::Granted], Some(ClaimOutcome::Granted))]
#[case::one_grant(&[ClaimAnswer::Granted], None)]
#[case::recovering_is_no_grant(
    &[ClaimAnswer::Granted, ClaimAnswer::Recovering, ClaimAnswer::Full],
    Some(ClaimOutcome::Unconfirmed),
)]
#[case::held_by_another_attempt(
    &[held(7, ClaimState::Claimed, 1), held(7, ClaimState::Claimed, 1)],
    Some(ClaimOutcome::HeldInProgress),
)]
#[case::grants_split_between_attempts(
    &[ClaimAnswer::Granted, held(7, ClaimState::Claimed, 1), ClaimAnswer::Recovering],
    Some(ClaimOutcome::HeldInProgress),
)]
#[case::claimed_for_the_longest_run_time(
    &[held(7, ClaimState::Claimed, 120), held(7, ClaimState::Claimed, 120)],
    Some(ClaimOutcome::UsedUnknown),
)]
#[case::answered_before(
    &[held(7, ClaimState::Answered(KeptAnswer::default()), 1)],
    Some(ClaimOutcome::AnsweredBefore(KeptAnswer::default())),
)]
#[case::unknown_run_outcome(&[held(7, ClaimState::Unknown, 1)], Some(ClaimOutcome::UsedUnknown))]
#[case::different_request(&[held(8, ClaimState::Unknown, 1)], Some(ClaimOutcome::KeyUsed))]
fn a_claim_has_the_outcome_of_its_keepers_answers(
    #[case] answers: &[ClaimAnswer],
    #[case] expected: Option<ClaimOutcome>,
) {
    let now = Instant::now();
    let keepers: Vec<_> = (1..=3).map(|number| format!("entry-{number}")).collect();
    let deadline = now + Duration::from_secs(1);
    let groups = vec![keepers.clone()];
    let mut claim = ClaimAttempt::new(attempt(9), "k".to_string(), REQUEST, groups, deadline);
    assert_eq!(claim.start(now).len(), 3);
    let mut effects = Vec::new();
    for (keeper, answer) in keepers.iter().zip(answers) {
        effects.extend(claim.on_answer(now, keeper.clone(), answer.clone()));
    }
    assert_eq!(claim.outcome().cloned(), expected);
    let releases = effects
        .iter()
        .filter(|effect| matches!(effect, AttemptEffect::Complete { .. }));
    let failed = !matches!(expected, None | Some(ClaimOutcome::Granted));
    assert_eq!(releases.count(), if failed { 3 } else { 0 });
    let late_effects = claim.on_answer(now, keepers[2].clone(), ClaimAnswer::Granted);
    assert_eq!(!late_effects.is_empty(), failed || expected.is_none());
}

#[test]
fn a_claim_without_a_majority_in_time_is_not_granted() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let keepers: Vec<_> = (1..=3).map(|number| format!("entry-{number}")).collect();
    let groups = vec![keepers.clone()];
    let mut claim = ClaimAttempt::new(attempt(9), "k".to_string(), REQUEST, groups, deadline);
    claim.start(now);
    claim.on_answer(now, keepers[0].clone(), ClaimAnswer::Granted);
    claim.on_answer(deadline, keepers[1].clone(), ClaimAnswer::Granted);
    assert_eq!(claim.outcome(), Some(&ClaimOutcome::Unconfirmed));
}
