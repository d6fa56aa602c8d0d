//! Statistics of one backend server, shared between threads.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use guard::atomic::{self, AtomicFloat};
use guard::{AdaptiveLimit, LimitSample};

use crate::report::{BackendOutcome, HealthReport, LoadReport};

/// Age above which a health or load report is ignored.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Number of consecutive failures after which a server is ejected.
pub const EJECT_FAILURES: u32 = 5;

/// Age up to which a complete answer to this host, without a failure since, softens a report that
/// the server is unhealthy.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(10);

/// Part of the weight that a server loses at a reported utilisation of 1.
const FULL_LOAD_PENALTY: f64 = 0.3;

/// Weight of each new latency in the moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

/// Time in which the moving average of the latency loses half of its weight without a new answer.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);

/// Average latency before the first answer, in seconds.
const INITIAL_LATENCY_SECONDS: f64 = 0.02;

/// Statistics of one backend server, which outlive every snapshot that contains the server.
///
/// Times are stored as nanoseconds of [`atomic::nanos_of`]; 0 means never.
#[derive(Debug)]
pub struct BackendGauge {
    limit: AdaptiveLimit,
    /// Moving average of the latency, in seconds.
    latency: AtomicFloat,
    /// Time of the latest complete answer.
    answered_at: AtomicU64,
    /// Number of failures since the latest complete answer.
    failures: AtomicU32,
    /// 1 during a half-open probe, else 0.
    probing: AtomicU32,
    /// End of the retry-after time of shed requests, which counts up to [`MAX_REPORT_AGE`].
    backoff_until: AtomicU64,
    /// Time of the latest health report, if it says that the server is unhealthy.
    unhealthy_at: AtomicU64,
    /// Time of the latest load report.
    load_at: AtomicU64,
    /// Utilisation in the latest load report.
    load: AtomicFloat,
}

impl BackendGauge {
    /// Creates the statistics of a server that has just started; `hosts` entry hosts share its
    /// `slots`.
    pub fn new(slots: u32, hosts: u32) -> Self {
        Self {
            limit: AdaptiveLimit::new(slots, hosts),
            latency: AtomicFloat::new(INITIAL_LATENCY_SECONDS),
            answered_at: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            probing: AtomicU32::new(0),
            backoff_until: AtomicU64::new(0),
            unhealthy_at: AtomicU64::new(0),
            load_at: AtomicU64::new(0),
            load: AtomicFloat::new(0.0),
        }
    }

    /// Returns the concurrency limit.
    pub fn limit(&self) -> &AdaptiveLimit {
        &self.limit
    }

