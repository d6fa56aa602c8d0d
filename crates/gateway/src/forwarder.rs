//! Attempts, hedges and the answer to the client.

use std::time::{Duration, Instant};

use admission::second::SecondAttempt;
use balance::quarantine::RunAdmission;
use balance::query::{LoadRefusal, RefusalCause, ServerKey, ServerQuery};
use bytes::Bytes;
use futures_util::future::{self, BoxFuture, Either, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::Response;
use rand::Rng;

use crate::answer::HostAnswer;
use crate::attempt::{AttemptGuard, AttemptResult, ServerSender};
use crate::refusal;
use crate::request::ForwardRequest;

/// Number of attempts per request that may reach no backend server; one more ends the retries. Such
/// attempts don't count towards the route's maximum.
const MAX_UNREACHED_ATTEMPTS: u32 = 3;

/// Delay of a hedge, as a multiple of the expected latency.
const HEDGE_DELAY_FACTOR: f64 = 3.0;

/// Longest delay of a hedge, as a share of the time until the deadline, so that the answer to the
/// hedge comes in time.
const MAX_HEDGE_DELAY_SHARE: f64 = 0.4;

/// Shortest delay of a hedge, unless the share of the time until the deadline is shorter.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(120);

/// Difference between the timers and the clock of the host's own pauses.
const TIMER_TOLERANCE: Duration = Duration::from_millis(20);

/// Longest retry-after time, as a share of the time until the deadline. Clients wait for a third of
/// that time at most, so a longer one would be of no use.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;

/// Largest random addition to a retry-after time, as a share of it.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// How the forwarding of a request ended.
#[derive(Debug)]
pub enum ForwardEnd {
    /// A backend server answered.
    Server(Response<Bytes>),
    /// The host generates the answer itself.
    Host(HostAnswer),
}

type RunningAttempt<'a> = BoxFuture<'a, AttemptResult>;

/// State of a request after its attempts so far.
#[derive(Debug, Default)]
struct ForwardProgress {
    /// Backend servers that were chosen for an attempt.
    tried: Vec<ServerKey>,
    /// Time of the host's awake clock at which the latest attempt counts as late.
    late_at: Duration,
    /// Time at which the latest attempt probably began to run.
    run_at: Option<Instant>,
    /// Finished attempts that reached a backend server.
    reached: u32,
    /// Finished attempts that reached no backend server.
    unreached: u32,
    /// Whether the request may have run.
    may_have_run: bool,
    /// Server error from a backend server; the client gets it if no other attempt succeeds.
    failure: Option<Response<Bytes>>,
    /// Cause of the latest failed attempt, or of a refusal before the first attempt.
    cause: String,
    /// Time after which the balancer expects to admit a retry.
    retry_after: Option<Duration>,
    /// Whether that time follows from a rest or a limit that backend servers asked for, or from a
    /// quarantine.
    is_certain: bool,
}

/// Forwards requests to backend servers.
#[derive(Debug)]
pub struct RequestForwarder {
    sender: ServerSender,
}

impl RequestForwarder {
    /// Creates a forwarder.
    pub fn new(sender: ServerSender) -> Self {
        Self { sender }
    }

    /// Returns the sender of the attempts.
    pub fn sender(&self) -> &ServerSender {
        &self.sender
    }

    /// Forwards a request until it is answered or refused, or until its deadline passes.
    ///
    /// A safe request is hedged: if the first attempt takes too long, a second one runs beside it.
    pub async fn forward(&self, request: &ForwardRequest) -> ForwardEnd {
        self.sender
            .state
            .balancer()
            .record_request(&request.service);
        let mut progress = ForwardProgress::default();
        let mut running = FuturesUnordered::new();
        let Some(late_after) = self.start_attempt(request, &mut progress, &mut running) else {
            return ForwardEnd::Host(self.refusal(request, &progress));
        };
        let deadline = tokio::time::sleep_until(request.deadline.into());
        let mut deadline = std::pin::pin!(deadline);
        let mut late = Box::pin(tokio::time::sleep(late_after));
        let mut may_be_late = true;
        loop {
            let event = {
                let timer = if may_be_late {
                    Either::Left(late.as_mut())
                } else {
                    Either::Right(future::pending::<()>())
                };
                let timers = future::select(deadline.as_mut(), timer);
                match future::select(running.next(), timers).await {
                    Either::Left((done, _)) => ForwardEvent::Done(done),
                    Either::Right((Either::Left(_), _)) => ForwardEvent::Deadline,
                    Either::Right((Either::Right(_), _)) => ForwardEvent::Late,
                }
            };
            match event {
                ForwardEvent::Deadline => return ForwardEnd::Host(HostAnswer::TimedOut),
                ForwardEvent::Late => {
                    may_be_late = false;
                    self.record_late(&progress);
                    if request.is_safe()
                        && self.try_withdraw_retry(request, &progress)
                        && self
                            .start_attempt(request, &mut progress, &mut running)
                            .is_none()
                    {
                        self.refund_retry(request);
                    }
                }
                ForwardEvent::Done(Some(result)) => {
                    if let Some(end) = self.handle_result(request, &mut progress, result) {
                        return end;
                    }
                    let may_retry = running.is_empty() && self.try_begin_retry(request, &progress);
                    if may_retry {
                        let reached = progress.reached > 0;
                        match self.start_attempt(request, &mut progress, &mut running) {
                            Some(late_after) => {
                                late = Box::pin(tokio::time::sleep(late_after));
                            }
                            None if reached => self.refund_retry(request),
                            None => {}
                        }
                    }
                }
                ForwardEvent::Done(None) => {}
            }
            if running.is_empty() {
                return self.unanswered_end(request, progress);
            }
        }
    }

    /// Records that the only running attempt, which is the latest one, is late, unless the host itself stood still
    /// meanwhile.
    fn record_late(&self, progress: &ForwardProgress) {
        if self.sender.state.awake_time() + TIMER_TOLERANCE < progress.late_at {
            return;
        }
        if let Some(key) = progress.tried.last() {
            self.sender.state.balancer().record_late(*key);
        }
    }

    /// Starts an attempt at the backend server that the balancer chooses. Returns the time after which
    /// it counts as late, or `None` if the balancer refuses the request.
    fn start_attempt<'a>(
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
            remaining: request.remaining(now),
            target_latency: request.remaining_target(now),
            home_regions: &request.home_regions,
            tried: &progress.tried,
            rank: request.rank,
            second: request.rank.and(progress.second(now, !running.is_empty())),
        };
        let (admission, chosen) = {
            let mut balancer = state.balancer();
            let admission = balancer.admission(now, request.digest);
            if let RunAdmission::Held(wait) = admission {
                drop(balancer);
                refusal::log_hold(request, wait);
                progress.record_hold(wait);
                return None;
            }
            let chosen = balancer.choose(now, &query);
            if chosen.is_ok() && admission == RunAdmission::Trial {
                balancer.begin_trial(now, request.digest);
            }
            (admission, chosen)
        };
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(refusal) => {
                refusal::log_refusal(request, &query, refusal);
                let metrics = &self.sender.metrics;
                metrics.record_refusal(request.rank, refusal.cause);
                progress.record_refusal(refusal);
                return None;
            }
        };
        let max_delay = request.remaining(now).mul_f64(MAX_HEDGE_DELAY_SHARE);
        let delay = chosen.forecast.expected().mul_f64(HEDGE_DELAY_FACTOR);
        let late_after = delay.max(MIN_HEDGE_DELAY).min(max_delay);
        progress.tried.push(chosen.key);
        let wait = Duration::from_secs_f64(chosen.forecast.wait);
        progress.run_at = Some(now + wait);
        progress.late_at = state.awake_time() + late_after;
        let guard = AttemptGuard::new(&self.sender, chosen, request, admission);
        let attempt = async move { self.sender.send(request, guard).await };
        running.push(attempt.boxed());
        Some(late_after)
    }

    /// Records the result of an attempt. Returns the end of the request if the result is final.
    fn handle_result(
        &self,
        request: &ForwardRequest,
        progress: &mut ForwardProgress,
        result: AttemptResult,
    ) -> Option<ForwardEnd> {
        match result {
            AttemptResult::Answer(answer) => {
                progress.reached += 1;
                let failed = answer.status().is_server_error();
                if !failed || !request.is_safe() {
                    return Some(ForwardEnd::Server(answer));
                }
                progress.may_have_run = true;
                progress.failure = Some(answer);
            }
            AttemptResult::NotRun { end, reached, .. } => {
                progress.reached += u32::from(reached);
                progress.unreached += u32::from(!reached);
                progress.cause = end.to_string();
            }
            AttemptResult::MayHaveRun { reason } => {
                progress.reached += 1;
                progress.may_have_run = true;
                progress.cause = reason;
            }
        }
        None
    }

    /// Returns whether a retry may start after a failed attempt. Withdraws the retry from the retry
    /// budget if an attempt has reached a backend server.
    fn try_begin_retry(&self, request: &ForwardRequest, progress: &ForwardProgress) -> bool {
        if progress.may_have_run && !request.is_safe() {
            return false;
        }
        if progress.unreached > MAX_UNREACHED_ATTEMPTS {
            return false;
        }
        if progress.reached == 0 {
            return true;
        }
        self.try_withdraw_retry(request, progress)
    }

    /// Withdraws a retry or hedge from the retry budget of the service. Returns whether the budget
    /// and the route's maximum number of attempts permit it.
    fn try_withdraw_retry(&self, request: &ForwardRequest, progress: &ForwardProgress) -> bool {
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

    /// Returns a withdrawn retry or hedge that the balancer refused to the retry budget.
    fn refund_retry(&self, request: &ForwardRequest) {
        let mut balancer = self.sender.state.balancer();
        balancer.refund_retry(&request.service);
    }

    /// Returns the end of a request for which no attempt gave a final answer.
    fn unanswered_end(
        &self,
        request: &ForwardRequest,
        mut progress: ForwardProgress,
    ) -> ForwardEnd {
        if let Some(failure) = progress.failure.take() {
            return ForwardEnd::Server(failure);
        }
        if progress.may_have_run {
            return ForwardEnd::Host(HostAnswer::Unknown("the connection broke"));
        }
        ForwardEnd::Host(self.refusal(request, &progress))
    }

    /// Returns the refusal of a request that didn't run. Its retry-after time is the time after
    /// which the balancer expects to admit a retry, with jitter so that clients don't retry all at
    /// once. The end of a rest, or of the wait for a
    /// limit, is certain, so it is given even if the client won't wait for it.
    fn refusal(&self, request: &ForwardRequest, progress: &ForwardProgress) -> HostAnswer {
        let now = Instant::now();
        let retry_after = progress.retry_after.unwrap_or_else(|| {
            let balancer = self.sender.state.balancer();
            balancer.retry_after_rejection(now, &request.service, &progress.tried)
        });
        let jitter = rand::rng().random_range(1.0..1.0 + RETRY_AFTER_JITTER);
        let max = match progress.is_certain {
            true => Duration::MAX,
            false => request.remaining(now).mul_f64(MAX_RETRY_AFTER_SHARE),
        };
        HostAnswer::NotRun {
            cause: progress.cause.clone(),
            retry_after: retry_after.mul_f64(jitter).min(max),
        }
    }
}

