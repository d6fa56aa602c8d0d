//! Guards against stale state after a restart: an entry host that was down while hundreds of
//! tickets were accepted serves only by the current state.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use proof::cluster::ProofCluster;
use proof::http::HttpCall;
use proof::plan::BackendPlan;

/// Number of tickets that are accepted while the host is down.
const MISSED_TICKETS: u64 = 300;

/// Timeout from the start of the host until it has the current state in force.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn restarted_host_refuses_requests_until_it_has_the_current_state() {
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
    for number in 3..3 + MISSED_TICKETS {
        let ticket = format!(
            "number = {number}\n[region.altiplano]\nzones = [\"altiplano-a\"]\ncap = {number}.0\n"
        );
        revision = cluster.accept(number, &ticket).unwrap();
    }
    cluster.wait_in_force(revision, READY_TIMEOUT).unwrap();
    cluster.hosts[0].process.restart().unwrap();
    let start = Instant::now();
    let host = &cluster.hosts[0];
    let mut refusals = 0;
    while !host.is_ready() {
        assert!(start.elapsed() < READY_TIMEOUT, "not ready in time");
        let call = HttpCall::get(host.callers, "/s/ascent-lookup/read/1");
        if let Ok(answer) = call.bound(Duration::from_secs(1)).send() {
            assert_ne!(answer.status, 200, "the host served a removed service");
            assert_eq!(answer.header("wisteria-outcome"), "not-run");
            refusals += 1;
        }
    }
    println!(
        "ready after {:?}; refused {refusals} requests before",
        start.elapsed()
    );
    assert_eq!(host.revision(), Some(revision));
    let answer = HttpCall::get(host.callers, "/s/ascent-lookup/read/1")
        .send()
        .unwrap();
    assert_eq!(answer.header("wisteria-outcome"), "not-run", "{answer:?}");
    assert_ne!(answer.status, 200);
}
