//! Checks of a client's request before it is forwarded: route, organisation, deadline and body.

use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::access::OrganisationSpec;
use fleet::site::RouteSpec;
use http::header::{HeaderMap, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use quota::decision::QuotaDecision;

use crate::access;
use crate::answer::HostAnswer;
use crate::attempt::{self, ServerSender};
use crate::body::ClientBody;
use crate::buffer::{BufferBudget, BufferError};
use crate::metrics::AccessOutcome;
use crate::request::{self, ForwardRequest};
use crate::state::{GatewayState, RouteTable};

/// Retry-after time of a request for which the configuration of the host has no destination; other
/// hosts may have a newer one.
const UNROUTABLE_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry-after time of a request that a stopping host doesn't take; other hosts take it at once.
const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;

/// Retry-after time of a request whose body there is no room for.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Checks a request, finds its route, organisation and service, and reads its body. `last_deadline` is the
/// latest deadline of a request that the host takes, where it stops.
///
/// # Errors
///
/// Returns the answer to a request that isn't forwarded.
pub(crate) async fn read(
    sender: &ServerSender,
    last_deadline: Option<Instant>,
    now: Instant,
    parts: Parts,
    body: Option<&mut ClientBody>,
) -> Result<ForwardRequest, HostAnswer> {
    let (state, names) = (&sender.state, &sender.names);
    let mut headers = parts.headers;
    check_framing(&headers)?;
    let table = state.routes();
    let host = attempt::addressed_host(&headers, &parts.uri).unwrap_or_default();
    let route = find_route(state, &table, now, &host, parts.uri.path())?;
    let id = headers
        .get(&names.request_id)
        .and_then(|id| id.to_str().ok());
    let id = id.unwrap_or_default().to_string();
    let freshness = state.key_freshness(now);
    let access = &table.access;
    let organisation = access.identify(names, &headers, &host, route, freshness);
    let organisation = organisation.inspect_err(|answer| {
        log_unidentified(state, &table, now, &id, answer);
        let outcome = AccessOutcome::from(answer);
        sender.metrics.record_access(None, outcome);
    })?;
    let homes = access::home_regions(route, organisation.as_deref());
    let home_regions = homes.inspect_err(|_| {
        let name = organisation.as_ref().map(|own| own.name.as_str());
        log_homeless(&table, &id, route, organisation.as_deref());
        sender.metrics.record_access(name, AccessOutcome::NoHome);
    })?;
    let Some(service) = state.choose_service(route) else {
        return Err(unroutable("the route sends nothing anywhere"));
    };
    let deadline = request::deadline(names, &headers, route, now);
    if last_deadline.is_some_and(|last| last < deadline) {
        return Err(HostAnswer::NotRun {
            cause: "this host stops before the request's deadline".to_string(),
            retry_after: STOPPING_RETRY_AFTER,
        });
    }
    if let Some(own) = &organisation {
        take_quota(sender, &table, &id, own)?;
    }
    let object = request::object_digest(names, &headers, route);
    let max_bytes = table.site.limits.max_body_bytes;
    let body = read_body(&sender.buffers, body, max_bytes, deadline).await;
    let body = body.inspect_err(|_| refund_quota(state, organisation.as_deref()))?;
    let (method, target) = (&parts.method, &parts.uri);
    let digest = request::request_digest(names, method, &host, target, &headers, &body);
    request::strip_hop_by_hop_headers(&mut headers);
    request::set_organisation(names, &mut headers, organisation.as_deref());
    Ok(ForwardRequest {
        id,
        digest,
        method: parts.method,
        target: parts.uri,
        headers,
        body,
        service: service.to_string(),
        rank: access.rank(route, organisation.as_deref()),
        organisation,
        home_regions,
        route: route.clone(),
        received_at: now,
        deadline,
        object,
    })
}

/// Takes a request from the quota of its organisation.
fn take_quota(
    sender: &ServerSender,
    table: &RouteTable,
    id: &str,
    organisation: &OrganisationSpec,
) -> Result<(), HostAnswer> {
    let name = organisation.name.as_str();
    let decision = match organisation.quota {
        Some(_) => sender.state.take_quota(name),
        None => QuotaDecision::Admitted,
    };
    let QuotaDecision::Refused(refusal) = decision else {
        let outcome = AccessOutcome::Admitted;
        sender.metrics.record_access(Some(name), outcome);
        return Ok(());
    };
    let heard_ago = refusal.heard_ago.map_or(-1, |age| age.as_millis() as i64);
    log::info!(
        target: "access",
        "request refused, as its organisation's quota is used up; request={id} organisation={name} \
         cause={} quota={} share={:.2} age_ms={heard_ago} retry_after_ms={} version={}",
        refusal.cause,
        refusal.rate,
        refusal.share,
        refusal.retry_after.as_millis(),
        table.version,
    );
    let outcome = AccessOutcome::OverQuota;
    sender.metrics.record_access(Some(name), outcome);
    Err(HostAnswer::OverQuota {
        retry_after: refusal.retry_after,
    })
}

/// Returns a request that wasn't and won't be run to the quota of its organisation.
pub(crate) fn refund_quota(state: &GatewayState, organisation: Option<&OrganisationSpec>) {
    if let Some(own) = organisation.filter(|own| own.quota.is_some()) {
        state.refund_quota(&own.name);
    }
}

/// Logs a request that is refused for its key. The log line has no part of the key.
fn log_unidentified(
    state: &GatewayState,
    table: &RouteTable,
    now: Instant,
    id: &str,
    answer: &HostAnswer,
) {
    let age = state.confirmation_age(now);
    log::info!(
        target: "access",
        "request refused for its key; request={id} status={} version={} age_ms={}",
        answer.status().as_u16(),
        table.version,
        age.map_or(-1, |age| age.as_millis() as i64),
    );
}

/// Logs a request that no region may serve.
fn log_homeless(
    table: &RouteTable,
    id: &str,
    route: &RouteSpec,
    organisation: Option<&OrganisationSpec>,
) {
    log::info!(
        target: "access",
        "request refused, as no region may serve it; request={id} route={} organisation={} version={}",
        route.name,
        organisation.map_or("", |own| &own.name),
        table.version,
    );
}

/// Checks that a request has one virtual host and one way to find the end of its body.
fn check_framing(headers: &HeaderMap) -> Result<(), HostAnswer> {
    if headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH) {
        return Err(HostAnswer::Malformed(
            "content-length and transfer-encoding can't both be given",
        ));
    }
    if headers.get_all(HOST).iter().count() > 1 {
        return Err(HostAnswer::Malformed("host is given more than once"));
    }
    Ok(())
}

