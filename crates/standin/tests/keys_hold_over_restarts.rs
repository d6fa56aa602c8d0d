//! Idempotency keys hold while the hosts that keep them restart.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use proof::cluster::ProofCluster;
use proof::http::{HttpAnswer, HttpCall};
use proof::plan::BackendPlan;
use proof::wait::wait_until;

/// Bound on the time from the start of an entry host until it is of use again.
const READY_BOUND: Duration = Duration::from_secs(10);

fn cluster() -> ProofCluster {
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

/// Sends until the answer is not that the key can't be confirmed.
fn send_until_confirmed(host: SocketAddr, key: &str) -> HttpAnswer {
    let mut answer = send(host, key);
    wait_until("a confirmed key", READY_BOUND, || {
        answer = send(host, key);
        !["key-unconfirmed", "not-ready", "no-backend"].contains(&answer.header("wisteria-reason"))
    })
    .unwrap();
    answer
}

#[test]
fn a_restarted_host_replays_the_answers_that_the_others_kept() {
    let mut cluster = cluster();
    let hosts: Vec<_> = cluster.hosts.iter().map(|host| host.callers).collect();
    let first = send_until_confirmed(hosts[0], "k1");
    assert_eq!(first.status, 200, "{first:?}");
    for (place, address) in hosts.iter().enumerate() {
        cluster.hosts[place].process.kill().unwrap();
        cluster.hosts[place].process.restart().unwrap();
        wait_until("a ready host", READY_BOUND, || {
            cluster.hosts[place].is_ready()
        })
        .unwrap();
        let again = send_until_confirmed(*address, "k1");
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(again.header("wisteria-replayed"), "true");
        assert_eq!(again.text(), first.text());
        // Until it has the others' records, another host must not go.
        let whole = || {
            let dump = HttpCall::get(*address, "/v1/dump").bearer(proof::cluster::TOKEN);
            let dump = dump.send().and_then(|answer| answer.json());
            dump.is_ok_and(|dump| dump["keys"]["recovering"] == false)
        };
        wait_until("whole records", READY_BOUND, whole).unwrap();
    }
    assert_eq!(cluster.standins[0].runs("k1").unwrap(), 1);
}

#[test]
fn hosts_that_all_forgot_refuse_keys_rather_than_run_one_twice() {
    let mut cluster = cluster();
    let hosts: Vec<_> = cluster.hosts.iter().map(|host| host.callers).collect();
    assert_eq!(send_until_confirmed(hosts[0], "k1").status, 200);
    for host in &mut cluster.hosts {
        host.process.kill().unwrap();
    }
    for host in &mut cluster.hosts {
        host.process.restart().unwrap();
    }
    for (place, address) in hosts.iter().enumerate() {
        wait_until("a ready host", READY_BOUND, || {
            cluster.hosts[place].is_ready()
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
