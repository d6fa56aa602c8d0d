//! Tests of the requests that are held back because backend servers ended while they ran them.
//!
//! The load is a request that ends each server that begins to run it and comes again at any host, among
//! healthy ones that run at the same servers.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod simulation;

use std::time::{Duration, Instant};

use balance::balancer::LoadBalancer;
use balance::quarantine::RunAdmission;
use balance::query::AttemptReport;
use balance::server::AttemptEnd;
use director::suspects::SuspectRegister;
use fleet::change::{FleetChange, FleetView};
use fleet::ids;
use fleet::server::ServerRecord;
use fleet::state::FleetState;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use simulation::{query, record, settings};

const ZONES: [&str; 1] = ["east-a"];

/// Time after the third end of a server from which the request may hardly be sent.
const REACTION_TIME: Duration = Duration::from_secs(3);

/// Most sends of the request after that time.
const ALLOWED_RETRIES: usize = 3;

/// Time between two calls of a host to a control replica, and between two reports of replicas.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);

const STEP: Duration = Duration::from_millis(50);

const HARMFUL: ids::RequestDigest = 7;

fn server(number: u64) -> ServerRecord {
    ServerRecord {
        born: number,
        ..record("s1", "east-a", 4)
    }
}

fn host(now: Instant, number: usize, names: &[(String, ids::ZoneName)]) -> LoadBalancer {
    let mut host = LoadBalancer::new(settings(&format!("host-{number}"), "east-a", &ZONES));
    host.set_hosts(now, names.to_vec());
    host.set_confirmed(now);
    let answering = record("s0", "east-a", 400);
    host.apply(now, &FleetChange::Server(answering));
    host
}

/// Lets a server answer a request of a host.
fn answer(host: &mut LoadBalancer, now: Instant, request: ids::RequestDigest, end: AttemptEnd) {
    let chosen = host.choose(now, &query(None)).unwrap();
    let report = AttemptReport {
        end,
        took: Duration::from_millis(10),
        load: None,
        object: None,
        request,
        forecast: chosen.forecast,
    };
    host.finish(now, chosen.key, report);
}

/// Hosts that follow control replicas, one of which leads.
struct QuarantineFleet {
    now: Instant,
    names: Vec<(String, ids::ZoneName)>,
    hosts: Vec<LoadBalancer>,
    /// The replica that the hosts call, and the leader that learns from its reports.
    replica: SuspectRegister,
    leader: SuspectRegister,
    state: FleetState,
    index: u64,
    exchanged_at: Instant,
    random: SmallRng,
    /// Times at which a server ended.
    ends: Vec<Instant>,
}

impl QuarantineFleet {
    fn new(hosts: usize) -> Self {
        let now = Instant::now();
        let names: Vec<_> = (0..hosts)
            .map(|number| (format!("host-{number}"), "east-a".to_string()))
            .collect();
        Self {
            now,
            hosts: (0..hosts).map(|number| host(now, number, &names)).collect(),
            names,
            replica: SuspectRegister::default(),
            leader: SuspectRegister::default(),
            state: FleetState::new(),
            index: 0,
            exchanged_at: now,
            random: SmallRng::seed_from_u64(5),
            ends: Vec::new(),
        }
    }

    fn restart_host(&mut self, number: usize) {
        self.hosts[number] = host(self.now, number, &self.names);
        let mut view = FleetView::of(&self.state);
        let answering = record("s0", "east-a", 400);
        view.servers.insert(answering.id.clone(), answering);
        self.hosts[number].set_view(self.now, &view);
    }

    /// Passes on what hosts report, and what is committed.
    fn exchange(&mut self) {
        self.exchanged_at = self.now;
        for notice in self.replica.report(self.now) {
            self.leader.merge(self.now, &notice);
        }
        for host in &mut self.hosts {
            host.set_confirmed(self.now);
            for notice in host.report_runs(self.now) {
                self.replica.record(self.now, &notice);
            }
            host.confirm_report();
            host.set_watched(self.replica.watched().requests.clone());
        }
        for command in self.leader.due_commands(self.now, &self.state) {
            self.index += 1;
            let (_, changes) = self.state.apply(self.index, command);
            for change in changes {
                for host in &mut self.hosts {
                    host.apply(self.now, &change);
                }
            }
        }
    }

