//! Which control replica an entry host calls while calls are late or fail.
#![allow(missing_docs, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gateway::calls::{CallStep, FollowCalls, ANSWER_TIMEOUT, NEXT_CALL_DELAY, RETRY_DELAY};

const MAX_WAIT: Duration = Duration::from_millis(350);

fn replicas() -> Vec<SocketAddr> {
    (1..=5).map(|port| ([10, 0, 0, 1], port).into()).collect()
}

#[test]
fn one_call_runs_while_calls_are_answered_in_time() {
    let (mut calls, replicas) = (FollowCalls::new(), replicas());
    let mut now = Instant::now();
    for _ in 0..10 {
        assert_eq!(calls.next(now, &replicas), CallStep::Call(replicas[0]));
        calls.begin(now, replicas[0], MAX_WAIT);
        let late_at = now + MAX_WAIT + ANSWER_TIMEOUT;
        assert_eq!(calls.next(now, &replicas), CallStep::Wait(Some(late_at)));
        now += MAX_WAIT;
        calls.end_all();
    }
}

#[test]
fn a_late_call_goes_on_beside_one_to_the_next_replica() {
    let (mut calls, replicas) = (FollowCalls::new(), replicas());
    let mut now = Instant::now();
    let waits = [MAX_WAIT + ANSWER_TIMEOUT, NEXT_CALL_DELAY, NEXT_CALL_DELAY];
    for (replica, wait) in replicas.iter().zip(waits) {
        assert_eq!(calls.next(now, &replicas), CallStep::Call(*replica));
        calls.begin(now, *replica, MAX_WAIT);
        let late_at = now + wait;
        assert_eq!(calls.next(now, &replicas), CallStep::Wait(Some(late_at)));
        now = late_at;
    }
    assert_eq!(calls.next(now, &replicas), CallStep::Wait(None));
    calls.end_failed(now, 2);
    let retry_at = now + RETRY_DELAY;
    assert_eq!(calls.next(now, &replicas), CallStep::Wait(Some(retry_at)));
    assert_eq!(calls.next(retry_at, &replicas), CallStep::Call(replicas[1]));
}

#[test]
fn a_call_that_fails_is_followed_by_another_after_a_pause() {
    let (mut calls, replicas) = (FollowCalls::new(), replicas());
    let now = Instant::now();
    let id = calls.begin(now, replicas[0], MAX_WAIT);
    calls.end_failed(now, id);
    let retry_at = now + RETRY_DELAY;
    assert_eq!(calls.next(now, &replicas), CallStep::Wait(Some(retry_at)));
    assert_eq!(calls.next(retry_at, &replicas), CallStep::Call(replicas[0]));
}

#[test]
fn an_only_replica_is_not_called_twice_at_once() {
    let (mut calls, replicas) = (FollowCalls::new(), &replicas()[..1]);
    let now = Instant::now();
    calls.begin(now, replicas[0], MAX_WAIT);
    let late_at = now + MAX_WAIT + ANSWER_TIMEOUT;
    assert_eq!(calls.next(late_at, replicas), CallStep::Wait(None));
}
