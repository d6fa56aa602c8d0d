//! What the replicated state takes, refuses and passes over.
#![allow(missing_docs, clippy::unwrap_used)]

use std::time::Duration;

use fleet::change::{ChangeLog, FleetChange, FleetUpdate, FleetView};
use fleet::command::{CommandOutcome, FleetCommand, SiteOrder};
use fleet::server::{ServerRecord, ServerState};
use fleet::site::SiteConfig;
use fleet::state::FleetState;
use rstest::rstest;

#[derive(Default)]
struct TestLog {
    state: FleetState,
    changes: ChangeLog,
    index: u64,
}

impl TestLog {
    fn apply(&mut self, command: FleetCommand) -> CommandOutcome {
        self.index += 1;
        let (outcome, changes) = self.state.apply(self.index, command);
        self.changes.append(self.index, changes);
        outcome
    }

    fn site(&mut self, version: u64, base: u64, document: &str) -> CommandOutcome {
        self.apply(FleetCommand::Replace(SiteOrder {
            version,
            base,
            document: document.as_bytes().to_vec(),
            site: SiteConfig::default(),
        }))
    }

    fn announce(&mut self, id: &str, born: u64, port: u16, state: ServerState) -> CommandOutcome {
        self.apply(FleetCommand::Announce(record(id, born, port, state)))
    }

    fn version(&self) -> Option<u64> {
        self.state.site().map(|site| site.version)
    }
}

fn record(id: &str, born: u64, port: u16, state: ServerState) -> ServerRecord {
    ServerRecord {
        id: id.to_string(),
        born,
        service: "reads".to_string(),
        address: format!("10.0.0.1:{port}").parse().unwrap(),
        zone: "north-a".to_string(),
        version: "v1".to_string(),
        slots: 4,
        state,
        cold: Duration::ZERO,
    }
}

#[rstest]
#[case::first(5, 0, "a", CommandOutcome::Accepted)]
#[case::first_on_unknown_base(5, 3, "a", CommandOutcome::Conflict)]
#[case::number_zero(0, 0, "a", CommandOutcome::OldVersion)]
fn first_configuration(
    #[case] version: u64,
    #[case] base: u64,
    #[case] document: &str,
    #[case] outcome: CommandOutcome,
) {
    assert_eq!(TestLog::default().site(version, base, document), outcome);
}

#[rstest]
#[case::next(9, 5, "c", CommandOutcome::Accepted, 9)]
#[case::exact_resend(5, 0, "a", CommandOutcome::Accepted, 5)]
#[case::same_number_other_content(5, 0, "b", CommandOutcome::Conflict, 5)]
#[case::same_number_on_the_current_one(5, 5, "b", CommandOutcome::OldVersion, 5)]
#[case::lower_number(4, 5, "b", CommandOutcome::OldVersion, 5)]
#[case::lost_race(7, 0, "b", CommandOutcome::Conflict, 5)]
fn second_configuration(
    #[case] version: u64,
    #[case] base: u64,
    #[case] document: &str,
    #[case] outcome: CommandOutcome,
    #[case] in_force: u64,
) {
    let mut log = TestLog::default();
    log.site(5, 0, "a");
    assert_eq!(log.site(version, base, document), outcome);
    assert_eq!(log.version(), Some(in_force));
}

#[test]
fn a_superseded_configuration_is_acknowledged_again_and_stays_superseded() {
    let mut log = TestLog::default();
    log.site(5, 0, "a");
    log.site(9, 5, "b");
    assert_eq!(log.site(5, 0, "a"), CommandOutcome::Accepted);
    assert_eq!(log.version(), Some(9));
}

#[test]
fn leaving_is_final_within_one_life() {
    let mut log = TestLog::default();
    log.announce("s1", 10, 80, ServerState::Ready);
    log.announce("s1", 10, 80, ServerState::Draining);
    let late = log.announce("s1", 10, 80, ServerState::Ready);
    assert_eq!(late, CommandOutcome::Unchanged);
    let state = log.state.server("s1").unwrap().state;
    assert_eq!(state, ServerState::Draining);
}

