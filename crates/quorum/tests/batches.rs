//! Limits in bytes: a replication message, the log in memory, and what is in flight to a peer.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::time::Duration;

use quorum::machine::QuorumMachine;
use support::cluster::SimulatedCluster;

const MAX_MESSAGE_BYTES: usize = 1 << 20;

#[test]
fn a_follower_that_missed_large_commands_gets_them_in_bounded_messages() {
    let mut cluster = SimulatedCluster::new(3, 11, None);
    cluster.max_batch_entries = Some(64);
    cluster.bootstrap();
    for id in cluster.ids() {
        cluster.start(id);
    }
    cluster.run_for(Duration::from_secs(3)).unwrap();
    let leader = cluster.leader().unwrap();
    let follower = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    cluster.crash(follower);
    for _ in 0..12 {
        cluster.propose(leader, &[7; 400_000]).unwrap();
        cluster.run_for(Duration::from_millis(200)).unwrap();
    }
    cluster.start(follower);
    let mut largest = 0;
    while cluster.nodes[&follower].application.applied < cluster.nodes[&leader].application.applied
    {
        cluster.step().unwrap();
        largest = largest.max(cluster.largest_message());
    }
    assert!(largest > 400_000, "only {largest} bytes in one message");
    assert!(
        largest <= MAX_MESSAGE_BYTES,
        "{largest} bytes in one message"
    );
    cluster.converge().unwrap();
}

/// A log that is compacted by the number of entries alone keeps hundreds of large commands in memory, and
/// reads them back after a restart.
#[test]
fn a_log_of_large_commands_is_compacted_by_bytes() {
    const COMMAND_BYTES: usize = 1 << 20;
    let mut cluster = SimulatedCluster::new(3, 17, None);
    cluster.bootstrap();
    for id in cluster.ids() {
        cluster.start(id);
    }
    cluster.run_for(Duration::from_secs(3)).unwrap();
    let leader = cluster.leader().unwrap();
    for _ in 0..40 {
        cluster.propose(leader, &[7; COMMAND_BYTES]).unwrap();
        cluster.run_for(Duration::from_millis(200)).unwrap();
        for id in cluster.ids() {
            let machine = cluster.nodes[&id].machine.as_ref().unwrap();
            if machine.needs_snapshot(512) {
                cluster.snapshot(id).unwrap();
            }
        }
    }
    cluster.run_for(Duration::from_secs(1)).unwrap();
    let kept = QuorumMachine::RETAINED_BYTES + QuorumMachine::SNAPSHOT_INTERVAL_BYTES;
    for (id, node) in &cluster.nodes {
        let report = node.machine.as_ref().unwrap().report(cluster.now);
        assert!(
            report.entries_held <= kept / COMMAND_BYTES,
            "{id}: {report:?}"
        );
        let recovered = node.disk.durable.entries.len();
        assert!(
            recovered <= kept / COMMAND_BYTES,
            "{id}: {recovered} entries on the disk"
        );
    }
    cluster.converge().unwrap();
}

/// A follower that missed many large commands must not make the leader hold them all in messages.
#[test]
fn the_bytes_in_flight_to_a_follower_are_bounded() {
    const COMMAND_BYTES: usize = 1 << 20;
    const MAX_IN_FLIGHT: usize = 4 << 20;
    let mut cluster = SimulatedCluster::new(3, 19, None);
    cluster.max_batch_entries = Some(64);
    cluster.bootstrap();
    for id in cluster.ids() {
        cluster.start(id);
    }
    cluster.run_for(Duration::from_secs(3)).unwrap();
    let leader = cluster.leader().unwrap();
    let follower = cluster.ids().into_iter().find(|id| *id != leader).unwrap();
    cluster.cut_groups(&[follower], &[leader], true);
    for _ in 0..30 {
        cluster.propose(leader, &[7; COMMAND_BYTES]).unwrap();
        cluster.run_for(Duration::from_millis(200)).unwrap();
    }
    let machine = cluster.nodes[&leader].machine.as_ref().unwrap();
    let report = machine.report(cluster.now);
    let peer = report
        .peers
        .iter()
        .find(|peer| peer.id == follower)
        .unwrap();
    let in_flight = usize::try_from(peer.next - 1 - peer.matched).unwrap();
    assert!(in_flight * COMMAND_BYTES <= MAX_IN_FLIGHT, "{peer:?}");
    cluster.converge().unwrap();
}
