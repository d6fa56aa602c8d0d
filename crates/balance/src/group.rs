//! What is known of one service.

use std::time::Duration;

use crate::budget::AttemptBudget;
use crate::query::ServerKey;
use crate::spill::RegionSpill;

/// Time of one request, until some were seen; that of a short read.
pub(crate) const FIRST_WORK: Duration = Duration::from_millis(100);

/// Time of a request for an object that is not warm, as a multiple of one that is, until some were
/// seen.
const FIRST_STRANGE: f64 = 2.5;

/// Least seconds that a request is taken to need; below it load and owners would no longer count.
const LEAST_WORK: f64 = 0.001;

/// Weight of the latest request in a service's time of work.
const WORK_WEIGHT: f64 = 0.05;

/// Backend servers of one service, and what its requests need.
#[derive(Debug)]
pub(crate) struct ServiceGroup {
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) spill: RegionSpill,
    pub(crate) budget: AttemptBudget,
    /// Seconds of one request at a backend server with room, where its object is warm.
    pub(crate) work: f64,
    /// Seconds of one for an object that is not.
    pub(crate) strange_work: f64,
    /// Seconds of one, warm or not.
    pub(crate) mean_work: f64,
    /// Requests for strange and for warm objects that were seen.
    seen: [u32; 2],
}

impl ServiceGroup {
    /// Takes the time of a request into the averages.
    pub(crate) fn note_work(&mut self, work: f64, warm: bool) {
        let seen = &mut self.seen[usize::from(warm)];
        let work = work.max(LEAST_WORK);
        *seen = seen.saturating_add(1);
        // The first requests replace the guess.
        let weight = WORK_WEIGHT.max(1.0 / f64::from(*seen));
        let usual = if warm {
            &mut self.work
        } else {
            &mut self.strange_work
        };
        *usual += (work - *usual) * weight;
        if self.seen[1] == 0 {
            self.work = self.strange_work / FIRST_STRANGE;
        }
        self.strange_work = self.strange_work.max(self.work);
        self.mean_work += (work - self.mean_work) * weight;
    }
}

impl ServiceGroup {
    /// Creates a group without backend servers.
    pub(crate) fn new() -> Self {
        Self {
            servers: Vec::new(),
            spill: RegionSpill::new(),
            budget: AttemptBudget::new(),
            work: FIRST_WORK.as_secs_f64(),
            strange_work: FIRST_WORK.as_secs_f64() * FIRST_STRANGE,
            mean_work: FIRST_WORK.as_secs_f64() * FIRST_STRANGE,
            seen: [0; 2],
        }
    }
}
