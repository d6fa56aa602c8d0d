//! One attempt at one backend server.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use balance::notice::{ServerNotice, MAX_REST};
use balance::quarantine::RunAdmission;
use balance::query::{AttemptReport, ChosenServer};
use balance::server::{AttemptEnd, ReportedLoad};
use bytes::Bytes;
use fleet::ids;
use fleet::limit::RequestRate;
use http::header::{HeaderMap, CONNECTION, CONTENT_ENCODING, HOST, RETRY_AFTER};
use http::response::Parts;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use wire::status;

use crate::buffer::{BufferBudget, BufferError};
use crate::close::KEEP_ALIVE;
use crate::limit::LimitReading;
use crate::load::LoadReading;
use crate::metrics::GatewayMetrics;
use crate::pool::{self, ConnectError, ServerConnection, ServerPool};
use crate::request::{self, ForwardRequest};
use crate::settings::HeaderNames;
use crate::state::GatewayState;

/// Size limit of an answer's body; an attempt with a larger one fails.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The backend server answered completely.
    Answer(Response<Bytes>),
    /// The request certainly didn't run.
    NotRun {
        /// How the attempt ended; the client gets it as the cause if there is no further attempt.
        end: AttemptEnd,
        /// Whether the request reached a backend server.
        reached: bool,
        /// Reason, for the log.
        reason: String,
    },
    /// The request may have run, and there is no valid answer.
    MayHaveRun {
        /// Reason, for the log.
        reason: String,
    },
}

/// Result of an attempt, with the end and the reported load for the balancer.
type AttemptOutcome = (AttemptResult, AttemptEnd, Option<ReportedLoad>);

/// Reports the end of an attempt to the balancer, the metrics and the log.
///
/// The request counts towards the load of the backend server until then. Dropping the guard of an
/// unfinished attempt reports [`AttemptEnd::Dropped`].
#[derive(Debug)]
pub struct AttemptGuard {
    state: Arc<GatewayState>,
    metrics: GatewayMetrics,
    chosen: ChosenServer,
    request_id: String,
    object: Option<u64>,
    digest: ids::RequestDigest,
    started_at: Instant,
    /// Time of the host's awake clock at which the attempt started.
    awake_at: Duration,
    /// Whether the connection had carried a request before; `None` while there is no connection.
    reused: Option<bool>,
    /// Whether the attempt is the trial of a quarantined request.
    is_trial: bool,
    /// Limit that the answer names.
    limit: Option<RequestRate>,
    finished: bool,
}

impl AttemptGuard {
    /// Creates the guard of an attempt that starts now.
    pub fn new(
        sender: &ServerSender,
        chosen: ChosenServer,
        request: &ForwardRequest,
        admission: RunAdmission,
    ) -> Self {
        Self {
            state: Arc::clone(&sender.state),
            metrics: sender.metrics.clone(),
            chosen,
            request_id: request.id.clone(),
            object: request.object,
            digest: request.digest,
            started_at: Instant::now(),
            awake_at: sender.state.awake_time(),
            reused: None,
            is_trial: admission == RunAdmission::Trial,
            limit: None,
            finished: false,
        }
    }

    /// Reports the end of the attempt, unless it was reported before.
    fn finish(&mut self, end: AttemptEnd, load: Option<ReportedLoad>, reason: &str) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let now = Instant::now();
        let took = now.saturating_duration_since(self.started_at);
        let awake = self.state.awake_time().saturating_sub(self.awake_at);
        let chosen = &self.chosen;
        let report = AttemptReport {
            end,
            took: took.min(awake),
            load,
            object: self.object,
            request: self.digest,
            forecast: chosen.forecast,
        };
        if self.state.balancer().finish(now, chosen.key, report) {
            log::info!(
                target: "server",
                "no server of the zone is reached, leaving it alone; zone={}",
                chosen.record.zone
            );
        }
        self.metrics.record_attempt(end, took);
        let machine = chosen.work_percent.map(|(percent, age)| {
            format!(" work_percent={percent} work_age_ms={}", age.as_millis())
        });
        let reported = load.map_or(-1, |load| i64::from(load.running + load.waiting));
        log::info!(
            target: "attempt",
            "attempt ended; request={} server={} service={} address={} object={:x} digest={:x} load={:.1} \
             affinity={} expected_ms={}{} reported={reported} limit={} reused={} end={end} \
             took_ms={} \
             what={reason}",
            self.request_id,
            chosen.record.id,
            chosen.record.service,
            chosen.record.address,
            self.object.unwrap_or_default(),
            self.digest,
            chosen.load,
            chosen.forecast.affinity,
            chosen.forecast.expected().as_millis(),
            machine.unwrap_or_default(),
            self.limit.map_or(-1.0, RequestRate::per_second),
            self.reused.map_or("none", |reused| if reused { "yes" } else { "no" }),
            took.as_millis(),
        );
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish(
            AttemptEnd::Dropped,
            None,
            "deadline, client gone or another was faster",
        );
    }
}

