//! Updates that a holder applies, ignores or refuses, in different orders of arrival.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::time::Instant;

use feed::holder::{HolderError, StateHolder};
use feed::view::{HeartbeatStamp, LeaderHeartbeat};
use support::{change, history};

fn heartbeat(term: u64, sequence: u64, revision: u64, digest: u64) -> LeaderHeartbeat {
    LeaderHeartbeat {
        stamp: HeartbeatStamp { term, sequence },
        revision,
        digest,
        keys_opened: false,
    }
}

#[test]
fn an_older_snapshot_never_replaces_the_state() {
    let states = history(5);
    let holder = StateHolder::new();
    assert!(holder.publish_snapshot(states[4].clone()).unwrap());
    for older in &states[..4] {
        assert!(!holder.publish_snapshot(older.clone()).unwrap());
        assert_eq!(holder.view().state.revision, 5);
    }
}

#[test]
fn changes_and_a_snapshot_lead_to_the_same_state() {
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
fn a_change_after_a_gap_or_with_a_wrong_digest_is_refused_without_effect() {
    let states = history(4);
    let holder = StateHolder::new();
    holder.publish_change(change(&states, 1)).unwrap();
    let gap = holder.publish_change(change(&states, 3)).unwrap_err();
    assert!(matches!(gap, HolderError::Gap(1, 3)), "{gap}");
    let mut corrupt = change(&states, 2);
    corrupt.digest ^= 1;
    let mismatch = holder.publish_change(corrupt).unwrap_err();
    assert!(
        matches!(mismatch, HolderError::DigestMismatch(2)),
        "{mismatch}"
    );
    assert_eq!(*holder.view().state, states[0]);
}

#[test]
fn state_is_confirmed_only_once_it_is_as_new_as_the_heartbeat() {
    let states = history(3);
    let now = Instant::now();
    let holder = StateHolder::new();
    holder.publish_snapshot(states[0].clone()).unwrap();
    assert!(!holder.view().confirmed);
    holder
        .publish_heartbeat(now, heartbeat(2, 7, 3, states[2].digest))
        .unwrap();
    assert!(!holder.view().confirmed, "two changes are missing");
    holder.publish_change(change(&states, 2)).unwrap();
    assert!(!holder.view().confirmed, "one change is missing");
    holder.publish_change(change(&states, 3)).unwrap();
    assert!(holder.view().confirmed);
}

#[test]
fn a_heartbeat_with_an_older_term_or_sequence_is_ignored() {
    let states = history(1);
    let now = Instant::now();
    let holder = StateHolder::new();
    let publish = |term, sequence| {
        holder
            .publish_heartbeat(now, heartbeat(term, sequence, 1, states[0].digest))
            .unwrap()
    };
    let applied = [(2, 5), (2, 5), (2, 4), (1, 9), (2, 6), (3, 1), (2, 7)]
        .map(|(term, sequence)| publish(term, sequence));
    assert_eq!(applied, [true, false, false, false, true, true, false]);
}

#[test]
fn after_a_reset_only_state_as_new_as_the_heartbeat_is_confirmed() {
    let states = history(3);
    let now = Instant::now();
    let holder = StateHolder::new();
    holder.publish_snapshot(states[2].clone()).unwrap();
    let error = holder.publish_heartbeat(now, heartbeat(1, 1, 3, states[2].digest ^ 1));
    assert!(matches!(error, Err(HolderError::DigestMismatch(3))));
    holder
        .publish_heartbeat(now, heartbeat(1, 2, 3, states[2].digest))
        .unwrap();
    holder.reset();
    assert!(!holder.view().confirmed);
    holder.publish_snapshot(states[1].clone()).unwrap();
    assert!(
        !holder.view().confirmed,
        "the state is older than the heartbeat"
    );
    holder.publish_snapshot(states[2].clone()).unwrap();
    assert!(holder.view().confirmed);
}

#[test]
fn changes_are_not_returned_if_some_are_no_longer_kept() {
    let count = StateHolder::MAX_RECENT_CHANGES as u64 + 10;
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

/// A number of kept changes alone would let large tickets take hundreds of megabytes.
#[test]
fn the_kept_changes_are_bounded_in_bytes() {
    const TICKET_BYTES: usize = StateHolder::MAX_RECENT_BYTES / 4;
    let states = history(10);
    let holder = StateHolder::new();
    for revision in 1..=10 {
        let mut change = change(&states, revision);
        let mut ticket = change.ticket.to_vec();
        ticket.resize(TICKET_BYTES, b' ');
        change.ticket = ticket.into();
        holder.publish_change(change).unwrap();
    }
    assert!(holder.changes_after(5).is_none());
    assert_eq!(holder.changes_after(6).unwrap().len(), 4);
}
