//! Long polls of entry hosts: what wakes them, and how many batches of answers a replica makes.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use director::follow::FollowQueue;
use director::message::FollowReply;
use support::LONG_POLL_WAIT;
use tokio::sync::oneshot;

fn push(queue: &mut FollowQueue, now: Instant, number: usize) -> oneshot::Receiver<FollowReply> {
    let (reply, receiver) = oneshot::channel();
    queue.push(
        now,
        support::follow_request(&format!("host-{number}"), Some(1)),
        reply,
    );
    receiver
}

#[test]
fn a_request_without_news_is_answered_when_its_time_is_up() {
    let start = Instant::now();
    let mut queue = FollowQueue::new(start);
    assert_eq!(queue.deadline(), None);
    let _receiver = push(&mut queue, start, 0);
    assert_eq!(queue.deadline(), Some(start + LONG_POLL_WAIT));
    let early = start + LONG_POLL_WAIT - Duration::from_millis(1);
    assert!(queue.take_batch(early, |_| false).is_empty());
    assert_eq!(queue.take_batch(start + LONG_POLL_WAIT, |_| false).len(), 1);
    assert_eq!(queue.deadline(), None);
}

#[test]
fn a_change_is_answered_at_once_unless_a_batch_was_just_made() {
    let start = Instant::now();
    let mut queue = FollowQueue::new(start);
    let _first = push(&mut queue, start, 0);
    queue.mark_changed();
    assert_eq!(queue.take_batch(start, |_| true).len(), 1);
    let _second = push(&mut queue, start, 1);
    queue.mark_changed();
    assert!(queue.take_batch(start, |_| true).is_empty());
    let next = queue.deadline().unwrap();
    assert!(next <= start + Duration::from_millis(50));
    assert_eq!(queue.take_batch(next, |_| true).len(), 1);
}

/// The load that this answers: many entry hosts poll while hundreds of servers announce themselves
/// within a second. Each batch looks at all polls, so their number must not grow with the calls.
#[test]
fn the_number_of_batches_does_not_grow_with_the_number_of_calls() {
    const HOSTS: usize = 300;
    const CALLS: u32 = 2_000;
    let start = Instant::now();
    let mut queue = FollowQueue::new(start);
    let mut receivers: Vec<_> = (0..HOSTS)
        .map(|number| push(&mut queue, start, number))
        .collect();
    let mut batches = 0;
    for call in 0..CALLS {
        let now = start + Duration::from_secs(1) * call / CALLS;
        queue.mark_changed();
        let batch = queue.take_batch(now, |_| true);
        batches += u32::from(!batch.is_empty());
        // Each host calls again at once.
        for number in 0..batch.len() {
            receivers.push(push(&mut queue, now, number));
        }
    }
    assert!((10..=21).contains(&batches), "{batches}");
}

/// Requests that come due one after the other share a batch.
#[test]
fn due_requests_are_answered_in_batches_and_never_late() {
    const HOSTS: usize = 300;
    let start = Instant::now();
    let mut queue = FollowQueue::new(start);
    let mut receivers = Vec::new();
    for number in 0..HOSTS {
        let sent_at = start + LONG_POLL_WAIT * number as u32 / HOSTS as u32;
        receivers.push(push(&mut queue, sent_at, number));
    }
    let (mut answered, mut batches) = (0, 0);
    while let Some(deadline) = queue.deadline() {
        let batch = queue.take_batch(deadline, |_| false);
        assert!(!batch.is_empty());
        answered += batch.len();
        batches += 1;
    }
    assert_eq!(answered, HOSTS);
    assert!(batches <= 8, "{batches}");
}
