//! Many entry hosts and backend servers at once: a replica's share of 295 hosts, and 1,620 servers.
#![allow(missing_docs, clippy::unwrap_used)]

#[path = "../../fleet/tests/sites/mod.rs"]
mod sites;
mod support;

use std::sync::Arc;
use std::time::Duration;

use director::message::{FollowReply, FollowRequest, MeshRequest};
use fleet::change::{FleetChange, FleetUpdate};
use fleet::command::{FleetCommand, SiteReplacement};
use fleet::delta::{SiteCopy, SiteDelta};
use fleet::history::SiteUpdate;
use fleet::parts::{PartMark, MAX_PART_BYTES};
use fleet::server::{ServerRecord, ServerState};
use fleet::site::SiteConfig;
use support::{OnlyReplica, LONG_POLL_WAIT};
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
    replica.execute((0..SERVERS).map(|number| FleetCommand::Announce(server(number).into())));
    replica
}

fn encoded_length(reply: &FollowReply) -> usize {
    postcard::to_allocvec(reply).unwrap().len()
}

/// Returns the revision that a host without a state gets.
fn current_revision(replica: &mut OnlyReplica) -> u64 {
    match replica.follow().update {
        FleetUpdate::Whole(view) => view.revision,
        other => panic!("a whole state is due, not {other:?}"),
    }
}

/// Handles the calls of all hosts, whose copies have a revision.
fn follow_all(replica: &mut OnlyReplica, revision: u64) -> Vec<oneshot::Receiver<FollowReply>> {
    let hosts = 0..HOSTS;
    hosts
        .map(|host| replica.begin_follow(host, Some(revision)))
        .collect()
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
    let revision = current_revision(&mut replica);
    let leaving = SERVERS / 3;
    let commands = (0..leaving).map(|number| FleetCommand::Leave {
        id: id(number),
        born: None,
    });
    let answers = follow_all(&mut replica, revision);
    replica.execute(commands);
    let (first, woken_at) = count_changes(take_replies(answers));
    let answers = follow_all(&mut replica, woken_at);
    replica.advance(Duration::from_millis(60));
    let (second, _) = count_changes(take_replies(answers));
    assert_eq!(first + second, leaving);
}

/// All replicas were killed at once, and the hosts went on with their copies. A few servers left just
/// before. The hosts must get these changes, not the whole state all at once.
#[test]
fn hosts_get_differences_after_a_restart_of_all_replicas() {
    let mut replica = replica_with_servers();
    let revision = current_revision(&mut replica);
    let leaving = 5;
    replica.execute((0..leaving).map(|number| FleetCommand::Leave {
        id: id(number),
        born: None,
    }));
    let mut restarted = OnlyReplica::recover(replica.disk);
    restarted.advance(Duration::from_secs(1));
    let answers = follow_all(&mut restarted, revision);
    restarted.advance(Duration::from_millis(60));
    let replies = take_replies(answers);
    assert!(replies.iter().all(|reply| reply.confirmed_ago.is_some()));
    assert_eq!(count_changes(replies).0, leaving);
}

/// A third of the hosts restarts. Only these get the whole state; the others are neither woken nor
/// delayed, as a change of the hosts goes out with their next answers.
#[test]
fn restarted_hosts_do_not_wake_the_others() {
    let mut replica = replica_with_servers();
    let revision = current_revision(&mut replica);
    let restarted = HOSTS / 3;
    let mut waiting: Vec<_> = (restarted..HOSTS)
        .map(|host| replica.begin_follow(host, Some(revision)))
        .collect();
    let answers: Vec<_> = (0..restarted)
        .map(|host| replica.begin_follow(host, None))
        .collect();
    replica.advance(Duration::from_millis(60));
    for reply in take_replies(answers) {
        assert!(matches!(reply.update, FleetUpdate::Whole(_)));
    }
    assert!(waiting.iter_mut().all(|answer| answer.try_recv().is_err()));
    replica.advance(Duration::from_millis(300));
    for reply in take_replies(waiting) {
        assert!(matches!(reply.update, FleetUpdate::Current));
    }
}

