//! What a holder takes and what it refuses, in whatever order it arrives.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::time::Instant;

use feed::holder::{HolderError, StateHolder};
use feed::view::{BeatStamp, ForceBeat};
use support::{change, history};

fn beat(term: u64, sequence: u64, revision: u64, digest: u64) -> ForceBeat {
    ForceBeat {
        stamp: BeatStamp { term, sequence },
        revision,
        digest,
        keys_opened: false,
    }
}

#[test]
fn an_older_snapshot_never_comes_back_into_force() {
    let states = history(5);
    let holder = StateHolder::new();
    assert!(holder.publish_snapshot(states[4].clone()).unwrap());
    for older in &states[..4] {
        assert!(!holder.publish_snapshot(older.clone()).unwrap());
        assert_eq!(holder.view().state.revision, 5);
    }
}

#[test]
fn changes_and_snapshots_agree_by_digest() {
    let states = history(20);
    let holder = StateHolder::new();
    for revision in 1..=20 {
        holder.publish_change(change(&states, revision)).unwrap();
    }
    assert_eq!(*holder.view().state, states[19]);
    let json = serde_json::to_vec(&states[19]).unwrap();
    let other = StateHolder::new();
    assert!(other.publish_snapshot_json(&json).unwrap());
    assert_eq!(*other.view().state, *holder.view().state);
}

#[test]
fn a_gap_or_a_wrong_digest_is_refused_and_changes_nothing() {
    let states = history(4);
    let holder = StateHolder::new();
    holder.publish_change(change(&states, 1)).unwrap();
    let gap = holder.publish_change(change(&states, 3)).unwrap_err();
    assert!(matches!(gap, HolderError::Gap(1, 3)), "{gap}");
    let mut wrong = change(&states, 2);
    wrong.digest ^= 1;
    let wrong = holder.publish_change(wrong).unwrap_err();
    assert!(matches!(wrong, HolderError::Digest(2)), "{wrong}");
    assert_eq!(*holder.view().state, states[0]);
}

#[test]
fn state_counts_as_confirmed_only_once_it_is_as_new_as_a_stamp() {
    let states = history(3);
    let now = Instant::now();
    let holder = StateHolder::new();
    holder.publish_snapshot(states[0].clone()).unwrap();
    assert!(!holder.view().confirmed);
    holder
        .publish_beat(now, beat(2, 7, 3, states[2].digest))
        .unwrap();
    assert!(!holder.view().confirmed, "two changes are missing");
    holder.publish_change(change(&states, 2)).unwrap();
    assert!(!holder.view().confirmed, "one change is missing");
    holder.publish_change(change(&states, 3)).unwrap();
    assert!(holder.view().confirmed);
}

#[test]
fn a_stamp_of_an_older_term_or_sequence_is_passed_over() {
    let states = history(1);
    let now = Instant::now();
    let holder = StateHolder::new();
    let publish = |term, sequence| {
        holder
            .publish_beat(now, beat(term, sequence, 1, states[0].digest))
            .unwrap()
    };
    let taken = [(2, 5), (2, 5), (2, 4), (1, 9), (2, 6), (3, 1), (2, 7)]
        .map(|(term, sequence)| publish(term, sequence));
    assert_eq!(taken, [true, false, false, false, true, true, false]);
}

#[test]
fn a_state_with_a_wrong_digest_is_forgotten_and_not_confirmed_by_older_state() {
    let states = history(3);
    let now = Instant::now();
    let holder = StateHolder::new();
    holder.publish_snapshot(states[2].clone()).unwrap();
    let error = holder.publish_beat(now, beat(1, 1, 3, states[2].digest ^ 1));
    assert!(matches!(error, Err(HolderError::Digest(3))));
    holder
        .publish_beat(now, beat(1, 2, 3, states[2].digest))
        .unwrap();
    holder.reset();
    assert!(!holder.view().confirmed);
    holder.publish_snapshot(states[1].clone()).unwrap();
    assert!(!holder.view().confirmed, "older than the stamp");
    holder.publish_snapshot(states[2].clone()).unwrap();
    assert!(holder.view().confirmed);
}

#[test]
fn changes_that_are_no_longer_kept_are_not_given_in_part() {
    let count = StateHolder::MAX_RECENT as u64 + 10;
    let states = history(count);
    let holder = StateHolder::new();
    for revision in 1..=count {
        holder.publish_change(change(&states, revision)).unwrap();
    }
    assert!(holder.changes_after(5).is_none());
    let after = holder.changes_after(count - 3).unwrap();
    let revisions: Vec<_> = after.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, [count - 2, count - 1, count]);
}
