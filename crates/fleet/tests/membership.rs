//! Which announcements and leave calls list, replace or remove a backend server.
#![allow(missing_docs, clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use fleet::command::{CommandOutcome, FleetCommand, SiteReplacement};
use fleet::hint::ServerIncarnation;
use fleet::server::{ServerAnnouncement, ServerRecord, ServerState};
use fleet::site::{ServiceSpec, SiteConfig};
use fleet::state::FleetState;
use rstest::rstest;

/// State after commands that are applied one by one.
#[derive(Default)]
struct TestState {
    state: FleetState,
    index: u64,
}

impl TestState {
    /// Creates the state after a configuration that names the service `reads`.
    fn configured() -> Self {
        let mut state = Self::default();
        state.configure(1);
        state
    }

    fn configure(&mut self, version: u64) {
        let site = SiteConfig {
            services: vec![ServiceSpec {
                name: "reads".to_string(),
                health_path: "/health".to_string(),
                max_connections: 10,
                cold_period: Duration::ZERO,
                cold_rate: 1.0,
            }],
            ..SiteConfig::default()
        };
        let outcome = self.apply(FleetCommand::Replace(SiteReplacement {
            version,
            base: version - 1,
            document: Vec::new(),
            site: Arc::new(site),
            access: Arc::default(),
        }));
        assert_eq!(outcome, CommandOutcome::Accepted);
    }

    fn apply(&mut self, command: FleetCommand) -> CommandOutcome {
        self.index += 1;
        self.state.apply(self.index, command).0
    }

    fn announce(&mut self, record: ServerRecord) -> CommandOutcome {
        self.apply(FleetCommand::Announce(record.into()))
    }

    /// Announces the server `s1` with the number of the call.
    fn call(&mut self, sequence: u64, state: ServerState) -> CommandOutcome {
        let record = ServerRecord {
            state,
            ..record("s1", 20, "reads")
        };
        self.apply(FleetCommand::Announce(ServerAnnouncement {
            sequence,
            ..record.into()
        }))
    }

    fn leave(&mut self, born: Option<u64>) -> CommandOutcome {
        let id = "s1".to_string();
        self.apply(FleetCommand::Leave { id, born })
    }

    fn expire(&mut self) {
        self.apply(FleetCommand::Expire(vec![("s1".to_string(), 20)]));
        assert!(self.listed().is_empty());
    }

    /// Returns the ids, start times and services of the listed servers.
    fn listed(&self) -> Vec<(&str, u64, &str)> {
        let servers = self.state.servers();
        servers
            .map(|server| (server.id.as_str(), server.born, server.service.as_str()))
            .collect()
    }
}

