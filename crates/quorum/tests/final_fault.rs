//! Loss of as many disks as are tolerated, while all other replicas lose power at the same moment.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::time::Duration;

use quorum::event::AnswerOutcome;
use quorum::ids;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use support::cluster::SimulatedCluster;

/// Disks that five replicas may lose at once.
const TOLERATED_DISKS: usize = 2;

/// Advances until a request is answered; returns whether it is committed.
fn wait_answered(cluster: &mut SimulatedCluster, request: ids::RequestId) -> bool {
    for _ in 0..10_000 {
        if let Some(outcome) = cluster.outcomes.get(&request) {
            return matches!(outcome, AnswerOutcome::Committed { .. });
        }
        cluster.step().unwrap();
    }
    false
}

/// Loses the disks and the power, and starts all replicas again in random order.
fn strike(cluster: &mut SimulatedCluster, random: &mut SmallRng) {
    let mut replicas = cluster.ids();
    replicas.shuffle(random);
    for id in &replicas {
        cluster.crash(*id);
    }
    for id in &replicas[..TOLERATED_DISKS] {
        cluster.lose_disk(*id);
    }
    replicas.shuffle(random);
    for id in replicas {
        let pause = Duration::from_millis(random.random_range(0..300));
        cluster.run_for(pause).unwrap();
        cluster.start(id);
    }
}

/// The command is answered once a majority has synced it, so after the strike it may be on one disk.
#[test]
fn answered_commands_survive_lost_disks_and_a_loss_of_power_at_that_moment() {
    for seed in 0..400 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut cluster = SimulatedCluster::running(seed);
        let mut answered = Vec::new();
        for round in 0..3 {
            cluster.conditions.max_sync_time = Duration::from_millis(random.random_range(1..80));
            cluster.conditions.drop_probability = random.random_range(0.0..0.2);
            let leader = cluster.leader().expect("a leader");
            for number in 0..random.random_range(1..5) {
                let command = format!("{round}-{number}").into_bytes();
                let request = cluster.propose(leader, &command).unwrap();
                if wait_answered(&mut cluster, request) {
                    answered.push(command);
                }
            }
            strike(&mut cluster, &mut random);
            cluster
                .converge()
                .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
            for (id, node) in &cluster.nodes {
                let commands = &node.application.commands;
                let lost = answered.iter().find(|command| !commands.contains(command));
                assert_eq!(lost, None, "seed {seed}, replica {id:?}");
            }
            // The disks that came back blank are full again before the next strike.
            cluster.run_for(Duration::from_secs(5)).unwrap();
        }
        assert!(!answered.is_empty(), "seed {seed}");
    }
}
