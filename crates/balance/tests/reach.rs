//! Availability zones that this host doesn't reach.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod simulation;

use std::time::{Duration, Instant};

use balance::balancer::LoadBalancer;
use balance::query::{LoadRefusal, RefusalCause, ServerQuery};
use balance::server::AttemptEnd;
use fleet::change::FleetChange;
use rstest::rstest;
use simulation::{finish, query, record, settings, view};

const ZONES: [&str; 2] = ["east-a", "east-b"];

/// Time limit for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

fn balancer(now: Instant, zones: &[&str]) -> LoadBalancer {
    let mut balancer = LoadBalancer::new(settings("host-0", "east-a", &ZONES));
    let records = zones
        .iter()
        .flat_map(|zone| (0..8).map(move |number| record(&format!("{zone}-{number}"), zone, 4)));
    let records: Vec<_> = records.collect();
    balancer.set_view(now, &view(&records, 10.0));
    balancer.set_hosts(now, vec![("host-0".to_string(), "east-a".to_string())]);
    balancer
}

/// Result of a request with its attempts.
#[derive(Debug)]
struct RequestResult {
    /// Attempts that reached nothing.
    unreached: usize,
    /// The refusal, unless a server answered.
    refusal: Option<LoadRefusal>,
}

/// Sends a request, with up to four attempts, while the servers of the zones in `cut` can't be reached.
/// Returns its result, and the time at its end.
fn send(
    balancer: &mut LoadBalancer,
    now: Instant,
    object: u64,
    cut: &[&str],
) -> (RequestResult, Instant) {
    let mut now = now;
    let mut tried = Vec::new();
    loop {
        let unreached = tried.len();
        let query = ServerQuery {
            tried: &tried,
            ..query(Some(object << 32))
        };
        let chosen = match balancer.choose(now, &query) {
            Ok(chosen) if unreached < 4 => chosen,
            Ok(chosen) => {
                finish(balancer, now, &chosen, AttemptEnd::Withdrawn);
                let result = RequestResult {
                    unreached,
                    refusal: None,
                };
                return (result, now);
            }
            Err(refusal) => {
                let result = RequestResult {
                    unreached,
                    refusal: Some(refusal),
                };
                return (result, now);
            }
        };
        if !cut.contains(&chosen.record.zone.as_str()) {
            finish(balancer, now, &chosen, AttemptEnd::Answered);
            let result = RequestResult {
                unreached,
                refusal: None,
            };
            return (result, now);
        }
        now += CONNECT_TIMEOUT;
        finish(balancer, now, &chosen, AttemptEnd::Unreachable);
        tried.push(chosen.key);
    }
}

/// A host that is cut off from one of two zones for 5 seconds. Requests come every 20 ms.
#[test]
fn requests_do_not_find_out_one_by_one_that_a_zone_is_cut_off() {
    let start = Instant::now();
    let mut balancer = balancer(start, &ZONES);
    let mut unreached = 0;
    for number in 0..250 {
        let now = start + Duration::from_millis(20) * number;
        let (result, _) = send(&mut balancer, now, u64::from(number), &["east-b"]);
        assert!(result.refusal.is_none());
        unreached += result.unreached;
    }
    assert!(unreached <= 8, "{unreached} of 250 requests waited");
    // The zone is used again soon after.
    let later = start + Duration::from_secs(10);
    let used = (0..100).filter(|number| {
        let chosen = balancer.choose(later, &query(Some(number << 32))).unwrap();
        finish(&mut balancer, later, &chosen, AttemptEnd::Answered);
        chosen.record.zone == "east-b"
    });
    assert!(used.count() > 20);
}

/// The caller of a host that reaches nothing needs the time for another host.
#[test]
fn a_host_that_reaches_nothing_refuses_at_once() {
    let start = Instant::now();
    let mut balancer = balancer(start, &ZONES);
    for object in 0..4 {
        send(&mut balancer, start, object, &ZONES);
    }
    let now = start + Duration::from_millis(1_300);
    let (result, end) = send(&mut balancer, now, 100, &ZONES);
    assert_eq!(end, now, "{result:?}");
    let refusal = result.refusal.unwrap();
    assert_eq!(refusal.cause, RefusalCause::Unreachable);
    assert!(refusal.retry_after <= Duration::from_secs(4));
}

#[rstest]
#[case::two_servers_fail(&[AttemptEnd::Unreachable; 2], false)]
#[case::three_servers_fail(&[AttemptEnd::Unreachable; 3], true)]
#[case::an_answer_in_between(
    &[
        AttemptEnd::Unreachable,
        AttemptEnd::Unreachable,
        AttemptEnd::Answered,
        AttemptEnd::Unreachable,
        AttemptEnd::Unreachable,
    ],
    false
)]
#[case::refused_connections(&[AttemptEnd::Refused; 4], false)]
#[case::broken_connections(&[AttemptEnd::Broken; 4], false)]
fn only_servers_without_a_connection_in_a_row_make_a_zone_cut_off(
    #[case] ends: &[AttemptEnd],
    #[case] cut_off: bool,
) {
    let now = Instant::now();
    let mut balancer = balancer(now, &["east-a"]);
    let mut any = false;
    let mut tried = Vec::new();
    for end in ends {
        let query = ServerQuery {
            tried: &tried,
            ..query(None)
        };
        let chosen = balancer.choose(now, &query).unwrap();
        any |= finish(&mut balancer, now, &chosen, *end);
        tried.push(chosen.key);
    }
    assert_eq!(any, cut_off);
}

/// The report of an attempt at a server that is gone is ignored, so the removal has to end the probe.
#[test]
fn a_zone_is_probed_again_if_the_probed_server_is_removed() {
    let start = Instant::now();
    let mut balancer = balancer(start, &["east-a"]);
    for object in 0..3 {
        let chosen = balancer.choose(start, &query(Some(object << 32))).unwrap();
        finish(&mut balancer, start, &chosen, AttemptEnd::Unreachable);
    }
    let now = start + Duration::from_secs(1);
    let probe = balancer.choose(now, &query(None)).unwrap();
    balancer.apply(now, &FleetChange::ServerGone(probe.record.id.clone()));
    finish(&mut balancer, now, &probe, AttemptEnd::Unreachable);
    assert!(balancer.choose(now, &query(None)).is_ok());
}

/// After a cut, one request at a time finds out whether the zone is reached again.
#[test]
fn a_zone_is_probed_by_one_request_after_a_cut() {
    let start = Instant::now();
    let mut balancer = balancer(start, &["east-a"]);
    for object in 0..3 {
        let chosen = balancer.choose(start, &query(Some(object << 32))).unwrap();
        finish(&mut balancer, start, &chosen, AttemptEnd::Unreachable);
    }
    assert!(balancer.choose(start, &query(None)).is_err());
    let now = start + Duration::from_secs(1);
    let probe = balancer.choose(now, &query(None)).unwrap();
    assert!(balancer.choose(now, &query(None)).is_err());
    finish(&mut balancer, now, &probe, AttemptEnd::Answered);
    let chosen: Vec<_> = (0..2)
        .map(|_| balancer.choose(now, &query(None)).unwrap())
        .collect();
    assert_eq!(chosen.len(), 2);
}
