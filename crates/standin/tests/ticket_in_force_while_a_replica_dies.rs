//! Tickets come into force on ten entry hosts within the bounds while a control replica dies.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use proof::cluster::ProofCluster;

/// Bound on the median of the times from acceptance to the last entry host.
const MEDIAN_BOUND: Duration = Duration::from_secs(2);

/// Bound on every such time.
const WORST_BOUND: Duration = Duration::from_secs(5);

/// Tickets, with a replica killed within the first half.
const TICKETS: u64 = 12;

#[test]
fn in_force_everywhere_within_the_bounds() {
    let mut cluster = ProofCluster::plan().entry_hosts(10).start().unwrap();
    cluster.set_up().unwrap();
    let leader = cluster
        .replicas
        .iter()
        .position(|replica| {
            let call = proof::http::HttpCall::get(replica.operators, "/v1/status");
            let status = call.bearer(proof::cluster::TOKEN).send().unwrap();
            status.json().unwrap()["role"] == "leader"
        })
        .expect("a replica leads");
    let mut times = Vec::new();
    for number in 2..2 + TICKETS {
        if number == 5 {
            cluster.replicas[leader].process.kill().unwrap();
        }
        let ticket = format!(
            "number = {number}\n[region.altiplano]\nzones = [\"altiplano-a\"]\ncap = {number}.0\n"
        );
        let revision = cluster.accept(number, &ticket).unwrap();
        times.push(cluster.wait_in_force(revision, WORST_BOUND).unwrap());
    }
    times.sort_unstable();
    println!("times from acceptance to the last of ten entry hosts: {times:?}");
    assert!(times[times.len() / 2] <= MEDIAN_BOUND, "{times:?}");
}
