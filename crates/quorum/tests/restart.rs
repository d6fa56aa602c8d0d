//! How soon there is a leader after all replicas were killed.
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
use support::world::TestWorld;

/// Silence after which a replica that knows nothing stands for election; no lease outlives it.
const ELECTION: Duration = Duration::from_millis(600);

fn running(seed: u64) -> TestWorld {
    let mut world = TestWorld::new(5, seed, None);
    world.form();
    for id in world.ids() {
        world.start(id);
    }
    world.run_for(Duration::from_secs(3)).unwrap();
    world
}

/// No lease can hold once the leader itself has started anew, so nobody needs to wait for its end.
#[rstest]
fn killed_replicas_have_a_leader_before_a_lease_could_end(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut world = running(seed);
    let leader = world.leader().expect("a leader");
    world.propose(leader, b"before").unwrap();
    world.run_for(Duration::from_millis(300)).unwrap();
    for id in world.ids() {
        world.crash(id);
    }
    for id in world.ids() {
        world.start(id);
    }
    world.run_for(ELECTION * 3 / 4).unwrap();
    assert!(world.leader().is_some());
    world.converge().unwrap();
}

/// The one that led may lack entries that the others have; then one of those leads.
#[test]
fn a_former_leader_without_the_latest_entries_lets_another_lead() {
    let mut world = running(3);
    let leader = world.leader().expect("a leader");
    world.odds.sync = Duration::from_millis(200);
    world.propose(leader, b"late").unwrap();
    world.run_for(Duration::from_millis(100)).unwrap();
    for id in world.ids() {
        world.crash(id);
    }
    for id in world.ids() {
        world.start(id);
    }
    world.odds.sync = Duration::from_millis(5);
    world.run_for(ELECTION * 3 / 2).unwrap();
    assert!(world.leader().is_some());
    world.converge().unwrap();
}

/// A follower that starts anew still holds its leader's lease.
#[test]
fn restarted_followers_keep_to_the_lease_of_a_leader_that_was_cut_off() {
    let mut world = running(4);
    let leader = world.leader().expect("a leader");
    world.cut(leader);
    for id in world.ids().into_iter().filter(|id| *id != leader) {
        world.crash(id);
        world.start(id);
    }
    world.run_for(ELECTION / 2).unwrap();
    assert_eq!(world.leader(), Some(leader), "nobody else leads");
    world.heal();
    world.converge().unwrap();
}
