//! Tickets come into force on ten entry hosts in time although the leader of the control replicas
//! is killed.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use proof::cluster::ProofCluster;

/// Maximum median time from a ticket's acceptance until it is in force on all entry hosts.
const MAX_MEDIAN_TIME: Duration = Duration::from_secs(2);

/// Maximum time from a single ticket's acceptance until it is in force on all entry hosts.
const MAX_TIME: Duration = Duration::from_secs(5);

/// Number of tickets; the leader is killed before the fourth.
const TICKETS: u64 = 12;

#[test]
fn tickets_come_into_force_in_time() {
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
        times.push(cluster.wait_in_force(revision, MAX_TIME).unwrap());
    }
    times.sort_unstable();
    println!("times from acceptance to the last of ten entry hosts: {times:?}");
    assert!(times[times.len() / 2] <= MAX_MEDIAN_TIME, "{times:?}");
}
