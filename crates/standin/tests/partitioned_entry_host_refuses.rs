//! Guards against an entry host that serves stale state while it is partitioned. A host that
//! reaches neither the control replicas nor most other entry hosts refuses new requests. As long as
//! it reaches most of them, it serves by the last state in force.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use proof::cluster::ProofCluster;
use proof::http::{HttpAnswer, HttpCall};
use proof::plan::BackendPlan;
use proof::wait::wait_until;

/// Time after which the heartbeat stamp of the control replicas is stale, with a margin.
const STALE_TIME: Duration = Duration::from_millis(3_500);

/// Maximum time from the partition until the host refuses new requests, with a margin for the steps
/// in between. A leaving backend server must get no new requests after 3 s.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Timeout from the end of the partition until the host serves again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

fn read(host: SocketAddr) -> HttpAnswer {
    HttpCall::get(host, "/s/ascent-lookup/read/1")
        .bound(Duration::from_secs(3))
        .send()
        .unwrap()
}

#[test]
fn host_without_control_serves_and_partitioned_host_refuses_until_the_partition_ends() {
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
    thread::sleep(STALE_TIME);
    assert_eq!(read(host).status, 200, "the host reaches most entry hosts");
    for other in &cluster.hosts[1..] {
        other.process.freeze().unwrap();
    }
    let refuses = || read(host).header("wisteria-reason") == "not-ready";
    let took = wait_until("a refusal", REFUSAL_TIMEOUT, refuses).unwrap();
    println!("refused {took:?} after the partition");
    let refused = read(host);
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("wisteria-outcome"), "not-run");
    assert!(!refused.header("retry-after").is_empty());
    assert!(!cluster.hosts[0].is_ready());
    for other in &cluster.hosts[1..] {
        other.process.thaw().unwrap();
    }
    let serves = || read(host).status == 200;
    wait_until(
        "service after most hosts are reachable again",
        RECOVERY_TIMEOUT,
        serves,
    )
    .unwrap();
    for replica in &cluster.replicas {
        replica.process.thaw().unwrap();
    }
    let is_ready = || cluster.hosts.iter().all(|host| host.is_ready());
    wait_until("readiness of every host", RECOVERY_TIMEOUT, is_ready).unwrap();
}
