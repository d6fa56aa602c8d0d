//! Membership changes: replicas that join, replace a silent voter, or return after a replacement.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use quorum::config::QuorumConfig;
use quorum::entry::{EntryPayload, HardState, LogEntry, RecoveredState};
use quorum::event::{Effect, Event};
use quorum::ids;
use quorum::machine::QuorumMachine;
use quorum::message::{Message, MessageBody};
use support::cluster::SimulatedCluster;

/// Returns a cluster that was bootstrapped by three replicas and that two others joined as voters.
/// If `nodes` is more than five, the remaining replicas are not started.
fn five_voters(nodes: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(nodes, 7, None);
    cluster.growth = Some((3, 5));
    for id in 1..=5 {
        cluster.start(id);
    }
    cluster.run_for(Duration::from_secs(4)).unwrap();
    cluster.bootstrapped = true;
    cluster
}

fn voters(cluster: &SimulatedCluster) -> BTreeSet<ids::ReplicaId> {
    let leader = cluster.leader().expect("a leader");
    let machine = cluster.nodes[&leader].machine.as_ref().unwrap();
    machine.voters().collect()
}

/// Proposes a command to the leader and returns whether it is committed within a second.
fn commits(cluster: &mut SimulatedCluster, command: &[u8]) -> bool {
    let Some(leader) = cluster.leader() else {
        return false;
    };
    let request = cluster.propose(leader, command).unwrap();
    cluster.run_for(Duration::from_secs(1)).unwrap();
    matches!(
        cluster.outcomes.get(&request),
        Some(quorum::event::AnswerOutcome::Committed { .. })
    )
}

#[test]
fn replicas_beyond_the_first_three_become_voters() {
    let cluster = five_voters(5);
    assert_eq!(voters(&cluster), BTreeSet::from([1, 2, 3, 4, 5]));
}

#[test]
fn five_voters_survive_the_loss_of_two_disks() {
    let mut cluster = five_voters(5);
    assert!(commits(&mut cluster, b"before"));
    cluster.lose_disk(1);
    cluster.lose_disk(2);
    cluster.run_for(Duration::from_secs(3)).unwrap();
    assert!(commits(&mut cluster, b"after"));
    cluster.start(1);
    cluster.start(2);
    cluster.converge().unwrap();
}

#[test]
fn a_learner_replaces_a_silent_voter() {
    let mut cluster = five_voters(6);
    cluster.crash(5);
    cluster.start(6);
    cluster.run_for(Duration::from_secs(4)).unwrap();
    assert_eq!(voters(&cluster), BTreeSet::from([1, 2, 3, 4, 6]));
    assert!(commits(&mut cluster, b"after"));
}

#[test]
fn a_learner_is_not_admitted_while_all_voters_answer() {
    let mut cluster = five_voters(6);
    cluster.start(6);
    cluster.run_for(Duration::from_secs(4)).unwrap();
    assert_eq!(voters(&cluster), BTreeSet::from([1, 2, 3, 4, 5]));
}

#[test]
fn a_replaced_voter_rejoins_as_a_learner_until_another_voter_is_silent() {
    let mut cluster = five_voters(6);
    cluster.crash(5);
    cluster.start(6);
    cluster.run_for(Duration::from_secs(4)).unwrap();
    cluster.start(5);
    cluster.run_for(Duration::from_secs(4)).unwrap();
    assert_eq!(voters(&cluster), BTreeSet::from([1, 2, 3, 4, 6]));
    cluster.crash(1);
    cluster.run_for(Duration::from_secs(6)).unwrap();
    assert_eq!(voters(&cluster), BTreeSet::from([2, 3, 4, 5, 6]));
}

#[test]
fn blank_replicas_that_may_not_bootstrap_never_elect_a_leader() {
    let mut cluster = SimulatedCluster::new(3, 11, None);
    cluster.growth = Some((3, 5));
    cluster.bootstrapped = true;
    for id in 1..=3 {
        cluster.start(id);
    }
    cluster.run_for(Duration::from_secs(10)).unwrap();
    assert_eq!(cluster.leader(), None);
}

