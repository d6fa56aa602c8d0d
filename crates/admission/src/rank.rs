//! How long requests of a rank may queue while more urgent ones come to the same service.
//!
//! A server runs requests in the order in which they come, so the queue that a less urgent request joins
//! is the one that a more urgent request finds. A less urgent request therefore joins only queues that
//! leave the more urgent ones time enough.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Rank of a request; 0 is the most urgent.
pub type Rank = u32;

/// Queueing time that is open to a rank, as a fraction of that of the next more urgent one.
const RANK_STEP: f64 = 0.5;

/// Fraction of the share that the more urgent ranks get of their requests which a rank gets in any case.
const FLOOR_FRACTION: f64 = 0.3;

/// Time for which a rank counts after its latest request.
const PRESENCE_PERIOD: Duration = Duration::from_secs(3);

/// EWMA weight of the latest request of a rank.
const REQUEST_EWMA_WEIGHT: f64 = 0.1;

/// Queueing time with which a request is admitted, in seconds, by how long requests queue in its region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitTolerance {
    /// In a region without queues.
    pub free: f64,
    /// In a region with queues.
    pub busy: f64,
    /// Typical queueing time in a region from which `busy` holds.
    pub busy_from: f64,
}

impl WaitTolerance {
    /// Returns the longest queueing time for a request to a region in which requests typically queue for
    /// `region_wait` seconds.
    pub fn at(&self, region_wait: f64) -> f64 {
        let queued = region_wait / self.busy_from.max(f64::MIN_POSITIVE);
        self.free + (self.busy - self.free) * queued.clamp(0.0, 1.0)
    }

    /// Returns a fraction of the tolerance, which is reached at the same fraction of the region's queues.
    fn scaled(&self, fraction: f64) -> Self {
        self.combined(self, |own, _| own * fraction)
    }

    /// Returns the stricter one of each part of two tolerances.
    fn stricter(&self, other: &Self) -> Self {
        self.combined(other, f64::min)
    }

    /// Moves the tolerance towards the latest one.
    fn approach(&mut self, latest: &Self) {
        *self = self.combined(latest, |own, latest| {
            own + (latest - own) * REQUEST_EWMA_WEIGHT
        });
    }

    fn combined(&self, other: &Self, part: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            free: part(self.free, other.free),
            busy: part(self.busy, other.busy),
            busy_from: part(self.busy_from, other.busy_from),
        }
    }
}

/// What is known of the requests of one rank.
#[derive(Debug, Clone, Copy)]
struct RankRecord {
    tolerance: WaitTolerance,
    /// EWMA of the share that was admitted.
    admitted: f64,
    /// Requests that the floor still owes to the rank.
    credit: f64,
    seen_at: Instant,
}

/// The ranks whose requests come to one service.
#[derive(Debug, Default)]
pub struct RankOrder {
    ranks: BTreeMap<Rank, RankRecord>,
}

impl RankOrder {
    /// Returns the tolerance that binds a request beside that of its own route; `None` if no more urgent
    /// rank has come of late, or if the request is one of those that the floor grants to its rank.
    pub fn bound(&mut self, now: Instant, rank: Rank) -> Option<WaitTolerance> {
        self.ranks
            .retain(|_, record| now < record.seen_at + PRESENCE_PERIOD);
        let mut bound: Option<WaitTolerance> = None;
        let mut share = 1.0_f64;
        for record in self.ranks.range(..rank).map(|(_, record)| record) {
            let own = record.tolerance;
            let stricter = bound.map_or(own, |bound| bound.stricter(&own));
            bound = Some(stricter.scaled(RANK_STEP));
            share = share.min(record.admitted);
        }
        let bound = bound?;
        if let Some(record) = self.ranks.get_mut(&rank) {
            record.credit += share * FLOOR_FRACTION;
            if record.credit >= 1.0 {
                record.credit -= 1.0;
                return None;
            }
        }
        Some(bound)
    }

    /// Records whether a request was admitted, and the tolerance of its route.
    pub fn record(&mut self, now: Instant, rank: Rank, tolerance: WaitTolerance, admitted: bool) {
        let share = f64::from(u8::from(admitted));
        let record = self.ranks.entry(rank).or_insert(RankRecord {
            tolerance,
            admitted: 1.0,
            credit: 0.0,
            seen_at: now,
        });
        record.tolerance.approach(&tolerance);
        record.admitted += (share - record.admitted) * REQUEST_EWMA_WEIGHT;
        record.seen_at = now;
    }
}
