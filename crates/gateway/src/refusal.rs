//! Log lines of requests that get no backend server.

use std::time::Duration;

use balance::query::{LoadRefusal, ServerQuery};

use crate::request::ForwardRequest;

/// Logs a request that is held back as a suspect.
pub(crate) fn log_hold(request: &ForwardRequest, wait: Duration) {
    log::info!(
        target: "refusal",
        "request held back, as servers ended while they ran it; request={} digest={:x} wait_ms={}",
        request.id,
        request.digest,
        wait.as_millis(),
    );
}

/// Logs a request for which no backend server is chosen, with what it was weighed by.
pub(crate) fn log_refusal(request: &ForwardRequest, query: &ServerQuery<'_>, refusal: LoadRefusal) {
    let soonest = refusal.soonest.map(|soonest| {
        let forecast = soonest.forecast;
        let slowdown = forecast.slowdown;
        let expected_ms = forecast.expected().as_millis();
        let wait_ms = (forecast.wait * 1e3).round();
        let limit_ms = (soonest.limit * 1e3).round();
        format!(
            " soonest_ms={expected_ms} limit_ms={limit_ms} affinity={} load={:.1} wait_ms={wait_ms} pace={slowdown:.2}",
            forecast.affinity, soonest.load,
        )
    });
    log::info!(
        target: "refusal",
        "no server taken; request={} service={} cause={} rank={} candidates={}{} wanted_ms={} left_ms={} \
         tried={} spill={:.2}",
        request.id,
        request.service,
        refusal.cause,
        request.rank.map_or(-1, i64::from),
        refusal.candidates,
        soonest.unwrap_or_default(),
        query.target_latency.as_millis(),
        query.remaining.as_millis(),
        query.tried.len(),
        refusal.spill,
    );
}