/// Returns the route of a path on a virtual host. A host whose configuration may be outdated can't say
/// that there is none.
fn find_route<'a>(
    state: &GatewayState,
    table: &'a RouteTable,
    now: Instant,
    host: &str,
    path: &str,
) -> Result<&'a RouteSpec, HostAnswer> {
    if table.version == 0 {
        return Err(unroutable("this host has no configuration yet"));
    }
    match table.site.route(host, path) {
        Some(route) => Ok(route),
        None if state.is_current(now) => Err(HostAnswer::NoRoute),
        None => Err(unroutable("this host may lack the latest configuration")),
    }
}

fn unroutable(cause: &str) -> HostAnswer {
    HostAnswer::NotRun {
        cause: cause.to_string(),
        retry_after: UNROUTABLE_RETRY_AFTER,
    }
}

/// Reads a body of at most `max_bytes` bytes until the deadline.
async fn read_body(
    buffers: &BufferBudget,
    body: Option<&mut ClientBody>,
    max_bytes: u64,
    deadline: Instant,
) -> Result<Bytes, HostAnswer> {
    let Some(body) = body else {
        return Ok(Bytes::new());
    };
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let reading = body.collect(buffers, max_bytes);
    match tokio::time::timeout_at(deadline.into(), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BufferError::TooLarge)) => Err(HostAnswer::TooLarge),
        Ok(Err(e @ BufferError::NoRoom)) => Err(HostAnswer::NotRun {
            cause: e.to_string(),
            retry_after: NO_ROOM_RETRY_AFTER,
        }),
        Ok(Err(BufferError::Truncated(_))) => Err(HostAnswer::Malformed("the body was cut")),
        Err(_) => Err(HostAnswer::NotRun {
            cause: "the body didn't arrive before the deadline".to_string(),
            retry_after: Duration::ZERO,
        }),
    }
}
