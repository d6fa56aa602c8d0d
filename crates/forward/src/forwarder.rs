//! Attempts, retries and hedges of a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{self, Either};
use http::header::{HeaderName, HeaderValue};
use http::{request, Request, Response};
use model::outcome::{self, RefusalReason};
use tokio::sync::{oneshot, Semaphore};

use crate::attempt::{self, AttemptOutcome, AttemptRunner, ConnectionChoice, SentCount};
use crate::body::{self, AnswerBody, BodyPrefix, CallerBody, RequestBody, StreamedUpload};
use crate::buffer::{BufferBudget, BufferPermit};
use crate::head::{self, RequestHead};
use crate::hooks::ClaimStore;
use crate::idempotency::{ClaimCompletion, ClaimOutcome, ClaimRequest, ClaimStep};
use crate::metrics::{ExtraAttempt, ForwardMetrics};
use crate::permit::AttemptPermit;
use crate::pool::PoolMap;
use crate::refusal::RequestRefusal;
use crate::routes::{RouteSession, RouteTable};
use crate::run::{self, ForwardRun};
use crate::settings::ForwardSettings;

/// Multiple of the expected latency of a backend server after which a request is hedged.
const HEDGE_LATENCY_FACTOR: u32 = 4;
/// Shortest time without a response after which a request is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);
/// Longest time without a response after which a request is hedged.
const MAX_HEDGE_DELAY: Duration = Duration::from_secs(1);

type AnswerResult = Result<Response<AnswerBody>, RequestRefusal>;

/// Forwards requests of callers to backend servers.
pub struct RequestForwarder {
    settings: ForwardSettings,
    routes: Arc<RouteTable>,
    claims: Arc<dyn ClaimStore>,
    pools: PoolMap,
    buffers: BufferBudget,
    claimed_runs: Arc<Semaphore>,
    metrics: Option<ForwardMetrics>,
}

impl RequestForwarder {
    /// Creates a forwarder.
    pub fn new(
        settings: ForwardSettings,
        routes: Arc<RouteTable>,
        claims: Arc<dyn ClaimStore>,
    ) -> Self {
        Self {
            buffers: BufferBudget::new(settings.max_buffered_bytes),
            claimed_runs: Arc::new(Semaphore::new(settings.max_claimed_runs)),
            settings,
            routes,
            claims,
            pools: PoolMap::default(),
            metrics: None,
        }
    }

    /// Sets the metrics in which requests and attempts are recorded.
    #[must_use]
    pub fn metrics(mut self, metrics: ForwardMetrics) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Returns the limits and timeouts.
    pub fn settings(&self) -> &ForwardSettings {
        &self.settings
    }

    /// Returns the number of open connections to each backend server.
    pub fn open_connections(&self) -> Vec<(SocketAddr, usize)> {
        self.pools.open_counts()
    }

    /// Returns the number of current runs under an idempotency key, including those whose caller
    /// disconnected.
    pub fn claimed_runs(&self) -> usize {
        let free = self.claimed_runs.available_permits();
        self.settings.max_claimed_runs.saturating_sub(free)
    }

    /// Waits until all runs under an idempotency key have ended and been completed in the claim
    /// store.
    pub async fn wait_claimed_runs(&self) {
        let all = self.settings.max_claimed_runs as u32;
        drop(self.claimed_runs.acquire_many(all).await);
    }

    /// Returns the number of bytes reserved for buffered request bodies.
    pub fn buffered_bytes(&self) -> u64 {
        self.buffers.reserved_bytes()
    }

    /// Closes the connections to backend servers that have been idle for longer than
    /// [`ForwardSettings::max_idle`].
    pub fn close_idle_connections(&self, now: Instant) {
        self.pools
            .close_idle_connections(now, self.settings.max_idle);
    }

    /// Forwards a request and returns the answer of a backend server or a refusal.
    pub async fn forward(self: &Arc<Self>, request: Request<CallerBody>) -> Response<AnswerBody> {
        let start = Instant::now();
        let (parts, incoming) = request.into_parts();
        let (id, result) = match head::parse_request_id(&parts.headers) {
            Ok(id) => {
                let result = self.answer(parts, incoming, &id).await;
                (id, result)
            }
            Err(refusal) => (head::generate_request_id(), Err(refusal)),
        };
        self.record_result(&result, start);
        let mut response = result.unwrap_or_else(|refusal| refusal.to_response().map(Into::into));
        let name = HeaderName::from_static(outcome::REQUEST_ID_HEADER);
        response.headers_mut().insert(name, id);
        response
    }

    fn record_result(&self, result: &AnswerResult, start: Instant) {
        if let Some(metrics) = &self.metrics {
            match result {
                Ok(_) => metrics.record_answered(start.elapsed()),
                Err(refusal) => metrics.record_refused(refusal),
            }
        }
    }

    fn record_extra_attempt(&self, kind: ExtraAttempt) {
        if let Some(metrics) = &self.metrics {
            metrics.record_extra_attempt(kind);
        }
    }

