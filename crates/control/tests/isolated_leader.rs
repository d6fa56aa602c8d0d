//! An isolated leader accepts no ticket and returns no stale state.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::thread;
use std::time::Duration;

use common::{
    get, other_replicas, put, region_ticket, start_cluster, submit, wait_for_leader,
    wait_for_state, wait_for_verdict, TIMEOUT,
};
use proof::http::HttpCall;
use proof::wait::wait_until;
use rstest::rstest;

/// Time of isolation, longer than any election.
const ISOLATION_TIME: Duration = Duration::from_secs(4);

#[test]
fn a_suspended_leader_returns_nothing_stale_after_it_resumes() {
    let cluster = start_cluster();
    submit(&cluster, 1, &region_ticket(1, "north", 10));
    let suspended = wait_for_leader(&cluster);
    cluster.replicas[suspended].process.freeze().unwrap();
    let address = cluster.replicas[suspended].operators;
    // These requests wait in the sockets of the suspended process, which handles them first when it
    // resumes.
    let waiting: Vec<_> = (0..8)
        .map(|_| {
            let call = HttpCall::get(address, "/v1/state").bearer(proof::cluster::TOKEN);
            thread::spawn(move || call.bound(TIMEOUT).send())
        })
        .collect();
    let pending = put_in_background(address, 2, &region_ticket(2, "north", 99));
    thread::sleep(ISOLATION_TIME);
    let [first, second] = other_replicas(suspended);
    for (number, index) in [(3, first), (4, second)] {
        let (status, _) =
            put_until_verdict(&cluster, index, number, &region_ticket(number, "north", 20));
        assert_eq!(status, 200);
    }
    cluster.replicas[suspended].process.thaw().unwrap();
    for call in waiting {
        let answer = call.join().unwrap().unwrap();
        let body = answer.json().unwrap();
        let fresh = answer.status == 200 && body["regions"]["north"]["ticket"] == 4;
        assert!(fresh || answer.status == 503, "{}: {body}", answer.status);
    }
    let (status, body) = pending.join().unwrap().unwrap_or_default();
    assert!([409, 503, 0].contains(&status), "{status}: {body}");
    let states: Vec<_> = cluster.replicas.iter().map(wait_for_state).collect();
    assert_eq!(states[0], states[1]);
    assert_eq!(states[1], states[2]);
    assert_eq!(states[0]["regions"]["north"]["ticket"], 4);
}

/// The ticket whose verdict is unknown may have reached a follower, and then the next leader commits it.
/// Either way one content holds the number, on all replicas.
#[test]
fn a_leader_without_a_quorum_accepts_nothing_and_all_replicas_agree_on_its_ticket() {
    let cluster = start_cluster();
    submit(&cluster, 1, &region_ticket(1, "north", 10));
    let isolated = wait_for_leader(&cluster);
    let [first, second] = other_replicas(isolated);
    for index in [first, second] {
        cluster.replicas[index].process.freeze().unwrap();
    }
    let isolated_replica = &cluster.replicas[isolated];
    // Immediately, while the replica still takes itself for the leader, and again after its lease
    // has expired.
    for pause in [Duration::ZERO, Duration::from_secs(2)] {
        thread::sleep(pause);
        let (status, body) = put(isolated_replica, 2, &region_ticket(2, "north", 99)).unwrap();
        assert_eq!((status, &body["verdict"]), (503, &"unknown".into()));
        let (status, _) = get(isolated_replica, "/v1/state").unwrap();
        assert_eq!(status, 503);
    }
    let (status, _) = get(isolated_replica, "/ready").unwrap();
    assert_eq!(status, 503);
    isolated_replica.process.freeze().unwrap();
    for index in [first, second] {
        cluster.replicas[index].process.thaw().unwrap();
    }
    let (status, body) = put_until_verdict(&cluster, first, 2, &region_ticket(2, "north", 20));
    let (held, other) = match status {
        200 => (20, 99),
        409 => (99, 20),
        _ => panic!("{status}: {body}"),
    };
    isolated_replica.process.thaw().unwrap();
    let verdicts: Vec<_> = cluster
        .replicas
        .iter()
        .map(|r| wait_for_verdict(r, 2))
        .collect();
    assert_eq!(verdicts[isolated], verdicts[first]);
    assert_eq!(verdicts[isolated], verdicts[second]);
    for (cap, expected) in [(held, 200), (other, 409)] {
        let ticket = region_ticket(2, "north", cap);
        let (status, _) = put_until_verdict(&cluster, isolated, 2, &ticket);
        assert_eq!(status, expected);
    }
    for replica in &cluster.replicas {
        let state = wait_for_state(replica);
        assert_eq!(state["regions"]["north"]["spec"]["cap"], f64::from(held));
    }
}

