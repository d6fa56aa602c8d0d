//! What is known of one backend server.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fleet::ids;
use fleet::server::{ServerRecord, ServerState};
use guard::bucket::RateBucket;

use crate::decay;

/// Time after which half of a reported load is no longer taken as true.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);

/// Time after which half of a usual load is no longer taken as true.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(1);

/// Age up to which a report counts at all.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// Age up to which a load that was told counts; three calls to control.
const SHARED_LIFE: Duration = Duration::from_millis(1_200);

/// Weight of the latest request in the averages of time and failures.
const LATEST_WEIGHT: f64 = 0.15;

/// Weight of the latest report in the usual load.
const LOAD_WEIGHT: f64 = 0.3;

/// Requests at a backend server that rejects more, as a multiple of its slots.
const FULL_QUEUE: f64 = 3.0;

/// Shortest time for which a backend server is left alone after it could not be reached.
const MIN_EJECTION: Duration = Duration::from_millis(700);

/// Longest time for which it is.
const MAX_EJECTION: Duration = Duration::from_secs(6);

/// Share of failures from which a backend server that answers is left alone.
const EJECT_FAILURES: f64 = 0.6;

/// Broken connections without an answer between them that make a new start likely.
const DOUBT_BREAKS: u32 = 3;

/// Time after broken connections in which a backend server may have started again under the
/// same id, and be cold.
const DOUBT_PERIOD: Duration = Duration::from_secs(3);

/// Time after which half of a pace is no longer taken as true.
const PACE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Least multiple of the usual time that is believed; one that was never tried has 1.
const MIN_PACE: f64 = 0.7;

/// Greatest multiple of the usual time that is believed.
const MAX_PACE: f64 = 8.0;

/// Objects that a backend server is taken to have warm.
const WARM_OBJECTS: usize = 64;

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// A whole answer.
    Answered,
    /// A whole answer that tells of a failure of its own.
    Failed,
    /// The backend server said that it didn't run the request.
    Shed,
    /// Another backend server has the address.
    Misdirected,
    /// No connection.
    Unreachable,
    /// The connection broke, or the answer was spoiled.
    Broken,
    /// No answer in time.
    Late,
    /// The caller left, or another attempt was faster.
    Dropped,
}

/// Load that an answer reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// One backend server as this host sees it.
#[derive(Debug)]
pub struct TrackedServer {
    /// What it announced.
    pub record: ServerRecord,
    /// Region of its zone.
    pub region: ids::RegionName,
    /// Whether its zone is evacuated.
    pub evacuated: bool,
    /// Whether this host is the one that may use it while it is cold.
    pub cold_owner: bool,
    outstanding: u32,
    others: f64,
    others_usual: f64,
    reported_at: Option<Instant>,
    /// Load of its latest report that the other hosts weren't told yet.
    reading: Option<u32>,
    /// Mean load by the requests of other hosts, and when this host was told.
    shared: Option<(f64, Instant)>,
    /// Time of its requests, as a multiple of the usual time.
    pace: f64,
    paced_at: Option<Instant>,
    failures: f64,
    strikes: u32,
    /// Broken connections since the last answer.
    breaks: u32,
    ejected_until: Option<Instant>,
    cold_until: Option<Instant>,
    cold_bucket: RateBucket,
    warm: VecDeque<u64>,
}

impl TrackedServer {
    /// Creates what is known of a backend server that was just announced.
    pub fn new(record: ServerRecord, region: ids::RegionName) -> Self {
        Self {
            record,
            region,
            evacuated: false,
            cold_owner: false,
            outstanding: 0,
            others: 0.0,
            others_usual: 0.0,
            reported_at: None,
            reading: None,
            shared: None,
            pace: 1.0,
            paced_at: None,
            failures: 0.0,
            strikes: 0,
            breaks: 0,
            ejected_until: None,
            cold_until: None,
            cold_bucket: RateBucket::default(),
            warm: VecDeque::new(),
        }
    }

    /// Tells whether it may get new work by what it and the operators say.
    pub fn takes_work(&self) -> bool {
        self.record.state == ServerState::Ready && !self.evacuated
    }

    /// Tells whether it is left alone after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Tells whether it is on trial: after an ejection, one request at a time.
    pub fn is_on_trial(&self) -> bool {
        self.strikes > 0
    }

    /// Tells whether it is cold, or may be.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Notes that it is cold for some time.
    pub fn set_cold(&mut self, now: Instant, period: Duration) {
        if !period.is_zero() {
            self.cold_until = self.cold_until.max(Some(now + period));
        }
    }

    /// Returns the requests of this host that it has.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns the requests that it had by its latest report, where that is not old.
    pub fn reported_load(&self, now: Instant) -> Option<f64> {
        self.latest_report(now)?;
        Some(self.others + f64::from(self.outstanding))
    }

    /// Returns how much its latest report still counts, where that is not old.
    pub fn report_trust(&self, now: Instant) -> Option<f64> {
        let reported_at = self.latest_report(now)?;
        Some(decay::trust(now, reported_at, REPORT_HALF_LIFE))
    }

    /// Returns when it last reported its load, where that is not old.
    fn latest_report(&self, now: Instant) -> Option<Instant> {
        self.reported_at
            .filter(|reported_at| now < *reported_at + REPORT_LIFE)
    }

