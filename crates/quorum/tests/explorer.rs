//! Seeded schedules of drops, delays, duplicates, crashes, lost disks, cuts and handovers.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::sync::atomic::{AtomicU64, Ordering};

use support::explorer::{explore, explore_members};
use support::world::Checked;

const SCHEDULES: u64 = 10_000;
const STEPS: usize = 400;
const THREADS: usize = 4;

#[test]
fn committed_entries_hold_over_ten_thousand_schedules() {
    run_all(|seed| explore(seed, STEPS, None));
}

#[test]
fn committed_entries_hold_while_replicas_join_and_are_replaced() {
    run_all(|seed| explore_members(seed, STEPS, None));
}

fn run_all(explore: impl Fn(u64) -> Checked + Sync) {
    let first = std::env::var("EXPLORER_SEED").map_or(0, |seed| seed.parse().unwrap());
    let next = AtomicU64::new(first);
    let broken = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + SCHEDULES {
                    break;
                }
                if let Err(error) = explore(seed) {
                    broken.lock().unwrap().push((seed, error));
                }
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    let shown: Vec<_> = broken.iter().take(10).collect();
    assert!(broken.is_empty(), "{} broken: {shown:#?}", broken.len());
}