#[test]
fn a_ticket_sent_to_a_follower_while_the_leader_is_suspended_gets_its_verdict_in_one_call() {
    let cluster = start_cluster();
    for number in 1..=3 {
        let suspended = wait_for_leader(&cluster);
        let follower = &cluster.replicas[other_replicas(suspended)[0]];
        cluster.replicas[suspended].process.freeze().unwrap();
        let answer = put(follower, number, &region_ticket(number, "north", 1));
        cluster.replicas[suspended].process.thaw().unwrap();
        let (status, body) = answer.unwrap();
        assert_eq!(status, 200, "{body}");
        assert_eq!(wait_for_verdict(&cluster.replicas[suspended], number), body);
    }
}

#[rstest]
#[case::short(Duration::from_millis(400))]
#[case::about_the_lease_duration(Duration::from_millis(900))]
#[case::long(ISOLATION_TIME)]
fn all_replicas_agree_after_a_suspension_of_any_length(#[case] time: Duration) {
    let cluster = start_cluster();
    let mut number = 0;
    for _ in 0..2 {
        let suspended = wait_for_leader(&cluster);
        let address = cluster.replicas[suspended].operators;
        number += 1;
        let pending = put_in_background(address, number, &region_ticket(number, "north", 1));
        cluster.replicas[suspended].process.freeze().unwrap();
        thread::sleep(time);
        cluster.replicas[suspended].process.thaw().unwrap();
        pending.join().unwrap();
        put_until_verdict(
            &cluster,
            other_replicas(suspended)[0],
            number,
            &region_ticket(number, "north", 1),
        );
    }
    for number in 1..=number {
        let verdicts: Vec<_> = cluster
            .replicas
            .iter()
            .map(|r| wait_for_verdict(r, number))
            .collect();
        assert!(
            verdicts
                .iter()
                .all(|verdict| verdict["verdict"] == "accepted"),
            "{verdicts:?}"
        );
        assert!(
            verdicts.iter().all(|verdict| *verdict == verdicts[0]),
            "{verdicts:?}"
        );
    }
}

/// Submits a ticket to one replica in a thread of its own.
fn put_in_background(
    address: std::net::SocketAddr,
    number: u64,
    ticket: &str,
) -> thread::JoinHandle<common::Answer> {
    let call = HttpCall::put(address, format!("/v1/tickets/{number}"))
        .bearer(proof::cluster::TOKEN)
        .header("content-type", "application/toml")
        .body(ticket.to_string())
        .bound(TIMEOUT);
    thread::spawn(move || {
        let answer = call.send().ok()?;
        Some((answer.status, answer.json().unwrap_or_default()))
    })
}

/// Submits a ticket to one replica until the replica returns its verdict.
fn put_until_verdict(
    cluster: &proof::cluster::ProofCluster,
    index: usize,
    number: u64,
    ticket: &str,
) -> (u16, serde_json::Value) {
    let mut answer = None;
    wait_until("a verdict", TIMEOUT, || {
        answer = put(&cluster.replicas[index], number, ticket).filter(|(status, _)| *status != 503);
        answer.is_some()
    })
    .unwrap();
    answer.unwrap()
}