    /// Returns the requests that it is taken to have, those of other hosts included. `typical` is
    /// the load of others like it, as a part of their slots, for when its own is not known.
    pub fn load(&self, now: Instant, typical: f64) -> f64 {
        let typical = typical * f64::from(self.record.slots);
        let shared = self.shared_load(now);
        let others = match self.reported_at {
            None => shared.unwrap_or(typical),
            Some(reported_at) => {
                let trust = |half_life| decay::trust(now, reported_at, half_life);
                let usual = shared.unwrap_or_else(|| {
                    decay::mixed(self.others_usual, typical, trust(USUAL_HALF_LIFE))
                });
                decay::mixed(self.others, usual, trust(REPORT_HALF_LIFE))
            }
        };
        f64::from(self.outstanding) + others
    }

    /// Returns the mean load by the requests of other hosts, where that was told a short time ago.
    pub fn shared_load(&self, now: Instant) -> Option<f64> {
        let (load, told_at) = self.shared?;
        (now < told_at + SHARED_LIFE).then_some(load)
    }

    /// Notes the mean load by the requests of other hosts.
    pub fn set_shared_load(&mut self, now: Instant, load: f64) {
        self.shared = Some((load, now));
    }

    /// Takes the load of its latest report, where the other hosts weren't told yet.
    pub fn take_reading(&mut self) -> Option<u32> {
        self.reading.take()
    }

    /// Returns the share of recent requests that failed or were shed.
    pub fn failures(&self) -> f64 {
        self.failures
    }

    /// Returns the time of its requests as a multiple of the usual time; what was seen long ago
    /// counts less.
    pub fn pace(&self, now: Instant) -> f64 {
        let Some(paced_at) = self.paced_at else {
            return 1.0;
        };
        decay::mixed(self.pace, 1.0, decay::trust(now, paced_at, PACE_HALF_LIFE))
    }

    /// Notes the time of a request as a multiple of the usual time.
    pub fn note_pace(&mut self, now: Instant, ratio: f64) {
        let ratio = ratio.clamp(MIN_PACE, MAX_PACE);
        let known = self.pace(now);
        self.pace = known + (ratio - known) * LATEST_WEIGHT;
        self.paced_at = Some(now);
    }

    /// Tells whether this host has recently sent a request for an object.
    pub fn is_warm(&self, object: u64) -> bool {
        self.warm.contains(&object)
    }

    /// Takes one request to a cold backend server where its rate permits.
    pub fn try_take_cold(&self, now: Instant, rate: f64, burst: f64) -> bool {
        self.cold_bucket.try_take(now, 1.0, rate, burst).is_ok()
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self) {
        self.outstanding += 1;
    }

    /// Notes that it has answered a request for an object.
    pub fn note_warm(&mut self, object: u64) {
        if let Some(place) = self.warm.iter().position(|known| *known == object) {
            self.warm.remove(place);
        }
        self.warm.push_back(object);
        if self.warm.len() > WARM_OBJECTS {
            self.warm.pop_front();
        }
    }

    /// Counts the end of a request.
    pub fn end(&mut self, now: Instant, end: AttemptEnd, load: Option<ReportedLoad>) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let Some(load) = load {
            self.note_load(now, load);
        }
        match end {
            AttemptEnd::Answered => {
                self.note_failure(0.0);
                self.strikes = 0;
                self.breaks = 0;
            }
            // A rejection costs a try elsewhere and no more, so it is no reason to leave the
            // server alone; one that was busy is full.
            AttemptEnd::Shed => {
                let known = self.reported_load(now);
                let busy = known.is_none_or(|load| load >= f64::from(self.record.slots));
                if load.is_none() && busy {
                    self.note_full(now);
                }
                self.note_failure(1.0);
                self.strikes = 0;
            }
            AttemptEnd::Failed => {
                self.note_failure(1.0);
                self.strikes = 0;
                if self.failures > EJECT_FAILURES {
                    self.eject(now);
                    // The average starts anew once it is tried again.
                    self.failures = EJECT_FAILURES / 2.0;
                }
            }
            AttemptEnd::Unreachable | AttemptEnd::Late => {
                self.note_failure(1.0);
                self.eject(now);
            }
            AttemptEnd::Broken => {
                self.note_failure(1.0);
                self.breaks += 1;
                if self.breaks >= DOUBT_BREAKS {
                    self.set_cold(now, DOUBT_PERIOD);
                }
            }
            AttemptEnd::Misdirected => self.eject(now),
            AttemptEnd::Dropped => {}
        }
    }

    fn eject(&mut self, now: Instant) {
        if self.is_ejected(now) {
            return;
        }
        let period = MIN_EJECTION * 2_u32.saturating_pow(self.strikes.min(8));
        self.strikes += 1;
        self.ejected_until = Some(now + period.min(MAX_EJECTION));
        self.set_cold(now, period.min(MAX_EJECTION) + DOUBT_PERIOD);
    }

    fn note_failure(&mut self, failed: f64) {
        self.failures += (failed - self.failures) * LATEST_WEIGHT;
    }

    /// Notes that it rejected a request, so that others fill its slots and its queue.
    fn note_full(&mut self, now: Instant) {
        let full = f64::from(self.record.slots) * FULL_QUEUE;
        self.others = self.others.max(full - f64::from(self.outstanding));
        self.reported_at = Some(now);
    }

    fn note_load(&mut self, now: Instant, load: ReportedLoad) {
        self.reading = Some(load.running + load.waiting);
        let total = f64::from(load.running + load.waiting);
        let others = (total - f64::from(self.outstanding)).max(0.0);
        self.others = others;
        // A first report says more than nothing.
        let weight = self.reported_at.map_or(1.0, |_| LOAD_WEIGHT);
        self.others_usual += (others - self.others_usual) * weight;
        self.reported_at = Some(now);
        if load.slots > 0 {
            self.record.slots = load.slots;
        }
    }
}
