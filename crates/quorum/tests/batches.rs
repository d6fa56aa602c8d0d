//! What one message may carry.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::time::Duration;

use support::world::TestWorld;

const MOST_BYTES: usize = 1 << 20;

#[test]
fn a_follower_that_missed_large_commands_gets_them_in_bounded_messages() {
    let mut world = TestWorld::new(3, 11, None);
    world.batch = Some(64);
    world.form();
    for id in world.ids() {
        world.start(id);
    }
    world.run_for(Duration::from_secs(3)).unwrap();
    let leader = world.leader().unwrap();
    let follower = world.ids().into_iter().find(|id| *id != leader).unwrap();
    world.crash(follower);
    for _ in 0..12 {
        world.propose(leader, &[7; 400_000]).unwrap();
        world.run_for(Duration::from_millis(200)).unwrap();
    }
    world.start(follower);
    let mut largest = 0;
    while world.nodes[&follower].application.applied < world.nodes[&leader].application.applied {
        world.step().unwrap();
        largest = largest.max(world.largest_message());
    }
    assert!(largest > 400_000, "only {largest} bytes in one message");
    assert!(largest <= MOST_BYTES, "{largest} bytes in one message");
    world.converge().unwrap();
}