/// Sends requests to backend servers.
#[derive(Debug)]
pub struct ServerSender {
    /// State of the host.
    pub state: Arc<GatewayState>,
    /// Connections to backend servers.
    pub pool: ServerPool,
    /// Memory for the bodies of requests and answers.
    pub buffers: BufferBudget,
    /// Names of headers.
    pub names: HeaderNames,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
}

impl ServerSender {
    /// Sends a request to the backend server that was chosen for it, and waits for the answer.
    /// Dropping the future closes the connection, upon which the backend server cancels the
    /// request.
    pub async fn send(&self, request: &ForwardRequest, mut guard: AttemptGuard) -> AttemptResult {
        let (result, end, load) = self.exchange(request, &mut guard).await;
        let reason = match &result {
            AttemptResult::MayHaveRun { reason } | AttemptResult::NotRun { reason, .. } => reason,
            AttemptResult::Answer(_) => "",
        };
        guard.finish(end, load, reason);
        result
    }

    /// Acquires a connection, sends the request and reads the answer.
    async fn exchange(&self, request: &ForwardRequest, guard: &mut AttemptGuard) -> AttemptOutcome {
        let address = guard.chosen.record.address;
        let max_idle = if request.is_safe() {
            Duration::MAX
        } else {
            pool::UNSAFE_IDLE_LIMIT
        };
        let mut connection = match self.pool.acquire(address, max_idle).await {
            Ok(connection) => connection,
            Err(e) => return not_run(connect_end(&e), false, None, e.to_string()),
        };
        guard.reused = Some(connection.reused);
        let now = Instant::now();
        if request.remaining(now).is_zero() {
            self.pool.release(address, connection);
            return not_run(AttemptEnd::Withdrawn, false, None, "deadline passed".into());
        }
        if !self.state.balancer().may_send(now, &guard.chosen) {
            self.pool.release(address, connection);
            return not_run(
                AttemptEnd::Withdrawn,
                false,
                None,
                "the server must not get it any more".into(),
            );
        }
        if !guard.is_trial
            && self.state.balancer().admission(now, request.digest) != RunAdmission::Free
        {
            self.pool.release(address, connection);
            let reason = "the request was quarantined meanwhile".into();
            return not_run(AttemptEnd::Withdrawn, false, None, reason);
        }
        connection.http.begin_head();
        let message = self.build_message(request, &guard.chosen);
        let response = match connection.http.sender.try_send_request(message).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                if unsent {
                    return not_run(AttemptEnd::Refused, false, None, error.to_string());
                }
                if error.is_parse_too_large() || connection.http.is_exhausted() {
                    return oversized("a head without end");
                }
                return self
                    .broken_run(request, &guard.chosen, error.to_string())
                    .await;
            }
        };
        // What such a message says of its server isn't read either.
        if !status::is_final(response.status()) {
            let status = response.status().as_u16();
            return broken(format!("status {status}, which ends no exchange"));
        }
        guard.limit = self.record_limit(request, &guard.chosen, &response, now);
        self.record_notices(&guard.chosen, &response);
        self.read_answer(request, &guard.chosen, connection, response)
            .await
    }

    /// Returns the request as it is sent to the chosen backend server.
    fn build_message(
        &self,
        request: &ForwardRequest,
        chosen: &ChosenServer,
    ) -> Request<Full<Bytes>> {
        let names = &self.names;
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = origin_form(&request.target);
        *message.headers_mut() = request.headers.clone();
        let headers = message.headers_mut();
        let remaining = request.remaining(Instant::now()).as_millis().max(1);
        request::set_number(headers, &names.deadline, remaining);
        if let Ok(id) = chosen.record.id.parse() {
            headers.insert(names.target_server.clone(), id);
        }

        message
    }

    /// Reads and checks an answer, and returns the connection to the pool if it stays open.
    async fn read_answer(
        &self,
        request: &ForwardRequest,
        chosen: &ChosenServer,
        mut connection: ServerConnection,
        response: Response<Incoming>,
    ) -> AttemptOutcome {
        let address = chosen.record.address;
        let (mut parts, mut body) = response.into_parts();
        let id = parts.headers.get(&self.names.request_id);
        let id_matches = id.map(|id| id.as_bytes() == request.id.as_bytes());
        if id_matches == Some(false) {
            return broken("an answer to another request came".to_string());
        }
        // It may be a late second copy of the answer to an earlier request.
        if id_matches.is_none() && connection.reused {
            return broken("an answer without id came on a reused connection".to_string());
        }
        let refusal = self.refusal(&parts);
        if refusal.is_some() && connection.has_refused(&request.id) {
            return broken("a refusal came that the connection has carried before".to_string());
        }
        let load = self.reported_load(chosen, &parts.headers);
        connection.http.begin_body(MAX_ANSWER_BYTES);
        let body = match self.buffers.collect(&mut body, MAX_ANSWER_BYTES).await {
            Ok(body) => body,
            Err(BufferError::TooLarge) => return oversized("a body over the limit"),
            Err(_) if connection.http.is_exhausted() => return oversized("a body without end"),
            Err(BufferError::Truncated(e)) => {
                let reason = format!("the answer was cut: {e}");
                return self.broken_run(request, chosen, reason).await;
            }
            Err(e @ BufferError::NoRoom) => return broken(e.to_string()),
        };
        connection.http.end_exchange();
        let closes = has_connection_close(&parts.headers);
        if let Some(timeout) = announced_idle_timeout(&parts.headers) {
            connection.set_idle_timeout(timeout);
        }
        let is_traced = refusal.is_none() || connection.record_refusal(&request.id);
        if !closes && is_traced && !connection.http.sender.is_closed() {
            self.pool.release(address, connection);
        }
        if let Some((end, reason)) = refusal {
            return not_run(end, true, load, reason.into());
        }
        if !request.is_safe() && is_promise_not_run(parts.status) {
            let reason = format!("status {} without a refusal", parts.status.as_u16());
            return (
                AttemptResult::MayHaveRun { reason },
                AttemptEnd::Failed,
                load,
            );
        }
        if parts.status.is_success() && !self.is_authentic(&parts.headers, id_matches) {
            return broken("a success without signature".to_string());
        }
        let end = if parts.status.is_server_error() {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Answered
        };
        request::strip_hop_by_hop_headers(&mut parts.headers);
        parts.version = http::Version::HTTP_11;
        let answer = Response::from_parts(parts, body);
        (AttemptResult::Answer(answer), end, load)
    }

    /// Returns the end of an attempt and its reason where the answer says that the request didn't run.
    fn refusal(&self, parts: &Parts) -> Option<(AttemptEnd, &'static str)> {
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            return Some((AttemptEnd::Misdirected, "wrong server"));
        }
        let is_shed = parts.headers.contains_key(&self.names.not_run);
        is_shed.then_some((AttemptEnd::Shed, "rejected"))
    }

    /// Returns the end of an attempt whose connection broke while the backend server may have run the
    /// request. If the server has ended, that counts against the request.
    async fn broken_run(
        &self,
        request: &ForwardRequest,
        chosen: &ChosenServer,
        reason: String,
    ) -> AttemptOutcome {
        let (state, record, digest) = (
            Arc::clone(&self.state),
            chosen.record.clone(),
            request.digest,
        );
        // The check goes on if the client leaves meanwhile.
        let check = task::spawn(async move {
            let has_ended = pool::refuses_connections(record.address).await;
            if has_ended {
                let now = Instant::now();
                state.balancer().record_crash(now, digest, &record);
            }
            has_ended
        });
        if !check.await {
            return broken(reason);
        }
        log::info!(
            target: "server",
            "server ended while it ran a request; server={} born={} request={} digest={:x}",
            chosen.record.id,
            chosen.record.born,
            request.id,
            request.digest
        );
        (
            AttemptResult::MayHaveRun { reason },
            AttemptEnd::Crashed,
            None,
        )
    }

    /// Records what an answer says of the limit of its server, and returns the rate that it names. The
    /// request was sent at `sent_at`.
    fn record_limit(
        &self,
        request: &ForwardRequest,
        chosen: &ChosenServer,
        response: &Response<Incoming>,
        sent_at: Instant,
    ) -> Option<RequestRate> {
        let (status, headers) = (response.status(), response.headers());
        let reading = LimitReading::read(&self.names, &request.id, status, headers);
        let reading = match reading {
            Ok(LimitReading::Unknown) => return None,
            Ok(reading) => reading,
            Err(e) => {
                let server = &chosen.record.id;
                log::info!(target: "server", "limit ignored; server={server} error={e}");
                return None;
            }
        };
        let (now, rate) = (Instant::now(), reading.rate());
        let mut balancer = self.state.balancer();
        if balancer.record_limit(now, &chosen.record, rate, sent_at) {
            log::info!(
                target: "server",
                "limit changed; server={} born={} limit={}",
                chosen.record.id,
                chosen.record.born,
                rate.map_or(-1.0, RequestRate::per_second),
            );
        }
        rate
    }

    /// Records what an answer asks of this host, as soon as its head is read.
    fn record_notices(&self, chosen: &ChosenServer, response: &Response<Incoming>) {
        let (status, headers) = (response.status(), response.headers());
        // Another server has the address; its notices don't concern the chosen one.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let leaving = headers.get(&self.names.leaving);
        let leaving = leaving.is_some_and(|value| value.as_bytes().trim_ascii() == b"1");
        let rest = (status == StatusCode::SERVICE_UNAVAILABLE)
            .then(|| requested_rest(headers, &chosen.record.id))
            .flatten();
        let notices = [
            leaving.then_some(ServerNotice::Leaving),
            rest.map(ServerNotice::Rest),
        ];
        for notice in notices.into_iter().flatten() {
            let now = Instant::now();
            let mut balancer = self.state.balancer();
            if balancer.record_notice(now, &chosen.record, notice) {
                log::info!(
                    target: "server",
                    "server gets no more requests; server={} born={} notice={notice:?}",
                    chosen.record.id,
                    chosen.record.born,
                );
            }
        }
    }

    /// Returns whether a success comes unchanged from the backend server and belongs to the
    /// request.
    fn is_authentic(&self, headers: &HeaderMap, id_matches: Option<bool>) -> bool {
        headers.contains_key(&self.names.signature)
            && id_matches == Some(true)
            && !headers.contains_key(CONTENT_ENCODING)
    }

    /// Returns the load that an answer reports.
    fn reported_load(&self, chosen: &ChosenServer, headers: &HeaderMap) -> Option<ReportedLoad> {
        let value = headers.get(&self.names.load)?.to_str().ok()?;
        let reading = LoadReading::read(value);
        // One line for the process: a fault of a kind of server repeats with each answer.
        if reading.is_odd && !self.state.mark_odd_load() {
            log::warn!(
                target: "server",
                "figure of the machine ignored, also in further answers; server={} value={value:?}",
                chosen.record.id
            );
        }
        reading.load
    }
}

