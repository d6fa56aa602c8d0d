//! One number has one verdict: in races, resent, after restarts and lost quorums.
#![allow(missing_docs, clippy::unwrap_used)]

mod common;

use common::{cluster, get, leader, others, put, region, state, submit, verdict};

#[test]
fn of_two_operators_with_equal_numbers_exactly_one_is_accepted() {
    let mut cluster = cluster();
    let mut verdicts = Vec::new();
    for number in 1..=20 {
        let places = [number as usize % 3, (number as usize + 1) % 3];
        let answers = std::thread::scope(|scope| {
            let racers = places.map(|place| {
                let replica = &cluster.replicas[place];
                let cap = 10 + u32::try_from(place).unwrap();
                scope.spawn(move || put(replica, number, &region(number, "north", cap)).unwrap())
            });
            racers.map(|racer| racer.join().unwrap())
        });
        let mut statuses = answers.each_ref().map(|(status, _)| *status);
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{answers:?}");
        let winner = answers.iter().find(|(status, _)| *status == 200).unwrap();
        let loser = answers.iter().find(|(status, _)| *status == 409).unwrap();
        assert_eq!(loser.1["verdict"], "conflict");
        assert_eq!(loser.1["holder"], winner.1["digest"]);
        verdicts.push((number, winner.1.clone()));
    }
    for round in 0..2 {
        for replica in &cluster.replicas {
            for (number, first) in &verdicts {
                assert_eq!(&verdict(replica, *number), first, "round {round}");
            }
        }
        cluster
            .replicas
            .iter_mut()
            .for_each(|r| r.process.restart().unwrap());
    }
}

#[test]
fn a_resent_ticket_gets_its_first_verdict_from_every_replica_and_after_restarts() {
    let mut cluster = cluster();
    let tickets = [
        (5, region(5, "north", 10)),
        (3, region(3, "north", 20)),
        (7, "number = 7\n[host.e1]\nzone = \"nowhere\"\ncallers = \"10.0.0.1:1\"\npeers = \"10.0.0.1:2\"\n".to_string()),
    ];
    let first: Vec<_> = tickets
        .iter()
        .map(|(n, t)| submit(&cluster, *n, t))
        .collect();
    let statuses: Vec<_> = first.iter().map(|(status, _)| *status).collect();
    assert_eq!(statuses, [200, 409, 422]);
    for _ in 0..2 {
        for replica in &cluster.replicas {
            for ((number, ticket), first) in tickets.iter().zip(&first) {
                let mut answer = put(replica, *number, ticket);
                while answer.is_none() || answer.as_ref().is_some_and(|(status, _)| *status == 503)
                {
                    answer = put(replica, *number, ticket);
                }
                assert_eq!(answer.as_ref(), Some(first));
            }
        }
        let killed = leader(&cluster);
        cluster.replicas[killed].process.restart().unwrap();
    }
}

#[test]
fn a_refused_ticket_applies_nothing() {
    let cluster = cluster();
    submit(&cluster, 5, &region(5, "north", 10));
    let before = state(&cluster.replicas[0]);
    let superseded = format!(
        "{}[region.south]\nzones = [\"south-a\"]\ncap = 1.0\n",
        region(4, "north", 20)
    );
    let (status, body) = submit(&cluster, 4, &superseded);
    assert_eq!((status, &body["verdict"]), (409, &"superseded".into()));
    assert_eq!(
        (&body["object"], &body["by"]),
        (&"region/north".into(), &5.into())
    );
    for replica in &cluster.replicas {
        assert_eq!(state(replica), before);
    }
}

#[test]
fn a_lost_quorum_makes_the_verdict_unknown_and_a_resend_settles_it() {
    let mut cluster = cluster();
    submit(&cluster, 1, &region(1, "north", 10));
    let kept = leader(&cluster);
    for place in others(kept) {
        cluster.replicas[place].process.kill().unwrap();
    }
    let ticket = region(2, "north", 20);
    for _ in 0..2 {
        let (status, body) = put(&cluster.replicas[kept], 2, &ticket).unwrap();
        assert_eq!((status, &body["verdict"]), (503, &"unknown".into()));
    }
    let (status, _) = get(&cluster.replicas[kept], "/v1/tickets/2").unwrap();
    assert_eq!(status, 503);
    for place in others(kept) {
        cluster.replicas[place].process.restart().unwrap();
    }
    let (status, first) = submit(&cluster, 2, &ticket);
    assert_eq!(status, 200);
    for replica in &cluster.replicas {
        assert_eq!(verdict(replica, 2), first);
    }
}