/// Ten configurations follow each other at once. A host gets the first and the last in two answers, and
/// so does one that was gone meanwhile.
#[test]
fn configurations_in_quick_succession_reach_hosts_in_two_answers() {
    const CONFIGURATIONS: u64 = 10;
    let mut replica = replica_with_servers();
    let revision = current_revision(&mut replica);
    let answers = follow_all(&mut replica, revision);
    replica.execute((1..=CONFIGURATIONS).map(|version| {
        FleetCommand::Replace(SiteReplacement {
            access: Arc::default(),
            version,
            base: version - 1,
            document: b"{}".to_vec(),
            site: Arc::new(SiteConfig::default()),
        })
    }));
    let (_, woken_at) = count_changes(take_replies(answers));
    let answers = follow_all(&mut replica, woken_at);
    replica.advance(Duration::from_millis(60));
    let replies = take_replies(answers);
    let versions = replies.iter().map(|reply| match &reply.update {
        FleetUpdate::Changes { changes, .. } => match changes.last() {
            Some(FleetChange::Site { version, .. }) => *version,
            other => panic!("a configuration is due, not {other:?}"),
        },
        other => panic!("changes are due, not {other:?}"),
    });
    assert!(versions
        .into_iter()
        .all(|version| version == CONFIGURATIONS));
    count_changes(replies);
}

fn replacement(copy: &SiteCopy) -> FleetCommand {
    FleetCommand::Replace(SiteReplacement {
        version: copy.version,
        base: copy.version - 1,
        document: copy.version.to_string().into_bytes(),
        site: copy.site.clone(),
        access: copy.access.clone(),
    })
}

/// An operator adds 1,160 routes to as many, twice in a row. `config_apply` is 2.5 s, and links of hosts
/// carry requests too.
#[test]
fn added_routes_reach_the_waiting_hosts_in_differences() {
    const ROUTES: usize = 1_160;
    let mut replica = replica_with_servers();
    let copies: Vec<_> = (1..=3)
        .map(|version| sites::large(version, 0, ROUTES * version as usize))
        .collect();
    replica.execute([replacement(&copies[0])]);
    let revision = current_revision(&mut replica);
    let calls = (0..HOSTS).map(|host| FollowRequest {
        site: copies[0].stamp(),
        ..support::follow_request(&format!("host-{host}"), Some(revision))
    });
    let calls: Vec<_> = calls.collect();
    replica.execute(copies[1..].iter().map(replacement));
    let answers = calls.into_iter().map(|call| replica.begin_call(call));
    let answers: Vec<_> = answers.collect();
    replica.advance(Duration::from_millis(60));
    let lengths = take_replies(answers).into_iter().map(|reply| {
        let length = encoded_length(&reply);
        let SiteUpdate::Deltas(deltas) = reply.site else {
            panic!("differences are due, not {:?}", reply.site);
        };
        let applied = SiteDelta::apply_all(&deltas, &copies[0], copies[0].stamp().unwrap());
        assert_eq!(applied.as_ref(), Ok(&copies[2]));
        length
    });
    let longest = lengths.max().unwrap();
    println!("{longest} bytes for {} routes more", 2 * ROUTES);
    assert!(longest < LINK_BYTES_PER_SECOND * 2 / 3, "{longest} bytes");
}

/// Fifty changes in a row, each of one among 10,000 organisations with 20,000 keys, while a third of the
/// hosts restarts. The others get what changed; only those that restarted get all.
#[test]
fn changes_among_many_organisations_reach_the_hosts_in_differences() {
    const ORGANISATIONS: usize = 10_000;
    const LATEST: u64 = 51;
    let mut replica = replica_with_servers();
    let first = sites::large(1, ORGANISATIONS, 20);
    replica.execute([replacement(&first)]);
    let revision = current_revision(&mut replica);
    for version in 2..=LATEST {
        // The organisations are shared by all versions but for the one that changes.
        let mut copy = first.clone();
        copy.version = version;
        let access = Arc::make_mut(&mut copy.access);
        let changed = &mut access.organisations[version as usize];
        Arc::make_mut(changed).priority = Some(7);
        replica.execute([replacement(&copy)]);
    }
    let calls = (0..HOSTS).map(|host| {
        let known = (host >= HOSTS / 3).then_some(revision);
        FollowRequest {
            site: known.and_then(|_| first.stamp()),
            ..support::follow_request(&format!("host-{host}"), known)
        }
    });
    let answers = calls.map(|call| replica.begin_call(call));
    let answers: Vec<_> = answers.collect();
    replica.advance(Duration::from_millis(60));
    let (mut whole, mut longest, mut wholes) = (0, 0, 0);
    for reply in take_replies(answers) {
        match &reply.site {
            SiteUpdate::Deltas(deltas) => {
                assert_eq!(deltas.len() as u64, LATEST - 1);
                longest = longest.max(encoded_length(&reply));
            }
            SiteUpdate::Whole => {
                whole = encoded_length(&reply);
                wholes += 1;
            }
            other => panic!("a difference or the whole is due, not {other:?}"),
        }
    }
    println!("{longest} bytes for fifty changes, {whole} for a host that starts");
    assert_eq!(wholes, HOSTS / 3);
    assert!(longest < LINK_BYTES_PER_SECOND / 10, "{longest} bytes");
}

