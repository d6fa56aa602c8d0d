//! Two groups of replicas that don't reach each other, while a third reaches both.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::time::Duration;

use quorum::event::{AnswerOutcome, Role};
use quorum::ids::ReplicaId;
use rstest::rstest;
use support::cluster::SimulatedCluster;

/// Time in which replicas that reach a quorum have a leader: an election timeout, whose length is up to
/// 1.2 s, and a second one after a split vote.
const ELECTION_TIME: Duration = Duration::from_millis(2_500);

/// Returns a leader that reaches a quorum, by a proposal that is committed while the cut lasts.
fn committing_leader(cluster: &mut SimulatedCluster) -> Option<ReplicaId> {
    let leader = cluster.leader()?;
    let request = cluster.propose(leader, b"during the cut").unwrap();
    cluster.run_for(Duration::from_millis(300)).unwrap();
    let outcome = cluster.outcomes.get(&request);
    matches!(outcome, Some(AnswerOutcome::Committed { .. })).then_some(leader)
}

/// Each group together with the bridge is a quorum, or at least one of them. A leader must be found, and
/// the other group must not take the leadership away from it again and again.
#[rstest]
#[case::two_and_two(2, 2)]
#[case::one_and_three(1, 3)]
#[case::three_and_one(3, 1)]
#[case::one_and_one(1, 1)]
fn one_leader_commits_while_two_groups_are_cut(
    #[case] first: usize,
    #[case] second: usize,
    #[values(false, true)] one_way: bool,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut cluster = SimulatedCluster::running(seed);
    let ids = cluster.ids();
    let (group, rest) = ids.split_at(first);
    cluster.cut_groups(group, &rest[..second], one_way);
    cluster.run_for(ELECTION_TIME).unwrap();
    let leader = committing_leader(&mut cluster).expect("a leader that commits");
    for _ in 0..10 {
        cluster.run_for(Duration::from_millis(700)).unwrap();
        assert_eq!(committing_leader(&mut cluster), Some(leader));
    }
    cluster.heal();
    cluster.converge().unwrap();
}

/// The bridge alone can lead all: without it, no group has a quorum, and nothing may be committed.
#[test]
fn without_the_bridge_no_group_commits() {
    let mut cluster = SimulatedCluster::running(6);
    let ids = cluster.ids();
    cluster.cut_groups(&ids[..2], &ids[3..], false);
    cluster.run_for(ELECTION_TIME).unwrap();
    cluster.crash(ids[2]);
    cluster.run_for(ELECTION_TIME).unwrap();
    assert_eq!(committing_leader(&mut cluster), None);
    cluster.start(ids[2]);
    cluster.run_for(ELECTION_TIME).unwrap();
    assert!(committing_leader(&mut cluster).is_some());
    let leaders = ids
        .iter()
        .filter(|id| cluster.role(**id) == Some(Role::Leader));
    assert_eq!(leaders.count(), 1);
}
