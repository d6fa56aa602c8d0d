//! Detection of backend servers that answer no entry host.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use director::evidence::ServerEvidence;
use director::index::ServerIndex;
use director::message::{FollowRequest, GossipReport, LoadSum, ReporterHash};
use director::outages::OutageTable;
use fleet::command::FleetCommand;
use fleet::hint::{HintKind, ServerHint, ServerIncarnation};
use fleet::state::FleetState;
use rstest::rstest;

fn server(born: u64) -> ServerIncarnation {
    ServerIncarnation {
        id: "s1".to_string(),
        born,
    }
}

/// Time from the first report until a server counts as unresponsive.
const CONFIRMATION_TIME: Duration = Duration::from_millis(800);

fn report_twice(table: &mut OutageTable, now: Instant, server: &ServerIncarnation) {
    table.record_unanswered(now, server, 1);
    table.record_unanswered(now, server, 2);
}

fn is_unresponsive(table: &OutageTable, now: Instant) -> bool {
    !table.current(now).is_empty()
}

/// What happens at a millisecond: a host reports an unanswered attempt, or an answer.
#[derive(Debug, Clone, Copy)]
enum Report {
    Unanswered(u64, ReporterHash),
    Answer(u64),
}

#[rstest]
#[case::one_host(&[Report::Unanswered(0, 1), Report::Unanswered(900, 1)], false)]
#[case::two_hosts(&[Report::Unanswered(0, 1), Report::Unanswered(800, 2)], true)]
#[case::answer_in_between(
    &[Report::Unanswered(0, 1), Report::Answer(500), Report::Unanswered(900, 2)],
    false
)]
#[case::too_far_apart(&[Report::Unanswered(0, 1), Report::Unanswered(3_000, 2)], false)]
#[case::answer_afterwards(
    &[Report::Unanswered(0, 1), Report::Unanswered(500, 2), Report::Answer(900)],
    false
)]
#[case::not_confirmed_yet(&[Report::Unanswered(0, 1), Report::Unanswered(700, 2)], false)]
fn a_server_is_unresponsive_if_several_hosts_and_no_answer_say_so(
    #[case] reports: &[Report],
    #[case] unresponsive: bool,
) {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut table = OutageTable::default();
    let mut latest = 0;
    for report in reports {
        match report {
            Report::Unanswered(ms, host) => {
                table.record_unanswered(at(*ms), &server(1), *host);
                latest = *ms;
            }
            Report::Answer(ms) => {
                table.record_answer(at(*ms), "s1");
                latest = *ms;
            }
        }
        table.refresh(at(latest));
    }
    assert_eq!(is_unresponsive(&table, at(latest)), unresponsive);
}

/// Each time in a row it takes longer until all hosts try the server again.
#[test]
fn outages_in_a_row_double_until_an_answer() {
    let mut now = Instant::now();
    let mut table = OutageTable::default();
    for seconds in [3, 6, 8, 8] {
        report_twice(&mut table, now, &server(1));
        now += CONFIRMATION_TIME;
        assert_eq!(table.refresh(now), [server(1)]);
        assert!(table.take_changed());
        let end = now + Duration::from_secs(seconds);
        assert!(is_unresponsive(&table, end - Duration::from_millis(1)));
        assert!(!is_unresponsive(&table, end));
        now = end;
    }
    table.record_answer(now, "s1");
    report_twice(&mut table, now, &server(1));
    now += CONFIRMATION_TIME;
    table.refresh(now);
    assert!(!is_unresponsive(&table, now + Duration::from_secs(3)));
}

/// After an outage, the first report of an attempt that began afterwards is enough.
#[test]
fn a_server_that_is_still_silent_after_an_outage_is_left_alone_again() {
    let start = Instant::now();
    let mut table = OutageTable::default();
    report_twice(&mut table, start, &server(1));
    let began = start + CONFIRMATION_TIME;
    table.refresh(began);
    table.record_unanswered(began + Duration::from_secs(1), &server(1), 3);
    let end = began + Duration::from_secs(3);
    assert!(table.refresh(end).is_empty());
    table.record_unanswered(end, &server(1), 3);
    assert_eq!(table.refresh(end), [server(1)]);
}

