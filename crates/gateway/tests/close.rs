//! When a client connection ends, and what its answers say of that.
#![allow(missing_docs, clippy::unwrap_used)]

use std::time::{Duration, Instant};

use fleet::site::ClientLimits;
use gateway::close::{CloseCause, ConnectionState, Continuation};
use gateway::server::ServerPhase;
use http::header::HeaderMap;
use rstest::rstest;

const NOTHING: Option<(u64, CloseCause)> = None;

fn limits() -> ClientLimits {
    ClientLimits {
        header_timeout: Duration::from_secs(4),
        idle_timeout: Duration::from_secs(10),
        ..ClientLimits::default()
    }
}

/// An idle connection must outlast what its client was told, and a request whose head has begun must get an answer.
#[rstest]
#[case::idle(idle(0), ServerPhase::Serving, Some((13, CloseCause::Idle)))]
#[case::told_more_than_the_limit(idle(60), ServerPhase::Serving, Some((63, CloseCause::Idle)))]
#[case::told_less_than_the_limit(idle(5), ServerPhase::Serving, Some((13, CloseCause::Idle)))]
#[case::idle_while_draining(idle(5), ServerPhase::Draining, Some((13, CloseCause::Idle)))]
#[case::idle_while_stopping(idle(5), ServerPhase::Stopping, Some((13, CloseCause::Idle)))]
#[case::idle_at_the_end(idle(5), ServerPhase::ClosingIdle, Some((0, CloseCause::Shutdown)))]
#[case::late_head(receiving, ServerPhase::Serving, Some((4, CloseCause::LateHead)))]
#[case::head_at_the_end(receiving, ServerPhase::ClosingIdle, Some((4, CloseCause::LateHead)))]
#[case::head_while_finishing(receiving, ServerPhase::Finishing, Some((0, CloseCause::LateHead)))]
#[case::served(serving, ServerPhase::Serving, NOTHING)]
#[case::served_while_finishing(serving, ServerPhase::Finishing, NOTHING)]
fn a_connection_outlasts_its_announced_idle_time_and_a_head_that_has_begun(
    #[case] state: impl Fn(Instant) -> ConnectionState,
    #[case] phase: ServerPhase,
    #[case] expected: Option<(u64, CloseCause)>,
) {
    let now = Instant::now();
    let end = state(now).end(&limits(), phase);
    let end = end.map(|(at, cause)| ((at - now).as_secs(), cause));
    assert_eq!(end, expected);
}

fn idle(announced_seconds: u64) -> impl Fn(Instant) -> ConnectionState {
    move |since| ConnectionState::Idle {
        since,
        announced: Duration::from_secs(announced_seconds),
    }
}

fn receiving(since: Instant) -> ConnectionState {
    ConnectionState::Receiving {
        since,
        idle: Duration::ZERO,
    }
}

fn serving(_: Instant) -> ConnectionState {
    ConnectionState::Serving
}

/// Clients that weren't told how long a connection stays open used it for longer than the host did.
#[rstest]
#[case::end(Continuation::Close, Some("close"), None)]
#[case::open(
    Continuation::KeepAlive(Duration::from_secs(15)),
    Some("keep-alive"),
    Some("timeout=15")
)]
#[case::unstated(Continuation::Unstated, None, None)]
fn an_answer_says_how_its_connection_goes_on(
    #[case] next: Continuation,
    #[case] connection: Option<&str>,
    #[case] keep_alive: Option<&str>,
) {
    let mut headers = HeaderMap::new();
    headers.insert("connection", "x-from-a-server".parse().unwrap());
    next.announce(&mut headers);
    let value = |name| headers.get(name).and_then(|value| value.to_str().ok());
    assert_eq!(value("connection"), connection);
    assert_eq!(value("keep-alive"), keep_alive);
}
