//! Load, health and cache state of one backend server.

use std::cell::Cell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fleet::hint::HintKind;
use fleet::ids;
use fleet::limit::RequestRate;
use fleet::server::{ServerRecord, ServerState};
use guard::bucket::RateBucket;

use crate::decay;
use crate::limit::{PermitBucket, SendPermit};
use crate::notice::NoticeState;
use crate::query::ZoneKey;
use crate::ranking::HostPlace;

/// Half-life of the weight of a load report.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);

/// Half-life of the weight of the average load.
const AVERAGE_LOAD_HALF_LIFE: Duration = Duration::from_secs(1);

/// Age from which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Age from which a load shared by the other hosts is ignored: three calls to a control replica.
const MAX_SHARED_LOAD_AGE: Duration = Duration::from_millis(1_200);

/// EWMA weight of the latest request in the slowdown and the failure rate.
const REQUEST_EWMA_WEIGHT: f64 = 0.15;

/// EWMA weight of the latest report in the average load.
const LOAD_EWMA_WEIGHT: f64 = 0.3;

/// Load of a backend server that rejects requests, as a multiple of its slots.
const FULL_LOAD_FACTOR: f64 = 3.0;

/// Duration of the first ejection; each further one in a row doubles it.
const MIN_EJECTION: Duration = Duration::from_millis(700);

/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(6);

/// Failure rate above which a backend server that answers is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.6;

/// Broken connections without an answer in between after which a backend server has probably
/// restarted.
const RESTART_BROKEN_CONNECTIONS: u32 = 3;

/// Time for which a backend server counts as cold after a suspected restart under the same id.
const RESTART_COLD_PERIOD: Duration = Duration::from_secs(3);

/// Half-life of the weight of a measured slowdown.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(3);

/// Lower bound of a measured slowdown; the slowdown before the first measurement is 1.
const MIN_SLOWDOWN: f64 = 0.7;

/// Upper bound of a measured slowdown.
const MAX_SLOWDOWN: f64 = 8.0;

/// Number of most recent objects that a backend server is assumed to hold in its cache.
const MAX_WARM_OBJECTS: usize = 64;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// The backend server answered completely.
    Answered,
    /// The backend server answered completely, with a server error.
    Failed,
    /// The backend server rejected the request without running it.
    Shed,
    /// Another backend server has the address and rejected the request.
    Misdirected,
    /// No connection came about within the time limit, or there is no route to the server.
    Unreachable,
    /// The connection was refused, or closed before the request was sent.
    Refused,
    /// The connection broke after the request was sent, or the answer was invalid.
    Broken,
    /// The connection broke after the request was sent, and nothing listens at the address any more.
    Crashed,
    /// The answer exceeded a size limit.
    Oversized,
    /// The request wasn't sent, because the backend server must not get it any more or its deadline
    /// had passed.
    Withdrawn,
    /// The attempt was cancelled: the client disconnected, the deadline passed, or another attempt
    /// was faster.
    Dropped,
}

/// Load report in an answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// How long work takes on the machine at this moment, in percent of the usual, if the server tells it.
    pub work_percent: Option<u32>,
}

/// State of one backend server from the point of view of this host.
///
/// Loads are numbers of requests, both running and queued.
#[derive(Debug)]
pub struct TrackedServer {
    /// Record that the server announced.
    pub record: ServerRecord,
    /// Region of the server's zone.
    pub region: ids::RegionName,
    /// Key of the server's zone.
    pub(crate) zone: ZoneKey,
    /// Whether the server's zone is evacuated.
    pub evacuated: bool,
    /// Place of this host in the ranking for the server, and the version of the ranking.
    pub(crate) place: Cell<Option<(u64, HostPlace)>>,
    notices: NoticeState,
    /// Rate that the server takes from all hosts together, and the permits for this host's share.
    limit: Option<(RequestRate, PermitBucket)>,
    /// Hint of the control replicas, with its end.
    hint: Option<(HintKind, Instant)>,
    /// Whether an attempt was left without an answer in time and not yet reported to a control replica,
    /// and none was answered since.
    unanswered: bool,
    /// Whether the server asked for a rest and hasn't run a request since.
    rested: bool,
    /// Requests of this host that have no result yet.
    in_flight: u32,
    /// Load by other hosts according to the latest report.
    others_load: f64,
    /// EWMA of the load by other hosts.
    others_average: f64,
    reported_at: Option<Instant>,
    /// Latest report of how long work takes on the machine, and when it came.
    work_percent: Option<(u32, Instant)>,
    /// Load in the latest report, until it is shared with the other hosts.
    reading: Option<u32>,
    /// Mean load by other hosts that was shared with this host, and when.
    shared: Option<(f64, Instant)>,
    /// EWMA of the latency without the round trip, as a multiple of the forecast wait and
    /// processing times.
    slowdown: f64,
    slowdown_at: Option<Instant>,
    failure_rate: f64,
    /// Ejections without an answer in between.
    ejections: u32,
    /// Broken connections without an answer in between.
    broken_connections: u32,
    ejected_until: Option<Instant>,
    cold_until: Option<Instant>,
    cold_bucket: RateBucket,
    /// Objects that this host recently got answers for, from oldest to latest.
    warm_objects: VecDeque<u64>,
}