/// Returns whether clients take a status as a promise that the request didn't run and never will.
fn is_promise_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns how an attempt ended for which no connection could be opened.
fn connect_end(error: &ConnectError) -> AttemptEnd {
    match error {
        ConnectError::Timeout => AttemptEnd::Unreachable,
        ConnectError::Io(e) => match e.kind() {
            ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable | ErrorKind::TimedOut => {
                AttemptEnd::Unreachable
            }
            _ => AttemptEnd::Refused,
        },
        ConnectError::Http(_) => AttemptEnd::Refused,
    }
}

fn not_run(
    end: AttemptEnd,
    reached: bool,
    load: Option<ReportedLoad>,
    reason: String,
) -> AttemptOutcome {
    let result = AttemptResult::NotRun {
        end,
        reached,
        reason,
    };
    (result, end, load)
}

fn broken(reason: String) -> AttemptOutcome {
    let result = AttemptResult::MayHaveRun { reason };
    (result, AttemptEnd::Broken, None)
}

fn oversized(reason: &str) -> AttemptOutcome {
    let reason = reason.to_string();
    let result = AttemptResult::MayHaveRun { reason };
    (result, AttemptEnd::Oversized, None)
}

/// Returns the rest that a backend server asks for in the `retry-after` header, in seconds with an
/// optional fraction, limited to [`MAX_REST`].
fn requested_rest(headers: &HeaderMap, server: &str) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?;
    let seconds = value
        .to_str()
        .ok()
        .and_then(|value| value.trim().parse::<f64>().ok());
    let Some(seconds) = seconds.filter(|seconds| *seconds >= 0.0) else {
        log::warn!(target: "server", "retry-after ignored, as it holds no seconds; server={server} value={value:?}");
        return None;
    };
    if seconds > MAX_REST.as_secs_f64() {
        log::warn!(target: "server", "retry-after limited to {MAX_REST:?}; server={server} value={value:?}");
    }
    Some(Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64())))
}

/// Returns a request target in origin form: the path and the query.
fn origin_form(target: &Uri) -> Uri {
    let path = target.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Returns whether the headers contain `connection: close`, that is, whether the message is the
/// last one on its connection.
pub fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut names = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    names.any(|name| name.trim().eq_ignore_ascii_case("close"))
}

/// Returns the idle timeout that a backend server announces in the `keep-alive` header.
fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Returns the host name that a request is addressed to, without the port and in lower case. A host
/// in the request target takes precedence over the `host` header.
pub fn addressed_host(headers: &HeaderMap, target: &Uri) -> Option<String> {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = target.host().or(header)?;
    let host = host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|byte| byte.is_ascii_digit()) {
            name
        } else {
            host
        }
    });
    Some(host.to_ascii_lowercase())
}
