//! One attempt of a request on one backend server.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use http::header::{self, HeaderMap, HeaderValue};
use http::{HeaderName, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use model::outcome::{self, RequestOutcome};

use crate::body::{self, AnswerBody, ReadBody, RequestBody, StreamedAnswer, UploadState};
use crate::connection::{BackendConnection, SendEnd};
use crate::headers;
use crate::lease::{AttemptBytes, AttemptResult, LinkPacer, RouteLease};
use crate::pool::{BackendPool, PoolMap};
use crate::settings::ForwardSettings;

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// A whole answer came, or the start of a long one.
    Answered(Box<Response<AnswerBody>>),
    /// The backend server said in the documented form that it did not run the request.
    Shed,
    /// No byte was written; the body comes back.
    NotSent(RequestBody),
    /// All connections to the backend server are in use; the body comes back.
    Full(RequestBody),
    /// The request may have run, and there is no whole answer.
    Broken,
}

/// Which open connections an attempt may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    /// One that is open, else a new one.
    AnyOpen,
    /// One that answered very recently, else a new one.
    Fresh,
    /// A new one.
    New,
}

/// Counts the attempts of a request that may have reached a backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct SentCount(Arc<AtomicUsize>);

impl SentCount {
    /// Tells whether a byte of the request may have reached a backend server.
    pub(crate) fn is_sent(&self) -> bool {
        self.0.load(Ordering::Acquire) > 0
    }

    fn add(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    fn take_back(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A connection and a place on its backend server while an answer is under way.
#[derive(Debug)]
pub(crate) struct ExchangeGuard {
    connection: BackendConnection,
    pool: Arc<BackendPool>,
    lease: RouteLease,
    upload: UploadPart,
}

/// The body of a request within an exchange.
#[derive(Debug)]
enum UploadPart {
    /// Held whole, of this many bytes.
    Held(u64),
    /// Passed on while it arrives.
    Streamed(Arc<UploadState>),
}

impl UploadPart {
    fn is_done(&self) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Streamed(state) => state.is_done(),
        }
    }

    fn sent(&self) -> u64 {
        match self {
            Self::Held(bytes) => *bytes,
            Self::Streamed(state) => state.sent(),
        }
    }
}

impl From<&RequestBody> for UploadPart {
    fn from(body: &RequestBody) -> Self {
        match body {
            RequestBody::Held(bytes) => Self::Held(bytes.len() as u64),
            RequestBody::Streamed(upload) => Self::Streamed(upload.state()),
        }
    }
}

impl ExchangeGuard {
    /// Ends an exchange whose answer came whole, of this many bytes, and keeps its connection
    /// where that is safe.
    pub(crate) fn answered(self, down: u64) {
        self.end(AttemptResult::Answered, down);
    }

    /// Ends an exchange without a whole answer; its connection closes.
    pub(crate) fn failed(self, down: u64) {
        self.close(AttemptResult::Broken, down);
    }

    /// Returns a handle that paces bytes on the link to the backend server.
    pub(crate) fn pacer(&self) -> LinkPacer {
        self.lease.pacer()
    }

    fn close(self, result: AttemptResult, down: u64) {
        let up = self.upload.sent();
        let bytes = AttemptBytes { up, down };
        self.lease.finish(Instant::now(), result, bytes);
    }

    fn end(mut self, result: AttemptResult, down: u64) {
        let now = Instant::now();
        let up = self.upload.sent();
        self.lease.finish(now, result, AttemptBytes { up, down });
        if self.upload.is_done() {
            self.connection.set_answered(now);
            self.pool.put_idle(self.connection);
        }
    }
}

/// What every attempt of a request has in common.
#[derive(Debug)]
pub(crate) struct AttemptPlan {
    /// Method of the request.
    pub(crate) method: Method,
    /// Path and query of the request.
    pub(crate) target: http::Uri,
    /// Headers that are passed on.
    pub(crate) headers: HeaderMap,
    /// Identity of the request.
    pub(crate) request_id: HeaderValue,
    /// When the answer is due.
    pub(crate) due: Instant,
    /// Attempts that may have reached a backend server.
    pub(crate) sent: SentCount,
}

impl AttemptPlan {
    fn request(&self, body: RequestBody) -> Request<RequestBody> {
        let left = self.due.saturating_duration_since(Instant::now());
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let deadline = HeaderName::from_static(outcome::DEADLINE_HEADER);
        let left_ms = HeaderValue::from(left.as_millis() as u64);
        request.headers_mut().insert(deadline, left_ms);
        request
    }

    fn answer_is_unframed(&self, response: &Response<Incoming>) -> bool {
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

    /// Tells whether an answer names another request than the one that was sent.
    fn answer_is_foreign(&self, response: &Response<Incoming>) -> bool {
        let named = response.headers().get(outcome::REQUEST_ID_HEADER);
        named.is_some_and(|id| *id != self.request_id)
    }
}

/// Makes attempts on the connections of all pools.
#[derive(Debug)]
pub(crate) struct AttemptRunner<'a> {
    /// Bounds and times.
    pub(crate) settings: &'a ForwardSettings,
    /// Open connections.
    pub(crate) pools: &'a PoolMap,
    /// What every attempt has in common.
    pub(crate) plan: &'a AttemptPlan,
}

impl AttemptRunner<'_> {
    /// Makes one attempt on the backend server of a lease.
    pub(crate) async fn run(
        &self,
        lease: RouteLease,
        choice: ConnectionChoice,
        body: RequestBody,
    ) -> AttemptEnd {
        let pool = self.pools.get(lease.address());
        let upload = UploadPart::from(&body);
        let connection = match self.connect(&pool, &lease, choice).await {
            Ok(Some(connection)) => connection,
            Ok(None) => {
                lease.give_back(Instant::now());
                return AttemptEnd::Full(body);
            }
            Err(ConnectFailed) => {
                let (now, none) = (Instant::now(), AttemptBytes::default());
                lease.finish(now, AttemptResult::NotSent, none);
                return AttemptEnd::NotSent(body);
            }
        };
        let pacer = lease.pacer();
        let guard = ExchangeGuard {
            connection,
            pool,
            lease,
            upload,
        };
        self.exchange(guard, body.paced(&pacer)).await
    }

