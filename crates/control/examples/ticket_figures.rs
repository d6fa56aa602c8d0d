//! Measures three control replicas on loopback: tickets a second with sync, time to the verdict,
//! recovery time and size of the data folder.
//!
//! `cargo build --release --bins && cargo run --release -p control --example ticket_figures`
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

/// Tickets in all.
const TICKETS: u64 = 10_000;

/// Tickets that one operator submits after each other.
const SEQUENTIAL: u64 = 1_000;

/// Operators that submit the others at once.
const OPERATORS: u64 = 32;

/// Services that the tickets touch in turn.
const SERVICES: u64 = 36;

/// Leaders that are killed after each other.
const FAILOVERS: u64 = 5;

const BOUND: Duration = Duration::from_secs(30);

fn main() {
    let mut cluster = ProofCluster::plan()
        .entry_hosts(0)
        .log_level("warn")
        .start()
        .unwrap();
    let addresses: Vec<_> = cluster.replicas.iter().map(|r| r.operators).collect();
    cluster.submit(1, &base_ticket(), BOUND).unwrap();

    let leading = leader(&addresses);
    let (one, one_time) = submit_all(addresses[leading], 2, SEQUENTIAL, 1);
    print_run("one operator at the leader", &one, one_time);
    let rest = TICKETS - SEQUENTIAL - 1;
    let (many, many_time) = submit_all(addresses[leading], SEQUENTIAL + 2, rest, OPERATORS);
    print_run("32 operators at the leader", &many, many_time);
    if leader(&addresses) != leading {
        println!(
            "{}",
            json!({"note": "the leadership changed during the runs above"})
        );
    }
    let follower = (leader(&addresses) + 1) % 3;
    let (passed, passed_time) = submit_all(addresses[follower], TICKETS + 1, SEQUENTIAL, OPERATORS);
    print_run("32 operators at a follower", &passed, passed_time);

    for (place, replica) in cluster.replicas.iter().enumerate() {
        let folder = cluster.folder().join(format!("c{}", place + 1));
        let bytes = folder_bytes(&folder);
        println!(
            "{}",
            json!({"size": replica.process.name(), "data_folder_bytes": bytes})
        );
    }

    let follower = (leader(&addresses) + 1) % 3;
    cluster.replicas[follower].process.kill().unwrap();
    let start = Instant::now();
    cluster.replicas[follower].process.restart().unwrap();
    wait_confirmed(addresses[follower]);
    print_time("a killed follower answers confirmed state again", start);

    for round in 1..=FAILOVERS {
        let leading = leader(&addresses);
        let number = TICKETS + SEQUENTIAL + round;
        let start = Instant::now();
        cluster.replicas[leading].process.kill().unwrap();
        let answer = cluster.submit(number, &ticket(number), BOUND).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        print_time("a killed leader until the next verdict", start);
        cluster.replicas[leading].process.restart().unwrap();
        wait_confirmed(addresses[leading]);
    }

    for replica in &mut cluster.replicas {
        replica.process.kill().unwrap();
    }
    let start = Instant::now();
    for replica in &mut cluster.replicas {
        replica.process.restart().unwrap();
    }
    for address in addresses {
        wait_confirmed(address);
    }
    print_time(
        "all killed and restarted until all answer confirmed state",
        start,
    );
}

fn base_ticket() -> String {
    let zones: Vec<_> = (0..6).map(|zone| format!("\"zone-{zone}\"")).collect();
    format!(
        "number = 1\n[region.altiplano]\nzones = [{}]\ncap = 100000.0\n",
        zones.join(", ")
    )
}

/// A ticket with the whole new state of one service in six places.
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

/// Submits tickets from one number on, by some operators at once; gives the times in microseconds.
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
            .map(|_| scope.spawn(|| submit_some(address, &next, first + count)))
            .collect();
        for worker in workers {
            times.add(worker.join().unwrap()).unwrap();
        }
    });
    (times, start.elapsed())
}

fn submit_some(address: SocketAddr, next: &AtomicU64, end: u64) -> Histogram<u64> {
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
        // With several operators a higher number of the same service may come first.
        assert!([200, 409].contains(&answer.status), "{}", answer.text());
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap();
        times.record(micros).unwrap();
    }
}

fn leader(addresses: &[SocketAddr]) -> usize {
    let mut found = None;
    wait_until("a leader", BOUND, || {
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

fn wait_confirmed(address: SocketAddr) {
    wait_until("confirmed state", BOUND, || {
        let answer = HttpCall::get(address, "/v1/state").bearer(TOKEN).send();
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .unwrap();
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).unwrap();
    files
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum()
}

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

fn print_time(what: &str, start: Instant) {
    println!(
        "{}",
        json!({"time": what, "ms": start.elapsed().as_millis()})
    );
}