/// A replaced voter must not consider itself a voter if the entry that replaced it is compacted and
/// only a snapshot shows the replacement.
#[test]
fn a_replaced_voter_learns_of_its_removal_from_a_snapshot() {
    let mut cluster = five_voters(6);
    cluster.crash(5);
    cluster.start(6);
    cluster.run_for(Duration::from_secs(4)).unwrap();
    let leader = cluster.leader().unwrap();
    for number in 0..600_u32 {
        cluster.propose(leader, &number.to_le_bytes()).unwrap();
        cluster.run_for(Duration::from_millis(20)).unwrap();
    }
    cluster.run_for(Duration::from_secs(2)).unwrap();
    for id in [1, 2, 3, 4, 6] {
        cluster.snapshot(id).unwrap();
    }
    cluster.run_for(Duration::from_secs(1)).unwrap();
    cluster.start(5);
    cluster.run_for(Duration::from_secs(3)).unwrap();
    let report = cluster.nodes[&5]
        .machine
        .as_ref()
        .unwrap()
        .report(cluster.now);
    assert!(report.snapshot_index > 0, "{report:?}");
    assert!(!report.member, "{report:?}");
}

/// A voter that was replaced while it was suspended must not vote again because others report what the
/// bootstrap entry says of it: its half of a split would elect a second leader.
#[test]
fn a_replaced_voter_gives_its_half_of_a_split_no_leader() {
    let mut cluster = five_voters(6);
    cluster.start(6);
    cluster.run_for(Duration::from_secs(1)).unwrap();
    let replaced = (1..=3).find(|id| cluster.leader() != Some(*id)).unwrap();
    cluster.suspend(replaced, Duration::from_secs(4));
    cluster.run_for(Duration::from_secs(6)).unwrap();
    assert!(!voters(&cluster).contains(&replaced));
    let leader = cluster.leader().unwrap();
    let others = voters(&cluster).into_iter().filter(|id| *id != leader);
    let (minority, majority): (Vec<_>, Vec<_>) = others.enumerate().partition(|(at, _)| *at < 2);
    let without_positions = |group: Vec<(usize, u64)>| group.into_iter().map(|(_, id)| id);
    let minority: Vec<_> = without_positions(minority).chain([replaced]).collect();
    let majority: Vec<_> = without_positions(majority).chain([leader]).collect();
    cluster.cut_groups(&minority, &majority, false);
    for _ in 0..100 {
        cluster.run_for(Duration::from_millis(100)).unwrap();
        let leads = |id: &u64| cluster.role(*id) == Some(quorum::event::Role::Leader);
        assert!(!minority.iter().any(leads), "{minority:?} have a leader");
    }
    assert!(commits(&mut cluster, b"in the majority"));
    cluster.converge().unwrap();
}

/// A voter whose removal and new admission arrive in one message must not count toward the quorum that
/// commits its admission: the former voters could still elect a leader without it.
#[test]
fn an_admission_that_is_not_committed_gives_no_vote() {
    let members: Vec<_> = (1..=5).map(|id| (id, id * 100)).collect();
    let entry = |index, payload| LogEntry {
        term: 1,
        index,
        payload,
    };
    let recovered = RecoveredState {
        incarnation: 500,
        hard: HardState {
            term: 1,
            settled_membership: 1,
            ..HardState::default()
        },
        entries: vec![entry(1, EntryPayload::Found { members })],
        ..RecoveredState::default()
    };
    let now = Instant::now();
    let mut machine = QuorumMachine::new(now, QuorumConfig::new(5, (1..=5).collect()), recovered);
    let replace = |index, old, replica| {
        let payload = EntryPayload::Replace {
            old,
            replica,
            incarnation: replica * 100,
        };
        entry(index, payload)
    };
    let mut append = |prev_index, entries, commit| {
        let message = Message {
            term: 1,
            incarnation: 100,
            member: true,
            body: MessageBody::Append {
                prev_index,
                prev_term: 1,
                entries,
                commit,
                round: 1,
            },
        };
        let mut effects = machine.handle(now, Event::Receive { from: 1, message });
        for effect in effects.clone() {
            if let Effect::Persist(write) = effect {
                let token = write.token;
                effects.extend(machine.handle(now, Event::Persisted { token }));
            }
        }
        let replies = effects.into_iter().filter_map(|effect| match effect {
            Effect::Send { message, .. } => Some(message.member),
            _ => None,
        });
        replies.collect::<Vec<_>>()
    };
    assert_eq!(append(1, Vec::new(), 1), [true]);
    let entries = vec![replace(2, 5, 6), replace(3, 4, 5)];
    assert_eq!(append(1, entries, 1), [false]);
    append(3, Vec::new(), 3);
    assert_eq!(append(3, Vec::new(), 3), [true]);
}