/// All hosts of a deployment start at one replica, and get a configuration with 10,000 organisations in
/// parts. The replica must not encode or copy it for each.
#[test]
fn hosts_that_start_at_once_share_the_parts_of_a_large_configuration() {
    const ALL_HOSTS: usize = 300;
    let mut replica = replica_with_servers();
    let copy = sites::large(1, 10_000, 20);
    replica.execute([replacement(&copy)]);
    let starting = |site, part| FollowRequest {
        site,
        part: Some(part),
        ..support::follow_request("host-1", None)
    };
    let calls = (0..ALL_HOSTS).map(|_| starting(None, PartMark::default()));
    let answers: Vec<_> = calls.map(|call| replica.begin_call(call)).collect();
    replica.advance(Duration::from_millis(60));
    let parts = take_replies(answers).into_iter().map(|reply| {
        let length = encoded_length(&reply);
        assert!(length < MAX_PART_BYTES + 1_000, "{length} bytes");
        match reply.site {
            SiteUpdate::Part(part) => part,
            other => panic!("a part is due, not {other:?}"),
        }
    });
    let parts: Vec<_> = parts.collect();
    assert!(parts.iter().all(|part| Arc::ptr_eq(part, &parts[0])));
    let mut answer = replica.begin_call(starting(copy.stamp(), PartMark::default()));
    replica.advance(Duration::from_millis(60));
    let last = encoded_length(&answer.try_recv().unwrap());
    println!(
        "{} bytes in parts, {last} in the last answer",
        parts[0].length
    );
    assert!(last < LINK_BYTES_PER_SECOND * 2 / 3, "{last} bytes");
}

/// Hosts are replaced one after another, so that those of the version before call replicas of this one.
#[test]
fn calls_of_hosts_that_take_no_parts_are_understood() {
    let request = support::follow_request("host-1", Some(7));
    let call = MeshRequest::Follow(Box::new(request));
    let encoded = postcard::to_allocvec(&call).unwrap();
    let former = &encoded[..encoded.len() - 1];
    let MeshRequest::Follow(decoded) = MeshRequest::decode(former).unwrap() else {
        panic!("another call");
    };
    assert_eq!((decoded.revision, decoded.part), (Some(7), None));
    assert!(MeshRequest::decode(&former[..former.len() - 1]).is_err());
    let truncated = postcard::to_allocvec(&MeshRequest::Gossip(Box::default())).unwrap();
    assert!(MeshRequest::decode(&truncated[..truncated.len() - 1]).is_err());
}

/// Servers leave one after another, ten a second, and each change wakes the hosts. The loads of all
/// servers need not go out more often than without changes.
#[test]
fn changes_do_not_make_the_loads_go_out_more_often() {
    const STEPS: usize = 20;
    let step = Duration::from_millis(100);
    let mut replica = replica_with_servers();
    let mut revision = current_revision(&mut replica);
    let mut with_loads = 0;
    for number in 0..STEPS {
        let mut answer = replica.begin_follow(0, Some(revision));
        replica.execute([FleetCommand::Leave {
            id: id(number),
            born: None,
        }]);
        let reply = answer.try_recv().unwrap();
        with_loads += usize::from(reply.loads.means().count() > 0);
        revision = count_changes(vec![reply]).1;
    }
    let period = step * STEPS as u32;
    let without_changes = period.div_duration_f64(LONG_POLL_WAIT).ceil() as usize;
    assert!(
        with_loads <= without_changes,
        "{with_loads} answers with loads in {period:?}, {without_changes} without changes"
    );
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
