//! When answers are written to a thin link.
#![allow(missing_docs, clippy::unwrap_used)]

use std::time::{Duration, Instant};

use gateway::pacing::{AnswerPacer, LinkBacklog, MAX_BACKLOG, MAX_DELAY, MAX_SMALL_ANSWER_BYTES};

/// Bytes that the link carries in a second.
const LINK: f64 = 500_000.0;

const LARGE: usize = 90_000;

/// Time for which the link carries nothing but a large answer.
const LARGE_TIME: Duration = Duration::from_millis(180);

// Answers that are ready at once fill the link for seconds, and calls to control replicas wait behind them.
#[test]
fn large_answers_that_are_ready_at_once_are_written_one_after_the_other() {
    let mut backlog = LinkBacklog::new(LINK);
    let now = Instant::now();
    let written: Vec<_> = (0..10).map(|_| backlog.add(now, LARGE)).collect();
    assert_eq!(written[0], now);
    for (earlier, later) in written.iter().zip(&written[2..]) {
        let gap = later.duration_since(*earlier);
        assert!(gap >= LARGE_TIME * 2 - MAX_BACKLOG, "{gap:?}");
    }
    let last = written[9].duration_since(now);
    assert!(last < LARGE_TIME * 9 * 5 / 4, "the link idles: {last:?}");
}

#[test]
fn small_answers_do_not_wait_behind_large_ones() {
    let mut backlog = LinkBacklog::new(LINK);
    let now = Instant::now();
    for _ in 0..10 {
        backlog.add(now, LARGE);
    }
    assert_eq!(backlog.add(now, MAX_SMALL_ANSWER_BYTES), now);
}

#[test]
fn a_large_answer_on_an_idle_link_is_written_at_once() {
    let mut backlog = LinkBacklog::new(LINK);
    let now = Instant::now();
    backlog.add(now, LARGE);
    let later = now + LARGE_TIME * 2;
    assert_eq!(backlog.add(later, LARGE), later);
}

#[test]
fn an_answer_whose_client_leaves_gives_its_turn_up() {
    let (mut backlog, mut other) = (LinkBacklog::new(LINK), LinkBacklog::new(LINK));
    let now = Instant::now();
    backlog.add(now, LARGE);
    backlog.add(now, LARGE);
    backlog.remove(LARGE);
    other.add(now, LARGE);
    assert_eq!(backlog.add(now, LARGE), other.add(now, LARGE));
}

#[test]
fn no_answer_waits_longer_than_a_host_takes_to_stop() {
    let mut backlog = LinkBacklog::new(LINK);
    let now = Instant::now();
    let written = (0..100).map(|_| backlog.add(now, LARGE)).max();
    assert_eq!(written, Some(now + MAX_DELAY));
}

#[async_std::test]
async fn no_answer_waits_past_its_deadline() {
    let pacer = AnswerPacer::new(Some(1_000.0));
    let now = Instant::now();
    pacer.wait(LARGE, now).await;
    pacer.wait(LARGE, now + Duration::from_millis(50)).await;
    assert!(
        now.elapsed() < Duration::from_secs(5),
        "{:?}",
        now.elapsed()
    );
}
