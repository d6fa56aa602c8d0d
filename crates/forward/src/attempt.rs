//! One attempt of a request on one backend server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use http::header::{self, HeaderMap, HeaderValue};
use http::{HeaderName, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use model::outcome::{self, RequestOutcome};
use wire::status;

use crate::body::{self, AnswerBody, BodyPrefix, RequestBody, StreamedAnswer, UploadState};
use crate::connection::{BackendConnection, SendOutcome};
use crate::headers;
use crate::permit::{AttemptBytes, AttemptPermit, AttemptResult, LinkPacer};
use crate::pool::{BackendPool, PoolMap};
use crate::settings::ForwardSettings;

/// Retry-after time of refusals for which no better estimate is known.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// A response arrived: in full if its body was buffered, else with the start of its body.
    Answered(Box<Response<AnswerBody>>),
    /// The backend server shed the request in the documented form; it did not run.
    Shed,
    /// No byte of the request was sent; the body is returned.
    NotSent(RequestBody),
    /// All connections to the backend server are in use; the body is returned.
    Full(RequestBody),
    /// The request may have run, and there is no complete response.
    Broken,
}

/// Which connection an attempt uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    /// An idle connection within [`ForwardSettings::max_idle`], or a new one if there is none.
    AnyIdle,
    /// An idle connection within [`ForwardSettings::max_idle_non_idempotent`], or a new one if
    /// there is none.
    RecentlyUsed,
    /// A new connection.
    New,
}

/// Number of attempts of a request that may have run on a backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct SentCount(Arc<AtomicUsize>);

impl SentCount {
    /// Returns whether any attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Acquire) > 0
    }

    /// Counts an attempt before its first byte is written.
    fn add(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    /// Removes an attempt that certainly did not run.
    fn remove(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Connection and permit of an attempt whose request was sent, until its response is complete.
#[derive(Debug)]
pub(crate) struct ExchangeGuard {
    connection: BackendConnection,
    pool: Arc<BackendPool>,
    permit: AttemptPermit,
    upload: UploadProgress,
}

/// Progress of sending the request's body.
#[derive(Debug)]
enum UploadProgress {
    /// The body was buffered and has this many bytes.
    Buffered(u64),
    /// The body is streamed.
    Streamed(Arc<UploadState>),
}

impl UploadProgress {
    fn is_done(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(state) => state.is_done(),
        }
    }

    fn sent_bytes(&self) -> u64 {
        match self {
            Self::Buffered(bytes) => *bytes,
            Self::Streamed(state) => state.sent_bytes(),
        }
    }
}

impl From<&RequestBody> for UploadProgress {
    fn from(body: &RequestBody) -> Self {
        match body {
            RequestBody::Buffered(bytes) => Self::Buffered(bytes.len() as u64),
            RequestBody::Streamed(upload) => Self::Streamed(upload.state()),
        }
    }
}

impl ExchangeGuard {
    /// Ends an exchange with a complete response whose body has `down` bytes. The connection
    /// returns to its pool if the request's body was sent in full.
    pub(crate) fn answered(self, down: u64) {
        self.complete(AttemptResult::Answered, down);
    }

    /// Ends an exchange without a complete response, after `down` bytes of the response's body, and
    /// closes its connection.
    pub(crate) fn failed(self, down: u64) {
        self.close(AttemptResult::Broken, down);
    }

    /// Returns a handle that limits the byte rate on the link to the backend server.
    pub(crate) fn pacer(&self) -> LinkPacer {
        self.permit.pacer()
    }

    /// Reports the result and closes the connection.
    fn close(self, result: AttemptResult, down: u64) {
        let up = self.upload.sent_bytes();
        let bytes = AttemptBytes { up, down };
        self.permit.finish(Instant::now(), result, bytes);
    }

    /// Reports the result and returns the connection to its pool if the request's body was sent in
    /// full.
    fn complete(mut self, result: AttemptResult, down: u64) {
        let now = Instant::now();
        let up = self.upload.sent_bytes();
        self.permit.finish(now, result, AttemptBytes { up, down });
        if self.upload.is_done() {
            self.connection.record_response(now);
            self.pool.return_idle(self.connection);
        }
    }
}

/// Values that all attempts of a request share.
#[derive(Debug)]
pub(crate) struct AttemptPlan {
    /// Method of the request.
    pub(crate) method: Method,
    /// Path and query of the request.
    pub(crate) target: http::Uri,
    /// Headers that are sent to the backend server.
    pub(crate) headers: HeaderMap,
    /// Id of the request.
    pub(crate) request_id: HeaderValue,
    /// Deadline of the request.
    pub(crate) deadline: Instant,
    /// Number of attempts that may have run.
    pub(crate) sent: SentCount,
}

impl AttemptPlan {
    /// Builds the request to a backend server, with the remaining time until the deadline in a header.
    fn request(&self, body: RequestBody) -> Request<RequestBody> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let name = HeaderName::from_static(outcome::DEADLINE_HEADER);
        let remaining_ms = HeaderValue::from(remaining.as_millis() as u64);
        request.headers_mut().insert(name, remaining_ms);
        request
    }

    /// Returns whether only the end of the connection ends the response's body, so that a truncated
    /// body can't be distinguished from a complete one.
    fn is_unframed(&self, response: &Response<Incoming>) -> bool {
        let status = response.status();
        if self.method == Method::HEAD
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED
        {
            return false;
        }
        let headers = response.headers();
        let chunked = headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back()
            .is_some_and(|value| value.as_bytes().to_ascii_lowercase().ends_with(b"chunked"));
        !chunked && !headers.contains_key(header::CONTENT_LENGTH)
    }

    /// Returns whether the response carries the id of another request.
    fn is_for_other_request(&self, response: &Response<Incoming>) -> bool {
        let id = response.headers().get(outcome::REQUEST_ID_HEADER);
        id.is_some_and(|id| *id != self.request_id)
    }
}

