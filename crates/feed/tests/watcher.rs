//! Watchers that follow sources over TCP connections on loopback.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use clock::TimeSource;
use feed::holder::StateHolder;
use feed::plan::SourcePlan;
use feed::service::FeedService;
use feed::view::{HeartbeatStamp, LeaderHeartbeat};
use feed::watcher::FeedWatcher;
use model::state::ForceState;
use support::{change, history};
use tonic::transport::server::TcpIncoming;
use tonic::transport::Server;
use wire::token::AccessToken;

const TOKEN: &str = "a-token-for-tests-only";

fn serve(holder: &Arc<StateHolder>) -> SocketAddr {
    let incoming =
        task::block_on(async { TcpIncoming::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap() });
    let address = incoming.local_addr().unwrap();
    let service = tonic::codegen::InterceptedService::new(
        FeedService::new(Arc::clone(holder)).into_server(),
        AccessToken::new(TOKEN).checker(),
    );
    task::spawn(async move {
        Server::builder()
            .add_service(service)
            .serve_with_incoming(incoming)
            .await
    });
    address
}

fn follow(sources: Vec<SocketAddr>, token: &str) -> Arc<StateHolder> {
    let holder = Arc::new(StateHolder::new());
    let watcher = FeedWatcher::new(
        "e1",
        Arc::clone(&holder),
        SourcePlan::new("e1", sources),
        AccessToken::new(token),
        TimeSource::Runtime,
    );
    task::spawn(watcher.run());
    holder
}

fn publish_heartbeat(holder: &StateHolder, sequence: u64, state: &ForceState) {
    let heartbeat = LeaderHeartbeat {
        stamp: HeartbeatStamp { term: 1, sequence },
        revision: state.revision,
        digest: state.digest,
        keys_opened: false,
    };
    holder.publish_heartbeat(Instant::now(), heartbeat).unwrap();
}

fn wait_until(timeout: Duration, mut check: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if check() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    check()
}

#[test]
fn changes_reach_a_host_through_a_relay() {
    let states = history(40);
    let origin = Arc::new(StateHolder::new());
    let relay = follow(vec![serve(&origin)], TOKEN);
    let last = follow(vec![serve(&relay)], TOKEN);
    for revision in 1..=40 {
        origin.publish_change(change(&states, revision)).unwrap();
        publish_heartbeat(&origin, revision, &states[revision as usize - 1]);
    }
    // A watcher receives only heartbeats that arrive after it subscribed, so the origin keeps
    // sending them.
    let mut sequence = 40;
    assert!(wait_until(Duration::from_secs(5), || {
        sequence += 1;
        publish_heartbeat(&origin, sequence, &states[39]);
        last.view().confirmed && *last.view().state == states[39]
    }));
}

#[test]
fn a_host_that_lags_behind_the_kept_changes_gets_a_snapshot() {
    let count = StateHolder::MAX_RECENT_CHANGES as u64 + 50;
    let states = history(count);
    let origin = Arc::new(StateHolder::new());
    for revision in 1..=count {
        origin.publish_change(change(&states, revision)).unwrap();
    }
    let host = follow(vec![serve(&origin)], TOKEN);
    let mut sequence = 0;
    assert!(wait_until(Duration::from_secs(5), || {
        sequence += 1;
        publish_heartbeat(&origin, sequence, &states[count as usize - 1]);
        host.view().confirmed
    }));
    assert_eq!(host.view().state.revision, count);
}

#[test]
fn a_source_without_new_heartbeats_is_replaced_in_time() {
    let states = history(2);
    let silent = Arc::new(StateHolder::new());
    let fresh = Arc::new(StateHolder::new());
    silent.publish_change(change(&states, 1)).unwrap();
    let host = follow(vec![serve(&silent), serve(&fresh)], TOKEN);
    let mut sequence = 0;
    assert!(wait_until(Duration::from_secs(3), || {
        sequence += 1;
        publish_heartbeat(&silent, sequence, &states[0]);
        host.view().confirmed
    }));
    fresh.publish_change(change(&states, 1)).unwrap();
    fresh.publish_change(change(&states, 2)).unwrap();
    let timeout = FeedWatcher::STALE_AFTER + Duration::from_secs(1);
    assert!(wait_until(timeout, || {
        sequence += 1;
        publish_heartbeat(&fresh, sequence, &states[1]);
        host.view().state.revision == 2
    }));
}

#[test]
fn a_heartbeat_from_before_the_subscription_does_not_confirm_the_state() {
    let states = history(2);
    let origin = Arc::new(StateHolder::new());
    origin.publish_change(change(&states, 1)).unwrap();
    publish_heartbeat(&origin, 1, &states[0]);
    let host = follow(vec![serve(&origin)], TOKEN);
    assert!(wait_until(Duration::from_secs(5), || host
        .view()
        .state
        .revision
        == 1));
    std::thread::sleep(Duration::from_millis(300));
    assert!(
        !host.view().confirmed,
        "the heartbeat arrived before the host subscribed"
    );
    origin.publish_change(change(&states, 2)).unwrap();
    publish_heartbeat(&origin, 2, &states[1]);
    assert!(wait_until(Duration::from_secs(5), || host.view().confirmed));
    assert_eq!(host.view().state.revision, 2);
}

#[test]
fn a_watcher_with_a_wrong_token_receives_no_state() {
    let states = history(1);
    let origin = Arc::new(StateHolder::new());
    origin.publish_change(change(&states, 1)).unwrap();
    publish_heartbeat(&origin, 1, &states[0]);
    let host = follow(vec![serve(&origin)], "some-other-token-entirely");
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(host.view().state.revision, 0);
}
