//! Tests of the limits that backend servers name: the requests a second from all hosts together.
//!
//! The load is that of servers in need: each host has requests for the server at any moment.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod simulation;

use std::time::{Duration, Instant};

use balance::balancer::LoadBalancer;
use balance::limit;
use balance::query::{RefusalCause, ServerQuery};
use balance::server::AttemptEnd;
use fleet::change::FleetChange;
use fleet::ids;
use fleet::limit::{LimitNotice, RequestRate};
use fleet::server::ServerRecord;
use rstest::rstest;
use simulation::{finish, query, record, settings, view};

const ZONES: [&str; 3] = ["east-a", "east-b", "west-a"];

/// Window over which the requests to a server are counted.
const WINDOW: Duration = Duration::from_secs(4);

const STEP: Duration = Duration::from_millis(20);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).unwrap()
}

/// Returns the most requests that a limited server may get in one window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

fn server() -> ServerRecord {
    record("s1", "east-a", 4)
}

/// Hosts that each have a request for the server in each step.
struct LimitedFleet {
    now: Instant,
    limit: f64,
    hosts: Vec<LoadBalancer>,
    /// Hosts that get no answers of control replicas.
    isolated: Vec<bool>,
    sent_at: Vec<Instant>,
}

impl LimitedFleet {
    /// Creates hosts in turn in all zones, which learn of the limit now.
    fn new(count: usize, limit: f64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            limit,
            hosts: Vec::new(),
            isolated: vec![false; count],
            sent_at: Vec::new(),
        };
        fleet.hosts = (0..count).map(|number| fleet.start_host(number)).collect();
        fleet
    }

    fn names(&self) -> Vec<(String, ids::ZoneName)> {
        let names = (0..self.isolated.len()).filter(|number| !self.isolated[*number]);
        names
            .map(|number| (format!("host-{number}"), ZONES[number % 3].to_string()))
            .collect()
    }

    /// Starts a host, which learns the view and the limit from a control replica.
    fn start_host(&self, number: usize) -> LoadBalancer {
        let settings = settings(&format!("host-{number}"), ZONES[number % 3], &ZONES);
        let mut host = LoadBalancer::new(settings);
        host.set_view(self.now, &view(&[server()], 10.0));
        host.set_hosts(self.now, self.names());
        host.merge_limits(self.now, &[self.notice()]);
        host
    }

    fn notice(&self) -> LimitNotice {
        LimitNotice {
            server: server().incarnation(),
            rate: Some(rate(self.limit)),
            ago: Duration::ZERO,
        }
    }

    /// Cuts hosts off from control replicas, which list the others alone.
    fn isolate(&mut self, hosts: std::ops::Range<usize>) {
        for number in hosts {
            self.isolated[number] = true;
        }
        let names = self.names();
        for (host, isolated) in self.hosts.iter_mut().zip(&self.isolated) {
            if !isolated {
                host.set_hosts(self.now, names.clone());
            }
        }
    }

    /// Plays the load for a period, and returns the number of requests that the server gets.
    fn play(&mut self, period: Duration) -> usize {
        let end = self.now + period;
        let before = self.sent_at.len();
        while self.now < end {
            self.now += STEP;
            for (host, isolated) in self.hosts.iter_mut().zip(&self.isolated) {
                if !isolated {
                    host.set_confirmed(self.now);
                }
                let Ok(chosen) = host.choose(self.now, &query(None)) else {
                    continue;
                };
                if host.may_send(self.now, &chosen) {
                    self.sent_at.push(self.now);
                }
                finish(host, self.now, &chosen, AttemptEnd::Answered);
            }
        }
        self.sent_at.len() - before
    }

    /// Returns the most requests in one window.
    fn most_in_window(&self) -> usize {
        let counts = self.sent_at.iter().enumerate().map(|(first, start)| {
            let end = *start + WINDOW;
            self.sent_at[first..].partition_point(|at| *at < end)
        });
        counts.max().unwrap_or(0)
    }

    fn assert_kept(&self) {
        let most = self.most_in_window();
        assert!(most <= allowed(self.limit), "{most} requests in a window");
    }
}

#[rstest]
fn hosts_together_keep_to_a_limit_and_use_most_of_it(
    #[values(3, 10, 300)] hosts: usize,
    #[values(0.0, 0.02, 0.3, 1.0, 5.7, 8.0, 60.0)] limit: f64,
) {
    let mut fleet = LimitedFleet::new(hosts, limit);
    fleet.play(WINDOW * 2);
    let sent = fleet.play(WINDOW * 25);
    fleet.assert_kept();
    let least = limit * 100.0 * 0.65;
    assert!(sent as f64 >= least.max(1.0), "{sent} requests in 100 s");
}

