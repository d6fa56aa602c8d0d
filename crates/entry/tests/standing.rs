//! Status of an entry host, depending on its connection to the control replicas and other hosts.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use entry::standing::{HostStanding, StandingFacts};
use rstest::rstest;

const FRESH: Option<u64> = Some(2_400);
const STALE: Option<u64> = Some(2_600);

/// Arguments: confirmed, age of the heartbeat in ms, number of hosts, reachable peers, stopping.
#[rstest]
#[case::no_state_yet(false, FRESH, 10, 9, false, HostStanding::Starting)]
#[case::no_heartbeat_ever(false, None, 0, 0, false, HostStanding::Starting)]
#[case::fresh(true, FRESH, 10, 9, false, HostStanding::Serving)]
#[case::fresh_and_alone(true, FRESH, 10, 0, false, HostStanding::Serving)]
#[case::control_is_down(true, STALE, 10, 9, false, HostStanding::Detached)]
#[case::control_is_down_and_a_majority_is_reachable(
    true,
    STALE,
    10,
    5,
    false,
    HostStanding::Detached
)]
#[case::half_is_no_majority(true, STALE, 10, 4, false, HostStanding::CutOff)]
#[case::cut_off(true, STALE, 10, 0, false, HostStanding::CutOff)]
#[case::a_single_host_has_no_majority(true, STALE, 1, 0, false, HostStanding::CutOff)]
#[case::not_listed_in_any_ticket(true, STALE, 0, 0, false, HostStanding::CutOff)]
#[case::stopping(true, FRESH, 10, 9, true, HostStanding::Stopping)]
#[case::stopping_while_detached(true, STALE, 10, 9, true, HostStanding::Stopping)]
#[case::stopping_while_cut_off(true, STALE, 10, 0, true, HostStanding::CutOff)]
#[case::stopping_before_any_state(false, None, 0, 0, true, HostStanding::Starting)]
fn status_depends_on_confirmed_state_and_connections(
    #[case] confirmed: bool,
    #[case] heartbeat_age: Option<u64>,
    #[case] host_count: usize,
    #[case] reachable_peers: usize,
    #[case] stopping: bool,
    #[case] expected: HostStanding,
) {
    let facts = StandingFacts {
        confirmed,
        heartbeat_age: heartbeat_age.map(Duration::from_millis),
        host_count,
        reachable_peers,
        stopping,
    };
    assert_eq!(facts.standing(), expected);
}

#[rstest]
#[case(HostStanding::Starting, false, false)]
#[case(HostStanding::Serving, true, true)]
#[case(HostStanding::Detached, true, true)]
#[case(HostStanding::CutOff, false, false)]
#[case(HostStanding::Stopping, true, false)]
fn a_stopping_host_accepts_requests_but_callers_are_sent_elsewhere(
    #[case] standing: HostStanding,
    #[case] accepts_requests: bool,
    #[case] is_open: bool,
) {
    assert_eq!(standing.accepts_requests(), accepts_requests);
    assert_eq!(standing.is_open(), is_open);
}