impl TrackedServer {
    /// Creates the state of a backend server that was just announced.
    pub(crate) fn new(record: ServerRecord, region: ids::RegionName, zone: ZoneKey) -> Self {
        Self {
            record,
            region,
            zone,
            evacuated: false,
            place: Cell::new(None),
            notices: NoticeState::default(),
            limit: None,
            hint: None,
            unanswered: false,
            rested: false,
            in_flight: 0,
            others_load: 0.0,
            others_average: 0.0,
            reported_at: None,
            work_percent: None,
            reading: None,
            shared: None,
            slowdown: 1.0,
            slowdown_at: None,
            failure_rate: 0.0,
            ejections: 0,
            broken_connections: 0,
            ejected_until: None,
            cold_until: None,
            cold_bucket: RateBucket::default(),
            warm_objects: VecDeque::new(),
        }
    }

    /// Returns whether the server may get new requests: it is neither draining nor leaving, and its
    /// zone isn't evacuated.
    pub fn accepts_requests(&self) -> bool {
        self.record.state == ServerState::Ready && !self.evacuated && !self.notices.leaving
    }

    /// Sets the notices of the server that are in force.
    pub fn set_notices(&mut self, notices: NoticeState) {
        self.rested |= notices.rest_until > self.notices.rest_until;
        self.notices = notices;
    }

