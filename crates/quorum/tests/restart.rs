//! Time to elect a leader after all replicas were killed.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::time::Duration;

use rstest::rstest;
use support::cluster::SimulatedCluster;

/// Minimum election timeout; longer than any lease.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// A leader's lease ends when its process ends. If the leader itself restarts, the others must not
/// wait for the end of the lease.
#[rstest]
fn killed_replicas_elect_a_leader_before_the_lease_would_have_ended(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut cluster = SimulatedCluster::running(seed);
    let leader = cluster.leader().expect("a leader");
    cluster.propose(leader, b"before").unwrap();
    cluster.run_for(Duration::from_millis(300)).unwrap();
    for id in cluster.ids() {
        cluster.crash(id);
    }
    for id in cluster.ids() {
        cluster.start(id);
    }
    cluster.run_for(MIN_ELECTION_TIMEOUT * 3 / 4).unwrap();
    assert!(cluster.leader().is_some());
    cluster.converge().unwrap();
}

/// The lease of a leader that doesn't restart may still hold, so the others wait for its end, but not
/// much longer.
#[test]
fn killed_replicas_elect_a_leader_soon_after_the_lease_of_a_lost_one() {
    for seed in 1..=40 {
        let mut cluster = SimulatedCluster::running(seed);
        let leader = cluster.leader().expect("a leader");
        for id in cluster.ids() {
            cluster.crash(id);
        }
        for id in cluster.ids().into_iter().filter(|id| *id != leader) {
            cluster.start(id);
        }
        cluster.run_for(MIN_ELECTION_TIMEOUT * 2).unwrap();
        assert!(cluster.leader().is_some(), "seed {seed}");
        cluster.start(leader);
        cluster.converge().unwrap();
    }
}

/// The former leader may lack entries that the others have. Another replica must then be elected
/// without waiting for the full election timeout.
#[test]
fn a_leader_is_elected_soon_if_the_former_leader_lacks_entries() {
    let mut cluster = SimulatedCluster::running(3);
    let leader = cluster.leader().expect("a leader");
    cluster.conditions.max_sync_time = Duration::from_millis(200);
    cluster.propose(leader, b"late").unwrap();
    cluster.run_for(Duration::from_millis(100)).unwrap();
    for id in cluster.ids() {
        cluster.crash(id);
    }
    for id in cluster.ids() {
        cluster.start(id);
    }
    cluster.conditions.max_sync_time = Duration::from_millis(5);
    cluster.run_for(MIN_ELECTION_TIMEOUT * 3 / 2).unwrap();
    assert!(cluster.leader().is_some());
    cluster.converge().unwrap();
}

/// A follower that restarts must still respect the lease of its leader.
#[test]
fn restarted_followers_respect_the_lease_of_an_isolated_leader() {
    let mut cluster = SimulatedCluster::running(4);
    let leader = cluster.leader().expect("a leader");
    cluster.isolate(leader);
    for id in cluster.ids().into_iter().filter(|id| *id != leader) {
        cluster.crash(id);
        cluster.start(id);
    }
    cluster.run_for(MIN_ELECTION_TIMEOUT / 2).unwrap();
    assert_eq!(cluster.leader(), Some(leader), "nobody else leads");
    cluster.heal();
    cluster.converge().unwrap();
}

/// A leader whose disk was full opened its folder again, was elected before the others had noticed, and failed at the
/// next write, again and again: no change was accepted for seconds.
#[test]
fn another_replica_is_elected_after_the_disk_of_the_leader_failed() {
    for seed in 1..=40 {
        let mut cluster = SimulatedCluster::running(seed);
        let leader = cluster.leader().expect("a leader");
        cluster.fail_disk(leader);
        cluster.run_for(MIN_ELECTION_TIMEOUT * 5 / 2).unwrap();
        let next = cluster.leader().expect("a leader");
        assert_ne!(next, leader, "seed {seed}");
        cluster.converge().unwrap();
    }
}
