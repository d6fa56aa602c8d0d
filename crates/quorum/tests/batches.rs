//! Size limit of a replication message.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::time::Duration;

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