#[test]
fn a_new_life_under_the_same_id_is_ready_again() {
    let mut log = TestLog::default();
    log.announce("s1", 10, 80, ServerState::Draining);
    log.announce("s1", 20, 80, ServerState::Ready);
    let server = log.state.server("s1").unwrap();
    assert_eq!((server.born, server.state), (20, ServerState::Ready));
}

#[rstest]
#[case::former_life(9, 80)]
#[case::ended_life(10, 80)]
fn a_late_announcement_of_an_ended_life_changes_nothing(#[case] born: u64, #[case] port: u16) {
    let mut log = TestLog::default();
    log.announce("s1", 10, 80, ServerState::Ready);
    let leave = FleetCommand::Leave {
        id: "s1".to_string(),
        born: None,
    };
    assert_eq!(log.apply(leave), CommandOutcome::Accepted);
    let late = log.announce("s1", born, port, ServerState::Ready);
    assert_eq!(late, CommandOutcome::Unchanged);
    assert!(log.state.server("s1").is_none());
}

#[test]
fn a_late_leave_of_a_former_life_changes_nothing() {
    let mut log = TestLog::default();
    log.announce("s1", 20, 80, ServerState::Ready);
    let leave = FleetCommand::Leave {
        id: "s1".to_string(),
        born: Some(10),
    };
    assert_eq!(log.apply(leave), CommandOutcome::Unchanged);
    assert!(log.state.server("s1").is_some());
}

#[test]
fn a_younger_server_takes_over_an_address() {
    let mut log = TestLog::default();
    log.announce("old", 10, 80, ServerState::Ready);
    log.announce("new", 20, 80, ServerState::Ready);
    assert!(log.state.server("old").is_none());
    let late = log.announce("old", 10, 80, ServerState::Ready);
    assert_eq!(late, CommandOutcome::Unchanged);
    assert!(log.state.server("new").is_some());
}

#[test]
fn an_expired_server_may_come_back() {
    let mut log = TestLog::default();
    log.announce("s1", 10, 80, ServerState::Ready);
    log.apply(FleetCommand::Expire(vec![("s1".to_string(), 10)]));
    assert!(log.state.server("s1").is_none());
    log.announce("s1", 10, 80, ServerState::Ready);
    assert!(log.state.server("s1").is_some());
}

#[test]
fn evacuations_may_be_repeated() {
    let mut log = TestLog::default();
    for _ in 0..2 {
        let begin = FleetCommand::Evacuate("north-a".to_string());
        assert_eq!(log.apply(begin), CommandOutcome::Accepted);
    }
    assert_eq!(log.state.evacuated().count(), 1);
    for _ in 0..2 {
        let finish = FleetCommand::Readmit("north-a".to_string());
        assert_eq!(log.apply(finish), CommandOutcome::Accepted);
    }
    assert_eq!(log.state.evacuated().count(), 0);
}

/// A follower that takes every update ends with the view of the state, from any revision.
#[test]
fn a_follower_ends_with_the_view_of_the_state() {
    let mut log = TestLog::default();
    let mut views = vec![FleetView::of(&log.state)];
    log.site(5, 0, "a");
    views.push(FleetView::of(&log.state));
    log.announce("s1", 10, 80, ServerState::Ready);
    views.push(FleetView::of(&log.state));
    log.apply(FleetCommand::Evacuate("north-a".to_string()));
    log.announce("s2", 20, 80, ServerState::Ready);
    log.site(6, 5, "b");
    let latest = FleetView::of(&log.state);
    for mut view in views {
        match log.changes.since(view.revision) {
            Some(FleetUpdate::Changes { revision, changes }) => {
                changes.into_iter().for_each(|change| view.apply(change));
                view.revision = revision;
            }
            other => panic!("{other:?}"),
        }
        assert_eq!(view, latest);
    }
}

#[test]
fn a_follower_that_lags_far_needs_the_whole_view() {
    let mut changes = ChangeLog::new(0);
    for index in 1..=ChangeLog::MAX_CHANGES as u64 + 2 {
        changes.append(index, vec![FleetChange::ServerGone(index.to_string())]);
    }
    assert_eq!(changes.since(0), None);
    assert_eq!(changes.since(changes.last()), Some(FleetUpdate::Current));
    assert_eq!(changes.since(changes.last() + 1), None);
}