/// Event that the forwarding of a request waits for.
#[derive(Debug)]
enum ForwardEvent {
    /// An attempt ended; `None` if no attempt is running.
    Done(Option<AttemptResult>),
    /// The running attempt is late, so that a hedge is due.
    Late,
    /// The deadline passed.
    Deadline,
}

impl ForwardProgress {
    /// Returns the next attempt, if a backend server has worked on the request; `is_running` tells whether
    /// one still does.
    fn second(&self, now: Instant, is_running: bool) -> Option<SecondAttempt> {
        let running_for = now.saturating_duration_since(self.run_at?);
        match is_running {
            true => Some(SecondAttempt::Hedge { running_for }),
            false => self.may_have_run.then_some(SecondAttempt::Retry),
        }
    }

    /// Records that the request is quarantined.
    fn record_hold(&mut self, wait: Duration) {
        self.retry_after = Some(wait);
        self.is_certain = true;
        self.cause = RefusalCause::Quarantined.to_string();
    }

    /// Records a refusal by the balancer. One that follows an attempt changes only the retry-after
    /// time, and only if there are backend servers that are full or rest.
    fn record_refusal(&mut self, refusal: LoadRefusal) {
        let first = self.tried.is_empty();
        if first || refusal.cause != RefusalCause::NoServer {
            self.retry_after = Some(refusal.retry_after);
            self.is_certain =
                matches!(refusal.cause, RefusalCause::Resting | RefusalCause::Limited);
        }
        if first {
            self.cause = refusal.cause.to_string();
        }
    }
}
