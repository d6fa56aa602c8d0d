//! One sending to one backend server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use balance::balancer::{AttemptReport, ChosenServer, ServerKey, TimeForecast};
use balance::server::{AttemptEnd, ReportedLoad};
use bytes::Bytes;
use http::header::{HeaderMap, CONNECTION, CONTENT_ENCODING, HOST};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::pool::{self, ServerConnection, ServerPool};
use crate::request::{self, ForwardRequest};
use crate::settings::HeaderNames;
use crate::state::GatewayState;

/// Most bytes of an answer's body that are held.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Header by which a server says how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";

/// What came of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// A whole answer of the backend server.
    Answer(Response<Bytes>),
    /// The request didn't run there.
    NotRun {
        /// How it ended, for the log.
        end: AttemptEnd,
        /// Whether the request reached a backend server.
        arrived: bool,
    },
    /// The request may have run, and there is no answer.
    MayHaveRun {
        /// What happened, for the log.
        what: String,
    },
}

/// Counts a request towards a backend server's load until it ends.
#[derive(Debug)]
pub struct LoadGuard {
    state: Arc<GatewayState>,
    key: ServerKey,
    object: Option<u64>,
    forecast: TimeForecast,
    began_at: Instant,
    open: bool,
}

impl LoadGuard {
    /// Begins to count.
    pub fn new(state: Arc<GatewayState>, chosen: &ChosenServer, object: Option<u64>) -> Self {
        Self {
            state,
            key: chosen.key,
            object,
            forecast: chosen.forecast,
            began_at: Instant::now(),
            open: true,
        }
    }

    fn finish(&mut self, end: AttemptEnd, load: Option<ReportedLoad>) {
        if std::mem::take(&mut self.open) {
            let now = Instant::now();
            let report = AttemptReport {
                end,
                took: now.saturating_duration_since(self.began_at),
                load,
                object: self.object,
                forecast: self.forecast,
            };
            self.state.balancer().finish(now, self.key, report);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.finish(AttemptEnd::Dropped, None);
    }
}

/// Sends requests to backend servers.
#[derive(Debug)]
pub struct ServerSender {
    /// What the host knows.
    pub state: Arc<GatewayState>,
    /// Connections.
    pub pool: ServerPool,
    /// Names of headers.
    pub names: HeaderNames,
}

impl ServerSender {
    /// Sends a request to the backend server that was chosen for it. Dropping the future closes
    /// the connection, at which the backend server drops the request.
    pub async fn send(
        &self,
        request: &ForwardRequest,
        chosen: &ChosenServer,
        mut guard: LoadGuard,
    ) -> AttemptResult {
        let began_at = Instant::now();
        let (result, end, load) = self.exchange(request, chosen).await;
        guard.finish(end, load);
        let reported = load.map_or(-1, |load| i64::from(load.running + load.waiting));
        log::info!(
            target: "attempt",
            "attempt ended; request={} server={} service={} object={:x} load={:.1} warm={} expected_ms={} reported={reported} end={end} took_ms={}",
            request.id,
            chosen.record.id,
            request.service,
            request.object.unwrap_or_default(),
            chosen.load,
            chosen.forecast.warm,
            chosen.forecast.expected().as_millis(),
            began_at.elapsed().as_millis(),
        );
        result
    }

    async fn exchange(
        &self,
        request: &ForwardRequest,
        chosen: &ChosenServer,
    ) -> (AttemptResult, AttemptEnd, Option<ReportedLoad>) {
        let address = chosen.record.address;
        let longest_idle = if request.is_safe() {
            Duration::MAX
        } else {
            pool::FRESH_IDLE
        };
        let mut connection = match self.pool.take(address, longest_idle).await {
            Ok(connection) => connection,
            Err(e) => {
                log::debug!(target: "attempt", "no connection; request={} server={} error={e}", request.id, chosen.record.id);
                return not_run(AttemptEnd::Unreachable, false, None);
            }
        };
        let message = self.message(request, chosen);
        let response = match connection.sender.try_send_request(message).await {
            Ok(response) => response,
            Err(mut error) => {
                if error.take_message().is_some() {
                    let end = AttemptEnd::Unreachable;
                    return not_run(end, false, None);
                }
                return broken(format!("{}", error.into_error()));
            }
        };
        self.read_answer(request, chosen, connection, response)
            .await
    }

