//! Which entry hosts callers are not sent to.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use entry::peers::{PeerTable, PeerWord};
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;

fn three_hosts() -> ForceState {
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

fn word(host: &str, incarnation: u64, closed: bool) -> PeerWord {
    PeerWord {
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
fn a_lost_or_closed_host_is_left_out_within_the_bound_and_comes_back_when_heard() {
    let state = three_hosts();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut table = PeerTable::new(start, "e1");
    assert_eq!(closed(&table, at(1_000), &state), "", "too early to tell");
    table.hear(at(1_000), word("e2", 1, false));
    assert_eq!(closed(&table, at(2_500), &state), "e3", "never heard");
    table.hear(at(2_600), word("e3", 1, true));
    assert_eq!(
        closed(&table, at(2_700), &state),
        "e3",
        "says that it is closed"
    );
    table.hear(at(2_800), word("e3", 1, false));
    assert_eq!(closed(&table, at(2_900), &state), "", "open again");
    assert_eq!(closed(&table, at(3_100), &state), "e2", "not heard for 2 s");
    assert_eq!(table.heard(at(3_100), &state), 1);
}

#[test]
fn a_late_word_of_an_earlier_start_is_passed_over() {
    let state = three_hosts();
    let now = Instant::now();
    let mut table = PeerTable::new(now, "e1");
    table.hear(now, word("e2", 7, false));
    table.hear(now, word("e2", 6, true));
    assert_eq!(closed(&table, now, &state), "");
}

#[test]
fn a_host_that_is_not_in_force_is_forgotten() {
    let state = three_hosts();
    let now = Instant::now();
    let mut table = PeerTable::new(now, "e1");
    table.hear(now, word("e9", 1, false));
    table.hear(now, word("e1", 1, true));
    table.retain(&state);
    assert!(table.report(now).is_empty());
}
