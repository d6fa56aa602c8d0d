//! Many entry hosts and backend servers at once: a replica's share of 295 hosts, and 1,620 servers.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::time::Duration;

use director::message::FollowReply;
use fleet::change::FleetUpdate;
use fleet::command::FleetCommand;
use fleet::server::{ServerRecord, ServerState};
use support::OnlyReplica;
use tokio::sync::oneshot;

/// Entry hosts that follow one of five replicas.
const HOSTS: usize = 59;
const SERVERS: usize = 1_620;

/// Bytes that the link of an entry host carries in a second.
const LINK_BYTES_PER_SECOND: usize = 250_000;

fn id(number: usize) -> String {
    format!("i-{number:010x}")
}

fn server(number: usize) -> ServerRecord {
    let [.., high, low] = number.to_be_bytes();
    ServerRecord {
        id: id(number),
        born: 1_700_000_000_000 + number as u64,
        service: "reads-service".to_string(),
        address: format!("10.1.{high}.{low}:8080").parse().unwrap(),
        zone: "east-region-a".to_string(),
        version: "v1".to_string(),
        slots: 4,
        state: ServerState::Ready,
        cold: Duration::ZERO,
    }
}

fn replica_with_servers() -> OnlyReplica {
    let mut replica = OnlyReplica::start();
    replica.advance(Duration::from_secs(5));
    replica.execute((0..SERVERS).map(|number| FleetCommand::Announce(server(number))));
    replica
}

fn encoded_length(reply: &FollowReply) -> usize {
    postcard::to_allocvec(reply).unwrap().len()
}

fn take_replies(answers: Vec<oneshot::Receiver<FollowReply>>) -> Vec<FollowReply> {
    let replies = answers.into_iter();
    replies
        .map(|mut answer| answer.try_recv().unwrap())
        .collect()
}

/// All hosts start at once, as after a loss of power, and each needs the whole state.
#[test]
fn hosts_that_start_at_once_all_get_the_state_in_the_next_batch() {
    let mut replica = replica_with_servers();
    let answers: Vec<_> = (0..HOSTS)
        .map(|host| replica.begin_follow(host, None))
        .collect();
    replica.advance(Duration::from_millis(60));
    for reply in take_replies(answers) {
        let length = encoded_length(&reply);
        assert!(length < LINK_BYTES_PER_SECOND / 2, "{length} bytes");
        let FleetUpdate::Whole(view) = reply.update else {
            panic!("a whole state is due");
        };
        assert_eq!(view.servers.len(), SERVERS);
        assert!(reply.confirmed_ago.is_some());
    }
}

/// A third of the servers leaves at once while all hosts wait for changes. The first change wakes the
/// hosts, and the others reach them together.
#[test]
fn servers_that_leave_at_once_reach_the_waiting_hosts_in_two_answers() {
    let mut replica = replica_with_servers();
    let FleetUpdate::Whole(view) = replica.follow().update else {
        panic!("a whole state is due");
    };
    let follow_all = |replica: &mut OnlyReplica, revision: u64| -> Vec<_> {
        let hosts = 0..HOSTS;
        hosts
            .map(|host| replica.begin_follow(host, Some(revision)))
            .collect()
    };
    let leaving = SERVERS / 3;
    let commands = (0..leaving).map(|number| FleetCommand::Leave {
        id: id(number),
        born: None,
    });
    let answers = follow_all(&mut replica, view.revision);
    replica.execute(commands);
    let (first, woken_at) = count_changes(take_replies(answers));
    let answers = follow_all(&mut replica, woken_at);
    replica.advance(Duration::from_millis(60));
    let (second, _) = count_changes(take_replies(answers));
    assert_eq!(first + second, leaving);
}

/// Returns the number of changes in each of the replies, which are alike, and the revision after them.
fn count_changes(replies: Vec<FollowReply>) -> (usize, u64) {
    let counts = replies.into_iter().map(|reply| {
        let length = encoded_length(&reply);
        assert!(length < LINK_BYTES_PER_SECOND / 10, "{length} bytes");
        match reply.update {
            FleetUpdate::Changes { revision, changes } => (changes.len(), revision),
            other => panic!("changes are due, not {other:?}"),
        }
    });
    let mut counts: Vec<_> = counts.collect();
    counts.dedup();
    assert_eq!(counts.len(), 1, "{counts:?}");
    counts[0]
}
