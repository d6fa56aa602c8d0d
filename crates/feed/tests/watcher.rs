//! Following sources over real connections on loopback.
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
use feed::view::{BeatStamp, ForceBeat};
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

fn beat(holder: &StateHolder, sequence: u64, state: &ForceState) {
    let beat = ForceBeat {
        stamp: BeatStamp { term: 1, sequence },
        revision: state.revision,
        digest: state.digest,
        keys_opened: false,
    };
    holder.publish_beat(Instant::now(), beat).unwrap();
}

fn wait_until(bound: Duration, check: impl Fn() -> bool) -> bool {
    let end = Instant::now() + bound;
    while Instant::now() < end {
        if check() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    check()
}

#[test]
fn changes_reach_a_host_over_a_relay_in_order() {
    let states = history(40);
    let origin = Arc::new(StateHolder::new());
    let relay = follow(vec![serve(&origin)], TOKEN);
    let last = follow(vec![serve(&relay)], TOKEN);
    for revision in 1..=40 {
        origin.publish_change(change(&states, revision)).unwrap();
        beat(&origin, revision, &states[revision as usize - 1]);
    }
    assert!(wait_until(Duration::from_secs(5), || last.view().confirmed
        && *last.view().state == states[39]));
}

#[test]
fn a_host_that_lags_far_gets_a_snapshot() {
    let count = StateHolder::MAX_RECENT as u64 + 50;
    let states = history(count);
    let origin = Arc::new(StateHolder::new());
    for revision in 1..=count {
        origin.publish_change(change(&states, revision)).unwrap();
    }
    beat(&origin, 1, &states[count as usize - 1]);
    let host = follow(vec![serve(&origin)], TOKEN);
    assert!(wait_until(Duration::from_secs(5), || host.view().confirmed));
    assert_eq!(host.view().state.revision, count);
}

#[test]
fn a_source_that_went_silent_is_replaced_within_the_bound() {
    let states = history(2);
    let silent = Arc::new(StateHolder::new());
    let fresh = Arc::new(StateHolder::new());
    silent.publish_change(change(&states, 1)).unwrap();
    beat(&silent, 1, &states[0]);
    let host = follow(vec![serve(&silent), serve(&fresh)], TOKEN);
    assert!(wait_until(Duration::from_secs(3), || host.view().confirmed));
    fresh.publish_change(change(&states, 1)).unwrap();
    fresh.publish_change(change(&states, 2)).unwrap();
    beat(&fresh, 2, &states[1]);
    let bound = FeedWatcher::STALE_AFTER + Duration::from_secs(1);
    assert!(wait_until(bound, || host.view().state.revision == 2));
}

#[test]
fn a_wrong_token_gets_nothing() {
    let states = history(1);
    let origin = Arc::new(StateHolder::new());
    origin.publish_change(change(&states, 1)).unwrap();
    beat(&origin, 1, &states[0]);
    let host = follow(vec![serve(&origin)], "some-other-token-entirely");
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(host.view().state.revision, 0);
}