    /// Returns whether the server asked this host for a rest that isn't over.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.notices.is_resting(now)
    }

    /// Returns the time until the end of the rest that the server asked for.
    pub fn rest_left(&self, now: Instant) -> Option<Duration> {
        let until = self.notices.rest_until.filter(|until| now < *until)?;
        Some(until.saturating_duration_since(now))
    }

    /// Sets the rate that the server takes from all hosts together, or removes it.
    pub(crate) fn set_limit(&mut self, now: Instant, rate: Option<RequestRate>) {
        let bucket = self.limit.take().map(|(_, bucket)| bucket);
        let bucket = bucket.unwrap_or_else(|| PermitBucket::new(now));
        self.limit = rate.map(|rate| (rate, bucket));
    }

    /// Returns the rate that the server takes from all hosts together, if it is limited.
    pub fn limit(&self) -> Option<RequestRate> {
        let (rate, _) = self.limit.as_ref()?;
        Some(*rate)
    }

    /// Takes the permit for one request. `share` is the rate, in requests a second, at which this host may
    /// send requests while the server is limited, if it may send any.
    pub(crate) fn take_permit(&mut self, now: Instant, share: Option<f64>) -> Option<SendPermit> {
        match &mut self.limit {
            None => Some(SendPermit::Unlimited),
            Some((_, bucket)) => bucket.try_take(now, share?),
        }
    }

    /// Returns the time until [`take_permit`](Self::take_permit) has a permit; `None` if it never has.
    pub(crate) fn permit_wait(&self, now: Instant, share: Option<f64>) -> Option<Duration> {
        match &self.limit {
            None => Some(Duration::ZERO),
            Some((_, bucket)) => share.map(|share| bucket.wait(now, share)),
        }
    }

    /// Sets the hint of the control replicas.
    pub fn set_hint(&mut self, kind: HintKind, until: Instant) {
        self.hint = Some((kind, until));
    }

    /// Removes the hint of the control replicas.
    pub fn clear_hint(&mut self) {
        self.hint = None;
    }

    /// Returns the hint of the control replicas that is in force.
    pub fn hint(&self, now: Instant) -> Option<HintKind> {
        let (kind, _) = self.hint.filter(|(_, until)| now < *until)?;
        Some(kind)
    }

    /// Records that an attempt has no answer in time.
    pub fn record_unanswered(&mut self) {
        self.unanswered = true;
    }

    /// Takes whether an attempt was left without an answer in time since the last call, and none was
    /// answered since.
    pub fn take_unanswered(&mut self) -> bool {
        std::mem::take(&mut self.unanswered)
    }

    /// Returns whether the server is ejected after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server was ejected or rested, and hasn't answered since. It gets one
    /// request at a time until it answers.
    pub fn is_recovering(&self) -> bool {
        self.ejections > 0 || self.rested
    }

    /// Returns whether the server's cache is, or may be, cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Marks the server as cold for a period from now; never shortens an earlier period.
    pub fn set_cold(&mut self, now: Instant, period: Duration) {
        if !period.is_zero() {
            self.cold_until = self.cold_until.max(Some(now + period));
        }
    }

    /// Returns the number of requests of this host that are in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the load by the latest report, or `None` if there is no recent report.
    pub fn reported_load(&self, now: Instant) -> Option<f64> {
        self.recent_report(now)?;
        Some(self.others_load + f64::from(self.in_flight))
    }

    /// Returns how long work took on the machine by the latest report, in percent of the usual, and the age of
    /// that report.
    pub fn work_percent(&self, now: Instant) -> Option<(u32, Duration)> {
        let (percent, reported_at) = self.work_percent?;
        Some((percent, now.saturating_duration_since(reported_at)))
    }

    /// Returns the weight of the latest report, from 0 to 1, or `None` if there is no recent
    /// report.
    pub fn report_weight(&self, now: Instant) -> Option<f64> {
        let reported_at = self.recent_report(now)?;
        Some(decay::weight(now, reported_at, REPORT_HALF_LIFE))
    }

    /// Returns the time of the latest report, if it is recent.
    fn recent_report(&self, now: Instant) -> Option<Instant> {
        self.reported_at
            .filter(|reported_at| now < *reported_at + MAX_REPORT_AGE)
    }

    /// Returns the estimated load, the requests of other hosts included.
    ///
    /// `utilisation` is the load of comparable servers as a fraction of their slots. It replaces
    /// the part of the server's own load that is not known.
    pub fn load(&self, now: Instant, utilisation: f64) -> f64 {
        let typical = utilisation * f64::from(self.record.slots);
        let shared = self.shared_load(now);
        let others = match self.reported_at {
            None => shared.unwrap_or(typical),
            Some(reported_at) => {
                let weight = |half_life| decay::weight(now, reported_at, half_life);
                let average = shared.unwrap_or_else(|| {
                    decay::blend(self.others_average, typical, weight(AVERAGE_LOAD_HALF_LIFE))
                });
                decay::blend(self.others_load, average, weight(REPORT_HALF_LIFE))
            }
        };
        f64::from(self.in_flight) + others
    }

    /// Returns the mean load by other hosts that was shared with this host, if it is recent.
    pub fn shared_load(&self, now: Instant) -> Option<f64> {
        let (load, shared_at) = self.shared?;
        (now < shared_at + MAX_SHARED_LOAD_AGE).then_some(load)
    }

    /// Sets the mean load by other hosts.
    pub fn set_shared_load(&mut self, now: Instant, load: f64) {
        self.shared = Some((load, now));
    }

    /// Takes the load in the latest report, or `None` if it was taken before.
    pub fn take_reading(&mut self) -> Option<u32> {
        self.reading.take()
    }

    /// Returns the share of recent requests that failed or were shed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the recent latency without the round trip, as a multiple of the forecast wait and
    /// processing times. The value approaches 1 as the measurements age.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let Some(slowdown_at) = self.slowdown_at else {
            return 1.0;
        };
        let weight = decay::weight(now, slowdown_at, SLOWDOWN_HALF_LIFE);
        decay::blend(self.slowdown, 1.0, weight)
    }

    /// Records the latency of a request without the round trip, as a multiple of the forecast wait
    /// and processing times.
    pub fn record_slowdown(&mut self, now: Instant, ratio: f64) {
        let ratio = ratio.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        let known = self.slowdown(now);
        self.slowdown = known + (ratio - known) * REQUEST_EWMA_WEIGHT;
        self.slowdown_at = Some(now);
    }

    /// Returns whether the server recently answered a request of this host for an object.
    pub fn is_warm(&self, object: u64) -> bool {
        self.warm_objects.contains(&object)
    }

    /// Takes a token for one request to a cold server, and returns whether there was one.
    ///
    /// `rate` is in requests a second, `burst` in requests.
    pub fn try_take_cold_token(&self, now: Instant, rate: f64, burst: f64) -> bool {
        self.cold_bucket.try_take(now, 1.0, rate, burst).is_ok()
    }

    /// Returns the time until [`try_take_cold_token`](Self::try_take_cold_token) has a token.
    pub fn cold_wait(&self, now: Instant, rate: f64, burst: f64) -> Duration {
        self.cold_bucket.wait(now, 1.0, rate, burst)
    }

    /// Counts a request as in flight.
    pub fn begin_request(&mut self) {
        self.in_flight += 1;
    }

    /// Records that the server answered a request for an object.
    pub fn record_warm(&mut self, object: u64) {
        if let Some(position) = self.warm_objects.iter().position(|known| *known == object) {
            self.warm_objects.remove(position);
        }
        self.warm_objects.push_back(object);
        if self.warm_objects.len() > MAX_WARM_OBJECTS {
            self.warm_objects.pop_front();
        }
    }

    /// Ends a request that is in flight, and updates load and health by its result.
    pub fn finish_request(&mut self, now: Instant, end: AttemptEnd, load: Option<ReportedLoad>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            self.record_load(now, load);
        }
        match end {
            AttemptEnd::Answered | AttemptEnd::Failed | AttemptEnd::Shed => {
                self.unanswered = false;
            }
            AttemptEnd::Unreachable
            | AttemptEnd::Refused
            | AttemptEnd::Crashed
            | AttemptEnd::Misdirected => {
                self.record_unanswered();
            }
            AttemptEnd::Broken
            | AttemptEnd::Oversized
            | AttemptEnd::Withdrawn
            | AttemptEnd::Dropped => {}
        }
        match end {
            AttemptEnd::Answered => {
                self.record_failure(0.0);
                self.rested = false;
                self.ejections = 0;
                self.broken_connections = 0;
            }
            // A rejection costs only a retry at another server, so it doesn't eject the server. One
            // without a load report means that the server is full, unless its load is known to be
            // low.
            AttemptEnd::Shed => {
                let known = self.reported_load(now);
                let busy = known.is_none_or(|load| load >= f64::from(self.record.slots));
                if load.is_none() && busy {
                    self.assume_full(now);
                }
                self.record_failure(1.0);
                self.ejections = 0;
            }
            AttemptEnd::Failed => {
                self.record_failure(1.0);
                self.ejections = 0;
                if self.failure_rate > EJECTION_FAILURE_RATE {
                    self.eject(now);
                    // Lowers the rate, so that the first failure afterwards doesn't eject the
                    // server again.
                    self.failure_rate = EJECTION_FAILURE_RATE / 2.0;
                }
            }
            AttemptEnd::Unreachable
            | AttemptEnd::Refused
            | AttemptEnd::Crashed
            | AttemptEnd::Oversized => {
                self.record_failure(1.0);
                self.eject(now);
            }
            AttemptEnd::Broken => {
                self.record_failure(1.0);
                self.broken_connections += 1;
                if self.broken_connections >= RESTART_BROKEN_CONNECTIONS {
                    self.set_cold(now, RESTART_COLD_PERIOD);
                }
            }
            AttemptEnd::Misdirected => self.eject(now),
            AttemptEnd::Dropped | AttemptEnd::Withdrawn => {}
        }
    }

    /// Ejects the server with exponential backoff. It may have restarted meanwhile, so it counts as
    /// cold for some time after the ejection.
    fn eject(&mut self, now: Instant) {
        if self.is_ejected(now) {
            return;
        }
        let period = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejections += 1;
        self.ejected_until = Some(now + period.min(MAX_EJECTION));
        self.set_cold(now, period.min(MAX_EJECTION) + RESTART_COLD_PERIOD);
    }

    /// Adds a request to the failure rate: 1 for a failure, 0 for a success.
    fn record_failure(&mut self, failed: f64) {
        self.failure_rate += (failed - self.failure_rate) * REQUEST_EWMA_WEIGHT;
    }

    /// Assumes that requests of other hosts fill the server's slots and its queue.
    fn assume_full(&mut self, now: Instant) {
        let full = f64::from(self.record.slots) * FULL_LOAD_FACTOR;
        self.others_load = self.others_load.max(full - f64::from(self.in_flight));
        self.reported_at = Some(now);
    }

    fn record_load(&mut self, now: Instant, load: ReportedLoad) {
        self.reading = Some(load.running + load.waiting);
        if let Some(percent) = load.work_percent {
            self.work_percent = Some((percent, now));
        }
        let total = f64::from(load.running + load.waiting);
        let others = (total - f64::from(self.in_flight)).max(0.0);
        self.others_load = others;
        // The first report replaces the initial value.
        let weight = self.reported_at.map_or(1.0, |_| LOAD_EWMA_WEIGHT);
        self.others_average += (others - self.others_average) * weight;
        self.reported_at = Some(now);
        if load.slots > 0 {
            self.record.slots = load.slots;
        }
    }
}
