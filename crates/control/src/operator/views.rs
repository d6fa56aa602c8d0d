//! Handlers of state, status, dump, metrics, health and readiness.

use std::time::{Duration, Instant};

use serde_json::json;
use tide::{Request, Response, StatusCode};

use crate::call::CoreCall;
use crate::operator::answers;
use crate::operator::routes::OperatorContext;

/// Age of the leader's last heartbeat up to which the replica is ready.
const MAX_READY_HEARTBEAT_AGE: Duration = Duration::from_secs(2);

/// Answers `GET /v1/state`: the current state, read linearizably.
pub(crate) async fn state(request: Request<OperatorContext>) -> tide::Result {
    let context = request.state();
    if !context.leader_client.confirm_read().await {
        return Ok(answers::unconfirmed());
    }
    let view = context.holder.view();
    Ok(answers::json_answer(StatusCode::Ok, &*view.state))
}

/// Answers `GET /v1/status`: the status of this replica, without asking the others.
pub(crate) async fn status(request: Request<OperatorContext>) -> tide::Result {
    Ok(match request.state().core.ask(CoreCall::Status).await {
        Some(status) => answers::json_answer(StatusCode::Ok, &status),
        None => answers::unconfirmed(),
    })
}

/// Answers `GET /v1/dump`: the whole state of this replica, without asking the others.
pub(crate) async fn dump(request: Request<OperatorContext>) -> tide::Result {
    let context = request.state();
    let Some(core) = context.core.ask(CoreCall::Dump).await else {
        return Ok(answers::unconfirmed());
    };
    let view = context.holder.view();
    let body = json!({
        "program": "wisteria-control",
        "version": env!("CARGO_PKG_VERSION"),
        "core": core,
        "messages_dropped": context.peers.dropped_messages(),
        "feed": {
            "revision": view.state.revision,
            "digest": view.state.digest,
            "stamp": view.stamp(),
            "stamp_age_ms": view.heartbeat_age(Instant::now()).map(|age| age.as_millis()),
        },
    });
    Ok(answers::json_answer(StatusCode::Ok, &body))
}

/// Answers `GET /metrics` in the text format of Prometheus.
pub(crate) async fn metrics(request: Request<OperatorContext>) -> tide::Result {
    Ok(match request.state().registry.text() {
        Ok(text) => Response::builder(StatusCode::Ok)
            .body(text)
            .content_type("text/plain; version=0.0.4")
            .build(),
        Err(e) => answers::error_answer(StatusCode::InternalServerError, &e.to_string()),
    })
}

/// Answers `GET /health`: the process is alive.
pub(crate) async fn health(_request: Request<OperatorContext>) -> tide::Result {
    Ok(answers::json_answer(
        StatusCode::Ok,
        &json!({ "health": "ok" }),
    ))
}

/// Answers `GET /ready`: the disk works, and a leader with a quorum sent a heartbeat recently.
pub(crate) async fn ready(request: Request<OperatorContext>) -> tide::Result {
    let context = request.state();
    let status = context.core.ask(CoreCall::Status).await;
    if status.is_none_or(|status| status.role == "failed") {
        let reason = "the replica's disk failed, or it is stopping";
        return Ok(answers::error_answer(
            StatusCode::ServiceUnavailable,
            reason,
        ));
    }
    let age = context.holder.view().heartbeat_age(Instant::now());
    if age.is_some_and(|age| age < MAX_READY_HEARTBEAT_AGE) {
        return Ok(answers::json_answer(
            StatusCode::Ok,
            &json!({ "ready": true }),
        ));
    }
    let reason = "no leader with a quorum was heard lately";
    Ok(answers::error_answer(
        StatusCode::ServiceUnavailable,
        reason,
    ))
}
