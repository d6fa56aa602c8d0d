//! One request from its first attempt to its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{self, Either};
use http::header::{HeaderName, HeaderValue};
use http::{request, Request, Response};
use hyper::body::Incoming;
use model::outcome::{self, RefusalReason};
use tokio::sync::{oneshot, Semaphore};

use crate::attempt::{self, AttemptEnd, AttemptRunner, ConnectionChoice, SentCount};
use crate::body::{self, AnswerBody, ReadBody, RequestBody, StreamedUpload};
use crate::claimed::{ClaimEnd, ClaimOutcome, ClaimRequest, ClaimStep};
use crate::edges::ClaimEdge;
use crate::facts::{self, RequestFacts};
use crate::hold::{HoldBudget, HoldPermit};
use crate::lease::RouteLease;
use crate::metrics::{ExtraAttempt, ForwardMetrics};
use crate::pool::PoolMap;
use crate::refusal::RequestRefusal;
use crate::routes::{RouteSession, RouteTable};
use crate::run::{self, ForwardRun};
use crate::settings::ForwardSettings;

type AnswerResult = Result<Response<AnswerBody>, RequestRefusal>;

/// Forwards requests of callers to backend servers.
pub struct RequestForwarder {
    settings: ForwardSettings,
    routes: Arc<RouteTable>,
    claims: Arc<dyn ClaimEdge>,
    pools: PoolMap,
    holds: HoldBudget,
    claimed_runs: Arc<Semaphore>,
    metrics: Option<ForwardMetrics>,
}

impl RequestForwarder {
    /// Creates a forwarder.
    pub fn new(
        settings: ForwardSettings,
        routes: Arc<RouteTable>,
        claims: Arc<dyn ClaimEdge>,
    ) -> Self {
        Self {
            holds: HoldBudget::new(settings.max_held_bytes),
            claimed_runs: Arc::new(Semaphore::new(settings.max_claimed_runs)),
            settings,
            routes,
            claims,
            pools: PoolMap::default(),
            metrics: None,
        }
    }

    /// Counts requests and attempts.
    #[must_use]
    pub fn metrics(mut self, metrics: ForwardMetrics) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Returns the bounds and times.
    pub fn settings(&self) -> &ForwardSettings {
        &self.settings
    }

    /// Returns the number of open connections to each backend server.
    pub fn open_connections(&self) -> Vec<(SocketAddr, usize)> {
        self.pools.open_counts()
    }

    /// Returns the number of runs under an idempotency key, also those whose caller left.
    pub fn claimed_runs(&self) -> usize {
        let free = self.claimed_runs.available_permits();
        self.settings.max_claimed_runs.saturating_sub(free)
    }

    /// Waits until all runs under an idempotency key have ended and their answers are kept.
    pub async fn wait_claimed(&self) {
        let all = self.settings.max_claimed_runs as u32;
        drop(self.claimed_runs.acquire_many(all).await);
    }

    /// Returns the bytes of request bodies that are held.
    pub fn held_bytes(&self) -> u64 {
        self.holds.held()
    }

    /// Closes the connections to backend servers that were idle for too long.
    pub fn close_idle(&self, now: Instant) {
        self.pools.close_idle(now, self.settings.idle_limit);
    }

    /// Forwards a request and gives its answer, or the refusal that its caller is told.
    pub async fn forward(self: &Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let start = Instant::now();
        let (parts, incoming) = request.into_parts();
        let (id, result) = match facts::read_request_id(&parts.headers) {
            Ok(id) => {
                let result = self.answer(parts, incoming, &id).await;
                (id, result)
            }
            Err(refusal) => (facts::make_request_id(), Err(refusal)),
        };
        self.count(&result, start);
        let mut response = result.unwrap_or_else(|refusal| refusal.to_response().map(Into::into));
        let name = HeaderName::from_static(outcome::REQUEST_ID_HEADER);
        response.headers_mut().insert(name, id);
        response
    }

    fn count(&self, result: &AnswerResult, start: Instant) {
        if let Some(metrics) = &self.metrics {
            match result {
                Ok(_) => metrics.answered(start.elapsed()),
                Err(refusal) => metrics.refused(refusal),
            }
        }
    }

    fn count_extra(&self, why: ExtraAttempt) {
        if let Some(metrics) = &self.metrics {
            metrics.extra(why);
        }
    }

