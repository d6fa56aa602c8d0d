//! Candidate places of a request, in order, and the permit for one of them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use guard::atomic::AtomicFloat;
use guard::RequestClass;
use model::ids;
use model::outcome::RefusalReason;

use crate::link::{LinkDebit, LinkLimiter};
use crate::place::PlaceLimiter;
use crate::query::RouteRefusal;
use crate::region::RegionLimiter;

/// A candidate place of a service, with the limiters on the way to it.
#[derive(Debug, Clone)]
pub(crate) struct PlaceRoute {
    pub(crate) place: Arc<PlaceLimiter>,
    pub(crate) region: Arc<RegionLimiter>,
    /// Link to the place's region, if that is another region and the link is limited.
    pub(crate) link: Option<Arc<LinkLimiter>>,
}

/// All places of one service, in the order in which this host uses them.
#[derive(Debug)]
pub(crate) struct ServiceRoute {
    pub(crate) places: Vec<PlaceRoute>,
    /// Allowed growth of this host's traffic to each place, in requests a second per second.
    pub(crate) max_growth: f64,
    pub(crate) answer_size: Arc<AnswerSize>,
}

/// Moving average of a service's answer sizes, in bytes.
#[derive(Debug)]
pub(crate) struct AnswerSize(AtomicFloat);

/// Answer size assumed before the first answer, in bytes.
const INITIAL_ANSWER_BYTES: f64 = 4096.0;

/// Weight of each new answer in the moving average.
const ANSWER_WEIGHT: f64 = 0.05;

impl AnswerSize {
    fn record(&self, bytes: f64) {
        self.0
            .update(|average| average + ANSWER_WEIGHT * (bytes - average));
    }
}

impl Default for AnswerSize {
    fn default() -> Self {
        Self(AtomicFloat::new(INITIAL_ANSWER_BYTES))
    }
}

/// Candidate places of one request, in order.
#[derive(Debug)]
pub struct RoutePlan {
    route: Arc<ServiceRoute>,
    class: RequestClass,
    bytes: f64,
    next_place: usize,
    deferred: Vec<usize>,
    retry_after: Duration,
    cap_reached: bool,
}

impl RoutePlan {
    pub(crate) fn new(route: Arc<ServiceRoute>, class: RequestClass, bytes: u64) -> Self {
        Self {
            route,
            class,
            bytes: bytes as f64,
            next_place: 0,
            deferred: Vec::new(),
            retry_after: Duration::MAX,
            cap_reached: false,
        }
    }

    /// Reserves capacity at the next place that has any.
    pub fn next_permit(&mut self, now: Instant) -> Option<PlacePermit> {
        while let Some(index) = self.next_index(now) {
            if let Some(permit) = self.reserve(now, index) {
                return Some(permit);
            }
        }
        None
    }

    /// Reserves capacity at the place in a zone, for another attempt there.
    pub fn permit_in_zone(&mut self, now: Instant, zone: &str) -> Option<PlacePermit> {
        let mut places = self.route.places.iter();
        let index = places.position(|route| route.place.zone == zone)?;
        self.reserve(now, index)
    }

    /// Returns the refusal of the request, for when no place has capacity.
    pub fn refusal(&self) -> RouteRefusal {
        let reason = match (self.route.places.is_empty(), self.cap_reached) {
            (true, _) => RefusalReason::NoBackend,
            (false, true) => RefusalReason::CapReached,
            (false, false) => RefusalReason::NoHeadroom,
        };
        let retry_after = match self.retry_after {
            Duration::MAX => Duration::from_secs(1),
            retry_after => retry_after,
        };
        RouteRefusal {
            reason,
            retry_after,
        }
    }

    /// Returns the index of the next place to try. Places under pressure may be deferred until all
    /// others were tried.
    fn next_index(&mut self, now: Instant) -> Option<usize> {
        while self.next_place < self.route.places.len() {
            let index = self.next_place;
            self.next_place += 1;
            let last = self.next_place == self.route.places.len() && self.deferred.is_empty();
            if last
                || !self.route.places[index]
                    .place
                    .spill_controller()
                    .spills_next(now)
            {
                return Some(index);
            }
            self.deferred.push(index);
        }
        if self.deferred.is_empty() {
            return None;
        }
        Some(self.deferred.remove(0))
    }

