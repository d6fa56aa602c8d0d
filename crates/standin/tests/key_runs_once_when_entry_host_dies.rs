//! Guards against double execution after the death of an entry host: callers that wait for its
//! answers retry at a second host with the same idempotency keys.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use proof::cluster::ProofCluster;
use proof::error::ProofError;
use proof::http::{HttpAnswer, HttpCall};
use proof::plan::BackendPlan;

/// Number of write requests, one per caller.
const REQUESTS: usize = 24;

fn send(host: SocketAddr, key: &str) -> Result<HttpAnswer, ProofError> {
    HttpCall::post(host, format!("/s/entry-sales/entry/{key}"))
        .header("idempotency-key", key)
        .header("request-id", key)
        .header("wisteria-deadline-ms", "5000")
        .body("ascent")
        .bound(Duration::from_secs(8))
        .send()
}

#[test]
fn request_runs_at_most_once() {
    let backend = BackendPlan::new("entry-sales", "altiplano-a")
        .class("write")
        .servers(3)
        .flag("slots", 8)
        .flag("write-time", "300ms");
    let mut cluster = ProofCluster::plan()
        .entry_hosts(4)
        .backend(backend)
        .start()
        .unwrap();
    cluster.set_up().unwrap();
    let (first, second) = (cluster.hosts[0].callers, cluster.hosts[1].callers);
    let callers: Vec<_> = (0..REQUESTS)
        .map(|index| {
            // The requests start over 300 ms, so that the kill interrupts them at different stages.
            thread::sleep(Duration::from_millis(12));
            thread::spawn(move || {
                let key = format!("k{index}");
                send(first, &key).or_else(|_| send(second, &key))
            })
        })
        .collect();
    cluster.hosts[0].process.kill().unwrap();
    let mut answered = 0;
    for (index, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().unwrap();
        let runs = cluster.standins[0].runs(&format!("k{index}")).unwrap();
        assert!(runs <= 1, "k{index} ran {runs} times");
        let answer = answer.unwrap();
        let outcome = answer.header("wisteria-outcome");
        match (answer.status, outcome) {
            (200, _) => assert_eq!(runs, 1, "k{index} was answered but did not run"),
            (_, "not-run") => assert_eq!(runs, 0, "k{index} was refused as not run but ran"),
            (_, outcome) => assert_eq!(outcome, "unknown", "k{index}: {answer:?}"),
        }
        answered += usize::from(answer.status == 200);
    }
    assert!(answered > 0, "no request was answered");
}
