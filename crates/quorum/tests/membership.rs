//! Replicas that join, are replaced, and come back.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use quorum::ids;
use support::world::TestWorld;

/// Three replicas form and two join, as voters.
fn five_voters(nodes: u64) -> TestWorld {
    let mut world = TestWorld::new(nodes, 7, None);
    world.growth = Some((3, 5));
    for id in 1..=5 {
        world.start(id);
    }
    world.run_for(Duration::from_secs(4)).unwrap();
    world.formed = true;
    world
}

fn voters(world: &TestWorld) -> BTreeSet<ids::ReplicaId> {
    let leader = world.leader().expect("a leader");
    let machine = world.nodes[&leader].machine.as_ref().unwrap();
    machine.voters().collect()
}

fn committed(world: &mut TestWorld, command: &[u8]) -> bool {
    let Some(leader) = world.leader() else {
        return false;
    };
    let request = world.propose(leader, command).unwrap();
    world.run_for(Duration::from_secs(1)).unwrap();
    matches!(
        world.outcomes.get(&request),
        Some(quorum::event::AnswerOutcome::Committed { .. })
    )
}

#[test]
fn replicas_beyond_the_first_three_become_voters() {
    let world = five_voters(5);
    assert_eq!(voters(&world), BTreeSet::from([1, 2, 3, 4, 5]));
}

#[test]
fn two_of_five_voters_may_be_lost_with_their_disks() {
    let mut world = five_voters(5);
    assert!(committed(&mut world, b"before"));
    world.lose_disk(1);
    world.lose_disk(2);
    world.run_for(Duration::from_secs(3)).unwrap();
    assert!(committed(&mut world, b"after"));
    world.start(1);
    world.start(2);
    world.converge().unwrap();
}

#[test]
fn a_replica_that_waits_takes_the_place_of_a_silent_voter() {
    let mut world = five_voters(6);
    world.crash(5);
    world.start(6);
    world.run_for(Duration::from_secs(4)).unwrap();
    assert_eq!(voters(&world), BTreeSet::from([1, 2, 3, 4, 6]));
    assert!(committed(&mut world, b"after"));
}

#[test]
fn a_replica_that_waits_changes_nothing_while_all_voters_answer() {
    let mut world = five_voters(6);
    world.start(6);
    world.run_for(Duration::from_secs(4)).unwrap();
    assert_eq!(voters(&world), BTreeSet::from([1, 2, 3, 4, 5]));
}

#[test]
fn a_replaced_voter_that_comes_back_waits_for_a_place() {
    let mut world = five_voters(6);
    world.crash(5);
    world.start(6);
    world.run_for(Duration::from_secs(4)).unwrap();
    world.start(5);
    world.run_for(Duration::from_secs(4)).unwrap();
    assert_eq!(voters(&world), BTreeSet::from([1, 2, 3, 4, 6]));
    world.crash(1);
    world.run_for(Duration::from_secs(6)).unwrap();
    assert_eq!(voters(&world), BTreeSet::from([2, 3, 4, 5, 6]));
}

#[test]
fn blank_replicas_that_may_not_found_never_form() {
    let mut world = TestWorld::new(3, 11, None);
    world.growth = Some((3, 5));
    world.formed = true;
    for id in 1..=3 {
        world.start(id);
    }
    world.run_for(Duration::from_secs(10)).unwrap();
    assert_eq!(world.leader(), None);
}

/// It must not count itself as a voter, also where the entry that replaced it is gone from the
/// log and it learns of it by a snapshot.
#[test]
fn a_replaced_voter_that_is_sent_a_snapshot_is_a_voter_no_more() {
    let mut world = five_voters(6);
    world.crash(5);
    world.start(6);
    world.run_for(Duration::from_secs(4)).unwrap();
    let leader = world.leader().unwrap();
    for number in 0..600_u32 {
        world.propose(leader, &number.to_le_bytes()).unwrap();
        world.run_for(Duration::from_millis(20)).unwrap();
    }
    world.run_for(Duration::from_secs(2)).unwrap();
    for id in [1, 2, 3, 4, 6] {
        world.snapshot(id).unwrap();
    }
    world.run_for(Duration::from_secs(1)).unwrap();
    world.start(5);
    world.run_for(Duration::from_secs(3)).unwrap();
    let report = world.nodes[&5].machine.as_ref().unwrap().report(world.now);
    assert!(report.snapshot_index > 0, "{report:?}");
    assert!(!report.member, "{report:?}");
}