    /// Reserves capacity at one place: in the place's own limits, in its region and on the link to
    /// it. Refunds the others if one of them refuses.
    fn reserve(&mut self, now: Instant, index: usize) -> Option<PlacePermit> {
        let route = Arc::clone(&self.route);
        let target = route.places.get(index)?;
        if let Err(retry_after) = target.place.try_take(now, route.max_growth) {
            self.cap_reached = true;
            self.retry_after = self.retry_after.min(retry_after);
            return None;
        }
        if let Err(retry_after) = target.region.try_take(now, self.class) {
            target.place.refund(now);
            self.retry_after = self.retry_after.min(retry_after);
            return None;
        }
        let expected = LinkDebit {
            up: self.bytes,
            down: route.answer_size.0.get(),
        };
        let debit = match &target.link {
            None => Ok(LinkDebit::default()),
            Some(link) => link.try_take(now, self.class, expected),
        };
        match debit {
            Ok(debit) => Some(PlacePermit {
                target: target.clone(),
                answer_size: Arc::clone(&route.answer_size),
                class: self.class,
                taken_at: now,
                debit,
                sent: LinkDebit::default(),
            }),
            Err(retry_after) => {
                target.region.refund(now);
                target.place.refund(now);
                self.retry_after = self.retry_after.min(retry_after);
                None
            }
        }
    }
}

/// Reserved capacity for one request at one place.
///
/// A dropped permit counts as used, because the request may have been sent.
#[derive(Debug)]
#[must_use]
pub struct PlacePermit {
    target: PlaceRoute,
    answer_size: Arc<AnswerSize>,
    class: RequestClass,
    taken_at: Instant,
    debit: LinkDebit,
    sent: LinkDebit,
}

impl PlacePermit {
    /// Returns the availability zone of the place.
    pub fn zone(&self) -> &ids::ZoneName {
        &self.target.place.zone
    }

    /// Returns the region of the place.
    pub fn region(&self) -> &ids::RegionName {
        &self.target.region.region
    }

    /// Returns whether the request crosses a limited link.
    pub fn crosses_link(&self) -> bool {
        self.target.link.is_some()
    }

    /// Cancels the reservation. Call it only if no byte of the request was sent.
    pub fn cancel(self, now: Instant) {
        self.target.place.refund(self.taken_at);
        self.target.region.refund(self.taken_at);
        if let Some(link) = &self.target.link {
            link.refund(now, self.class, self.debit);
        }
    }

    /// Charges body bytes that are about to be sent and returns how long to delay them.
    pub fn pace_up(&mut self, now: Instant, bytes: u64) -> Duration {
        let Some(link) = &self.target.link else {
            return Duration::ZERO;
        };
        let new = uncharged(&mut self.sent.up, self.debit.up, bytes as f64);
        match new > 0.0 {
            true => link.charge_up(now, self.class, new),
            false => Duration::ZERO,
        }
    }

    /// Charges received answer bytes and returns how long to wait before reading more.
    pub fn pace_down(&mut self, now: Instant, bytes: u64) -> Duration {
        let Some(link) = &self.target.link else {
            return Duration::ZERO;
        };
        let new = uncharged(&mut self.sent.down, self.debit.down, bytes as f64);
        match new > 0.0 {
            true => link.charge_down(now, self.class, new),
            false => Duration::ZERO,
        }
    }

    /// Settles the link budget at the end of the request: charges the bytes that were not charged
    /// yet, and refunds the debit that was not used. `up` and `down` are the total bytes of the
    /// request and of the answer.
    pub fn settle(mut self, now: Instant, up: u64, down: u64) {
        self.answer_size.record(down as f64);
        let (up, down) = (up as f64, down as f64);
        let more_up = (up - self.sent.up).max(0.0) as u64;
        let more_down = (down - self.sent.down).max(0.0) as u64;
        self.pace_up(now, more_up);
        self.pace_down(now, more_down);
        if let Some(link) = &self.target.link {
            let unused = LinkDebit {
                up: (self.debit.up - up).max(0.0),
                down: (self.debit.down - down).max(0.0),
            };
            link.refund(now, self.class, unused);
        }
    }
}

/// Adds `bytes` to the bytes sent and returns how many of them exceed the debited bytes.
fn uncharged(sent: &mut f64, debited: f64, bytes: f64) -> f64 {
    let before = sent.max(debited);
    *sent += bytes;
    (*sent - before).max(0.0)
}
