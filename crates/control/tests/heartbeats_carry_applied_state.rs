//! A leader's heartbeats never carry the revision of a state that lacks an accepted ticket.
#![allow(missing_docs, clippy::unwrap_used)]

mod core_harness;

use std::time::Duration;

use control::core::CoreAction;
use core_harness::{ticket, CoreHarness, INCARNATION};
use quorum::entry::{EntryPayload, HardState, LogEntry, RecoveredState};

/// Returns the recovered state of a replica with one accepted ticket in its log. After the restart,
/// the replica applies the ticket only once its first entry as the leader is committed.
fn recovered_with_one_ticket() -> RecoveredState {
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
            settled_membership: 1,
            ..HardState::default()
        },
        entries: entries.to_vec(),
        ..RecoveredState::default()
    }
}

/// Returns the revisions in the heartbeats among some actions.
fn heartbeat_revisions(actions: &[CoreAction]) -> Vec<u64> {
    let revisions = actions.iter().filter_map(|action| match action {
        CoreAction::Heartbeat(heartbeat) => Some(heartbeat.revision),
        _ => None,
    });
    revisions.collect()
}

#[test]
fn a_new_leader_sends_no_heartbeat_before_it_has_applied_earlier_tickets() {
    let mut core = CoreHarness::new(recovered_with_one_ticket());
    let mut last = None;
    for _ in 0..300 {
        core.now += Duration::from_millis(10);
        core.core.tick(core.now);
        let (token, actions) = core.take_actions();
        assert!(
            heartbeat_revisions(&actions).is_empty(),
            "sent a heartbeat before the first commit of its term"
        );
        // Syncs the vote, but not yet the first entry as the leader.
        match (token, last) {
            (Some(token), None) => {
                core.report_synced(token);
                last = Some(token);
            }
            (token, _) => last = token.or(last),
        }
    }
    core.report_synced(last.unwrap());
    let first = heartbeat_revisions(&core.run(Duration::from_millis(20)));
    assert_eq!(first, [1], "the first heartbeat is sent immediately");
    let revisions = heartbeat_revisions(&core.run(Duration::from_secs(1)));
    assert!(
        revisions.len() >= 3 && revisions.iter().all(|revision| *revision == 1),
        "{revisions:?}"
    );
}
