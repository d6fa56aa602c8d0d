//! The backend servers of one service, and the processing times of its requests.

use std::time::{Duration, Instant};

use admission::rank::RankOrder;
use strum::EnumCount;

use crate::budget::RetryBudget;
use crate::decay;
use crate::query::{ObjectAffinity, ServerKey};
use crate::spill::RegionSpill;

/// Processing time that is assumed before the first measurement; that of a short read.
pub(crate) const INITIAL_PROCESSING_TIME: Duration = Duration::from_millis(100);

/// Processing time of a request whose object isn't cached, as a multiple of one whose object is,
/// assumed before the first measurement.
const INITIAL_CACHE_MISS_FACTOR: f64 = 2.5;

/// Lower bound of a measured processing time, in seconds; without it, load and object affinity
/// would have no effect on the cost of a server.
const MIN_PROCESSING_SECONDS: f64 = 0.001;

/// EWMA weight of the latest request in a service's processing times.
const PROCESSING_EWMA_WEIGHT: f64 = 0.05;

/// Half-life of the processing time measured at relief servers: their caches fill as they are used.
const RELIEF_HALF_LIFE: Duration = Duration::from_secs(3);

/// Shortest time without an answer after which a service is probed, if its forecasts rule out all servers.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest such time.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// Time without an answer after which a service is probed, as a multiple of its mean processing time: answers to
/// running requests may still come.
const PROBE_INTERVAL_FACTOR: f64 = 2.0;

/// EWMA of processing times.
#[derive(Debug, Clone, Copy, Default)]
struct ProcessingAverage {
    seconds: f64,
    samples: u32,
    updated_at: Option<Instant>,
}

impl ProcessingAverage {
    fn record(&mut self, now: Instant, seconds: f64) {
        self.samples = self.samples.saturating_add(1);
        // The first samples are averaged evenly, so that they replace the initial value.
        let weight = PROCESSING_EWMA_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds += (seconds - self.seconds) * weight;
        self.updated_at = Some(now);
    }

    /// Returns the average in seconds, if there is a sample.
    fn measured(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.seconds)
    }
}

/// A request that was sent although its answer was expected too late.
#[derive(Debug, Clone, Copy)]
struct ForecastProbe {
    key: ServerKey,
    began_at: Instant,
    is_running: bool,
}

/// State of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceGroup {
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) spill: RegionSpill,
    pub(crate) budget: RetryBudget,
    /// Processing times by the object affinity of the server that ran the request.
    by_affinity: [ProcessingAverage; ObjectAffinity::COUNT],
    /// Processing time of all requests.
    overall: ProcessingAverage,
    /// Latest probe of the forecasts.
    probe: Option<ForecastProbe>,
    /// Ranks whose requests come to the service.
    pub(crate) ranks: RankOrder,
}

impl ServiceGroup {
    /// Records the processing time of a request, in seconds.
    pub(crate) fn record_processing(
        &mut self,
        now: Instant,
        seconds: f64,
        affinity: ObjectAffinity,
    ) {
        let seconds = seconds.max(MIN_PROCESSING_SECONDS);
        self.by_affinity[affinity as usize].record(now, seconds);
        self.overall.record(now, seconds);
    }

    /// Returns whether a request may be sent although its answer is expected too late: no answer has come for
    /// some time, so that nothing else corrects the forecasts, and no other request is out for that.
    pub(crate) fn may_probe(&self, now: Instant) -> bool {
        let interval = Duration::from_secs_f64(self.mean_processing())
            .mul_f64(PROBE_INTERVAL_FACTOR)
            .clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        let has_passed = |at: Option<Instant>| at.is_none_or(|at| now >= at + interval);
        let is_out = self
            .probe
            .is_some_and(|probe| probe.is_running && self.servers.contains(&probe.key));
        let began_at = self.probe.map(|probe| probe.began_at);
        !is_out && has_passed(self.overall.updated_at) && has_passed(began_at)
    }

    /// Records that a probe is sent to a server.
    pub(crate) fn begin_probe(&mut self, now: Instant, key: ServerKey) {
        self.probe = Some(ForecastProbe {
            key,
            began_at: now,
            is_running: true,
        });
    }

    /// Records that a request at a server ended. If it was the probe and was answered, the processing times so
    /// far are dropped, as its own replaces them.
    pub(crate) fn end_probe(&mut self, key: ServerKey, is_answered: bool) {
        let running = self.probe.as_mut().filter(|probe| probe.is_running);
        let Some(probe) = running.filter(|probe| probe.key == key) else {
            return;
        };
        probe.is_running = false;
        if is_answered {
            self.by_affinity = Default::default();
            self.overall = ProcessingAverage::default();
        }
    }

    /// Returns the expected processing time at a server of an object affinity, in seconds.
    ///
    /// The owner is never expected to be faster than a warm server, nor a relief or strange server
    /// to be faster than the owner.
    pub(crate) fn processing(&self, now: Instant, affinity: ObjectAffinity) -> f64 {
        let average = &self.by_affinity[affinity as usize];
        match affinity {
            ObjectAffinity::Warm => self.warm_processing(),
            ObjectAffinity::Owner => {
                let warm = self.warm_processing();
                average
                    .measured()
                    .map_or(warm * INITIAL_CACHE_MISS_FACTOR, |measured| {
                        measured.max(warm)
                    })
            }
            ObjectAffinity::Relief => {
                let owner = self.processing(now, ObjectAffinity::Owner);
                let weight = average.updated_at.map_or(0.0, |updated_at| {
                    decay::weight(now, updated_at, RELIEF_HALF_LIFE)
                });
                decay::blend(average.seconds.max(owner), owner, weight)
            }
            ObjectAffinity::Strange => {
                let owner = self.processing(now, ObjectAffinity::Owner);
                let uncached = average
                    .measured()
                    .unwrap_or(owner * INITIAL_CACHE_MISS_FACTOR);
                uncached.max(owner)
            }
            ObjectAffinity::Unnamed => average.measured().unwrap_or_else(|| self.warm_processing()),
        }
    }

    /// Returns the expected processing time of a request for a warm object, in seconds.
    pub(crate) fn warm_processing(&self) -> f64 {
        let [warm, owner, ..] = &self.by_affinity;
        let measured = warm.measured().or(owner.measured());
        measured.unwrap_or(INITIAL_PROCESSING_TIME.as_secs_f64())
    }

    /// Returns whether requests with an object have been answered.
    pub(crate) fn names_objects(&self) -> bool {
        let [named @ .., _] = &self.by_affinity;
        named.iter().any(|average| average.measured().is_some())
    }

    /// Returns the processing time, in seconds, by which the costs of servers are scaled: that of a warm object, or
    /// of a request without an object where no request names one.
    pub(crate) fn typical_processing(&self) -> f64 {
        let [warm, owner, .., unnamed] = &self.by_affinity;
        let measured = warm.measured().or(owner.measured());
        let measured = measured.or(unnamed.measured());
        measured.unwrap_or(INITIAL_PROCESSING_TIME.as_secs_f64())
    }

    /// Returns the seconds that a new request is expected to queue at a backend server with `load`
    /// requests in flight and `slots` slots.
    pub(crate) fn queue_wait(&self, load: f64, slots: f64) -> f64 {
        self.mean_processing() * (load + 1.0 - slots).max(0.0) / slots
    }

    /// Returns the mean processing time of all requests, in seconds.
    pub(crate) fn mean_processing(&self) -> f64 {
        let initial = INITIAL_PROCESSING_TIME.as_secs_f64() * INITIAL_CACHE_MISS_FACTOR;
        self.overall.measured().unwrap_or(initial)
    }
}
