//! The backend servers of one service, and the processing times of its requests.

use std::time::{Duration, Instant};

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
        }
    }

    /// Returns the expected processing time of a request for a warm object, in seconds.
    pub(crate) fn warm_processing(&self) -> f64 {
        let [warm, owner, ..] = &self.by_affinity;
        let measured = warm.measured().or(owner.measured());
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
