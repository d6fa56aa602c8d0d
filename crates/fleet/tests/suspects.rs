//! Evidence on requests during whose runs servers ended, and the quarantine in the replicated state.
#![allow(missing_docs, clippy::unwrap_used)]

use std::time::{Duration, Instant};

use fleet::change::{FleetChange, FleetView};
use fleet::command::{CommandOutcome, FleetCommand};
use fleet::hint::ServerIncarnation;
use fleet::state::FleetState;
use fleet::suspect::{RunEvidence, SuspectTable};

fn server(number: u64) -> ServerIncarnation {
    ServerIncarnation {
        id: format!("s{number}"),
        born: 1,
    }
}

fn ended(number: u64) -> RunEvidence {
    RunEvidence::ServerEnded(server(number))
}

#[test]
fn an_answer_clears_a_request_of_what_was_before() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let mut table = SuspectTable::default();
    assert!(table.record(at(5), 1, &ended(1), at(1)));
    assert!(!table.record(at(5), 1, &ended(1), at(2)));
    assert!(table.record(at(5), 1, &ended(3), at(3)));
    assert!(table.record(at(5), 1, &RunEvidence::Answered, at(2)));
    assert_eq!(table.ended(at(5), 1).count(), 1);
    assert!(!table.is_cleared(1));
    assert!(table.record(at(5), 1, &RunEvidence::Answered, at(4)));
    assert!(table.is_cleared(1));
    // Evidence of before the answer comes late.
    assert!(!table.record(at(5), 1, &ended(4), at(3)));
}

#[test]
fn the_requests_that_are_remembered_are_bounded_and_those_with_most_evidence_stay() {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    for number in 0..3 {
        table.record(now, 1, &ended(number), now);
    }
    for request in 2..20_000 {
        table.record(now, request, &ended(1), now);
    }
    assert!(table.len() <= 4_096, "{}", table.len());
    assert_eq!(table.ended(now, 1).count(), 3);
    for number in 0..1_000 {
        table.record(now, 1, &ended(number), now);
    }
    assert_eq!(table.ended(now, 1).count(), 16);
}

fn quarantine(request: u128, servers: std::ops::Range<u64>) -> FleetCommand {
    FleetCommand::Quarantine {
        request,
        ended: servers.map(server).collect(),
    }
}

#[test]
fn a_quarantine_counts_each_server_once_and_ends_by_its_release() {
    let mut state = FleetState::new();
    let (_, changes) = state.apply(1, quarantine(1, 0..3));
    let quarantined = |crashes| FleetChange::Quarantined {
        request: 1,
        crashes,
    };
    assert_eq!(changes, [quarantined(3)]);
    let (outcome, changes) = state.apply(2, quarantine(1, 0..3));
    assert_eq!((outcome, changes.len()), (CommandOutcome::Unchanged, 0));
    let (_, changes) = state.apply(3, quarantine(1, 2..5));
    assert_eq!(changes, [quarantined(5)]);
    assert_eq!(FleetView::of(&state).quarantined.get(&1), Some(&5));
    let (_, changes) = state.apply(4, FleetCommand::Release(1));
    assert_eq!(changes, [FleetChange::Released(1)]);
    assert!(state.quarantined(1).is_none());
    let (outcome, _) = state.apply(5, FleetCommand::Release(1));
    assert_eq!(outcome, CommandOutcome::Unchanged);
}

#[test]
fn the_quarantined_requests_are_bounded() {
    let mut state = FleetState::new();
    let mut view = FleetView::default();
    for request in 0..3_000_u128 {
        let (_, changes) = state.apply(request as u64 + 1, quarantine(request, 0..3));
        for change in changes {
            view.apply(change);
        }
    }
    assert_eq!(state.quarantined_requests().count(), 1_024);
    assert!(state.quarantined(2_999).is_some());
    assert_eq!(view.quarantined, state.quarantined_requests().collect());
}
