//! An entry host without control and without most other hosts refuses new work; with most of them it
//! goes on with what was last in force.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use proof::cluster::ProofCluster;
use proof::http::{HttpAnswer, HttpCall};
use proof::plan::BackendPlan;
use proof::wait::wait_until;

/// Time after which a stamp is no longer fresh, and some more.
const STALE: Duration = Duration::from_millis(3_500);

/// Bound on the time from the cut until new work is refused: a leaving backend server gets none
/// after 3 s, and some more for the steps between.
const CUT_BOUND: Duration = Duration::from_millis(3_000);

/// Bound on the time from the end of the cut until the host serves again.
const BACK_BOUND: Duration = Duration::from_secs(5);

fn read(host: SocketAddr) -> HttpAnswer {
    HttpCall::get(host, "/s/ascent-lookup/read/1")
        .bound(Duration::from_secs(3))
        .send()
        .unwrap()
}

#[test]
fn detached_hosts_serve_and_a_cut_off_one_refuses_until_the_cut_ends() {
    let backend = BackendPlan::new("ascent-lookup", "altiplano-a");
    let cluster = ProofCluster::plan()
        .entry_hosts(3)
        .backend(backend)
        .start()
        .unwrap();
    cluster.set_up().unwrap();
    let host = cluster.hosts[0].callers;
    for replica in &cluster.replicas {
        replica.process.freeze().unwrap();
    }
    thread::sleep(STALE);
    assert_eq!(read(host).status, 200, "most entry hosts are in reach");
    for other in &cluster.hosts[1..] {
        other.process.freeze().unwrap();
    }
    let is_cut_off = || read(host).header("wisteria-reason") == "not-ready";
    let took = wait_until("a refusal", CUT_BOUND, is_cut_off).unwrap();
    println!("refused {took:?} after the cut");
    let refused = read(host);
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("wisteria-outcome"), "not-run");
    assert!(!refused.header("retry-after").is_empty());
    assert!(!cluster.hosts[0].is_ready());
    for other in &cluster.hosts[1..] {
        other.process.thaw().unwrap();
    }
    let serves = || read(host).status == 200;
    wait_until("service with most hosts back", BACK_BOUND, serves).unwrap();
    for replica in &cluster.replicas {
        replica.process.thaw().unwrap();
    }
    let is_ready = || cluster.hosts.iter().all(|host| host.is_ready());
    wait_until("every host ready", BACK_BOUND, is_ready).unwrap();
}
