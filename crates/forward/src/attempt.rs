//! One attempt of a request on one backend server.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::header::{self, HeaderMap, HeaderValue};
use http::{HeaderName, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use model::outcome::{self, RequestOutcome};

use crate::body::{self, AnswerBody, ReadBody, RequestBody, StreamedAnswer, UploadState};
use crate::connection::{BackendConnection, SendEnd};
use crate::headers;
use crate::pool::{BackendPool, PoolMap};
use crate::routes::{AttemptResult, RouteLease};
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
    upload: Option<Arc<UploadState>>,
}

impl ExchangeGuard {
    /// Ends an exchange whose answer came whole, and keeps its connection where that is safe.
    pub(crate) fn answered(self) {
        self.end(AttemptResult::Answered);
    }

    /// Ends an exchange without a whole answer; its connection closes.
    pub(crate) fn failed(self) {
        self.lease.finish(Instant::now(), AttemptResult::Failed);
    }

    fn shed(self) {
        self.end(AttemptResult::Shed);
    }

    fn end(mut self, result: AttemptResult) {
        let now = Instant::now();
        self.lease.finish(now, result);
        if self.upload.is_none_or(|upload| upload.is_done()) {
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
        let pool = self.pools.get(lease.address);
        let upload = match &body {
            RequestBody::Held(_) => None,
            RequestBody::Streamed(upload) => Some(upload.state()),
        };
        let connection = match self.connect(&pool, &lease, choice).await {
            Ok(Some(connection)) => connection,
            Ok(None) => return AttemptEnd::Full(body),
            Err(ConnectFailed) => {
                lease.finish(Instant::now(), AttemptResult::Failed);
                return AttemptEnd::NotSent(body);
            }
        };
        let guard = ExchangeGuard {
            connection,
            pool,
            lease,
            upload,
        };
        self.exchange(guard, body).await
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
        match BackendConnection::open(lease.address, permit, self.settings).await {
            Ok(connection) => Ok(Some(connection)),
            Err(err) => {
                log::debug!(target: "forward", "{}: {err}", lease.address);
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
                guard.failed();
                AttemptEnd::NotSent(request.into_body())
            }
            SendEnd::Broken(err) => {
                log::debug!(target: "forward", "{}: {err}", guard.lease.address);
                guard.failed();
                AttemptEnd::Broken
            }
        }
    }

    async fn read_answer(&self, guard: ExchangeGuard, response: Response<Incoming>) -> AttemptEnd {
        let odd = response.status() == StatusCode::SWITCHING_PROTOCOLS
            || self.plan.answer_is_unframed(&response)
            || self.plan.answer_is_foreign(&response);
        if odd {
            log::warn!(target: "forward", "{}: odd answer dropped", guard.lease.address);
            guard.failed();
            return AttemptEnd::Broken;
        }
        let shed = is_documented_shed(&response);
        let (mut parts, mut incoming) = response.into_parts();
        let held = match body::read_up_to(&mut incoming, self.settings.hold_bytes).await {
            Ok(held) => held,
            Err(err) if !shed => {
                log::debug!(target: "forward", "{}: {err}", guard.lease.address);
                guard.failed();
                return AttemptEnd::Broken;
            }
            Err(_) => ReadBody::Start(Bytes::new()),
        };
        if shed {
            self.plan.sent.take_back();
            guard.shed_after(&held);
            return AttemptEnd::Shed;
        }
        self.dress(&mut parts);
        let body = match held {
            ReadBody::Whole(bytes) => {
                guard.answered();
                AnswerBody::Held(bytes)
            }
            ReadBody::Start(start) => {
                let due = sleep_until(self.plan.due);
                AnswerBody::Streamed(StreamedAnswer::new(start, incoming, guard, due))
            }
        };
        AttemptEnd::Answered(Box::new(Response::from_parts(parts, body)))
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

impl ExchangeGuard {
    /// Ends an exchange that was shed; its connection is kept only after a whole answer.
    fn shed_after(self, held: &ReadBody) {
        match held {
            ReadBody::Whole(_) => self.shed(),
            ReadBody::Start(_) => self.lease.finish(Instant::now(), AttemptResult::Shed),
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
