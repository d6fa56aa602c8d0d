//! Sleeping on a manually advanced clock.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::time::Duration;

use async_std::task;
use clock::{ManualClock, TimeSource};

#[test]
fn sleep_ends_when_the_clock_reaches_its_deadline() {
    let clock = ManualClock::new();
    let source = TimeSource::Manual(clock.clone());
    let sleeper = task::spawn(async move {
        source.sleep(Duration::from_secs(60)).await;
        source.now()
    });
    let start = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    clock.advance(Duration::from_secs(59));
    std::thread::sleep(Duration::from_millis(20));
    clock.advance(Duration::from_secs(1));
    let woke = task::block_on(sleeper);
    assert_eq!(woke - start, Duration::from_secs(60));
}
