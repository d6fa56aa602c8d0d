//! Three control replicas, tickets to put to them, and what they answer.
#![allow(dead_code, clippy::unwrap_used)]

use std::time::Duration;

use proof::cluster::{ControlReplica, ProofCluster, TOKEN};
use proof::http::HttpCall;
use proof::wait::wait_until;
use serde_json::Value;

pub(crate) const BOUND: Duration = Duration::from_secs(20);

/// Status and body of an answer; none where the replica gave none.
pub(crate) type Answer = Option<(u16, Value)>;

pub(crate) fn cluster() -> ProofCluster {
    let cluster = ProofCluster::plan().entry_hosts(0).start().unwrap();
    leader(&cluster);
    cluster
}

/// A ticket that sets one region.
pub(crate) fn region(number: u64, name: &str, cap: u32) -> String {
    format!("number = {number}\n[region.{name}]\nzones = [\"{name}-a\"]\ncap = {cap}.0\n")
}

pub(crate) fn put(replica: &ControlReplica, number: u64, ticket: &str) -> Answer {
    let call = HttpCall::put(replica.operators, format!("/v1/tickets/{number}"))
        .bearer(TOKEN)
        .header("content-type", "application/toml")
        .body(ticket.to_string())
        .bound(Duration::from_secs(4));
    let answer = call.send().ok()?;
    Some((answer.status, answer.json().unwrap_or_default()))
}

pub(crate) fn get(replica: &ControlReplica, path: &str) -> Answer {
    let call = HttpCall::get(replica.operators, path)
        .bearer(TOKEN)
        .bound(Duration::from_secs(4));
    let answer = call.send().ok()?;
    Some((answer.status, answer.json().unwrap_or_default()))
}

/// Submits to the replicas in turn until one knows the verdict.
pub(crate) fn submit(cluster: &ProofCluster, number: u64, ticket: &str) -> (u16, Value) {
    let answer = cluster.submit(number, ticket, BOUND).unwrap();
    (answer.status, answer.json().unwrap())
}

/// Returns the verdict that a replica gives on a number, once it gives one.
pub(crate) fn verdict(replica: &ControlReplica, number: u64) -> Value {
    let mut verdict = Value::Null;
    wait_until("a verdict", BOUND, || {
        let answer = get(replica, &format!("/v1/tickets/{number}"));
        verdict = answer
            .map(|(_, body)| body["verdict"].clone())
            .unwrap_or_default();
        verdict.is_object()
    })
    .unwrap();
    verdict
}

/// Waits for a leader that holds the lease, and returns its place in the list.
pub(crate) fn leader(cluster: &ProofCluster) -> usize {
    let mut found = None;
    wait_until("a leader", BOUND, || {
        found = cluster.replicas.iter().position(|replica| {
            let status = get(replica, "/v1/status").map(|(_, body)| body);
            status.is_some_and(|status| status["lease"] == true)
        });
        found.is_some()
    })
    .unwrap();
    found.unwrap()
}

/// Returns the two places that are not the given one.
pub(crate) fn others(place: usize) -> [usize; 2] {
    [(place + 1) % 3, (place + 2) % 3]
}

/// Reads the confirmed state of a replica, once it gives one.
pub(crate) fn state(replica: &ControlReplica) -> Value {
    let mut state = Value::Null;
    wait_until("a confirmed state", BOUND, || {
        match get(replica, "/v1/state") {
            Some((200, body)) => {
                state = body;
                true
            }
            _ => false,
        }
    })
    .unwrap();
    state
}
