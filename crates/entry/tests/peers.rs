//! Detection of closed and lost entry hosts, to which callers are not sent.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use entry::peers::{PeerStatus, PeerTable};
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;

fn state_with_three_hosts() -> ForceState {
    let mut text = "number = 1\n[region.r]\nzones = [\"r-a\"]\ncap = 9.0\n".to_string();
    for host in 1..=3 {
        text += &format!(
            "[host.e{host}]\nzone = \"r-a\"\ncallers = \"10.0.0.{host}:1\"\npeers = \"10.0.0.{host}:2\"\n"
        );
    }
    let mut state = ForceState::default();
    state.apply(&ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap());
    state
}

fn status(host: &str, incarnation: u64, closed: bool) -> PeerStatus {
    PeerStatus {
        host: host.into(),
        incarnation,
        closed,
    }
}

fn closed(table: &PeerTable, now: Instant, state: &ForceState) -> String {
    let names: Vec<_> = table.closed(now, state).into_iter().collect();
    names.join(" ")
}

#[test]
fn callers_are_not_sent_to_a_closed_or_lost_host_until_it_reports_that_it_is_open() {
    let state = state_with_three_hosts();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut table = PeerTable::new(start, "e1");
    assert_eq!(
        closed(&table, at(1_000), &state),
        "",
        "no time for a status yet"
    );
    table.record(at(1_000), status("e2", 1, false));
    assert_eq!(closed(&table, at(2_500), &state), "e3", "no status ever");
    table.record(at(2_600), status("e3", 1, true));
    assert_eq!(
        closed(&table, at(2_700), &state),
        "e3",
        "reports that it is closed"
    );
    table.record(at(2_800), status("e3", 1, false));
    assert_eq!(closed(&table, at(2_900), &state), "", "open again");
    assert_eq!(closed(&table, at(3_100), &state), "e2", "no status for 2 s");
    assert_eq!(table.count_reachable(at(3_100), &state), 1);
}

#[test]
fn a_late_status_of_an_earlier_incarnation_is_ignored() {
    let state = state_with_three_hosts();
    let now = Instant::now();
    let mut table = PeerTable::new(now, "e1");
    table.record(now, status("e2", 7, false));
    table.record(now, status("e2", 6, true));
    assert_eq!(closed(&table, now, &state), "");
}

#[test]
fn hosts_that_are_not_in_the_state_are_removed() {
    let state = state_with_three_hosts();
    let now = Instant::now();
    let mut table = PeerTable::new(now, "e1");
    table.record(now, status("e9", 1, false));
    table.record(now, status("e1", 1, true));
    table.retain(&state);
    assert!(table.report(now).is_empty());
}