    /// Validates a request, claims its key if it has one, and runs it.
    async fn answer(
        self: &Arc<Self>,
        parts: request::Parts,
        incoming: CallerBody,
        id: &HeaderValue,
    ) -> AnswerResult {
        let head = RequestHead::parse(&parts, id, &self.settings)?;
        // Before its key is claimed, the request may repeat an earlier one that ran.
        let may_be_repeated = head.key.is_some();
        let run = self.prepare(parts, head, incoming).await;
        let run = run.map_err(|refusal| refusal.unknown_if(may_be_repeated))?;
        match run.claim() {
            Some(claim) => self.clone().answer_claimed(run, claim).await,
            None => self.answer_before_deadline(run).await,
        }
    }

    /// Prepares a request for its attempts: reserves memory for its body and reads a body that is
    /// buffered.
    async fn prepare(
        &self,
        parts: request::Parts,
        head: RequestHead,
        incoming: CallerBody,
    ) -> Result<ForwardRun, RequestRefusal> {
        let deadline = Instant::now() + head.timeout;
        let buffer = self.reserve_buffer(&head)?;
        let reading = self.read_body(&head, incoming);
        let Ok(body) = tokio::time::timeout_at(deadline.into(), reading).await else {
            return Err(run::deadline_refusal(&SentCount::default()));
        };
        ForwardRun::new(parts, head, body?, deadline, buffer)
    }

    /// Reserves memory for a body that is going to be buffered. Returns `None` for an empty body
    /// and for a body that is streamed.
    fn reserve_buffer(&self, head: &RequestHead) -> Result<Option<BufferPermit>, RequestRefusal> {
        let max_bytes = self.settings.max_buffered_body_bytes as u64;
        let bytes = match head.body_bytes {
            Some(bytes) if bytes == 0 || bytes > max_bytes => return Ok(None),
            Some(bytes) => bytes,
            None => max_bytes,
        };
        let permit = self.buffers.try_reserve(bytes);
        permit.map(Some).ok_or_else(|| {
            let message = "this entry host holds too many bodies";
            RequestRefusal::unavailable(RefusalReason::Overloaded, attempt::RETRY_AFTER, message)
        })
    }

    /// Reads a body that is buffered, or starts to stream a longer one.
    async fn read_body(
        &self,
        head: &RequestHead,
        mut incoming: CallerBody,
    ) -> Result<RequestBody, RequestRefusal> {
        let max_bytes = self.settings.max_buffered_body_bytes as u64;
        let prefix = match head.body_bytes {
            Some(0) => return Ok(RequestBody::Buffered(Bytes::new())),
            Some(bytes) if bytes > max_bytes => BodyPrefix::Partial(Bytes::new()),
            _ => body::read_up_to(&mut incoming, self.settings.max_buffered_body_bytes)
                .await
                .map_err(|_| RequestRefusal::malformed("the request's body was cut"))?,
        };
        Ok(match prefix {
            BodyPrefix::Complete(bytes) => RequestBody::Buffered(bytes),
            BodyPrefix::Partial(start) => {
                let max_bytes = self.settings.max_body_bytes;
                RequestBody::Streamed(StreamedUpload::new(start, incoming, max_bytes))
            }
        })
    }

    /// Runs a request under its key in a separate task, so that it is completed even if its caller
    /// disconnects.
    async fn answer_claimed(self: Arc<Self>, run: ForwardRun, claim: ClaimRequest) -> AnswerResult {
        let sent = run.plan.sent.clone();
        let deadline = run.plan.deadline;
        let Ok(permit) = self.claimed_runs.clone().try_acquire_owned() else {
            let message = "this entry host has too many runs under keys";
            let reason = RefusalReason::Overloaded;
            let refusal = RequestRefusal::unavailable(reason, attempt::RETRY_AFTER, message);
            return Err(refusal.unknown_if(true));
        };
        let (sender, receiver) = oneshot::channel();
        async_std::task::spawn(async move {
            let _permit = permit;
            let claiming = self.claims.claim(claim.clone());
            let outcome = tokio::time::timeout_at(deadline.into(), claiming).await;
            let outcome = outcome.unwrap_or(ClaimOutcome::Unconfirmed);
            let attempt = match ClaimStep::from(outcome) {
                ClaimStep::Run { attempt } => attempt,
                ClaimStep::Replay(answer) => {
                    let _ = sender.send(Ok(answer.to_response()));
                    return;
                }
                ClaimStep::Refuse(refusal) => {
                    let _ = sender.send(Err(refusal));
                    return;
                }
            };
            let result = self.answer_before_deadline(run).await;
            let completion =
                ClaimCompletion::from_result(&result, self.settings.max_kept_answer_bytes);
            if result.is_err() {
                // A refusal is not kept, so the caller gets it before the keepers get the outcome.
                let _ = sender.send(result);
                self.claims.complete(claim, attempt, completion).await;
                return;
            }
            // The keepers that respond in time store the answer before the caller gets it, so that
            // it is not lost if this host fails.
            self.claims.complete(claim, attempt, completion).await;
            let _ = sender.send(result);
        });
        receiver
            .await
            .unwrap_or_else(|_| Err(run::deadline_refusal(&sent)))
    }

