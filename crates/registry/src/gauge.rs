//! Figures of one backend server that threads share.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use guard::atomic::{self, AtomicFloat};
use guard::{AdaptiveLimit, LimitSample};

use crate::report::{BackendOutcome, HealthReport, LoadReport};

/// Age from which a health or load report is ignored.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Failures in a row that eject a server.
pub const EJECT_FAILURES: u32 = 5;

/// Time over which an own good answer speaks against a report of sickness.
const TRUST_TIME: Duration = Duration::from_secs(10);

/// Part by which a full load, as reported, lowers a server's weight.
const LOAD_PART: f64 = 0.3;

/// Weight of each new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;

/// Latency assumed before the first answer, in seconds.
const FIRST_LATENCY: f64 = 0.02;

/// Figures of one backend server; they outlive each table that names the server.
#[derive(Debug)]
pub struct BackendGauge {
    limit: AdaptiveLimit,
    latency: AtomicFloat,
    last_answer: AtomicU64,
    failures: AtomicU32,
    probing: AtomicU32,
    resting_until: AtomicU64,
    sick_at: AtomicU64,
    load_at: AtomicU64,
    load: AtomicFloat,
}

impl BackendGauge {
    /// Creates the gauge of a server that has just announced itself.
    pub fn new(slots: u32, hosts: u32) -> Self {
        Self {
            limit: AdaptiveLimit::new(slots, hosts),
            latency: AtomicFloat::new(FIRST_LATENCY),
            last_answer: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            probing: AtomicU32::new(0),
            resting_until: AtomicU64::new(0),
            sick_at: AtomicU64::new(0),
            load_at: AtomicU64::new(0),
            load: AtomicFloat::new(0.0),
        }
    }

    /// Returns the concurrency limit.
    pub fn limit(&self) -> &AdaptiveLimit {
        &self.limit
    }

    /// Returns the moving average of answer times.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency.get().clamp(0.0, 3600.0))
    }

    /// Returns the time since the last whole answer, if there was one.
    pub fn since_answer(&self, now: Instant) -> Option<Duration> {
        age(now, self.last_answer.load(Ordering::Relaxed))
    }

    /// Returns the failures since the last whole answer.
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Tells whether the server asked to be left alone for now.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.resting_until.load(Ordering::Relaxed) > atomic::nanos_of(now)
    }

    /// Returns how much the server's own reports count against it: 1 for nothing, less for load
    /// or sickness; reports can only lower it.
    pub fn weight(&self, now: Instant) -> f64 {
        let load = match age(now, self.load_at.load(Ordering::Relaxed)) {
            Some(age) if age <= MAX_REPORT_AGE => self.load.get().clamp(0.0, 1.0),
            _ => 0.0,
        };
        let sick =
            age(now, self.sick_at.load(Ordering::Relaxed)).is_some_and(|age| age <= MAX_REPORT_AGE);
        let proved = self
            .since_answer(now)
            .is_some_and(|age| age <= TRUST_TIME && self.failures() == 0);
        let health = match (sick, proved) {
            (false, _) => 1.0,
            (true, true) => 0.5,
            (true, false) => 0.1,
        };
        (1.0 - load * LOAD_PART) * health
    }

    /// Records a health report; one older than [`MAX_REPORT_AGE`] is ignored.
    pub fn report_health(&self, now: Instant, report: HealthReport) {
        if now.saturating_duration_since(report.at) > MAX_REPORT_AGE {
            return;
        }
        let sick_at = if report.healthy {
            0
        } else {
            atomic::nanos_of(report.at)
        };
        self.sick_at.store(sick_at, Ordering::Relaxed);
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

    /// Records how an attempt ended and tells what the registry has to do.
    pub(crate) fn record(&self, now: Instant, outcome: BackendOutcome) -> GaugeVerdict {
        match outcome {
            BackendOutcome::Answered { latency } => self.record_answer(now, latency),
            BackendOutcome::Shed { retry_after } => {
                self.limit.record(now, LimitSample::Shed);
                if let Some(rest) = retry_after {
                    let until = atomic::nanos_of(now + rest.min(MAX_REPORT_AGE));
                    self.resting_until.fetch_max(until, Ordering::Relaxed);
                }
                GaugeVerdict::Keep
            }
            BackendOutcome::TimedOut | BackendOutcome::ConnectFailed | BackendOutcome::Broken => {
                self.record_failure(now)
            }
        }
    }

    /// Starts a half-open probe: one request at a time until one is answered.
    pub(crate) fn start_probe(&self) {
        self.probing.store(1, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        self.limit.reset();
    }

    fn record_answer(&self, now: Instant, latency: Duration) -> GaugeVerdict {
        self.limit.record(now, LimitSample::Answered(latency));
        let seconds = latency.as_secs_f64();
        self.latency
            .update(|average| average + LATENCY_WEIGHT * (seconds - average));
        self.last_answer
            .fetch_max(atomic::nanos_of(now), Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        if self.probing.swap(0, Ordering::Relaxed) == 1 {
            return GaugeVerdict::Recovered;
        }
        GaugeVerdict::Keep
    }

    fn record_failure(&self, now: Instant) -> GaugeVerdict {
        self.limit.record(now, LimitSample::Failed);
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures.is_multiple_of(EJECT_FAILURES) || self.probing.load(Ordering::Relaxed) == 1 {
            return GaugeVerdict::Eject;
        }
        GaugeVerdict::Keep
    }
}

/// What the registry has to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GaugeVerdict {
    /// Nothing.
    Keep,
    /// Take the server out for a while.
    Eject,
    /// The probe was answered: forget earlier ejections.
    Recovered,
}

/// Returns the age of a moment in nanoseconds, if it was ever set.
fn age(now: Instant, at: u64) -> Option<Duration> {
    (at != 0).then(|| Duration::from_nanos(atomic::nanos_of(now).saturating_sub(at)))
}
