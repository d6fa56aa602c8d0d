//! Limits of backend servers: what replicas tell each other and the entry hosts.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use director::call::CoreCall;
use director::feed::FeedMark;
use director::limits::LimitRegister;
use director::message::FollowReply;
use fleet::command::FleetCommand;
use fleet::limit::{LimitNotice, LimitUpdate, RequestRate};
use fleet::state::FleetState;
use support::{follow_request, server, OnlyReplica};
use tokio::sync::oneshot;

fn notice(id: &str, born: u64, per_second: f64) -> LimitNotice {
    LimitNotice {
        server: server(id, born, Duration::ZERO).incarnation(),
        rate: Some(RequestRate::try_from(per_second).unwrap()),
        ago: Duration::ZERO,
    }
}

/// Returns a committed state that lists the incarnation 1 of servers.
fn state(ids: &[&str]) -> FleetState {
    let mut state = FleetState::default();
    for (index, id) in (1..).zip(ids) {
        let mut record = server(id, 1, Duration::ZERO);
        record.address.set_port(index as u16);
        state.apply(index, FleetCommand::Announce(record.into()));
    }
    state
}

#[test]
fn each_change_goes_to_a_host_once() {
    let now = Instant::now();
    let state = state(&["s1", "s2"]);
    let mut register = LimitRegister::new(1);
    register.record(now, &state, &notice("s1", 1, 8.0));
    register.record(now, &state, &notice("s2", 1, 5.0));
    assert_eq!(register.since(now, FeedMark::default()).len(), 2);
    let mark = register.mark();
    assert!(register.since(now, mark).is_empty());
    let later = now + Duration::from_secs(1);
    register.record(later, &state, &notice("s1", 1, 8.0));
    assert!(register.since(later, mark).is_empty());
    register.record(
        later + Duration::from_secs(1),
        &state,
        &notice("s1", 1, 7.0),
    );
    let changes = register.since(later, mark);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].rate, notice("s1", 1, 7.0).rate);
    // The position in another run of the replica means nothing.
    let other = FeedMark { epoch: 2, ..mark };
    assert_eq!(register.since(later, other).len(), 2);
}

#[test]
fn a_late_notice_does_not_bring_a_limit_back() {
    let now = Instant::now();
    let state = state(&["s1"]);
    let mut register = LimitRegister::new(1);
    let end = LimitNotice {
        rate: None,
        ..notice("s1", 1, 8.0)
    };
    register.merge(now, &state, &end);
    let late = LimitNotice {
        ago: Duration::from_millis(300),
        ..notice("s1", 1, 8.0)
    };
    assert_eq!(register.merge(now, &state, &late), LimitUpdate::Outdated);
    let since = register.since(now, FeedMark::default());
    assert!(since.iter().all(|notice| notice.rate.is_none()));
}

/// Reports between replicas may be lost, and a replica that starts knows nothing of earlier ones.
#[test]
fn replicas_tell_each_other_of_a_limit_more_than_once() {
    let start = Instant::now();
    let state = state(&["s1"]);
    let mut register = LimitRegister::new(1);
    register.record(start, &state, &notice("s1", 1, 8.0));
    let _lost = register.report(start);
    let next = start + Duration::from_millis(400);
    assert_eq!(register.report(next).len(), 1);
    let mut reports = 0;
    for step in 2..50 {
        let now = start + Duration::from_millis(400) * step;
        reports += register.report(now).len();
    }
    assert!((2..15).contains(&reports), "{reports} reports in 20 s");
}

/// What is remembered is bounded by the servers that are listed.
#[test]
fn limits_of_servers_that_are_not_listed_are_forgotten() {
    let now = Instant::now();
    let mut register = LimitRegister::new(1);
    register.record(now, &state(&["s1"]), &notice("s1", 1, 8.0));
    for unlisted in [notice("s1", 2, 8.0), notice("s3", 1, 8.0)] {
        register.record(now, &state(&["s1"]), &unlisted);
    }
    assert_eq!(register.since(now, FeedMark::default()).len(), 1);
    register.evict_unlisted(&state(&["s2"]));
    assert!(register.since(now, FeedMark::default()).is_empty());
    assert!(register.report(now).is_empty());
}

/// Calls as a host without a state, which reports limits.
fn report(replica: &mut OnlyReplica, limits: Vec<LimitNotice>) -> FollowReply {
    let (reply, mut answer) = oneshot::channel();
    let request = Box::new(director::message::FollowRequest {
        limits,
        ..follow_request("host-1", None)
    });
    let call = CoreCall::Follow { request, reply };
    replica.core.handle_call(replica.now, call);
    replica.advance(Duration::from_millis(60));
    answer.try_recv().unwrap()
}

#[test]
fn a_host_that_has_just_started_learns_of_the_limits() {
    let mut replica = OnlyReplica::start();
    replica.advance(Duration::from_secs(3));
    replica.announce(server("s1", 1, Duration::ZERO));
    report(&mut replica, vec![notice("s1", 1, 8.0)]);
    let reply = report(&mut replica, Vec::new());
    assert_eq!(reply.limits.len(), 1);
    assert_eq!(reply.limits[0].rate, notice("s1", 1, 8.0).rate);
}