/// The isolated hosts go on by the hosts that they knew, the others divide the limit among themselves.
#[rstest]
fn hosts_without_contact_to_control_do_not_exceed_a_limit(
    #[values(10, 300)] hosts: usize,
    #[values(0.02, 1.0, 8.0, 60.0)] limit: f64,
    #[values(2, 5, 9, 10)] isolated: usize,
) {
    let mut fleet = LimitedFleet::new(hosts, limit);
    fleet.play(WINDOW * 2);
    fleet.isolate(0..hosts * isolated / 10);
    fleet.play(WINDOW * 5);
    fleet.assert_kept();
}

/// Control replicas that have just started list only the hosts that call them.
#[rstest]
fn a_list_that_lacks_most_hosts_for_a_time_does_not_exceed_a_limit(
    #[values(10, 300)] hosts: usize,
    #[values(0.3, 8.0, 60.0)] limit: f64,
) {
    let mut fleet = LimitedFleet::new(hosts, limit);
    fleet.play(WINDOW * 2);
    let (names, now) = (fleet.names(), fleet.now);
    for (host, name) in fleet.hosts.iter_mut().zip(&names) {
        host.set_hosts(now, vec![name.clone()]);
    }
    fleet.play(Duration::from_secs(3));
    let now = fleet.now;
    for host in &mut fleet.hosts {
        host.set_hosts(now, names.clone());
    }
    fleet.play(WINDOW * 2);
    fleet.assert_kept();
}

#[rstest]
fn hosts_that_restart_one_after_the_other_do_not_exceed_a_limit(
    #[values(10, 300)] hosts: usize,
    #[values(0.3, 8.0)] limit: f64,
) {
    let mut fleet = LimitedFleet::new(hosts, limit);
    fleet.play(WINDOW * 2);
    for number in 0..hosts.min(30) {
        fleet.hosts[number] = fleet.start_host(number);
        fleet.play(Duration::from_millis(300));
    }
    fleet.play(WINDOW * 2);
    fleet.assert_kept();
}

/// Requests that wait for a connection, or were chosen before the limit was known, need a permit when
/// they are sent.
#[rstest]
fn requests_chosen_earlier_do_not_exceed_a_limit(#[values(10, 300)] hosts: usize) {
    let now = Instant::now();
    let mut fleet = LimitedFleet::new(hosts, 8.0);
    let names = fleet.names();
    let mut waiting = Vec::new();
    for (number, host) in fleet.hosts.iter_mut().enumerate() {
        let settings = settings(&names[number].0, &names[number].1, &ZONES);
        *host = LoadBalancer::new(settings);
        host.set_view(now, &view(&[server()], 10.0));
        host.set_hosts(now, names.clone());
        waiting.push(
            (0..8)
                .map(|_| host.choose(now, &query(None)).unwrap())
                .collect::<Vec<_>>(),
        );
    }
    let notice = fleet.notice();
    let sent_at = now + Duration::from_millis(400);
    for (host, waiting) in fleet.hosts.iter_mut().zip(waiting) {
        host.merge_limits(now, std::slice::from_ref(&notice));
        for chosen in waiting {
            if host.may_send(sent_at, &chosen) {
                fleet.sent_at.push(sent_at);
            }
        }
    }
    fleet.assert_kept();
}

#[test]
fn a_permit_does_not_outlast_a_long_wait_for_a_connection() {
    let mut fleet = LimitedFleet::new(1, 8.0);
    let host = &mut fleet.hosts[0];
    let mut sent = 0;
    let mut waiting = Vec::new();
    for step in 0..400 {
        let now = fleet.now + STEP * step;
        host.set_confirmed(now);
        waiting.extend(host.choose(now, &query(None)).ok());
    }
    let now = fleet.now + STEP * 400;
    for chosen in waiting {
        sent += usize::from(host.may_send(now, &chosen));
    }
    // The permits of the latest 0.6 s.
    assert!(sent <= 6, "{sent} requests at once");
}

fn single_host(now: Instant) -> LoadBalancer {
    let mut host = LoadBalancer::new(settings("host-0", "east-a", &ZONES));
    host.set_view(now, &view(&[server()], 10.0));
    host.set_hosts(now, vec![("host-0".to_string(), "east-a".to_string())]);
    host
}

/// Returns whether the server gets a request, which is cancelled.
fn is_chosen(host: &mut LoadBalancer, now: Instant) -> bool {
    let chosen = host.choose(now, &query(None));
    let chosen = chosen.inspect(|chosen| {
        finish(host, now, chosen, AttemptEnd::Dropped);
    });
    chosen.is_ok()
}