    fn advance(&mut self) {
        self.now += STEP;
        if self.now >= self.exchanged_at + EXCHANGE_INTERVAL {
            self.exchange();
        }
    }

    /// Sends the request to a host, with a retry where it is permitted, and returns whether it ran.
    fn send_harmful(&mut self) -> bool {
        let number = self.random.random_range(0..self.hosts.len());
        let mut any = false;
        for _ in 0..2 {
            let host = &mut self.hosts[number];
            match host.admission(self.now, HARMFUL) {
                RunAdmission::Held(_) => break,
                RunAdmission::Trial => host.begin_trial(self.now, HARMFUL),
                RunAdmission::Free => {}
            }
            any = true;
            self.ends.push(self.now);
            let server = server(self.ends.len() as u64);
            host.record_crash(self.now, HARMFUL, &server);
        }
        any
    }

    fn late_sends(&self) -> usize {
        let third = self.ends[2];
        let late = |at: &&Instant| **at > third + REACTION_TIME;
        self.ends.iter().filter(late).count()
    }
}

#[rstest]
fn a_harmful_request_runs_hardly_more_often_with_many_hosts(#[values(1, 10, 300)] hosts: usize) {
    let mut fleet = QuarantineFleet::new(hosts);
    // Ten minutes, in which it comes ten times a second.
    for step in 0..12_000 {
        fleet.advance();
        if step % 2 == 0 {
            fleet.send_harmful();
        }
    }
    let late = fleet.late_sends();
    assert!(late <= ALLOWED_RETRIES, "{late} of {}", fleet.ends.len());
}

#[rstest]
fn hosts_that_restart_keep_holding_a_harmful_request_back(#[values(10, 300)] hosts: usize) {
    let mut fleet = QuarantineFleet::new(hosts);
    for step in 0..1_000 {
        fleet.advance();
        fleet.send_harmful();
        if step % 5 == 0 {
            fleet.restart_host(step / 5 % hosts);
        }
    }
    assert_eq!(fleet.late_sends(), 0);
}

/// The evidence of replicas is gone, the quarantine is committed.
#[test]
fn replicas_that_restart_keep_a_quarantine() {
    let mut fleet = QuarantineFleet::new(10);
    for _ in 0..100 {
        fleet.advance();
        fleet.send_harmful();
    }
    fleet.replica = SuspectRegister::default();
    fleet.leader = SuspectRegister::default();
    for number in 0..10 {
        fleet.restart_host(number);
    }
    for _ in 0..1_000 {
        fleet.advance();
        fleet.send_harmful();
    }
    assert_eq!(fleet.late_sends(), 0);
}

/// A host without contact to control relies on what it saw itself, and runs no trials.
#[test]
fn an_isolated_host_holds_back_a_request_by_its_own_evidence() {
    let now = Instant::now();
    let names = [("host-0".to_string(), "east-a".to_string())];
    let mut host = host(now, 0, &names);
    for number in 0..3 {
        assert_eq!(host.admission(now, HARMFUL), RunAdmission::Free);
        host.record_crash(now, HARMFUL, &server(number));
    }
    assert!(matches!(
        host.admission(now, HARMFUL),
        RunAdmission::Held(_)
    ));
    let quarantined = FleetChange::Quarantined {
        request: HARMFUL,
        crashes: 3,
    };
    host.apply(now, &quarantined);
    let later = now + Duration::from_secs(3_600);
    assert!(matches!(
        host.admission(later, HARMFUL),
        RunAdmission::Held(_)
    ));
    host.set_confirmed(later);
    assert_eq!(host.admission(later, HARMFUL), RunAdmission::Trial);
}

