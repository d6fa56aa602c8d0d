//! What is known of one service.

use std::time::{Duration, Instant};

use strum::EnumCount;

use crate::budget::AttemptBudget;
use crate::decay;
use crate::query::{ObjectAffinity, ServerKey};
use crate::spill::RegionSpill;

/// Time of one request, until some were seen; that of a short read.
pub(crate) const FIRST_WORK: Duration = Duration::from_millis(100);

/// Time of a request for a strange object, as a multiple of one that its owner gets, until some
/// were seen.
const FIRST_STRANGE: f64 = 2.5;

/// Least seconds that a request is taken to need; below it load and owners would no longer count.
const LEAST_WORK: f64 = 0.001;

/// Weight of the latest request in a service's time of work.
const WORK_WEIGHT: f64 = 0.05;

/// Time after which half of what was seen of relieving backend servers is no longer taken as true:
/// their caches fill as they are used.
const RELIEF_HALF_LIFE: Duration = Duration::from_secs(3);

/// Average time of some requests.
#[derive(Debug, Clone, Copy, Default)]
struct WorkAverage {
    seconds: f64,
    seen: u32,
    noted_at: Option<Instant>,
}

impl WorkAverage {
    fn note(&mut self, now: Instant, work: f64) {
        self.seen = self.seen.saturating_add(1);
        // The first requests replace the guess.
        let weight = WORK_WEIGHT.max(1.0 / f64::from(self.seen));
        self.seconds += (work - self.seconds) * weight;
        self.noted_at = Some(now);
    }

    fn seen(&self) -> Option<f64> {
        (self.seen > 0).then_some(self.seconds)
    }
}

/// Backend servers of one service, and what its requests need.
#[derive(Debug, Default)]
pub(crate) struct ServiceGroup {
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) spill: RegionSpill,
    pub(crate) budget: AttemptBudget,
    /// Times of requests by how likely their objects were to be warm.
    works: [WorkAverage; ObjectAffinity::COUNT],
    /// Time of all requests.
    mean: WorkAverage,
}

impl ServiceGroup {
    /// Takes the time of a request into the averages.
    pub(crate) fn note_work(&mut self, now: Instant, work: f64, affinity: ObjectAffinity) {
        let work = work.max(LEAST_WORK);
        self.works[affinity as usize].note(now, work);
        self.mean.note(now, work);
    }

    /// Returns the seconds of one request at a backend server with room.
    pub(crate) fn work(&self, now: Instant, affinity: ObjectAffinity) -> f64 {
        let average = &self.works[affinity as usize];
        match affinity {
            ObjectAffinity::Warm => self.warm_work(),
            ObjectAffinity::Owner => {
                let warm = self.warm_work();
                average
                    .seen()
                    .map_or(warm * FIRST_STRANGE, |seen| seen.max(warm))
            }
            ObjectAffinity::Relief => {
                let owner = self.work(now, ObjectAffinity::Owner);
                let trust = average.noted_at.map_or(0.0, |noted_at| {
                    decay::trust(now, noted_at, RELIEF_HALF_LIFE)
                });
                decay::mixed(average.seconds.max(owner), owner, trust)
            }
            ObjectAffinity::Strange => {
                let owner = self.work(now, ObjectAffinity::Owner);
                let strange = average.seen().unwrap_or(owner * FIRST_STRANGE);
                strange.max(owner)
            }
        }
    }

    /// Returns the seconds of one request for a warm object.
    pub(crate) fn warm_work(&self) -> f64 {
        let [warm, owner, ..] = &self.works;
        let seen = warm.seen().or(owner.seen());
        seen.unwrap_or(FIRST_WORK.as_secs_f64())
    }

    /// Returns the seconds that a request waits at a backend server with a load and some slots.
    pub(crate) fn wait(&self, load: f64, slots: f64) -> f64 {
        self.mean_work() * (load + 1.0 - slots).max(0.0) / slots
    }

    /// Returns the mean seconds of all requests.
    pub(crate) fn mean_work(&self) -> f64 {
        let first = FIRST_WORK.as_secs_f64() * FIRST_STRANGE;
        self.mean.seen().unwrap_or(first)
    }
}
