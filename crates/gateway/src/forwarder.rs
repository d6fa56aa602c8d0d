//! Attempts, hedges and final answers.

use std::time::{Duration, Instant};

use balance::query::{LoadRefusal, RefusalCause, ServerKey, ServerQuery};
use bytes::Bytes;
use futures_util::future::{self, BoxFuture, Either, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::Response;
use rand::Rng;

use crate::answer::OwnAnswer;
use crate::attempt::{AttemptResult, LoadGuard, ServerSender};
use crate::request::ForwardRequest;

/// Attempts that found no backend server listening, beyond those that reached one.
const MAX_UNREACHED: u32 = 3;

/// Multiple of the expected time after which an idempotent request is sent to a second backend
/// server too.
const HEDGE_FACTOR: f64 = 3.0;

/// Part of the time left after which it is sent in any case, so that the second answer comes in
/// time.
const HEDGE_SHARE: f64 = 0.4;

/// Shortest wait before that, but for little time left.
const MIN_HEDGE: Duration = Duration::from_millis(120);

/// Part of the time left beyond which coming back is of no use to a caller: it waits a third at
/// most.
const COME_BACK_SHARE: f64 = 0.3;

/// Spread of the times at which refused callers come back.
const COME_BACK_SPREAD: f64 = 0.5;

/// How a request ended.
#[derive(Debug)]
pub enum ForwardEnd {
    /// A backend server answered.
    Answer(Response<Bytes>),
    /// The host answers by itself.
    Own(OwnAnswer),
}

type RunningAttempt<'a> = BoxFuture<'a, AttemptResult>;

/// What is known of a request after its attempts so far.
#[derive(Debug, Default)]
struct ForwardProgress {
    /// Backend servers that it was sent to.
    tried: Vec<ServerKey>,
    /// Attempts that reached a backend server.
    arrived: u32,
    /// Attempts that reached none.
    unreached: u32,
    /// Whether it may have run.
    may_have_run: bool,
    /// A failure that a backend server answered, for want of better.
    failure: Option<Response<Bytes>>,
    /// What came in the way last.
    cause: String,
    /// When the balancer expects room.
    come_back: Option<Duration>,
}

/// Takes requests to backend servers.
#[derive(Debug)]
pub struct RequestForwarder {
    sender: ServerSender,
}

impl RequestForwarder {
    /// Creates a forwarder.
    pub fn new(sender: ServerSender) -> Self {
        Self { sender }
    }

    /// Returns what sends requests.
    pub fn sender(&self) -> &ServerSender {
        &self.sender
    }

    /// Forwards a request until it is answered, refused or out of time.
    pub async fn forward(&self, request: &ForwardRequest) -> ForwardEnd {
        self.sender
            .state
            .balancer()
            .record_request(&request.service);
        let mut progress = ForwardProgress::default();
        let mut running = FuturesUnordered::new();
        let Some(hedge_after) = self.start(request, &mut progress, &mut running) else {
            return ForwardEnd::Own(self.refusal(request, &progress));
        };
        let deadline = tokio::time::sleep_until(request.deadline.into());
        let mut deadline = std::pin::pin!(deadline);
        let mut hedge = Box::pin(tokio::time::sleep(hedge_after));
        let mut may_hedge = request.is_safe();
        loop {
            let event = {
                let timer = if may_hedge {
                    Either::Left(hedge.as_mut())
                } else {
                    Either::Right(future::pending::<()>())
                };
                let timers = future::select(deadline.as_mut(), timer);
                match future::select(running.next(), timers).await {
                    Either::Left((done, _)) => ForwardEvent::Done(done),
                    Either::Right((Either::Left(_), _)) => ForwardEvent::Deadline,
                    Either::Right((Either::Right(_), _)) => ForwardEvent::Hedge,
                }
            };
            match event {
                ForwardEvent::Deadline => return ForwardEnd::Own(OwnAnswer::TimedOut),
                ForwardEvent::Hedge => {
                    may_hedge = false;
                    if self.may_repeat(request, &progress) {
                        let _ = self.start(request, &mut progress, &mut running);
                    }
                }
                ForwardEvent::Done(Some(result)) => {
                    if let Some(end) = self.take(request, &mut progress, result) {
                        return end;
                    }
                    let again = running.is_empty() && self.may_try_again(request, &progress);
                    if again {
                        if let Some(after) = self.start(request, &mut progress, &mut running) {
                            hedge = Box::pin(tokio::time::sleep(after));
                        }
                    }
                }
                ForwardEvent::Done(None) => {}
            }
            if running.is_empty() {
                return self.give_up(request, progress);
            }
        }
    }

    /// Starts an attempt; returns when to start a second beside it, or none where there is no
    /// backend server for it.
    fn start<'a>(
        &'a self,
        request: &'a ForwardRequest,
        progress: &mut ForwardProgress,
        running: &mut FuturesUnordered<RunningAttempt<'a>>,
    ) -> Option<Duration> {
        let now = Instant::now();
        let state = &self.sender.state;
        let query = ServerQuery {
            service: &request.service,
            object: request.object,
            remaining: request.left(now),
            target_latency: request.wanted(now),
            home_regions: &request.route.home_regions,
            tried: &progress.tried,
        };
        let chosen = state.balancer().choose(now, &query);
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(refusal) => {
                log_refusal(request, &query, refusal);
                progress.note_refusal(refusal);
                return None;
            }
        };
        let latest = request.left(now).mul_f64(HEDGE_SHARE);
        let expected = chosen.forecast.expected().mul_f64(HEDGE_FACTOR);
        let hedge_after = expected.max(MIN_HEDGE).min(latest);
        progress.tried.push(chosen.key);
        let guard = LoadGuard::new(&self.sender, chosen, request);
        let attempt = async move { self.sender.send(request, guard).await };
        running.push(attempt.boxed());
        Some(hedge_after)
    }

    /// Takes the result of an attempt in; returns the end where it is one.
    fn take(
        &self,
        request: &ForwardRequest,
        progress: &mut ForwardProgress,
        result: AttemptResult,
    ) -> Option<ForwardEnd> {
        match result {
            AttemptResult::Answer(answer) => {
                progress.arrived += 1;
                let failed = answer.status().is_server_error();
                if !failed || !request.is_safe() {
                    return Some(ForwardEnd::Answer(answer));
                }
                progress.may_have_run = true;
                progress.failure = Some(answer);
            }
            AttemptResult::NotRun { end, arrived, .. } => {
                progress.arrived += u32::from(arrived);
                progress.unreached += u32::from(!arrived);
                progress.cause = end.to_string();
            }
            AttemptResult::MayHaveRun { what } => {
                progress.arrived += 1;
                progress.may_have_run = true;
                progress.cause = what;
            }
        }
        None
    }

    fn may_try_again(&self, request: &ForwardRequest, progress: &ForwardProgress) -> bool {
        if progress.may_have_run && !request.is_safe() {
            return false;
        }
        if progress.unreached > MAX_UNREACHED {
            return false;
        }
        if progress.arrived == 0 {
            return true;
        }
        self.may_repeat(request, progress)
    }

    /// Tells whether the request may go to one more backend server, and takes that out of the
    /// budget.
    fn may_repeat(&self, request: &ForwardRequest, progress: &ForwardProgress) -> bool {
        let sent = u32::try_from(progress.tried.len()).unwrap_or(u32::MAX);
        let reached = sent.saturating_sub(progress.unreached);
        if reached >= request.route.max_attempts {
            return false;
        }
        self.sender
            .state
            .balancer()
            .try_withdraw_retry(&request.service)
    }

    fn give_up(&self, request: &ForwardRequest, mut progress: ForwardProgress) -> ForwardEnd {
        if let Some(failure) = progress.failure.take() {
            return ForwardEnd::Answer(failure);
        }
        if progress.may_have_run {
            return ForwardEnd::Own(OwnAnswer::Unknown("the connection broke"));
        }
        ForwardEnd::Own(self.refusal(request, &progress))
    }

    /// Refuses a request that has not run, and says when to come back: when room is expected,
    /// spread so that refused callers don't come back together.
    fn refusal(&self, request: &ForwardRequest, progress: &ForwardProgress) -> OwnAnswer {
        let now = Instant::now();
        let come_back = progress.come_back.unwrap_or_else(|| {
            let balancer = self.sender.state.balancer();
            balancer.retry_after_rejection(now, &request.service, &progress.tried)
        });
        let spread = rand::rng().random_range(1.0..1.0 + COME_BACK_SPREAD);
        let most = request.left(now).mul_f64(COME_BACK_SHARE);
        OwnAnswer::NotRun {
            cause: progress.cause.clone(),
            come_back: come_back.mul_f64(spread).min(most),
        }
    }
}

