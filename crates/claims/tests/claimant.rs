//! What an attempt concludes from its keepers' answers, in whatever order they come.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use claims::claimant::{AttemptEffect, ClaimAttempt, ClaimOutcome};
use claims::record::{AttemptId, ClaimAnswer, ClaimRecord, ClaimState, KeptAnswer};
use rstest::rstest;

fn id(host: &str) -> AttemptId {
    AttemptId {
        host: host.into(),
        number: 7,
    }
}

fn held(state: ClaimState) -> ClaimAnswer {
    ClaimAnswer::Held(ClaimRecord {
        key: "svc/k".into(),
        request: 1,
        holders: vec![id("other")],
        state,
        age: Duration::from_secs(1),
    })
}

/// Reads one answer: granted, claimed, answered, recovering or failed.
fn answer(word: &str) -> Option<ClaimAnswer> {
    match word {
        "granted" => Some(ClaimAnswer::Granted),
        "claimed" => Some(held(ClaimState::Claimed)),
        "answered" => Some(held(ClaimState::Answered(KeptAnswer::default()))),
        "recovering" => Some(ClaimAnswer::Recovering),
        "failed" => None,
        other => panic!("{other}"),
    }
}

#[rstest]
#[case("granted granted", "granted")]
#[case("granted claimed granted", "granted")]
#[case("answered", "answered-before")]
#[case("recovering claimed answered", "answered-before")]
#[case("claimed claimed answered", "answered-before")]
#[case("claimed claimed claimed", "held-in-progress")]
#[case("recovering claimed failed", "held-in-progress")]
#[case("granted recovering failed", "unconfirmed")]
#[case("failed failed", "unconfirmed")]
#[case("recovering recovering", "unconfirmed")]
fn a_claim_ends_with_what_any_keeper_knows(#[case] answers: &str, #[case] expected: &str) {
    let now = Instant::now();
    let keepers: Vec<String> = ["a", "b", "c"].map(Into::into).to_vec();
    let deadline = now + Duration::from_secs(1);
    let mut attempt =
        ClaimAttempt::new(id("e1"), "svc/k".into(), 1, vec![keepers.clone()], deadline);
    let mut effects = attempt.start(now);
    for (keeper, word) in keepers.into_iter().zip(answers.split(' ')) {
        assert_eq!(attempt.outcome(), None, "it ended before {word}");
        effects = match answer(word) {
            Some(answer) => attempt.on_answer(now, keeper, answer),
            None => attempt.on_failure(now, keeper),
        };
    }
    let outcome = attempt.outcome().map(<&str>::from);
    assert_eq!(outcome, Some(expected));
    let finish = effects.last().unwrap();
    assert!(matches!(finish, AttemptEffect::Finish(end) if <&str>::from(end) == expected));
    let releases = effects.len() > 1;
    assert_eq!(
        releases,
        !matches!(attempt.outcome(), Some(ClaimOutcome::Granted))
    );
}