/// An answer tells the end only if its request was sent after the latest answer with a limit came.
#[test]
fn an_answer_of_before_the_limit_does_not_end_it() {
    let start = Instant::now();
    let mut host = single_host(start);
    let named_at = start + Duration::from_millis(500);
    assert!(host.record_limit(named_at, &server(), Some(rate(0.1)), start));
    let late = named_at + Duration::from_millis(100);
    assert!(!host.record_limit(late, &server(), None, start));
    assert!(!is_chosen(&mut host, late));
    let sent_at = named_at + Duration::from_millis(200);
    let answered_at = named_at + Duration::from_millis(300);
    assert!(host.record_limit(answered_at, &server(), None, sent_at));
    assert!(is_chosen(&mut host, answered_at));
}

#[test]
fn hosts_that_send_nothing_learn_of_the_end_of_a_limit() {
    let start = Instant::now();
    let mut first = single_host(start);
    let mut second = single_host(start);
    first.record_limit(start, &server(), Some(rate(0.1)), start);
    second.merge_limits(start, &first.report_limits(start));
    let now = start + Duration::from_millis(100);
    assert!(!is_chosen(&mut second, now));
    first.record_limit(now, &server(), None, now);
    let ended = first.report_limits(now);
    assert_eq!(ended.len(), 1);
    second.merge_limits(now, &ended);
    assert!(is_chosen(&mut second, now));
    // A notice that was on its way meanwhile doesn't bring the limit back.
    let stale = LimitNotice {
        rate: Some(rate(0.1)),
        ago: Duration::from_millis(100),
        ..ended[0].clone()
    };
    second.merge_limits(now, &[stale]);
    assert!(is_chosen(&mut second, now));
}

/// A call to a control replica may fail, also the one that carries the end of a limit.
#[test]
fn limits_that_no_replica_received_are_reported_again() {
    let now = Instant::now();
    let mut host = single_host(now);
    host.record_limit(now, &server(), Some(rate(0.1)), now);
    assert_eq!(host.report_limits(now).len(), 1);
    let later = now + Duration::from_secs(1);
    host.record_limit(later, &server(), None, later);
    assert_eq!(host.report_limits(later).len(), 1);
    let again = host.report_limits(later);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].rate, None);
    host.confirm_report();
    assert!(host.report_limits(later).is_empty());
}

/// A limit concerns one incarnation, also one that is removed and announced again.
#[test]
fn a_limit_holds_for_its_incarnation() {
    let now = Instant::now();
    let mut host = single_host(now);
    host.record_limit(now, &server(), Some(rate(0.1)), now);
    host.apply(now, &FleetChange::ServerGone("s1".to_string()));
    host.apply(now, &FleetChange::Server(server()));
    assert!(!is_chosen(&mut host, now));
    let reborn = ServerRecord {
        born: 2,
        ..server()
    };
    host.apply(now, &FleetChange::Server(reborn));
    assert!(is_chosen(&mut host, now));
}

/// What can't be served is refused at once, with the time until this host's next permit.
#[test]
fn a_refusal_for_a_limit_tells_when_the_next_request_is_permitted() {
    let now = Instant::now();
    let mut host = single_host(now);
    host.set_confirmed(now);
    host.record_limit(now, &server(), Some(rate(1.0)), now);
    let refusal = host.choose(now, &query(None)).unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::Limited);
    let share = limit::share_rate(rate(1.0), 1, false);
    let expected = Duration::from_secs_f64(1.0 / share);
    let difference = refusal.retry_after.abs_diff(expected);
    assert!(difference < Duration::from_millis(1), "{refusal:?}");
    assert!(!is_chosen(&mut host, now + expected - STEP));
    assert!(is_chosen(&mut host, now + expected + STEP));
}

/// Requests that a limited server doesn't take go to the others without a refusal.
#[test]
fn a_limited_server_does_not_hold_up_requests_that_others_can_run() {
    let start = Instant::now();
    let servers = [server(), record("s2", "east-a", 400)];
    let mut host = single_host(start);
    host.set_view(start, &view(&servers, 10.0));
    host.record_limit(start, &server(), Some(rate(0.5)), start);
    for step in 0..500 {
        let now = start + STEP * step;
        host.set_confirmed(now);
        for object in 0..10 {
            let query = ServerQuery {
                object: Some(object),
                ..query(None)
            };
            let chosen = host.choose(now, &query).unwrap();
            assert!(host.may_send(now, &chosen));
            finish(&mut host, now, &chosen, AttemptEnd::Answered);
        }
    }
}

#[rstest]
#[case::negative("-1")]
#[case::not_a_number("many")]
#[case::nan("NaN")]
#[case::infinite("inf")]
#[case::empty("")]
fn a_text_that_is_no_rate_is_rejected(#[case] text: &str) {
    assert!(RequestRate::try_from(text).is_err());
}