#[test]
fn a_new_incarnation_starts_without_reports() {
    let now = Instant::now();
    let mut table = OutageTable::default();
    table.record_unanswered(now, &server(1), 1);
    table.record_unanswered(now, &server(2), 2);
    assert!(table.refresh(now + CONFIRMATION_TIME).is_empty());
    table.record_unanswered(now, &server(2), 1);
    assert_eq!(table.refresh(now + CONFIRMATION_TIME), [server(2)]);
}

/// Each replica hears from some hosts only, so the reports of both make the server unresponsive.
#[test]
fn replicas_add_up_their_reports() {
    let now = Instant::now();
    let index = ServerIndex::from_iter(["s1".to_string()]);
    let (mut first, mut second) = (OutageTable::default(), OutageTable::default());
    first.record_unanswered(now, &server(1), 1);
    second.record_unanswered(now, &server(1), 2);
    for report in first.take_report(&index) {
        assert_eq!(report.server_index, 0);
        second.merge_unanswered(now, &server(1), report.reporter);
    }
    assert_eq!(second.refresh(now + CONFIRMATION_TIME).len(), 1);
    assert_eq!(second.take_report(&index).len(), 1);
    assert!(second.take_report(&index).is_empty());
}

/// The committed state with server `s1`.
fn state_with_server() -> FleetState {
    let record = support::server("s1", 1, Duration::ZERO);
    let mut state = FleetState::new();
    state.apply(1, FleetCommand::Announce(record.into()));
    state
}

/// A replica may hear of unanswered attempts together with answers of before, and of no attempt
/// afterwards, as the hosts know of the outage by then.
#[test]
fn replicas_tell_each_other_which_servers_are_unresponsive() {
    let start = Instant::now();
    let state = state_with_server();
    let id = "s1".to_string();
    let index = ServerIndex::from_iter([id]);
    let (mut first, mut second) = (ServerEvidence::default(), ServerEvidence::default());
    let hosts = [1, 2].map(|host| host_without_answer(&format!("host-{host}")));
    for request in &hosts {
        first.record_host(start, &state, Some(&index), request);
    }
    let mut report = GossipReport::default();
    first.fill_report(start, &index, &mut report);
    report.loads.push(LoadSum {
        server_index: 0,
        sum: 0,
        count: 1,
    });
    second.merge_report(start, &state, Some(&index), &report);
    let began = start + CONFIRMATION_TIME;
    assert!(first.refresh(began), "the others learn of it at once");
    assert!(!second.refresh(began));
    let mut report = GossipReport::default();
    first.fill_report(began, &index, &mut report);
    second.merge_report(began, &state, None, &report);
    assert!(second.take_changed());
    assert_eq!(second.hints(began), first.hints(began));
    // The second replica doesn't pass it on, so that no replica extends it.
    let mut report = GossipReport::default();
    second.fill_report(began, &index, &mut report);
    assert!(report.hints.is_empty());
    // An answer ends it everywhere.
    let mut answered = GossipReport::default();
    answered.loads.push(LoadSum {
        server_index: 0,
        sum: 0,
        count: 1,
    });
    second.merge_report(began, &state, Some(&index), &answered);
    assert!(second.hints(began).is_empty());
}

/// Returns the request of an entry host that got no answer from the only server.
fn host_without_answer(name: &str) -> FollowRequest {
    FollowRequest {
        unanswered: vec![0],
        ..support::follow_request(name, Some(1))
    }
}

#[test]
fn an_outage_of_an_older_incarnation_is_not_taken_over() {
    let now = Instant::now();
    let mut table = OutageTable::default();
    table.record_unanswered(now, &server(2), 1);
    let hint = |born| ServerHint {
        server: server(born),
        kind: HintKind::Unresponsive,
        remaining: Duration::from_secs(3),
    };
    table.merge_outage(now, &hint(1));
    assert!(!is_unresponsive(&table, now));
    table.merge_outage(now, &hint(2));
    assert!(is_unresponsive(&table, now));
    let end = now + Duration::from_secs(3);
    // It isn't extended by a second replica that found the same outage later.
    table.merge_outage(now + Duration::from_secs(1), &hint(2));
    assert!(!is_unresponsive(&table, end));
}