    /// Runs a request until its deadline.
    async fn answer_before_deadline(&self, mut run: ForwardRun) -> AnswerResult {
        let deadline = run.plan.deadline;
        if Instant::now() >= deadline {
            return Err(run.deadline_refusal());
        }
        let sent = run.plan.sent.clone();
        match tokio::time::timeout_at(deadline.into(), self.run_attempts(&mut run)).await {
            Ok(result) => result,
            Err(_) => Err(run::deadline_refusal(&sent)),
        }
    }

    /// Makes attempts until one is answered or the request may not be tried again.
    async fn run_attempts(&self, run: &mut ForwardRun) -> AnswerResult {
        let mut session = self.routes.start(run.query())?;
        for number in 0..self.settings.max_attempts {
            let Some(body) = run.take_body() else {
                break;
            };
            if number > 0 {
                self.record_extra_attempt(ExtraAttempt::Retry);
            }
            let permit = match permit_or_wait(&mut session).await {
                Ok(permit) => permit,
                Err(refusal) if number == 0 => return Err(refusal),
                Err(_) => break,
            };
            let try_again = match self.attempt(run, &mut session, permit, body).await {
                AttemptOutcome::Answered(response) => return Ok(*response),
                AttemptOutcome::NotSent(body) => {
                    run.restore_body(body, RefusalReason::BackendFailed);
                    true
                }
                AttemptOutcome::Full(body) => {
                    run.restore_body(body, RefusalReason::Overloaded);
                    true
                }
                AttemptOutcome::Shed => {
                    run.reason = RefusalReason::Overloaded;
                    run.is_replayable() && session.try_withdraw_retry()
                }
                AttemptOutcome::Broken => {
                    run.head.idempotent && run.is_replayable() && session.try_withdraw_retry()
                }
            };
            if !try_again {
                break;
            }
        }
        Err(run.failure_refusal())
    }

    /// Makes one attempt. If the request is idempotent and its body is buffered, a slow attempt is
    /// hedged on another backend server.
    async fn attempt(
        &self,
        run: &ForwardRun,
        session: &mut RouteSession,
        permit: AttemptPermit,
        body: RequestBody,
    ) -> AttemptOutcome {
        let runner = AttemptRunner {
            settings: &self.settings,
            pools: &self.pools,
            plan: &run.plan,
        };
        if !run.head.idempotent {
            return runner
                .run(permit, ConnectionChoice::RecentlyUsed, body)
                .await;
        }
        let RequestBody::Buffered(bytes) = &body else {
            return runner.run(permit, ConnectionChoice::AnyIdle, body).await;
        };
        let copy = RequestBody::Buffered(bytes.clone());
        let delay = self.hedge_delay(&permit);
        let permit = permit.timeout_from(Instant::now() + delay);
        let delay = Box::pin(tokio::time::sleep(delay));
        let first = Box::pin(runner.run(permit, ConnectionChoice::AnyIdle, body));
        let first = match future::select(first, delay).await {
            Either::Left((end, _)) => return end,
            Either::Right(((), first)) => first,
        };
        let Some(permit) = hedge_permit(session) else {
            return first.await;
        };
        self.record_extra_attempt(ExtraAttempt::Hedge);
        let second = Box::pin(runner.run(permit, ConnectionChoice::New, copy));
        let end = match future::select(first, second).await {
            Either::Left((end @ AttemptOutcome::Answered(_), _))
            | Either::Right((end @ AttemptOutcome::Answered(_), _)) => end,
            Either::Left((_, other)) => other.await,
            Either::Right((_, other)) => other.await,
        };
        end
    }

    /// Returns the time without a response after which an attempt is hedged.
    fn hedge_delay(&self, permit: &AttemptPermit) -> Duration {
        match permit.expected_latency() {
            Some(latency) => {
                (latency * HEDGE_LATENCY_FACTOR).clamp(MIN_HEDGE_DELAY, MAX_HEDGE_DELAY)
            }
            None => self.settings.default_hedge_delay,
        }
    }
}

/// Reserves capacity for an attempt. The first attempt of a request may wait a short time until
/// capacity is free.
async fn permit_or_wait(session: &mut RouteSession) -> Result<AttemptPermit, RequestRefusal> {
    loop {
        let refusal = match session.next_permit(Instant::now()) {
            Ok(permit) => return Ok(permit),
            Err(refusal) => refusal,
        };
        let Some(delay) = session.capacity_wait(Instant::now()) else {
            return Err(refusal);
        };
        tokio::time::sleep(delay).await;
    }
}

/// Reserves capacity for a hedge. Returns `None` if no other backend server has free capacity or
/// the hedge budget is used up.
fn hedge_permit(session: &mut RouteSession) -> Option<AttemptPermit> {
    let now = Instant::now();
    let permit = session.next_permit(now).ok()?;
    if session.try_withdraw_hedge() {
        return Some(permit);
    }
    permit.cancel(now);
    None
}