    /// Returns the moving average of the latency.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency.get().clamp(0.0, 3600.0))
    }

    /// Returns the latency that is expected for the choice of a server. It decreases while there are no
    /// answers and begins at zero, so that a server that others are preferred to is tried again.
    pub fn expected_latency(&self, now: Instant) -> Duration {
        match self.since_answer(now) {
            Some(age) => self.latency().mul_f64(remaining_weight(age)),
            None if self.failures() == 0 => Duration::ZERO,
            None => self.latency(),
        }
    }

    /// Returns the time since the latest complete answer, or `None` before the first one.
    pub fn since_answer(&self, now: Instant) -> Option<Duration> {
        age(now, self.answered_at.load(Ordering::Relaxed))
    }

    /// Returns the number of failures since the latest complete answer.
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Returns whether the retry-after time of a shed request has not yet passed.
    pub fn is_in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.load(Ordering::Relaxed) > atomic::nanos_of(now)
    }

    /// Returns the weight that the server's own reports give it, from 0.07 to 1.
    ///
    /// A reported load lowers the weight. A report that the server is unhealthy multiplies it by
    /// 0.5 while the server answers this host, else by 0.1. No report raises the weight above 1, so
    /// that a server can't attract requests by false reports.
    pub fn weight(&self, now: Instant) -> f64 {
        let load = match age(now, self.load_at.load(Ordering::Relaxed)) {
            Some(age) if age <= MAX_REPORT_AGE => self.load.get().clamp(0.0, 1.0),
            _ => 0.0,
        };
        let unhealthy = age(now, self.unhealthy_at.load(Ordering::Relaxed))
            .is_some_and(|age| age <= MAX_REPORT_AGE);
        let answered_recently = self
            .since_answer(now)
            .is_some_and(|age| age <= MAX_ANSWER_AGE && self.failures() == 0);
        let health = match (unhealthy, answered_recently) {
            (false, _) => 1.0,
            (true, true) => 0.5,
            (true, false) => 0.1,
        };
        (1.0 - load * FULL_LOAD_PENALTY) * health
    }

    /// Records a health report; one older than [`MAX_REPORT_AGE`] is ignored.
    pub fn report_health(&self, now: Instant, report: HealthReport) {
        if now.saturating_duration_since(report.at) > MAX_REPORT_AGE {
            return;
        }
        let unhealthy_at = if report.healthy {
            0
        } else {
            atomic::nanos_of(report.at)
        };
        self.unhealthy_at.store(unhealthy_at, Ordering::Relaxed);
    }

    /// Records a load report; one older than [`MAX_REPORT_AGE`] is ignored.
    pub fn report_load(&self, now: Instant, report: LoadReport) {
        if now.saturating_duration_since(report.at) > MAX_REPORT_AGE {
            return;
        }
        self.load.set(report.utilisation);
        self.load_at
            .store(atomic::nanos_of(report.at), Ordering::Relaxed);
    }

    /// Records the outcome of an attempt and returns what the registry must do.
    pub(crate) fn record(&self, now: Instant, outcome: BackendOutcome) -> GaugeAction {
        match outcome {
            BackendOutcome::Answered { latency } => self.record_answer(now, latency),
            BackendOutcome::Shed { retry_after } => {
                self.limit.record(now, LimitSample::Shed);
                if let Some(backoff) = retry_after {
                    let until = atomic::nanos_of(now + backoff.min(MAX_REPORT_AGE));
                    self.backoff_until.fetch_max(until, Ordering::Relaxed);
                }
                GaugeAction::Keep
            }
            BackendOutcome::TimedOut | BackendOutcome::ConnectFailed | BackendOutcome::Broken => {
                self.record_failure(now)
            }
        }
    }

    /// Starts a half-open probe: one request at a time until one is answered or fails.
    pub(crate) fn start_probe(&self) {
        self.probing.store(1, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        self.limit.reset();
    }

    fn record_answer(&self, now: Instant, latency: Duration) -> GaugeAction {
        self.limit.record(now, LimitSample::Answered(latency));
        let seconds = latency.as_secs_f64();
        let stale_weight = self
            .since_answer(now)
            .map_or(1.0, |age| 1.0 - remaining_weight(age));
        let weight = stale_weight.max(LATENCY_EWMA_WEIGHT);
        self.latency
            .update(|average| average + weight * (seconds - average));
        self.answered_at
            .fetch_max(atomic::nanos_of(now), Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        if self.probing.swap(0, Ordering::Relaxed) == 1 {
            return GaugeAction::Recover;
        }
        GaugeAction::Keep
    }

    fn record_failure(&self, now: Instant) -> GaugeAction {
        self.limit.record(now, LimitSample::Failed);
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures.is_multiple_of(EJECT_FAILURES) || self.probing.load(Ordering::Relaxed) == 1 {
            return GaugeAction::Eject;
        }
        GaugeAction::Keep
    }
}

/// What the registry must do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GaugeAction {
    /// Keep the server as it is.
    Keep,
    /// Eject the server for some time.
    Eject,
    /// Reset the count of ejections, as the probe succeeded.
    Recover,
}

/// Returns the weight that a moving average of an age keeps.
fn remaining_weight(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64())
}

/// Returns the age of a time in nanoseconds, or `None` for 0.
fn age(now: Instant, at: u64) -> Option<Duration> {
    (at != 0).then(|| Duration::from_nanos(atomic::nanos_of(now).saturating_sub(at)))
}