    async fn answer(
        self: &Arc<Self>,
        parts: request::Parts,
        incoming: Incoming,
        id: &HeaderValue,
    ) -> AnswerResult {
        let facts = RequestFacts::read(&parts, id, &self.settings)?;
        // Before its key is settled, a request may be the resend of one that ran.
        let unsettled = facts.key.is_some();
        let run = self.prepare(parts, facts, incoming).await;
        let run = run.map_err(|refusal| refusal.may_have_run(unsettled))?;
        match run.claim() {
            Some(claim) => self.clone().answer_claimed(run, claim).await,
            None => self.answer_in_time(run).await,
        }
    }

    /// Reads what is to be held of a body before the first attempt.
    async fn prepare(
        &self,
        parts: request::Parts,
        facts: RequestFacts,
        incoming: Incoming,
    ) -> Result<ForwardRun, RequestRefusal> {
        let due = Instant::now() + facts.allowed;
        let hold = self.hold(&facts)?;
        let reading = self.read_body(&facts, incoming);
        let Ok(body) = tokio::time::timeout_at(due.into(), reading).await else {
            return Err(run::late(&SentCount::default()));
        };
        ForwardRun::new(parts, facts, body?, due, hold)
    }

    /// Takes memory for a body that is going to be held.
    fn hold(&self, facts: &RequestFacts) -> Result<Option<HoldPermit>, RequestRefusal> {
        let bound = self.settings.hold_bytes as u64;
        let bytes = match facts.body_bytes {
            Some(bytes) if bytes == 0 || bytes > bound => return Ok(None),
            Some(bytes) => bytes,
            None => bound,
        };
        let permit = self.holds.try_take(bytes);
        permit.map(Some).ok_or_else(|| {
            let message = "this entry host holds too many bodies";
            RequestRefusal::no_room(RefusalReason::Overloaded, attempt::RETRY_AFTER, message)
        })
    }

    /// Holds a body up to the bound, or passes it on while it arrives.
    async fn read_body(
        &self,
        facts: &RequestFacts,
        mut incoming: Incoming,
    ) -> Result<RequestBody, RequestRefusal> {
        let bound = self.settings.hold_bytes as u64;
        let start = match facts.body_bytes {
            Some(0) => return Ok(RequestBody::Held(Bytes::new())),
            Some(bytes) if bytes > bound => ReadBody::Start(Bytes::new()),
            _ => body::read_up_to(&mut incoming, self.settings.hold_bytes)
                .await
                .map_err(|_| RequestRefusal::malformed("the request's body was cut"))?,
        };
        Ok(match start {
            ReadBody::Whole(bytes) => RequestBody::Held(bytes),
            ReadBody::Start(start) => {
                let limit = self.settings.max_body_bytes;
                RequestBody::Streamed(StreamedUpload::new(start, incoming, limit))
            }
        })
    }

    /// Runs under a key in a task of its own, so that it ends also when its caller leaves.
    async fn answer_claimed(self: Arc<Self>, run: ForwardRun, claim: ClaimRequest) -> AnswerResult {
        let sent = run.plan.sent.clone();
        let due = run.plan.due;
        let Ok(permit) = self.claimed_runs.clone().try_acquire_owned() else {
            let message = "this entry host has too many runs under keys";
            let reason = RefusalReason::Overloaded;
            let refusal = RequestRefusal::no_room(reason, attempt::RETRY_AFTER, message);
            return Err(refusal.may_have_run(true));
        };
        let (sender, receiver) = oneshot::channel();
        async_std::task::spawn(async move {
            let _permit = permit;
            let claiming = self.claims.claim(claim.clone());
            let outcome = tokio::time::timeout_at(due.into(), claiming).await;
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
            let result = self.answer_in_time(run).await;
            let end = ClaimEnd::of(&result, self.settings.kept_answer_bytes);
            if result.is_err() {
                // A refusal is told at once.
                let _ = sender.send(result);
                self.claims.complete(claim, attempt, end).await;
                return;
            }
            // The keepers know the answer before the caller, as far as they take it in time, so
            // that it isn't lost with this host.
            self.claims.complete(claim, attempt, end).await;
            let _ = sender.send(result);
        });
        receiver.await.unwrap_or_else(|_| Err(run::late(&sent)))
    }

    /// Runs a request, and gives up on it when its deadline passes.
    async fn answer_in_time(&self, mut run: ForwardRun) -> AnswerResult {
        let due = run.plan.due;
        if Instant::now() >= due {
            return Err(run.late());
        }
        let sent = run.plan.sent.clone();
        match tokio::time::timeout_at(due.into(), self.run(&mut run)).await {
            Ok(result) => result,
            Err(_) => Err(run::late(&sent)),
        }
    }

