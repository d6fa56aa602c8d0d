//! Commands that the replicated state accepts, refuses and ignores, and the updates of its change
//! log.
#![allow(missing_docs, clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use fleet::change::{ChangeLog, FleetChange, FleetUpdate, FleetView};
use fleet::command::{CommandOutcome, FleetCommand, SiteReplacement, ZoneOrder};
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
        let bytes = postcard::to_allocvec(&command).unwrap().len();
        let (outcome, changes) = self.state.apply(self.index, command);
        self.changes.append(self.index, changes, bytes);
        outcome
    }

    fn site(&mut self, version: u64, base: u64, document: &str) -> CommandOutcome {
        self.apply(FleetCommand::Replace(SiteReplacement {
            access: Arc::default(),
            version,
            base,
            document: document.as_bytes().to_vec(),
            site: Arc::new(SiteConfig::default()),
        }))
    }

    fn announce(&mut self, id: &str, born: u64, port: u16, state: ServerState) -> CommandOutcome {
        self.apply(FleetCommand::Announce(record(id, born, port, state).into()))
    }

    /// Returns an order for the only zone, taken by a replica that has applied all commands.
    fn order(&self) -> ZoneOrder {
        ZoneOrder {
            zone: "north-a".to_string(),
            follows: Some(self.state.latest_order("north-a")),
        }
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
#[case::version_above_zero(5, 0, "a", CommandOutcome::Accepted)]
#[case::unknown_base(5, 3, "a", CommandOutcome::Conflict)]
#[case::version_zero(0, 0, "a", CommandOutcome::OldVersion)]
fn a_first_configuration_needs_base_zero_and_a_version_above_it(
    #[case] version: u64,
    #[case] base: u64,
    #[case] document: &str,
    #[case] outcome: CommandOutcome,
) {
    assert_eq!(TestLog::default().site(version, base, document), outcome);
}

#[rstest]
#[case::next_version(9, 5, "c", CommandOutcome::Accepted, 9)]
#[case::exact_resend(5, 0, "a", CommandOutcome::Accepted, 5)]
#[case::same_version_other_document(5, 0, "b", CommandOutcome::Conflict, 5)]
#[case::same_version_on_the_current_base(5, 5, "b", CommandOutcome::OldVersion, 5)]
#[case::lower_version(4, 5, "b", CommandOutcome::OldVersion, 5)]
#[case::outdated_base(7, 0, "b", CommandOutcome::Conflict, 5)]
fn a_second_configuration_needs_the_current_base_and_a_higher_version(
    #[case] version: u64,
    #[case] base: u64,
    #[case] document: &str,
    #[case] outcome: CommandOutcome,
    #[case] version_in_force: u64,
) {
    let mut log = TestLog::default();
    log.site(5, 0, "a");
    assert_eq!(log.site(version, base, document), outcome);
    assert_eq!(log.version(), Some(version_in_force));
}

#[test]
fn a_resent_superseded_configuration_is_accepted_but_not_put_in_force() {
    let mut log = TestLog::default();
    log.site(5, 0, "a");
    log.site(9, 5, "b");
    assert_eq!(log.site(5, 0, "a"), CommandOutcome::Accepted);
    assert_eq!(log.version(), Some(9));
}

#[test]
fn digests_are_kept_of_the_latest_configurations_only() {
    const KEPT: u64 = 8_192;
    let mut log = TestLog::default();
    for version in 1..=KEPT + 1 {
        let outcome = log.site(version, version - 1, &version.to_string());
        assert_eq!(outcome, CommandOutcome::Accepted);
    }
    assert_eq!(log.site(2, 1, "2"), CommandOutcome::Accepted);
    assert_eq!(log.site(1, 0, "1"), CommandOutcome::Conflict);
    assert_eq!(log.version(), Some(KEPT + 1));
}

/// An announcement that was delayed on its way arrives after its server was replaced at its address and
/// the successor has left.
#[test]
fn a_replaced_server_does_not_return_after_its_successor_left() {
    let mut log = TestLog::default();
    log.announce("old", 10, 80, ServerState::Ready);
    log.announce("new", 20, 80, ServerState::Ready);
    log.apply(FleetCommand::Leave {
        id: "new".to_string(),
        born: Some(20),
    });
    let late = log.announce("old", 10, 80, ServerState::Ready);
    assert_eq!(late, CommandOutcome::Unchanged);
    assert!(log.state.server("old").is_none());
}

#[test]
fn draining_is_final_within_one_incarnation() {
    let mut log = TestLog::default();
    log.announce("s1", 10, 80, ServerState::Ready);
    log.announce("s1", 10, 80, ServerState::Draining);
    let late = log.announce("s1", 10, 80, ServerState::Ready);
    assert_eq!(late, CommandOutcome::Unchanged);
    let state = log.state.server("s1").unwrap().state;
    assert_eq!(state, ServerState::Draining);
}

#[test]
fn a_new_incarnation_under_the_same_id_is_ready_again() {
    let mut log = TestLog::default();
    log.announce("s1", 10, 80, ServerState::Draining);
    log.announce("s1", 20, 80, ServerState::Ready);
    let server = log.state.server("s1").unwrap();
    assert_eq!((server.born, server.state), (20, ServerState::Ready));
}

#[rstest]
#[case::earlier_incarnation(9, 80)]
#[case::incarnation_that_left(10, 80)]
fn a_late_announcement_after_a_leave_changes_nothing(#[case] born: u64, #[case] port: u16) {
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
fn a_late_leave_of_an_earlier_incarnation_changes_nothing() {
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
fn a_server_that_started_later_replaces_another_at_its_address() {
    let mut log = TestLog::default();
    log.announce("old", 10, 80, ServerState::Ready);
    log.announce("new", 20, 80, ServerState::Ready);
    assert!(log.state.server("old").is_none());
    let late = log.announce("old", 10, 80, ServerState::Ready);
    assert_eq!(late, CommandOutcome::Unchanged);
    assert!(log.state.server("new").is_some());
}

#[test]
fn an_expired_server_is_added_again_by_an_announcement() {
    let mut log = TestLog::default();
    log.announce("s1", 10, 80, ServerState::Ready);
    log.apply(FleetCommand::Expire(vec![("s1".to_string(), 10)]));
    assert!(log.state.server("s1").is_none());
    log.announce("s1", 10, 80, ServerState::Ready);
    assert!(log.state.server("s1").is_some());
}

#[test]
fn repeated_evacuations_and_readmissions_are_accepted() {
    let mut log = TestLog::default();
    for _ in 0..2 {
        let order = log.order();
        assert_eq!(
            log.apply(FleetCommand::Evacuate(order)),
            CommandOutcome::Accepted
        );
    }
    assert_eq!(log.state.evacuated().count(), 1);
    for _ in 0..2 {
        let order = log.order();
        assert_eq!(
            log.apply(FleetCommand::Readmit(order)),
            CommandOutcome::Accepted
        );
    }
    assert_eq!(log.state.evacuated().count(), 0);
}

/// An order that a partition held up on its way to the leader undid a later one that was acknowledged.
#[test]
fn a_late_order_does_not_undo_a_later_one() {
    let mut log = TestLog::default();
    let late_begin = log.order();
    let order = log.order();
    log.apply(FleetCommand::Evacuate(order));
    let late_finish = log.order();
    let order = log.order();
    log.apply(FleetCommand::Readmit(order));
    let outcome = log.apply(FleetCommand::Evacuate(late_begin));
    assert_eq!(outcome, CommandOutcome::Superseded);
    assert_eq!(log.state.evacuated().count(), 0);
    let order = log.order();
    log.apply(FleetCommand::Evacuate(order));
    let outcome = log.apply(FleetCommand::Readmit(late_finish));
    assert_eq!(outcome, CommandOutcome::Superseded);
    assert_eq!(log.state.evacuated().count(), 1);
}

/// Orders in the logs of earlier versions don't tell what they follow.
#[test]
fn an_order_of_an_earlier_version_follows_any_order() {
    let mut log = TestLog::default();
    let early = ZoneOrder {
        follows: None,
        ..log.order()
    };
    log.apply(FleetCommand::Evacuate(early.clone()));
    log.apply(FleetCommand::Readmit(early.clone()));
    assert_eq!(
        log.apply(FleetCommand::Evacuate(early)),
        CommandOutcome::Accepted
    );
    assert_eq!(log.state.evacuated().count(), 1);
}

#[test]
fn an_update_from_any_revision_gives_the_latest_view() {
    let mut log = TestLog::default();
    let mut views = vec![FleetView::of(&log.state)];
    log.site(5, 0, "a");
    views.push(FleetView::of(&log.state));
    log.announce("s1", 10, 80, ServerState::Ready);
    views.push(FleetView::of(&log.state));
    let order = log.order();
    log.apply(FleetCommand::Evacuate(order));
    log.announce("s2", 20, 80, ServerState::Ready);
    log.site(6, 5, "b");
    let latest = FleetView::of(&log.state);
    for mut view in views {
        match log.changes.update_since(view.revision) {
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
fn a_revision_that_the_change_log_no_longer_covers_has_no_update() {
    let mut changes = ChangeLog::new(0);
    for index in 1..=ChangeLog::MAX_CHANGES as u64 + 2 {
        let change = FleetChange::ServerGone(index.to_string());
        changes.append(index, vec![change], 16);
    }
    assert_eq!(changes.update_since(0), None);
    assert_eq!(
        changes.update_since(changes.latest_revision()),
        Some(FleetUpdate::Current)
    );
    assert_eq!(changes.update_since(changes.latest_revision() + 1), None);
}

/// A change log that is bounded by count alone keeps each of hundreds of large configurations in full.
#[test]
fn the_change_log_keeps_only_the_latest_configuration() {
    let mut log = TestLog::default();
    let document = "x".repeat(ChangeLog::MAX_BYTES / 4);
    log.announce("a", 1, 80, ServerState::Ready);
    for version in 1..=40 {
        log.site(version, version - 1, &document);
    }
    let Some(FleetUpdate::Changes { changes, .. }) = log.changes.update_since(1) else {
        panic!("the change log doesn't cover the first configuration");
    };
    let versions: Vec<_> = changes
        .iter()
        .filter_map(|change| match change {
            FleetChange::Site { version, .. } => Some(*version),
            _ => None,
        })
        .collect();
    assert_eq!(versions, [40]);
}

#[test]
fn the_change_log_is_bounded_in_bytes() {
    let mut changes = ChangeLog::new(0);
    let command_bytes = ChangeLog::MAX_BYTES / 8;
    for index in 1..=20 {
        changes.append(
            index,
            vec![FleetChange::Evacuated(index.to_string())],
            command_bytes,
        );
    }
    assert_eq!(changes.update_since(11), None);
    let Some(FleetUpdate::Changes { changes, .. }) = changes.update_since(12) else {
        panic!("the change log doesn't cover what fits its bound");
    };
    assert_eq!(changes.len(), 8);
}

/// A configuration above the bound drove all other changes out, so that each host got the whole state.
#[test]
fn a_large_configuration_leaves_the_other_changes_in_the_log() {
    let mut log = TestLog::default();
    log.announce("a", 1, 80, ServerState::Ready);
    log.site(1, 0, &"x".repeat(ChangeLog::MAX_BYTES));
    log.announce("b", 2, 81, ServerState::Ready);
    for revision in 0..3 {
        let update = log.changes.update_since(revision);
        assert!(
            matches!(update, Some(FleetUpdate::Changes { .. })),
            "{update:?}"
        );
    }
}