    /// Finds a connection; gives none where all are in use.
    async fn connect(
        &self,
        pool: &BackendPool,
        lease: &RouteLease,
        choice: ConnectionChoice,
    ) -> Result<Option<BackendConnection>, ConnectFailed> {
        let limit = match choice {
            ConnectionChoice::AnyOpen => Some(self.settings.idle_limit),
            ConnectionChoice::Fresh => Some(self.settings.fresh_limit),
            ConnectionChoice::New => None,
        };
        while let Some(mut connection) =
            limit.and_then(|limit| pool.take_idle(Instant::now(), limit))
        {
            if connection.get_ready().await {
                return Ok(Some(connection));
            }
        }
        let Some(permit) = pool.permit(self.settings.max_backend_connections) else {
            return Ok(None);
        };
        match BackendConnection::open(lease.address(), permit, self.settings).await {
            Ok(connection) => Ok(Some(connection)),
            Err(err) => {
                log::debug!(target: "forward", "{}: {err}", lease.address());
                Err(ConnectFailed)
            }
        }
    }

    async fn exchange(&self, mut guard: ExchangeGuard, body: RequestBody) -> AttemptEnd {
        self.plan.sent.add();
        let request = self.plan.request(body);
        match guard.connection.send(request).await {
            SendEnd::Head(response) => self.read_answer(guard, response).await,
            SendEnd::NotSent(request) => {
                self.plan.sent.take_back();
                guard.close(AttemptResult::NotSent, 0);
                AttemptEnd::NotSent(request.into_body())
            }
            SendEnd::Broken(err) => {
                log::debug!(target: "forward", "{}: {err}", guard.lease.address());
                guard.failed(0);
                AttemptEnd::Broken
            }
        }
    }

    async fn read_answer(&self, guard: ExchangeGuard, response: Response<Incoming>) -> AttemptEnd {
        let odd = response.status() == StatusCode::SWITCHING_PROTOCOLS
            || self.plan.answer_is_unframed(&response)
            || self.plan.answer_is_foreign(&response);
        if odd {
            log::warn!(target: "forward", "{}: odd answer dropped", guard.lease.address());
            guard.failed(0);
            return AttemptEnd::Broken;
        }
        if is_documented_shed(&response) {
            self.plan.sent.take_back();
            self.end_shed(guard, response).await;
            return AttemptEnd::Shed;
        }
        let (mut parts, mut incoming) = response.into_parts();
        let held = match body::read_up_to(&mut incoming, self.settings.hold_bytes).await {
            Ok(held) => held,
            Err(err) => {
                log::debug!(target: "forward", "{}: {err}", guard.lease.address());
                guard.failed(0);
                return AttemptEnd::Broken;
            }
        };
        self.dress(&mut parts);
        let body = match held {
            ReadBody::Whole(bytes) => {
                guard.answered(bytes.len() as u64);
                AnswerBody::Held(bytes)
            }
            ReadBody::Start(start) => {
                let due = sleep_until(self.plan.due);
                let answer = StreamedAnswer::new(start, incoming, guard, due);
                AnswerBody::Streamed(Box::new(answer))
            }
        };
        AttemptEnd::Answered(Box::new(Response::from_parts(parts, body)))
    }

    /// Ends an exchange that was shed; its connection is kept only after a whole answer.
    async fn end_shed(&self, guard: ExchangeGuard, response: Response<Incoming>) {
        let retry_after = response
            .headers()
            .get(header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Duration::from_secs);
        let result = AttemptResult::Shed { retry_after };
        let mut incoming = response.into_body();
        match body::read_up_to(&mut incoming, self.settings.hold_bytes).await {
            Ok(ReadBody::Whole(bytes)) => guard.end(result, bytes.len() as u64),
            Ok(ReadBody::Start(_)) | Err(_) => guard.close(result, 0),
        }
    }

    /// Makes the head of a backend server's answer one of this system.
    fn dress(&self, parts: &mut http::response::Parts) {
        headers::remove_hop_by_hop(&mut parts.headers);
        headers::remove_system_only(&mut parts.headers);
        let unclear = matches!(
            parts.status,
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
        );
        if unclear {
            let unknown: &'static str = RequestOutcome::Unknown.into();
            let name = HeaderName::from_static(outcome::OUTCOME_HEADER);
            parts
                .headers
                .insert(name, HeaderValue::from_static(unknown));
        }
    }
}

/// A backend server could not be reached.
struct ConnectFailed;

/// Tells whether an answer is a refusal in the documented form.
fn is_documented_shed(response: &Response<Incoming>) -> bool {
    let not_run: &'static str = RequestOutcome::NotRun.into();
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response
            .headers()
            .get(outcome::SHED_HEADER)
            .is_some_and(|value| value.as_bytes() == not_run.as_bytes())
}

fn sleep_until(due: Instant) -> BoxFuture<'static, ()> {
    Box::pin(tokio::time::sleep_until(due.into()))
}

/// Shortest wait that a caller is told.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(200);