/// Returns the record of a server at the only address of these tests.
fn record(id: &str, born: u64, service: &str) -> ServerRecord {
    ServerRecord {
        id: id.to_string(),
        born,
        service: service.to_string(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "north-a".to_string(),
        version: "v1".to_string(),
        slots: 4,
        state: ServerState::Ready,
        cold: Duration::ZERO,
    }
}

/// A record of another writer, for a service that no configuration names, kept an address against the server
/// that started there.
#[rstest]
#[case::under_another_id("other", 10)]
#[case::that_started_later("other", 30)]
#[case::under_the_same_id("s1", 10)]
#[case::under_the_same_id_that_started_later("s1", 30)]
fn a_record_of_an_unnamed_service_yields_to_a_server(#[case] id: &str, #[case] born: u64) {
    let mut state = TestState::configured();
    state.announce(record(id, born, "elsewhere"));
    let outcome = state.announce(record("s1", 20, "reads"));
    assert_eq!(outcome, CommandOutcome::Accepted);
    assert_eq!(state.listed(), [("s1", 20, "reads")]);
}

/// A record of another writer with the id and the address of a server took the server out of use.
#[rstest]
#[case::under_another_id("other", 30)]
#[case::under_the_same_id("s1", 30)]
#[case::of_the_same_incarnation("s1", 20)]
fn a_record_of_an_unnamed_service_replaces_no_server(#[case] id: &str, #[case] born: u64) {
    let mut state = TestState::configured();
    state.announce(record("s1", 20, "reads"));
    let outcome = state.announce(record(id, born, "elsewhere"));
    assert_eq!(outcome, CommandOutcome::Contested);
    assert_eq!(state.listed(), [("s1", 20, "reads")]);
}

/// Before the first configuration nothing tells other writers from servers, so their records are kept; they
/// must not outlast it.
#[test]
fn a_record_from_before_the_first_configuration_yields_after_it() {
    let mut state = TestState::default();
    state.announce(record("s1", 20, "reads"));
    state.announce(record("s1", 30, "elsewhere"));
    assert_eq!(state.listed(), [("s1", 30, "elsewhere")]);
    state.configure(1);
    state.announce(record("s1", 20, "reads"));
    assert_eq!(state.listed(), [("s1", 20, "reads")]);
}

/// The leave of a server that had been removed as silent was acknowledged and forgotten, and a heartbeat that a
/// partition had held up listed the server again.
#[test]
fn the_leave_of_a_server_that_was_removed_as_silent_is_remembered() {
    let mut state = TestState::configured();
    state.call(5, ServerState::Ready);
    state.expire();
    assert_eq!(state.leave(None), CommandOutcome::Unchanged);
    assert_eq!(state.call(6, ServerState::Ready), CommandOutcome::Returning);
    assert!(state.listed().is_empty());
}

/// A server that drained, was removed as silent and announced itself again was ready again, as its record was all
/// that told of the draining.
#[test]
fn draining_is_final_also_after_the_server_was_removed_as_silent() {
    let mut state = TestState::configured();
    state.call(5, ServerState::Ready);
    state.call(6, ServerState::Draining);
    state.expire();
    state.call(4, ServerState::Ready);
    assert!(state.listed().is_empty());
    state.call(7, ServerState::Ready);
    let server = state.state.server("s1").unwrap();
    assert_eq!(server.state, ServerState::Draining);
}

/// A late heartbeat of an incarnation that had ended listed it again after the next one had been removed as silent.
#[test]
fn an_earlier_incarnation_is_not_listed_after_a_later_one_was_removed() {
    let mut state = TestState::configured();
    state.call(1, ServerState::Ready);
    state.expire();
    let outcome = state.announce(record("s1", 10, "reads"));
    assert_eq!(outcome, CommandOutcome::Unchanged);
    assert!(state.listed().is_empty());
}

/// A late heartbeat put the record of before back in place.
#[test]
fn a_late_call_does_not_undo_a_later_one() {
    let mut state = TestState::configured();
    let call = |sequence, slots| {
        let record = ServerRecord {
            slots,
            ..record("s1", 20, "reads")
        };
        FleetCommand::Announce(ServerAnnouncement {
            sequence,
            ..record.into()
        })
    };
    state.apply(call(1, 4));
    state.apply(call(3, 8));
    assert_eq!(state.apply(call(2, 4)), CommandOutcome::Unchanged);
    assert_eq!(state.state.server("s1").unwrap().slots, 8);
}

/// An acknowledged draining must hold whatever arrived before it.
#[test]
fn draining_is_taken_from_a_late_call_too() {
    let mut state = TestState::configured();
    state.call(5, ServerState::Ready);
    assert_eq!(
        state.call(4, ServerState::Draining),
        CommandOutcome::Accepted
    );
    let server = state.state.server("s1").unwrap();
    assert_eq!(server.state, ServerState::Draining);
}

/// Servers of other implementations give no start time, so the calls of an incarnation can't be told from those of
/// the next one, which are numbered from the start again.
#[test]
fn calls_of_a_server_without_a_start_time_are_not_ordered() {
    let mut state = TestState::configured();
    let call = |sequence, slots| {
        let record = ServerRecord {
            slots,
            ..record("s1", 0, "reads")
        };
        FleetCommand::Announce(ServerAnnouncement {
            sequence,
            ..record.into()
        })
    };
    state.apply(call(500, 4));
    assert_eq!(state.apply(call(1, 8)), CommandOutcome::Accepted);
}

/// Each removed server left a trace for good.
#[test]
fn the_calls_of_unlisted_servers_are_bounded() {
    const KEPT: u64 = 4_096;
    let mut state = TestState::configured();
    for number in 0..KEPT + 100 {
        let id = format!("s{number}");
        state.announce(record(&id, 20, "reads"));
        state.apply(FleetCommand::Expire(vec![(id, 20)]));
    }
    let bytes = postcard::to_allocvec(&state.state).unwrap().len();
    assert!(bytes < 200_000, "{bytes}");
    state.apply(FleetCommand::Leave {
        id: "s4195".to_string(),
        born: None,
    });
    state.announce(record("s4195", 20, "reads"));
    assert!(state.listed().is_empty());
}

/// Announcements that can be late ones: one call in flight to each of five control replicas.
const LATE_ANNOUNCEMENTS: u64 = 5;

/// A leave that a partition held up removed the next incarnation of the server for good: it gives no start time, and
/// all further announcements of that incarnation counted as late ones.
#[test]
fn a_server_that_announces_itself_on_after_a_late_leave_is_listed_again() {
    let mut state = TestState::configured();
    state.announce(record("s1", 10, "reads"));
    state.call(1, ServerState::Ready);
    assert_eq!(state.leave(None), CommandOutcome::Accepted);
    for sequence in 2..2 + LATE_ANNOUNCEMENTS {
        let outcome = state.call(sequence, ServerState::Ready);
        assert_eq!(outcome, CommandOutcome::Returning);
        assert!(state.listed().is_empty());
    }
    let outcome = state.call(2 + LATE_ANNOUNCEMENTS, ServerState::Ready);
    assert_eq!(outcome, CommandOutcome::Accepted);
    assert_eq!(state.listed(), [("s1", 20, "reads")]);
}

/// Announcements from before a leave that arrive again, or after later ones, show nothing.
#[test]
fn repeated_and_reordered_announcements_after_a_leave_do_not_list_a_server() {
    let mut state = TestState::configured();
    state.call(3, ServerState::Ready);
    state.leave(None);
    for _ in 0..10 {
        for sequence in 1..=LATE_ANNOUNCEMENTS + 3 {
            state.call(sequence, ServerState::Ready);
        }
    }
    assert!(state.listed().is_empty());
}

/// The announcements between two leaves come from before the second one.
#[test]
fn announcements_are_counted_from_the_latest_leave_on() {
    let mut state = TestState::configured();
    state.call(1, ServerState::Ready);
    for number in 0..3 {
        state.leave(None);
        let first = 2 + number * LATE_ANNOUNCEMENTS;
        for sequence in first..first + LATE_ANNOUNCEMENTS {
            state.call(sequence, ServerState::Ready);
        }
        assert!(state.listed().is_empty());
    }
}

/// A server whose announcements never arrived has left, and one of them arrives late.
#[test]
fn the_leave_of_a_server_that_never_announced_itself_is_remembered() {
    let mut state = TestState::configured();
    assert_eq!(state.leave(None), CommandOutcome::Unchanged);
    for sequence in 1..=LATE_ANNOUNCEMENTS {
        state.call(sequence, ServerState::Ready);
        assert!(state.listed().is_empty());
    }
    state.call(LATE_ANNOUNCEMENTS + 1, ServerState::Ready);
    assert_eq!(state.listed(), [("s1", 20, "reads")]);
}

/// A later incarnation than the one that left has nothing to prove.
#[test]
fn a_restart_after_a_leave_is_listed_at_once() {
    let mut state = TestState::configured();
    state.announce(record("s1", 10, "reads"));
    state.leave(None);
    assert_eq!(state.call(1, ServerState::Ready), CommandOutcome::Accepted);
    assert_eq!(state.listed(), [("s1", 20, "reads")]);
}

/// Draining is final within an incarnation, also if it returns.
#[test]
fn a_draining_server_returns_as_draining() {
    let mut state = TestState::configured();
    state.call(1, ServerState::Draining);
    state.leave(None);
    for sequence in 2..=2 + LATE_ANNOUNCEMENTS {
        state.call(sequence, ServerState::Ready);
    }
    let server = state.state.server("s1").unwrap();
    assert_eq!(server.state, ServerState::Draining);
}

/// A replica that lagged behind the leader judged a claim by its own copy of the state, in which the server wasn't
/// listed yet, and the claim replaced it when it was committed.
#[rstest]
#[case::silent(vec![incarnation("s1", 20)], CommandOutcome::Accepted)]
#[case::announcing_or_unknown_to_the_replica(vec![], CommandOutcome::Contested)]
#[case::an_earlier_incarnation_was_silent(vec![incarnation("s1", 10)], CommandOutcome::Contested)]
fn an_announcement_replaces_only_a_server_that_its_replica_saw_fall_silent(
    #[case] silent: Vec<ServerIncarnation>,
    #[case] outcome: CommandOutcome,
) {
    let mut state = TestState::configured();
    state.call(1, ServerState::Ready);
    let claim = ServerAnnouncement {
        silent: Some(silent),
        ..record("s2", 30, "reads").into()
    };
    assert_eq!(state.apply(FleetCommand::Announce(claim)), outcome);
    let is_replaced = outcome == CommandOutcome::Accepted;
    assert_eq!(state.state.server("s1").is_none(), is_replaced);
}

fn incarnation(id: &str, born: u64) -> ServerIncarnation {
    let id = id.to_string();
    ServerIncarnation { id, born }
}