/// Runs the attempts of one request.
#[derive(Debug)]
pub(crate) struct AttemptRunner<'a> {
    /// Limits and timeouts.
    pub(crate) settings: &'a ForwardSettings,
    /// Open connections to backend servers.
    pub(crate) pools: &'a PoolMap,
    /// Values that all attempts share.
    pub(crate) plan: &'a AttemptPlan,
}

impl AttemptRunner<'_> {
    /// Runs one attempt on the backend server of a permit.
    pub(crate) async fn run(
        &self,
        permit: AttemptPermit,
        choice: ConnectionChoice,
        body: RequestBody,
    ) -> AttemptOutcome {
        let pool = self.pools.get(permit.address());
        let upload = UploadProgress::from(&body);
        let connection = match self.connect(&pool, permit.address(), choice).await {
            Ok(Some(connection)) => connection,
            Ok(None) => {
                permit.cancel(Instant::now());
                return AttemptOutcome::Full(body);
            }
            Err(BackendUnreachable) => {
                let (now, none) = (Instant::now(), AttemptBytes::default());
                permit.finish(now, AttemptResult::NotSent, none);
                return AttemptOutcome::NotSent(body);
            }
        };
        let pacer = permit.pacer();
        let guard = ExchangeGuard {
            connection,
            pool,
            permit,
            upload,
        };
        self.exchange(guard, body.paced(&pacer)).await
    }

    /// Takes an idle connection or opens a new one. Returns `None` if all connections are in use.
    async fn connect(
        &self,
        pool: &BackendPool,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Result<Option<BackendConnection>, BackendUnreachable> {
        let max_idle = match choice {
            ConnectionChoice::AnyIdle => Some(self.settings.max_idle),
            ConnectionChoice::RecentlyUsed => Some(self.settings.max_idle_non_idempotent),
            ConnectionChoice::New => None,
        };
        while let Some(mut connection) =
            max_idle.and_then(|max_idle| pool.take_idle(Instant::now(), max_idle))
        {
            if connection.wait_ready().await {
                return Ok(Some(connection));
            }
        }
        let Some(permit) = pool.try_reserve(self.settings.max_backend_connections) else {
            return Ok(None);
        };
        match BackendConnection::open(address, permit, self.settings).await {
            Ok(connection) => Ok(Some(connection)),
            Err(err) => {
                log::debug!(target: "forward", "no connection to backend server {address}: {err}");
                Err(BackendUnreachable)
            }
        }
    }

    async fn exchange(&self, mut guard: ExchangeGuard, body: RequestBody) -> AttemptOutcome {
        self.plan.sent.add();
        let request = self.plan.request(body);
        match guard.connection.send(request).await {
            SendOutcome::Head(response) => self.read_response(guard, response).await,
            SendOutcome::NotSent(request) => {
                self.plan.sent.remove();
                guard.close(AttemptResult::NotSent, 0);
                AttemptOutcome::NotSent(request.into_body())
            }
            SendOutcome::Broken(err) => {
                let address = guard.permit.address();
                log::debug!(
                    target: "forward",
                    "no response from backend server {address}, request may have run: {err}"
                );
                guard.failed(0);
                AttemptOutcome::Broken
            }
        }
    }

    async fn read_response(
        &self,
        guard: ExchangeGuard,
        response: Response<Incoming>,
    ) -> AttemptOutcome {
        let invalid = !status::is_final(response.status())
            || self.plan.is_unframed(&response)
            || self.plan.is_for_other_request(&response);
        if invalid {
            let address = guard.permit.address();
            log::warn!(
                target: "forward",
                "dropped response of {address}: no body length, id of another request or no final status"
            );
            guard.failed(0);
            return AttemptOutcome::Broken;
        }
        if is_documented_shed(&response) {
            self.plan.sent.remove();
            self.finish_shed(guard, response).await;
            return AttemptOutcome::Shed;
        }
        let (mut parts, mut incoming) = response.into_parts();
        let max_buffered = self.settings.max_buffered_body_bytes;
        let prefix = match body::read_up_to(&mut incoming, max_buffered).await {
            Ok(prefix) => prefix,
            Err(err) => {
                let address = guard.permit.address();
                log::debug!(
                    target: "forward",
                    "incomplete response of backend server {address}, request may have run: {err}"
                );
                guard.failed(0);
                return AttemptOutcome::Broken;
            }
        };
        rewrite_head(&mut parts);
        let body = match prefix {
            BodyPrefix::Complete(bytes) => {
                guard.answered(bytes.len() as u64);
                AnswerBody::Buffered(bytes)
            }
            BodyPrefix::Partial(start) => {
                let deadline = sleep_until(self.plan.deadline);
                let answer = StreamedAnswer::new(start, incoming, guard, deadline);
                AnswerBody::Streamed(Box::new(answer))
            }
        };
        AttemptOutcome::Answered(Box::new(Response::from_parts(parts, body)))
    }

    /// Ends the exchange of a shed request. The connection returns to its pool only if the body of
    /// the response is complete and short enough to be buffered.
    async fn finish_shed(&self, guard: ExchangeGuard, response: Response<Incoming>) {
        let retry_after = response
            .headers()
            .get(header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Duration::from_secs);
        let result = AttemptResult::Shed { retry_after };
        let mut incoming = response.into_body();
        match body::read_up_to(&mut incoming, self.settings.max_buffered_body_bytes).await {
            Ok(BodyPrefix::Complete(bytes)) => guard.complete(result, bytes.len() as u64),
            Ok(BodyPrefix::Partial(_)) | Err(_) => guard.close(result, 0),
        }
    }
}

/// The backend server could not be reached.
struct BackendUnreachable;

/// Removes the headers that must not reach the caller, and marks the outcome of a 502, 503 or 504
/// response as unknown.
fn rewrite_head(parts: &mut http::response::Parts) {
    headers::remove_hop_by_hop(&mut parts.headers);
    headers::remove_reserved(&mut parts.headers);
    let may_have_run = matches!(
        parts.status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    if may_have_run {
        let unknown: &'static str = RequestOutcome::Unknown.into();
        let name = HeaderName::from_static(outcome::OUTCOME_HEADER);
        parts
            .headers
            .insert(name, HeaderValue::from_static(unknown));
    }
}

/// Returns whether a response states in the documented form that the backend server shed the
/// request.
fn is_documented_shed(response: &Response<Incoming>) -> bool {
    let not_run: &'static str = RequestOutcome::NotRun.into();
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(outcome::SHED_HEADER)
            .is_some_and(|value| value.as_bytes() == not_run.as_bytes())
}

fn sleep_until(deadline: Instant) -> BoxFuture<'static, ()> {
    Box::pin(tokio::time::sleep_until(deadline.into()))
}