    fn message(&self, request: &ForwardRequest, chosen: &ChosenServer) -> Request<Full<Bytes>> {
        let names = &self.names;
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = origin_form(&request.target);
        *message.headers_mut() = request.headers.clone();
        let headers = message.headers_mut();
        let left = request.left(Instant::now()).as_millis().max(1);
        request::set_number(headers, &names.deadline, left);
        if let Ok(id) = chosen.record.id.parse() {
            headers.insert(names.target.clone(), id);
        }
        message
    }

    async fn read_answer(
        &self,
        request: &ForwardRequest,
        chosen: &ChosenServer,
        mut connection: ServerConnection,
        response: Response<Incoming>,
    ) -> (AttemptResult, AttemptEnd, Option<ReportedLoad>) {
        let (mut parts, body) = response.into_parts();
        let own = parts.headers.get(&self.names.request_id);
        let own = own.map(|id| id.as_bytes() == request.id.as_bytes());
        if own == Some(false) {
            return broken("an answer to another request came".to_string());
        }
        let load = self.load(&parts.headers);
        let body = match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => return broken(format!("the answer was cut: {e}")),
        };
        let closes = has_close(&parts.headers);
        if let Some(limit) = kept_for(&parts.headers) {
            connection.set_idle_limit(limit);
        }
        if !closes && !connection.sender.is_closed() {
            self.pool.put(chosen.record.address, connection);
        }
        let not_executed = parts.headers.contains_key(&self.names.not_run);
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            return not_run(AttemptEnd::Misdirected, true, load);
        }
        if not_executed {
            return not_run(AttemptEnd::Shed, true, load);
        }
        if parts.status.is_success() && !self.is_signed(&parts.headers, own) {
            return broken("a success without signature".to_string());
        }
        let end = if parts.status.is_server_error() {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Answered
        };
        request::strip_hop_headers(&mut parts.headers);
        parts.version = http::Version::HTTP_11;
        let answer = Response::from_parts(parts, body);
        (AttemptResult::Answer(answer), end, load)
    }

    /// Tells whether a success is one that the backend server itself made for this request.
    fn is_signed(&self, headers: &HeaderMap, own: Option<bool>) -> bool {
        headers.contains_key(&self.names.signature)
            && own == Some(true)
            && !headers.contains_key(CONTENT_ENCODING)
    }

    fn load(&self, headers: &HeaderMap) -> Option<ReportedLoad> {
        let value = headers.get(&self.names.load)?.to_str().ok()?;
        let mut numbers = value.split(',').map(|number| number.trim().parse::<u32>());
        let mut next = || numbers.next()?.ok();
        Some(ReportedLoad {
            running: next()?,
            waiting: next()?,
            slots: next()?,
        })
    }
}

fn not_run(
    end: AttemptEnd,
    arrived: bool,
    load: Option<ReportedLoad>,
) -> (AttemptResult, AttemptEnd, Option<ReportedLoad>) {
    (AttemptResult::NotRun { end, arrived }, end, load)
}

fn broken(what: String) -> (AttemptResult, AttemptEnd, Option<ReportedLoad>) {
    (AttemptResult::MayHaveRun { what }, AttemptEnd::Broken, None)
}

/// Returns the path and query alone, as a backend server expects them.
fn origin_form(target: &Uri) -> Uri {
    let path = target.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Tells whether a message is the last on its connection.
pub fn has_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut names = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    names.any(|name| name.trim().eq_ignore_ascii_case("close"))
}

/// Returns how long the server keeps an idle connection, where it says so.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Returns the host that a request names, without port, in lower case.
pub fn host_of(headers: &HeaderMap, target: &Uri) -> Option<String> {
    let named = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = target.host().or(named)?;
    let host = host.rsplit_once(':').map_or(host, |(name, port)| {
        if port.bytes().all(|byte| byte.is_ascii_digit()) {
            name
        } else {
            host
        }
    });
    Some(host.to_ascii_lowercase())
}