fn log_refusal(request: &ForwardRequest, query: &ServerQuery<'_>, refusal: LoadRefusal) {
    let soonest = refusal.soonest.map(|soonest| {
        let forecast = soonest.forecast;
        let pace = forecast.slowdown;
        let expected_ms = forecast.expected().as_millis();
        let wait_ms = (forecast.wait * 1e3).round();
        let limit_ms = (soonest.limit * 1e3).round();
        format!(
            " soonest_ms={expected_ms} limit_ms={limit_ms} affinity={} load={:.1} wait_ms={wait_ms} pace={pace:.2}",
            forecast.affinity, soonest.load,
        )
    });
    log::info!(
        target: "refusal",
        "no server taken; request={} service={} cause={} candidates={}{} wanted_ms={} left_ms={} \
         tried={} spill={:.2}",
        request.id,
        request.service,
        refusal.cause,
        refusal.candidates,
        soonest.unwrap_or_default(),
        query.target_latency.as_millis(),
        query.remaining.as_millis(),
        query.tried.len(),
        refusal.spill,
    );
}

#[derive(Debug)]
enum ForwardEvent {
    Done(Option<AttemptResult>),
    Hedge,
    Deadline,
}

impl ForwardProgress {
    fn note_refusal(&mut self, refusal: LoadRefusal) {
        let first = self.tried.is_empty();
        if first || refusal.cause == RefusalCause::Full {
            self.come_back = Some(refusal.retry_after);
        }
        if first {
            self.cause = refusal.cause.to_string();
        }
    }
}
