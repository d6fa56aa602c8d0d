//! Benchmark of three control replicas on loopback: tickets per second with disk sync, time to the
//! verdict, recovery time and size of the data folder.
//!
//! `cargo build --release --bins && cargo run --release -p control --example ticket_benchmark`
#![allow(clippy::unwrap_used)]

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use proof::cluster::{ProofCluster, TOKEN};
use proof::http::HttpCall;
use proof::wait::wait_until;
use serde_json::json;

/// Tickets that are submitted to the leader.
const LEADER_TICKETS: u64 = 10_000;

/// Tickets of the runs with one operator and at a follower.
const RUN_TICKETS: u64 = 1_000;

/// Operators that submit concurrently in the other runs.
const OPERATORS: u64 = 32;

/// Services that the tickets change in turn.
const SERVICES: u64 = 36;

/// Leaders that are killed one after the other.
const FAILOVERS: u64 = 5;

/// Timeout of each wait.
const TIMEOUT: Duration = Duration::from_secs(30);

fn main() {
    let mut cluster = ProofCluster::plan()
        .entry_hosts(0)
        .log_level("warn")
        .start()
        .unwrap();
    let addresses: Vec<_> = cluster.replicas.iter().map(|r| r.operators).collect();
    cluster.submit(1, &base_ticket(), TIMEOUT).unwrap();

    let leading = wait_for_leader(&addresses);
    let (one, one_time) = submit_all(addresses[leading], 2, RUN_TICKETS, 1);
    print_run("one operator at the leader", &one, one_time);
    let rest = LEADER_TICKETS - RUN_TICKETS - 1;
    let (many, many_time) = submit_all(addresses[leading], RUN_TICKETS + 2, rest, OPERATORS);
    print_run("32 operators at the leader", &many, many_time);
    if wait_for_leader(&addresses) != leading {
        println!(
            "{}",
            json!({"note": "the leadership changed during the runs above"})
        );
    }
    let follower = (wait_for_leader(&addresses) + 1) % 3;
    let (forwarded, forwarded_time) = submit_all(
        addresses[follower],
        LEADER_TICKETS + 1,
        RUN_TICKETS,
        OPERATORS,
    );
    print_run("32 operators at a follower", &forwarded, forwarded_time);

    for (index, replica) in cluster.replicas.iter().enumerate() {
        let folder = cluster.folder().join(format!("c{}", index + 1));
        let bytes = folder_bytes(&folder);
        println!(
            "{}",
            json!({"size": replica.process.name(), "data_folder_bytes": bytes})
        );
    }

    let follower = (wait_for_leader(&addresses) + 1) % 3;
    cluster.replicas[follower].process.kill().unwrap();
    let start = Instant::now();
    cluster.replicas[follower].process.restart().unwrap();
    wait_for_state(addresses[follower]);
    print_time("a killed follower answers confirmed state again", start);

    for round in 1..=FAILOVERS {
        let leading = wait_for_leader(&addresses);
        let number = LEADER_TICKETS + RUN_TICKETS + round;
        let start = Instant::now();
        cluster.replicas[leading].process.kill().unwrap();
        let answer = cluster.submit(number, &ticket(number), TIMEOUT).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        print_time("a killed leader until the next verdict", start);
        cluster.replicas[leading].process.restart().unwrap();
        wait_for_state(addresses[leading]);
    }

    for replica in &mut cluster.replicas {
        replica.process.kill().unwrap();
    }
    let start = Instant::now();
    for replica in &mut cluster.replicas {
        replica.process.restart().unwrap();
    }
    for address in addresses {
        wait_for_state(address);
    }
    print_time(
        "all killed and restarted until all answer confirmed state",
        start,
    );
}

/// Returns a ticket that sets one region with six zones.
fn base_ticket() -> String {
    let zones: Vec<_> = (0..6).map(|zone| format!("\"zone-{zone}\"")).collect();
    format!(
        "number = 1\n[region.altiplano]\nzones = [{}]\ncap = 100000.0\n",
        zones.join(", ")
    )
}

/// Returns a ticket that sets one service in six places.
fn ticket(number: u64) -> String {
    let service = number % SERVICES;
    let mut text = format!(
        "number = {number}\n[service.service-{service}]\nclass = \"read\"\nshift = 100.0\n"
    );
    for zone in 0..6 {
        let cap = 100 + (number + zone) % 50;
        text.push_str(&format!(
            "[service.service-{service}.places.zone-{zone}]\ncap = {cap}.0\n"
        ));
    }
    text
}

/// Submits `count` tickets from number `first` on with concurrent operators, and returns the times
/// to the verdicts in microseconds and the total time.
fn submit_all(
    address: SocketAddr,
    first: u64,
    count: u64,
    operators: u64,
) -> (Histogram<u64>, Duration) {
    let next = AtomicU64::new(first);
    let start = Instant::now();
    let mut times = Histogram::new(3).unwrap();
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..operators)
            .map(|_| scope.spawn(|| submit_as_operator(address, &next, first + count)))
            .collect();
        for worker in workers {
            times.add(worker.join().unwrap()).unwrap();
        }
    });
    (times, start.elapsed())
}

/// Submits tickets as one operator until all numbers below `end` are used.
fn submit_as_operator(address: SocketAddr, next: &AtomicU64, end: u64) -> Histogram<u64> {
    let mut times = Histogram::new(3).unwrap();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= end {
            return times;
        }
        let call = HttpCall::put(address, format!("/v1/tickets/{number}"))
            .bearer(TOKEN)
            .header("content-type", "application/toml")
            .body(ticket(number));
        let start = Instant::now();
        let answer = call.send().unwrap();
        // With several operators, a higher number of the same service may be committed first, which
        // makes this ticket superseded (409).
        assert!([200, 409].contains(&answer.status), "{}", answer.text());
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap();
        times.record(micros).unwrap();
    }
}

/// Waits for a leader with a valid lease, and returns its index.
fn wait_for_leader(addresses: &[SocketAddr]) -> usize {
    let mut found = None;
    wait_until("a leader", TIMEOUT, || {
        found = addresses.iter().position(|address| {
            let answer = HttpCall::get(*address, "/v1/status").bearer(TOKEN).send();
            let status = answer.ok().and_then(|answer| answer.json().ok());
            status.is_some_and(|status| status["lease"] == true)
        });
        found.is_some()
    })
    .unwrap();
    found.unwrap()
}

/// Waits until a replica returns its confirmed state.
fn wait_for_state(address: SocketAddr) {
    wait_until("confirmed state", TIMEOUT, || {
        let answer = HttpCall::get(address, "/v1/state").bearer(TOKEN).send();
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .unwrap();
}

/// Returns the total size of the files in a folder.
fn folder_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).unwrap();
    files
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum()
}

/// Prints the throughput and the quantiles of one run as a JSON object.
fn print_run(run: &str, times: &Histogram<u64>, took: Duration) {
    let count = times.len();
    let millis = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1000.0;
    let row = json!({
        "run": run,
        "tickets": count,
        "tickets_a_second": (count as f64 / took.as_secs_f64()).round(),
        "p50_ms": millis(0.5),
        "p99_ms": millis(0.99),
        "p999_ms": millis(0.999),
    });
    println!("{row}");
}

/// Prints the time since `start` as a JSON object.
fn print_time(what: &str, start: Instant) {
    println!(
        "{}",
        json!({"time": what, "ms": start.elapsed().as_millis()})
    );
}
