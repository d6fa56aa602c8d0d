//! Quarantine of requests during whose runs servers ended: when a replica commits and ends it.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use director::call::CoreCall;
use director::message::{FollowReply, FollowRequest};
use fleet::access::AccessPolicy;
use fleet::change::FleetUpdate;
use fleet::command::FleetCommand;
use fleet::ids;
use fleet::suspect::{RunEvidence, RunNotice};
use quorum::entry::RecoveredState;
use rstest::rstest;
use support::{follow_request, server, OnlyReplica};
use tokio::sync::oneshot;

const REQUEST: ids::RequestDigest = 7;

fn notice(evidence: RunEvidence) -> RunNotice {
    RunNotice {
        request: REQUEST,
        evidence,
        ago: Duration::ZERO,
    }
}

fn ended(number: u64) -> RunNotice {
    let record = server("s1", number, Duration::ZERO);
    notice(RunEvidence::ServerEnded(record.incarnation()))
}

/// Calls as a host without a state, which reports runs.
fn report(replica: &mut OnlyReplica, runs: Vec<RunNotice>) -> FollowReply {
    let (reply, mut answer) = oneshot::channel();
    let request = Box::new(FollowRequest {
        runs,
        ..follow_request("host-1", None)
    });
    let call = CoreCall::Follow { request, reply };
    replica.core.handle_call(replica.now, call);
    replica.advance(Duration::from_millis(60));
    answer.try_recv().unwrap()
}

fn is_quarantined(reply: &FollowReply) -> bool {
    let FleetUpdate::Whole(view) = &reply.update else {
        panic!("a host without a state gets the whole one");
    };
    view.quarantined.contains_key(&REQUEST)
}

fn start() -> OnlyReplica {
    let mut replica = OnlyReplica::start();
    replica.advance(Duration::from_secs(3));
    replica
}

#[test]
fn a_request_is_quarantined_once_three_servers_ended_with_it() {
    let mut replica = start();
    report(&mut replica, vec![ended(1), ended(2), ended(2)]);
    replica.advance(Duration::from_secs(2));
    let reply = report(&mut replica, Vec::new());
    assert!(!is_quarantined(&reply));
    assert_eq!(reply.watched, Some(vec![REQUEST]));
    report(&mut replica, vec![ended(3)]);
    replica.advance(Duration::from_secs(1));
    assert!(is_quarantined(&report(&mut replica, Vec::new())));
}

/// A request that others get answers to is none that ends servers.
#[test]
fn a_request_that_is_answered_meanwhile_is_not_quarantined() {
    let mut replica = start();
    report(&mut replica, vec![ended(1), ended(2), ended(3)]);
    let answered = notice(RunEvidence::Answered);
    assert!(!is_quarantined(&report(&mut replica, vec![answered])));
    replica.advance(Duration::from_secs(5));
    assert!(!is_quarantined(&report(&mut replica, Vec::new())));
}

#[test]
fn a_quarantine_survives_a_restart_and_ends_with_an_answer() {
    let mut replica = start();
    report(&mut replica, vec![ended(1), ended(2), ended(3)]);
    replica.advance(Duration::from_secs(2));
    let mut replica = OnlyReplica::recover(replica.disk);
    replica.advance(Duration::from_secs(3));
    assert!(is_quarantined(&report(&mut replica, Vec::new())));
    report(&mut replica, vec![notice(RunEvidence::Answered)]);
    replica.advance(Duration::from_secs(1));
    assert!(!is_quarantined(&report(&mut replica, Vec::new())));
}

/// Earlier versions wrote the snapshot, which ends before the fields that were added since.
#[rstest]
#[case::quarantines(&[quarantines(), access(), calls(), zone_orders()])]
#[case::access(&[access(), calls(), zone_orders()])]
#[case::calls(&[calls(), zone_orders()])]
#[case::zone_orders(&[zone_orders()])]
fn a_snapshot_of_a_version_without_later_fields_is_read(#[case] later_fields: &[Vec<u8>]) {
    let mut state = fleet::state::FleetState::new();
    let record = server("s1", 1, Duration::ZERO);
    state.apply(1, FleetCommand::Announce(record.into()));
    let mut data = postcard::to_allocvec(&state).unwrap();
    for field in later_fields.iter().rev() {
        assert!(data.ends_with(field), "{data:?} doesn't end with {field:?}");
        data.truncate(data.len() - field.len());
    }
    let mut disk = RecoveredState {
        incarnation: 7,
        blank: true,
        ..RecoveredState::default()
    };
    disk.snapshot.index = 1;
    disk.snapshot.data = data;
    let mut replica = OnlyReplica::recover(disk);
    let FleetUpdate::Whole(view) = replica.follow().update else {
        panic!("a host without a state gets the whole one");
    };
    assert!(view.servers.contains_key("s1"));
}

fn quarantines() -> Vec<u8> {
    vec![0]
}

fn zone_orders() -> Vec<u8> {
    vec![0]
}

fn access() -> Vec<u8> {
    postcard::to_allocvec(&AccessPolicy::default()).unwrap()
}

/// Returns the encoded latest call of the only server: start time, number, whether it drains, announcements since it
/// left, and log index.
fn calls() -> Vec<u8> {
    postcard::to_allocvec(&BTreeMap::from([(
        "s1",
        (1_u64, 0_u64, false, 0_u32, 1_u64),
    )]))
    .unwrap()
}