    async fn run(&self, run: &mut ForwardRun) -> AnswerResult {
        let mut session = self.routes.start(run.query())?;
        for number in 0..self.settings.max_attempts {
            let Some(body) = run.take_body() else {
                break;
            };
            if number > 0 {
                self.count_extra(ExtraAttempt::Retry);
            }
            let lease = match lease_or_wait(&mut session).await {
                Ok(lease) => lease,
                Err(refusal) if number == 0 => return Err(refusal),
                Err(_) => break,
            };
            let again = match self.attempt(run, &mut session, lease, body).await {
                AttemptEnd::Answered(response) => return Ok(*response),
                AttemptEnd::NotSent(body) => {
                    run.give_back(body, RefusalReason::BackendFailed);
                    true
                }
                AttemptEnd::Full(body) => {
                    run.give_back(body, RefusalReason::Overloaded);
                    true
                }
                AttemptEnd::Shed => {
                    run.reason = RefusalReason::Overloaded;
                    run.is_held() && session.take_retry()
                }
                AttemptEnd::Broken => run.facts.idempotent && run.is_held() && session.take_retry(),
            };
            if !again {
                break;
            }
        }
        Err(run.failure())
    }

    /// Makes one attempt, and a second one beside it where the first is slow.
    async fn attempt(
        &self,
        run: &ForwardRun,
        session: &mut RouteSession,
        lease: RouteLease,
        body: RequestBody,
    ) -> AttemptEnd {
        let runner = AttemptRunner {
            settings: &self.settings,
            pools: &self.pools,
            plan: &run.plan,
        };
        if !run.facts.idempotent {
            return runner.run(lease, ConnectionChoice::Fresh, body).await;
        }
        let RequestBody::Held(bytes) = &body else {
            return runner.run(lease, ConnectionChoice::AnyOpen, body).await;
        };
        let copy = RequestBody::Held(bytes.clone());
        let delay = self.hedge_delay(&lease);
        let lease = lease.late_from(Instant::now() + delay);
        let delay = Box::pin(tokio::time::sleep(delay));
        let first = Box::pin(runner.run(lease, ConnectionChoice::AnyOpen, body));
        let first = match future::select(first, delay).await {
            Either::Left((end, _)) => return end,
            Either::Right(((), first)) => first,
        };
        let Some(lease) = hedge_lease(session) else {
            return first.await;
        };
        self.count_extra(ExtraAttempt::Hedge);
        let second = Box::pin(runner.run(lease, ConnectionChoice::New, copy));
        let end = match future::select(first, second).await {
            Either::Left((end @ AttemptEnd::Answered(_), _))
            | Either::Right((end @ AttemptEnd::Answered(_), _)) => end,
            Either::Left((_, other)) => other.await,
            Either::Right((_, other)) => other.await,
        };
        end
    }

    /// Returns the time after which an attempt counts as slow.
    fn hedge_delay(&self, lease: &RouteLease) -> Duration {
        match lease.usual_latency() {
            Some(usual) => (usual * SLOW_FACTOR).clamp(MIN_HEDGE_DELAY, MAX_HEDGE_DELAY),
            None => self.settings.hedge_delay,
        }
    }
}

/// Multiple of the usual latency from which an attempt counts as slow.
const SLOW_FACTOR: u32 = 4;
/// Shortest time without an answer after which a request is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);
/// Longest time without an answer after which a request is hedged.
const MAX_HEDGE_DELAY: Duration = Duration::from_secs(1);

/// Takes room for an attempt; the first attempt of a request may wait a short time for it.
async fn lease_or_wait(session: &mut RouteSession) -> Result<RouteLease, RequestRefusal> {
    loop {
        let refusal = match session.next_lease(Instant::now()) {
            Ok(lease) => return Ok(lease),
            Err(refusal) => refusal,
        };
        let Some(pause) = session.pause_for_room(Instant::now()) else {
            return Err(refusal);
        };
        tokio::time::sleep(pause).await;
    }
}

/// Takes room for a second attempt, where the budget for hedges and a backend server allow it.
fn hedge_lease(session: &mut RouteSession) -> Option<RouteLease> {
    let now = Instant::now();
    let lease = session.next_lease(now).ok()?;
    if session.take_hedge() {
        return Some(lease);
    }
    lease.give_back(now);
    None
}
