//! A leader that is cut off accepts nothing by itself and answers no stale state.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use std::thread;
use std::time::Duration;

use common::{cluster, get, leader, others, put, region, state, submit, verdict, BOUND};
use proof::http::HttpCall;
use proof::wait::wait_until;
use rstest::rstest;

/// Longer than any election.
const CUT: Duration = Duration::from_secs(4);

#[test]
fn a_frozen_leader_answers_nothing_stale_when_it_goes_on() {
    let cluster = cluster();
    submit(&cluster, 1, &region(1, "north", 10));
    let cut = leader(&cluster);
    cluster.replicas[cut].process.freeze().unwrap();
    let address = cluster.replicas[cut].operators;
    // These wait in the frozen process's sockets and are the first that it works on.
    let waiting: Vec<_> = (0..8)
        .map(|_| {
            let call = HttpCall::get(address, "/v1/state").bearer(proof::cluster::TOKEN);
            thread::spawn(move || call.bound(BOUND).send())
        })
        .collect();
    let alone = put_in_background(address, 2, &region(2, "north", 99));
    thread::sleep(CUT);
    let [first, second] = others(cut);
    for (number, place) in [(3, first), (4, second)] {
        let (status, _) = put_until_known(&cluster, place, number, &region(number, "north", 20));
        assert_eq!(status, 200);
    }
    cluster.replicas[cut].process.thaw().unwrap();
    for call in waiting {
        let answer = call.join().unwrap().unwrap();
        let body = answer.json().unwrap();
        let fresh = answer.status == 200 && body["regions"]["north"]["ticket"] == 4;
        assert!(fresh || answer.status == 503, "{}: {body}", answer.status);
    }
    let (status, body) = alone.join().unwrap().unwrap_or_default();
    assert!([409, 503, 0].contains(&status), "{status}: {body}");
    let states: Vec<_> = cluster.replicas.iter().map(state).collect();
    assert_eq!(states[0], states[1]);
    assert_eq!(states[1], states[2]);
    assert_eq!(states[0]["regions"]["north"]["ticket"], 4);
}

#[test]
fn a_leader_without_a_quorum_accepts_nothing_and_its_ticket_does_not_come_back() {
    let cluster = cluster();
    submit(&cluster, 1, &region(1, "north", 10));
    let cut = leader(&cluster);
    let [first, second] = others(cut);
    for place in [first, second] {
        cluster.replicas[place].process.freeze().unwrap();
    }
    let alone = &cluster.replicas[cut];
    // At once, while it still believes that it leads, and again once it can't.
    for pause in [Duration::ZERO, Duration::from_secs(2)] {
        thread::sleep(pause);
        let (status, body) = put(alone, 2, &region(2, "north", 99)).unwrap();
        assert_eq!((status, &body["verdict"]), (503, &"unknown".into()));
        let (status, _) = get(alone, "/v1/state").unwrap();
        assert_eq!(status, 503);
    }
    let (status, _) = get(alone, "/ready").unwrap();
    assert_eq!(status, 503);
    alone.process.freeze().unwrap();
    for place in [first, second] {
        cluster.replicas[place].process.thaw().unwrap();
    }
    let (status, _) = put_until_known(&cluster, first, 2, &region(2, "north", 20));
    assert_eq!(status, 200);
    alone.process.thaw().unwrap();
    let verdicts: Vec<_> = cluster.replicas.iter().map(|r| verdict(r, 2)).collect();
    assert_eq!(verdicts[cut], verdicts[first]);
    assert_eq!(verdicts[cut], verdicts[second]);
    let (status, _) = put_until_known(&cluster, cut, 2, &region(2, "north", 99));
    assert_eq!(status, 409);
    assert_eq!(state(alone)["regions"]["north"]["spec"]["cap"], 20.0);
}

#[test]
fn a_ticket_put_to_a_follower_as_the_leader_freezes_gets_its_verdict_in_one_call() {
    let cluster = cluster();
    for number in 1..=3 {
        let frozen = leader(&cluster);
        let follower = &cluster.replicas[others(frozen)[0]];
        cluster.replicas[frozen].process.freeze().unwrap();
        let answer = put(follower, number, &region(number, "north", 1));
        cluster.replicas[frozen].process.thaw().unwrap();
        let (status, body) = answer.unwrap();
        assert_eq!(status, 200, "{body}");
        assert_eq!(verdict(&cluster.replicas[frozen], number), body);
    }
}

#[rstest]
#[case::short(Duration::from_millis(400))]
#[case::about_the_lease(Duration::from_millis(900))]
#[case::long(CUT)]
fn after_a_freeze_of_any_length_every_replica_agrees(#[case] cut: Duration) {
    let cluster = cluster();
    let mut number = 0;
    for _ in 0..2 {
        let frozen = leader(&cluster);
        let address = cluster.replicas[frozen].operators;
        number += 1;
        let alone = put_in_background(address, number, &region(number, "north", 1));
        cluster.replicas[frozen].process.freeze().unwrap();
        thread::sleep(cut);
        cluster.replicas[frozen].process.thaw().unwrap();
        alone.join().unwrap();
        put_until_known(
            &cluster,
            others(frozen)[0],
            number,
            &region(number, "north", 1),
        );
    }
    for number in 1..=number {
        let verdicts: Vec<_> = cluster
            .replicas
            .iter()
            .map(|r| verdict(r, number))
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

fn put_in_background(
    address: std::net::SocketAddr,
    number: u64,
    ticket: &str,
) -> thread::JoinHandle<common::Answer> {
    let call = HttpCall::put(address, format!("/v1/tickets/{number}"))
        .bearer(proof::cluster::TOKEN)
        .header("content-type", "application/toml")
        .body(ticket.to_string())
        .bound(BOUND);
    thread::spawn(move || {
        let answer = call.send().ok()?;
        Some((answer.status, answer.json().unwrap_or_default()))
    })
}

/// Puts a ticket to one replica until its verdict is known.
fn put_until_known(
    cluster: &proof::cluster::ProofCluster,
    place: usize,
    number: u64,
    ticket: &str,
) -> (u16, serde_json::Value) {
    let mut known = None;
    wait_until("a verdict", BOUND, || {
        known = put(&cluster.replicas[place], number, ticket).filter(|(status, _)| *status != 503);
        known.is_some()
    })
    .unwrap();
    known.unwrap()
}
