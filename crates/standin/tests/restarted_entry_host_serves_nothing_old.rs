//! An entry host that hundreds of tickets passed by while it was down serves nothing old.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use proof::cluster::ProofCluster;
use proof::http::HttpCall;
use proof::plan::BackendPlan;

/// Tickets that pass the host by.
const PASSED: u64 = 300;

/// Bound on the time from its start until it serves what is in force.
const FRESH_BOUND: Duration = Duration::from_secs(5);

#[test]
fn restarted_host_serves_what_is_in_force_or_nothing() {
    let mut cluster = ProofCluster::plan()
        .entry_hosts(3)
        .backend(BackendPlan::new("ascent-lookup", "altiplano-a"))
        .start()
        .unwrap();
    cluster.set_up().unwrap();
    cluster.hosts[0].process.kill().unwrap();
    let mut revision = cluster
        .accept(2, "number = 2\nremove = [\"service/ascent-lookup\"]\n")
        .unwrap();
    for number in 3..3 + PASSED {
        let ticket = format!(
            "number = {number}\n[region.altiplano]\nzones = [\"altiplano-a\"]\ncap = {number}.0\n"
        );
        revision = cluster.accept(number, &ticket).unwrap();
    }
    cluster.wait_in_force(revision, FRESH_BOUND).unwrap();
    cluster.hosts[0].process.restart().unwrap();
    let start = Instant::now();
    let host = &cluster.hosts[0];
    let mut looks = 0;
    while !host.is_ready() {
        assert!(start.elapsed() < FRESH_BOUND, "not ready in time");
        let call = HttpCall::get(host.callers, "/s/ascent-lookup/read/1");
        if let Ok(answer) = call.bound(Duration::from_secs(1)).send() {
            assert_ne!(answer.status, 200, "it served a service that is gone");
            assert_eq!(answer.header("wisteria-outcome"), "not-run");
            looks += 1;
        }
    }
    println!(
        "ready after {:?}, {looks} requests refused before",
        start.elapsed()
    );
    assert_eq!(host.revision(), Some(revision));
    let answer = HttpCall::get(host.callers, "/s/ascent-lookup/read/1")
        .send()
        .unwrap();
    assert_eq!(answer.header("wisteria-outcome"), "not-run", "{answer:?}");
    assert_ne!(answer.status, 200);
}
