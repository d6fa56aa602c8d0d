//! A leader's freshness stamps and shares never come from a state older than what was accepted.
#![allow(missing_docs, clippy::unwrap_used)]

mod lone_core;

use std::time::Duration;

use control::core::CoreAction;
use lone_core::{ticket, LoneCore, INCARNATION};
use quorum::entry::{EntryPayload, HardState, LogEntry, RecoveredState};

/// A folder with one accepted ticket in its log, which a restarted replica applies only once its
/// first entry as a leader is committed.
fn after_one_ticket() -> RecoveredState {
    let admit = EntryPayload::Admit {
        replica: 1,
        incarnation: INCARNATION,
    };
    let command = EntryPayload::Command(ticket(1).to_json());
    let entries = [(1, admit), (2, command)];
    let entries = entries.map(|(index, payload)| LogEntry {
        term: 1,
        index,
        payload,
    });
    RecoveredState {
        incarnation: INCARNATION,
        hard: HardState {
            term: 1,
            member: true,
            ..HardState::default()
        },
        entries: entries.to_vec(),
        ..RecoveredState::default()
    }
}

fn stamped(actions: &[CoreAction]) -> Vec<u64> {
    let beats = actions.iter().filter_map(|action| match action {
        CoreAction::Beat(beat) => Some(beat.revision),
        _ => None,
    });
    beats.collect()
}

#[test]
fn a_new_leader_stamps_nothing_before_it_has_applied_what_was_accepted_before_it() {
    let mut core = LoneCore::new(after_one_ticket());
    let mut last = None;
    for _ in 0..300 {
        core.now += Duration::from_millis(10);
        core.core.tick(core.now);
        let (token, actions) = core.actions();
        assert!(
            stamped(&actions).is_empty(),
            "stamped before the first commit of its term"
        );
        // The vote is synced, the first entry as a leader is not.
        match (token, last) {
            (Some(token), None) => {
                core.synced(token);
                last = Some(token);
            }
            (token, _) => last = token.or(last),
        }
    }
    core.synced(last.unwrap());
    let first = stamped(&core.run(Duration::from_millis(20)));
    assert_eq!(first, [1], "the first stamp comes at once");
    let stamps = stamped(&core.run(Duration::from_secs(1)));
    assert!(
        stamps.len() >= 3 && stamps.iter().all(|revision| *revision == 1),
        "{stamps:?}"
    );
}
