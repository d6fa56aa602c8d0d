//! Guards against lost idempotency keys: restarts of the entry hosts that store them must not let a
//! request run twice.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use proof::cluster::ProofCluster;
use proof::http::{HttpAnswer, HttpCall};
use proof::plan::BackendPlan;
use proof::wait::wait_until;

/// Timeout from the start of an entry host until it serves again.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

fn start_cluster() -> ProofCluster {
    let backend = BackendPlan::new("entry-sales", "altiplano-a").class("write");
    let cluster = ProofCluster::plan()
        .entry_hosts(3)
        .backend(backend)
        .start()
        .unwrap();
    cluster.set_up().unwrap();
    cluster
}

fn send(host: SocketAddr, key: &str) -> HttpAnswer {
    HttpCall::post(host, format!("/s/entry-sales/entry/{key}"))
        .header("idempotency-key", key)
        .header("wisteria-deadline-ms", "4000")
        .body("ascent")
        .send()
        .unwrap()
}

/// Sends a request until the host can confirm its key and has a backend server for it.
fn send_until_confirmed(host: SocketAddr, key: &str) -> HttpAnswer {
    let mut answer = send(host, key);
    wait_until("confirmation of the key", READY_TIMEOUT, || {
        answer = send(host, key);
        !["key-unconfirmed", "not-ready", "no-backend"].contains(&answer.header("wisteria-reason"))
    })
    .unwrap();
    answer
}

#[test]
fn restarted_host_replays_answers_stored_by_the_others() {
    let mut cluster = start_cluster();
    let hosts: Vec<_> = cluster.hosts.iter().map(|host| host.callers).collect();
    let first = send_until_confirmed(hosts[0], "k1");
    assert_eq!(first.status, 200, "{first:?}");
    wait_until("replay of the stored answer", READY_TIMEOUT, || {
        send(hosts[1], "k1").header("wisteria-replayed") == "true"
    })
    .unwrap();
    for (index, address) in hosts.iter().enumerate() {
        cluster.hosts[index].process.kill().unwrap();
        cluster.hosts[index].process.restart().unwrap();
        wait_until("readiness of the restarted host", READY_TIMEOUT, || {
            cluster.hosts[index].is_ready()
        })
        .unwrap();
        let again = send_until_confirmed(*address, "k1");
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(again.header("wisteria-replayed"), "true");
        assert_eq!(again.text(), first.text());
        // No other host may stop until this one has recovered the records of the others.
        let has_recovered = || {
            let dump = HttpCall::get(*address, "/v1/dump").bearer(proof::cluster::TOKEN);
            let dump = dump.send().and_then(|answer| answer.json());
            dump.is_ok_and(|dump| dump["keys"]["recovering"] == false)
        };
        wait_until("recovery of the records", READY_TIMEOUT, has_recovered).unwrap();
    }
    assert_eq!(cluster.standins[0].runs("k1").unwrap(), 1);
}

#[test]
fn used_key_is_refused_after_all_hosts_lost_their_records() {
    let mut cluster = start_cluster();
    let hosts: Vec<_> = cluster.hosts.iter().map(|host| host.callers).collect();
    assert_eq!(send_until_confirmed(hosts[0], "k1").status, 200);
    for host in &mut cluster.hosts {
        host.process.kill().unwrap();
    }
    for host in &mut cluster.hosts {
        host.process.restart().unwrap();
    }
    for (index, address) in hosts.iter().enumerate() {
        wait_until("readiness of the restarted host", READY_TIMEOUT, || {
            cluster.hosts[index].is_ready()
        })
        .unwrap();
        let again = send(*address, "k1");
        assert_eq!(again.status, 503, "{again:?}");
        assert_eq!(again.header("wisteria-reason"), "key-unconfirmed");
        assert_eq!(again.header("wisteria-outcome"), "unknown");
        assert!(!again.header("retry-after").is_empty());
    }
    assert_eq!(cluster.standins[0].runs("k1").unwrap(), 1);
}
