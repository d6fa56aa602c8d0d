//! Random kills, suspensions and lost disks never change or lose a verdict.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use common::{get, region_ticket, start_cluster, wait_for_state, wait_for_verdict, TIMEOUT};
use proof::cluster::{ProofCluster, TOKEN};
use proof::http::HttpCall;
use proof::wait::wait_until;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::Value;

/// Time for which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(12);

/// Verdicts that operators received, by ticket number and by the operator that sent the content.
type ReceivedVerdicts = BTreeMap<(u64, u32), Value>;

/// State that the operators share.
struct OperatorRace {
    replicas: Vec<SocketAddr>,
    next_number: AtomicU64,
    stopped: AtomicBool,
    received: Mutex<ReceivedVerdicts>,
}

impl OperatorRace {
    /// Submits tickets as one of two operators, each ticket to random replicas until one returns
    /// its verdict.
    fn submit_tickets(&self, operator: u32, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed + u64::from(operator));
        while !self.stopped.load(Ordering::Relaxed) {
            // About half of the numbers are used by both operators.
            let number = self
                .next_number
                .fetch_add(u64::from(random.random_bool(0.5)), Ordering::Relaxed);
            let ticket = region_ticket(number, &format!("r{}", number % 7), 1 + operator);
            for _ in 0..20 {
                let replica = self.replicas[random.random_range(0..self.replicas.len())];
                let call = HttpCall::put(replica, format!("/v1/tickets/{number}"))
                    .bearer(TOKEN)
                    .header("content-type", "application/toml")
                    .body(ticket.clone())
                    .bound(Duration::from_secs(3));
                let Ok(answer) = call.send() else { continue };
                if answer.status == 503 {
                    continue;
                }
                let verdict = answer.json().unwrap();
                let mut received = self.received.lock().unwrap();
                let first = received
                    .entry((number, operator))
                    .or_insert_with(|| verdict.clone());
                assert_eq!(*first, verdict, "number {number} got two verdicts");
                break;
            }
        }
    }
}

/// Injects one fault and repairs it; at most one replica is down at a time.
fn inject_fault(cluster: &mut ProofCluster, random: &mut SmallRng) {
    let index = random.random_range(0..cluster.replicas.len());
    let pause = Duration::from_millis(random.random_range(50..2_500));
    match random.random_range(0..10) {
        0..4 => {
            cluster.replicas[index].process.freeze().unwrap();
            std::thread::sleep(pause);
            cluster.replicas[index].process.thaw().unwrap();
        }
        4..8 => {
            cluster.replicas[index].process.kill().unwrap();
            std::thread::sleep(pause);
            cluster.replicas[index].process.restart().unwrap();
        }
        _ => {
            wait_for_members(cluster);
            cluster.replicas[index].process.kill().unwrap();
            let folder = cluster.folder().join(format!("c{}", index + 1));
            fs::remove_dir_all(folder).unwrap();
            cluster.replicas[index].process.restart().unwrap();
            wait_for_members(cluster);
        }
    }
}

/// Waits until all replicas are voters.
fn wait_for_members(cluster: &ProofCluster) {
    wait_until("all replicas to be members", TIMEOUT, || {
        cluster.replicas.iter().all(|replica| {
            let dump = get(replica, "/v1/dump")
                .map(|(_, dump)| dump)
                .unwrap_or_default();
            dump["core"]["quorum"]["member"] == true
        })
    })
    .unwrap();
}

#[rstest]
fn one_number_keeps_one_verdict(#[values(1, 2)] seed: u64) {
    let mut cluster = start_cluster();
    let race = OperatorRace {
        replicas: cluster
            .replicas
            .iter()
            .map(|replica| replica.operators)
            .collect(),
        next_number: AtomicU64::new(1),
        stopped: AtomicBool::new(false),
        received: Mutex::default(),
    };
    std::thread::scope(|scope| {
        for operator in 0..2 {
            let race = &race;
            scope.spawn(move || race.submit_tickets(operator, seed));
        }
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        while start.elapsed() < FAULT_TIME {
            inject_fault(&mut cluster, &mut random);
        }
        race.stopped.store(true, Ordering::Relaxed);
    });
    check_verdicts(&cluster, &race.received.into_inner().unwrap());
}

/// Compares the verdicts that operators received with the verdicts and the state of every replica.
fn check_verdicts(cluster: &ProofCluster, received: &ReceivedVerdicts) {
    assert!(received.len() > 20, "only {} verdicts", received.len());
    let states: Vec<_> = cluster.replicas.iter().map(wait_for_state).collect();
    assert!(states.iter().all(|state| *state == states[0]));
    let mut accepted: BTreeMap<u64, u32> = BTreeMap::new();
    for ((number, operator), first) in received {
        if first["verdict"] == "accepted" {
            let other = accepted.insert(*number, *operator);
            assert_eq!(other, None, "two accepted tickets have number {number}");
        }
        if first["verdict"] != "conflict" {
            for replica in &cluster.replicas {
                assert_eq!(
                    wait_for_verdict(replica, *number),
                    *first,
                    "number {number}"
                );
            }
        }
    }
    for (name, region) in states[0]["regions"].as_object().unwrap() {
        let holder = region["ticket"].as_u64().unwrap();
        let newest = accepted
            .keys()
            .filter(|number| format!("r{}", *number % 7) == *name);
        assert!(
            newest.max().is_none_or(|newest| *newest <= holder),
            "{name}: {holder}"
        );
    }
}