/// Repeated ends of one connection, or of requests at one server, are the end of one server.
#[test]
fn one_server_that_ends_counts_once() {
    let now = Instant::now();
    let mut host = host(now, 0, &[]);
    for _ in 0..10 {
        host.record_crash(now, HARMFUL, &server(1));
    }
    assert_eq!(host.admission(now, HARMFUL), RunAdmission::Free);
}

/// A request that is sent all the time runs at each server that ends for another reason.
#[rstest]
fn a_healthy_request_is_not_held_back_by_what_ends_its_servers(#[values(1, 10, 300)] hosts: usize) {
    const HEALTHY: ids::RequestDigest = 8;
    let mut fleet = QuarantineFleet::new(hosts);
    let mut held = 0;
    let mut sent = 0;
    for step in 0..4_000_u64 {
        fleet.advance();
        let number = fleet.random.random_range(0..hosts);
        let now = fleet.now;
        let host = &mut fleet.hosts[number];
        sent += 1;
        match host.admission(now, HEALTHY) {
            RunAdmission::Held(_) => {
                held += 1;
                continue;
            }
            RunAdmission::Trial => host.begin_trial(now, HEALTHY),
            RunAdmission::Free => {}
        }
        // A server ends each second, the other runs are answered.
        if step % 20 == 0 {
            host.record_crash(now, HEALTHY, &server(step));
        } else {
            answer(host, now, HEALTHY, AttemptEnd::Answered);
        }
    }
    assert!(held * 50 < sent, "{held} of {sent} held back");
}

/// The request was at three servers that ended at once. Its answer in a trial ends the quarantine
/// everywhere.
#[test]
fn an_answer_in_a_trial_releases_a_request_that_was_suspected_wrongly() {
    const HEALTHY: ids::RequestDigest = 8;
    let mut fleet = QuarantineFleet::new(10);
    let now = fleet.now;
    for number in 0..3 {
        fleet.hosts[number].record_crash(now, HEALTHY, &server(number as u64));
    }
    let mut trials = 0;
    for _ in 0..1_600 {
        fleet.advance();
        for host in &mut fleet.hosts {
            if host.admission(fleet.now, HEALTHY) == RunAdmission::Trial {
                trials += 1;
                host.begin_trial(fleet.now, HEALTHY);
                answer(host, fleet.now, HEALTHY, AttemptEnd::Answered);
            }
        }
    }
    assert_eq!(trials, 1);
    let now = fleet.now;
    let free = |host: &LoadBalancer| host.admission(now, HEALTHY) == RunAdmission::Free;
    assert!(fleet.hosts.iter().all(free));
}

#[test]
fn evidence_that_no_replica_received_is_reported_again() {
    let now = Instant::now();
    let mut host = host(now, 0, &[]);
    host.record_crash(now, HARMFUL, &server(1));
    let later = now + Duration::from_secs(1);
    assert_eq!(host.report_runs(now).len(), 1);
    let report = host.report_runs(later);
    assert_eq!(report.len(), 1);
    assert_eq!(report[0].ago, Duration::from_secs(1));
    host.record_crash(later, HARMFUL, &server(2));
    host.confirm_report();
    assert_eq!(host.report_runs(later).len(), 1);
}

/// A server may answer a request with a failure before it begins to run it, at random or because the
/// request waited for too long.
#[test]
fn a_failure_does_not_clear_a_request_with_which_servers_ended() {
    let now = Instant::now();
    let mut host = host(now, 0, &[]);
    for number in 0..3 {
        host.record_crash(now, HARMFUL, &server(number));
        answer(&mut host, now, HARMFUL, AttemptEnd::Failed);
    }
    assert!(matches!(
        host.admission(now, HARMFUL),
        RunAdmission::Held(_)
    ));
    assert_eq!(host.report_runs(now).len(), 3);
    answer(&mut host, now, HARMFUL, AttemptEnd::Answered);
    assert_eq!(host.admission(now, HARMFUL), RunAdmission::Free);
}
