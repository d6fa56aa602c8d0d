//! Under random kills, freezes and lost disks one number has one verdict, and none is lost.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use common::{cluster, get, region, state, verdict, BOUND};
use proof::cluster::{ProofCluster, TOKEN};
use proof::http::HttpCall;
use proof::wait::wait_until;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::Value;

/// Time for which faults go on.
const FAULT_TIME: Duration = Duration::from_secs(12);

/// Verdicts that operators were told, by number and by the operator whose content it was.
type Told = BTreeMap<(u64, u32), Value>;

/// What the operators share.
struct Race {
    replicas: Vec<SocketAddr>,
    next: AtomicU64,
    ended: AtomicBool,
    told: Mutex<Told>,
}

impl Race {
    /// Submits tickets as one of two operators, each to a random replica until the verdict is known.
    fn operate(&self, operator: u32, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed + u64::from(operator));
        while !self.ended.load(Ordering::Relaxed) {
            // Both operators take each number about half of the time.
            let number = self
                .next
                .fetch_add(u64::from(random.random_bool(0.5)), Ordering::Relaxed);
            let ticket = region(number, &format!("r{}", number % 7), 1 + operator);
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
                let mut told = self.told.lock().unwrap();
                let first = told
                    .entry((number, operator))
                    .or_insert_with(|| verdict.clone());
                assert_eq!(*first, verdict, "number {number} got two verdicts");
                break;
            }
        }
    }
}

/// Does one fault and mends it; at most one replica is away at a time.
fn fault(cluster: &mut ProofCluster, random: &mut SmallRng) {
    let place = random.random_range(0..cluster.replicas.len());
    let pause = Duration::from_millis(random.random_range(50..2_500));
    match random.random_range(0..10) {
        0..4 => {
            cluster.replicas[place].process.freeze().unwrap();
            std::thread::sleep(pause);
            cluster.replicas[place].process.thaw().unwrap();
        }
        4..8 => {
            cluster.replicas[place].process.kill().unwrap();
            std::thread::sleep(pause);
            cluster.replicas[place].process.restart().unwrap();
        }
        _ => {
            wait_members(cluster);
            cluster.replicas[place].process.kill().unwrap();
            let folder = cluster.folder().join(format!("c{}", place + 1));
            fs::remove_dir_all(folder).unwrap();
            cluster.replicas[place].process.restart().unwrap();
            wait_members(cluster);
        }
    }
}

fn wait_members(cluster: &ProofCluster) {
    wait_until("all replicas to be members", BOUND, || {
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
    let mut cluster = cluster();
    let race = Race {
        replicas: cluster
            .replicas
            .iter()
            .map(|replica| replica.operators)
            .collect(),
        next: AtomicU64::new(1),
        ended: AtomicBool::new(false),
        told: Mutex::default(),
    };
    std::thread::scope(|scope| {
        for operator in 0..2 {
            let race = &race;
            scope.spawn(move || race.operate(operator, seed));
        }
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        while start.elapsed() < FAULT_TIME {
            fault(&mut cluster, &mut random);
        }
        race.ended.store(true, Ordering::Relaxed);
    });
    check(&cluster, &race.told.into_inner().unwrap());
}

/// Compares what operators were told with what every replica says.
fn check(cluster: &ProofCluster, told: &Told) {
    assert!(told.len() > 20, "only {} verdicts", told.len());
    let states: Vec<_> = cluster.replicas.iter().map(state).collect();
    assert!(states.iter().all(|state| *state == states[0]));
    let mut accepted: BTreeMap<u64, u32> = BTreeMap::new();
    for ((number, operator), first) in told {
        if first["verdict"] == "accepted" {
            let other = accepted.insert(*number, *operator);
            assert_eq!(other, None, "two accepted tickets have number {number}");
        }
        if first["verdict"] != "conflict" {
            for replica in &cluster.replicas {
                assert_eq!(verdict(replica, *number), *first, "number {number}");
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
