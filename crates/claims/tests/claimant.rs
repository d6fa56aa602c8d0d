//! Outcome of a claim by the keepers' answers, in different orders.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use claims::claimant::{AttemptEffect, ClaimAttempt, ClaimOutcome};
use claims::record::{AttemptId, ClaimAnswer, ClaimRecord, ClaimState, KeptAnswer};
use rstest::rstest;

fn attempt_id(host: &str) -> AttemptId {
    AttemptId {
        host: host.into(),
        number: 7,
    }
}

fn held(state: ClaimState) -> ClaimAnswer {
    ClaimAnswer::Held(ClaimRecord {
        key: "svc/k".into(),
        request: 1,
        holders: vec![attempt_id("other")],
        state,
        age: Duration::from_secs(1),
    })
}

/// Parses `granted`, `claimed`, `answered`, `recovering` or `failed`; a failed call is `None`.
fn parse_answer(word: &str) -> Option<ClaimAnswer> {
    match word {
        "granted" => Some(ClaimAnswer::Granted),
        "claimed" => Some(held(ClaimState::Claimed)),
        "answered" => Some(held(ClaimState::Answered(KeptAnswer::default()))),
        "recovering" => Some(ClaimAnswer::Recovering),
        "failed" => None,
        other => panic!("unknown answer {other}"),
    }
}

#[rstest]
#[case("granted granted", "granted")]
#[case("granted claimed granted", "granted")]
#[case("answered", "answered-before")]
#[case("recovering claimed answered", "answered-before")]
#[case("claimed claimed", "held-in-progress")]
#[case("recovering claimed failed", "held-in-progress")]
#[case("granted recovering failed", "unconfirmed")]
#[case("failed failed", "unconfirmed")]
#[case("recovering recovering", "unconfirmed")]
fn a_claim_has_the_outcome_that_the_answers_determine(
    #[case] answers: &str,
    #[case] expected: &str,
) {
    let now = Instant::now();
    let keepers: Vec<String> = ["a", "b", "c"].map(Into::into).to_vec();
    let deadline = now + Duration::from_secs(1);
    let mut attempt = ClaimAttempt::new(
        attempt_id("e1"),
        "svc/k".into(),
        1,
        vec![keepers.clone()],
        deadline,
    );
    let mut effects = attempt.start(now);
    for (keeper, word) in keepers.into_iter().zip(answers.split(' ')) {
        assert_eq!(
            attempt.outcome(),
            None,
            "the claim ended before the answer {word}"
        );
        effects = match parse_answer(word) {
            Some(answer) => attempt.on_answer(now, keeper, answer),
            None => attempt.on_failure(now, keeper),
        };
    }
    let outcome = attempt.outcome().map(<&str>::from);
    assert_eq!(outcome, Some(expected));
    let finish = effects.last().unwrap();
    assert!(matches!(finish, AttemptEffect::Finish(outcome) if <&str>::from(outcome) == expected));
    let releases = effects.len() > 1;
    assert_eq!(
        releases,
        !matches!(attempt.outcome(), Some(ClaimOutcome::Granted))
    );
}

/// While the set of keepers changes, a key has two groups. One keeper of each holds it, which is a
/// minority of both, so another keeper may still know how the run ended.
#[test]
fn keepers_of_different_groups_do_not_add_up_to_a_majority() {
    let now = Instant::now();
    let group = |names: [&str; 3]| names.map(Into::into).to_vec();
    let groups = vec![group(["a", "b", "c"]), group(["d", "e", "f"])];
    let deadline = now + Duration::from_secs(1);
    let mut attempt = ClaimAttempt::new(attempt_id("e1"), "svc/k".into(), 1, groups, deadline);
    attempt.start(now);
    attempt.on_answer(now, "a".into(), held(ClaimState::Claimed));
    attempt.on_answer(now, "d".into(), held(ClaimState::Claimed));
    attempt.on_failure(now, "b".into());
    assert_eq!(attempt.outcome(), None);
    let answered = ClaimState::Answered(KeptAnswer::default());
    attempt.on_answer(now, "c".into(), held(answered));
    let outcome = attempt.outcome().map(<&str>::from);
    assert_eq!(outcome, Some("answered-before"));
}
