//! Runs seeded schedules of message loss, delays, duplicates, crashes, lost disks, network
//! partitions and leader transfers, and checks the invariants of the log.
#![allow(
    missing_docs,
    unreachable_pub,
    dead_code,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod support;

use std::sync::atomic::{AtomicU64, Ordering};

use support::cluster::CheckResult;
use support::explorer::{explore, explore_bridges, explore_members, explore_replacements};

const SCHEDULES: u64 = 10_000;
const BRIDGE_SCHEDULES: u64 = 3_000;
const REPLACEMENT_SCHEDULES: u64 = 1_000;
const STEPS: usize = 400;
const THREADS: usize = 4;

#[test]
fn invariants_hold_over_ten_thousand_schedules() {
    run_all(SCHEDULES, |seed| explore(seed, STEPS, None));
}

#[test]
fn invariants_hold_while_replicas_join_and_are_replaced() {
    run_all(SCHEDULES, |seed| explore_members(seed, STEPS, None));
}

#[test]
fn invariants_hold_while_groups_reach_each_other_only_through_others() {
    run_all(BRIDGE_SCHEDULES, |seed| explore_bridges(seed, STEPS, None));
}

#[test]
fn invariants_hold_while_voters_freeze_are_replaced_and_the_cluster_is_split() {
    run_all(REPLACEMENT_SCHEDULES, |seed| {
        explore_replacements(seed, None)
    });
}

fn run_all(schedules: u64, explore: impl Fn(u64) -> CheckResult + Sync) {
    let first = std::env::var("EXPLORER_SEED").map_or(0, |seed| seed.parse().unwrap());
    let next = AtomicU64::new(first);
    let violations = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + schedules {
                    break;
                }
                if let Err(error) = explore(seed) {
                    violations.lock().unwrap().push((seed, error));
                }
            });
        }
    });
    let violations = violations.into_inner().unwrap();
    let shown: Vec<_> = violations.iter().take(10).collect();
    assert!(
        violations.is_empty(),
        "{} schedules violated an invariant: {shown:#?}",
        violations.len()
    );
}
