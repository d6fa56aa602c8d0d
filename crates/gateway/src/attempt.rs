//! One sending to one backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use balance::query::{AttemptReport, ChosenServer};
use balance::server::{AttemptEnd, ReportedLoad};
use bytes::Bytes;
use http::header::{HeaderMap, CONNECTION, CONTENT_ENCODING, HOST};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::metrics::GatewayMetrics;
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
        /// What happened, for the log.
        what: String,
    },
    /// The request may have run, and there is no answer.
    MayHaveRun {
        /// What happened, for the log.
        what: String,
    },
}

/// Counts a request towards a backend server's load until it ends, and logs its end.
#[derive(Debug)]
pub struct LoadGuard {
    state: Arc<GatewayState>,
    metrics: GatewayMetrics,
    chosen: ChosenServer,
    request_id: String,
    object: Option<u64>,
    began_at: Instant,
    /// Whether the connection had carried another request; none before there is one.
    reused: Option<bool>,
    open: bool,
}

impl LoadGuard {
    /// Begins to count.
    pub fn new(sender: &ServerSender, chosen: ChosenServer, request: &ForwardRequest) -> Self {
        Self {
            state: Arc::clone(&sender.state),
            metrics: sender.metrics.clone(),
            chosen,
            request_id: request.id.clone(),
            object: request.object,
            began_at: Instant::now(),
            reused: None,
            open: true,
        }
    }

    fn finish(&mut self, end: AttemptEnd, load: Option<ReportedLoad>, what: &str) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        let now = Instant::now();
        let took = now.saturating_duration_since(self.began_at);
        let chosen = &self.chosen;
        let report = AttemptReport {
            end,
            took,
            load,
            object: self.object,
            forecast: chosen.forecast,
        };
        self.state.balancer().finish(now, chosen.key, report);
        self.metrics.count_attempt(end, took);
        let reported = load.map_or(-1, |load| i64::from(load.running + load.waiting));
        log::info!(
            target: "attempt",
            "attempt ended; request={} server={} service={} address={} object={:x} load={:.1} affinity={} \
             expected_ms={} reported={reported} reused={} end={end} took_ms={} what={what}",
            self.request_id,
            chosen.record.id,
            chosen.record.service,
            chosen.record.address,
            self.object.unwrap_or_default(),
            chosen.load,
            chosen.forecast.affinity,
            chosen.forecast.expected().as_millis(),
            self.reused.map_or("none", |reused| if reused { "yes" } else { "no" }),
            took.as_millis(),
        );
    }
}

impl Drop for LoadGuard {
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
    /// What the host knows.
    pub state: Arc<GatewayState>,
    /// Connections.
    pub pool: ServerPool,
    /// Names of headers.
    pub names: HeaderNames,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
}

impl ServerSender {
    /// Sends a request to the backend server that was chosen for it. Dropping the future closes
    /// the connection, at which the backend server drops the request.
    pub async fn send(&self, request: &ForwardRequest, mut guard: LoadGuard) -> AttemptResult {
        let (result, end, load) = self.exchange(request, &mut guard).await;
        let what = match &result {
            AttemptResult::MayHaveRun { what } | AttemptResult::NotRun { what, .. } => what,
            AttemptResult::Answer(_) => "",
        };
        guard.finish(end, load, what);
        result
    }

    async fn exchange(
        &self,
        request: &ForwardRequest,
        guard: &mut LoadGuard,
    ) -> (AttemptResult, AttemptEnd, Option<ReportedLoad>) {
        let address = guard.chosen.record.address;
        let longest_idle = if request.is_safe() {
            Duration::MAX
        } else {
            pool::FRESH_IDLE
        };
        let mut connection = match self.pool.take(address, longest_idle).await {
            Ok(connection) => connection,
            Err(e) => return not_run(AttemptEnd::Unreachable, false, None, e.to_string()),
        };
        guard.reused = Some(connection.reused);
        let message = self.message(request, &guard.chosen);
        let response = match connection.http.sender.try_send_request(message).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let what = error.into_error().to_string();
                if unsent {
                    return not_run(AttemptEnd::Unreachable, false, None, what);
                }
                return broken(what);
            }
        };
        let address = guard.chosen.record.address;
        self.read_answer(request, address, connection, response)
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
        address: SocketAddr,
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
        if !closes && !connection.http.sender.is_closed() {
            self.pool.put(address, connection);
        }
        let not_executed = parts.headers.contains_key(&self.names.not_run);
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            return not_run(AttemptEnd::Misdirected, true, load, "wrong server".into());
        }
        if not_executed {
            return not_run(AttemptEnd::Shed, true, load, "rejected".into());
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
    what: String,
) -> (AttemptResult, AttemptEnd, Option<ReportedLoad>) {
    (AttemptResult::NotRun { end, arrived, what }, end, load)
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
