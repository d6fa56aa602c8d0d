//! Places that may take a request, in order, and the permit of one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use guard::atomic::AtomicFigure;
use guard::RequestClass;
use model::ids;
use model::outcome::RefusalReason;

use crate::link::{LinkDebit, LinkGauge};
use crate::place::PlaceGauge;
use crate::query::RouteRefusal;
use crate::region::RegionGauge;

/// One place as a service's route sees it.
#[derive(Debug, Clone)]
pub(crate) struct PlaceRoute {
    pub(crate) place: Arc<PlaceGauge>,
    pub(crate) region: Arc<RegionGauge>,
    /// Link to the place's region, when it is another one and the link is limited.
    pub(crate) link: Option<Arc<LinkGauge>>,
}

/// All places of one service in the order in which this host uses them.
#[derive(Debug)]
pub(crate) struct ServiceRoute {
    pub(crate) places: Vec<PlaceRoute>,
    /// Growth of each place's traffic by this host, in requests a second each second.
    pub(crate) pace: f64,
    pub(crate) answers: Arc<AnswerSize>,
}

/// Moving average of a service's answer sizes.
#[derive(Debug)]
pub(crate) struct AnswerSize(AtomicFigure);

/// Answer size assumed before the first answer, in bytes.
const FIRST_ANSWER: f64 = 4096.0;

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
        Self(AtomicFigure::new(FIRST_ANSWER))
    }
}

/// Places that may take a request, in order.
#[derive(Debug)]
pub struct RoutePlan {
    route: Arc<ServiceRoute>,
    class: RequestClass,
    bytes: f64,
    next: usize,
    passed_over: Vec<usize>,
    wait: Duration,
    capped: bool,
}

impl RoutePlan {
    pub(crate) fn new(route: Arc<ServiceRoute>, class: RequestClass, bytes: u64) -> Self {
        Self {
            route,
            class,
            bytes: bytes as f64,
            next: 0,
            passed_over: Vec::new(),
            wait: Duration::MAX,
            capped: false,
        }
    }

    /// Takes room at the next place that has it.
    pub fn next_permit(&mut self, now: Instant) -> Option<PlacePermit> {
        while let Some(index) = self.next_index(now) {
            if let Some(permit) = self.reserve(now, index) {
                return Some(permit);
            }
        }
        None
    }

    /// Takes room at a place once more, for another attempt there.
    pub fn another_permit(&mut self, now: Instant, zone: &str) -> Option<PlacePermit> {
        let mut places = self.route.places.iter();
        let index = places.position(|route| route.place.zone == zone)?;
        self.reserve(now, index)
    }

    /// Returns the refusal to give when no place has room.
    pub fn refusal(&self) -> RouteRefusal {
        let reason = match (self.route.places.is_empty(), self.capped) {
            (true, _) => RefusalReason::NoBackend,
            (false, true) => RefusalReason::CapReached,
            (false, false) => RefusalReason::NoHeadroom,
        };
        let retry_after = match self.wait {
            Duration::MAX => Duration::from_secs(1),
            wait => wait,
        };
        RouteRefusal {
            reason,
            retry_after,
        }
    }

    /// Returns the next place to try; places under pressure may be put off to the end.
    fn next_index(&mut self, now: Instant) -> Option<usize> {
        while self.next < self.route.places.len() {
            let index = self.next;
            self.next += 1;
            let last = self.next == self.route.places.len() && self.passed_over.is_empty();
            if last || !self.route.places[index].place.damper().moves_next(now) {
                return Some(index);
            }
            self.passed_over.push(index);
        }
        if self.passed_over.is_empty() {
            return None;
        }
        Some(self.passed_over.remove(0))
    }

    fn reserve(&mut self, now: Instant, index: usize) -> Option<PlacePermit> {
        let route = Arc::clone(&self.route);
        let target = route.places.get(index)?;
        if let Err(wait) = target.place.try_take(now, route.pace) {
            self.capped = true;
            self.wait = self.wait.min(wait);
            return None;
        }
        if let Err(wait) = target.region.try_take(now, self.class) {
            target.place.give_back(now);
            self.wait = self.wait.min(wait);
            return None;
        }
        let expected = LinkDebit {
            up: self.bytes,
            down: route.answers.0.get(),
        };
        let debit = match &target.link {
            None => Ok(LinkDebit::default()),
            Some(link) => link.try_take(now, self.class, expected),
        };
        match debit {
            Ok(debit) => Some(PlacePermit {
                target: target.clone(),
                answers: Arc::clone(&route.answers),
                class: self.class,
                taken_at: now,
                debit,
                sent: LinkDebit::default(),
            }),
            Err(wait) => {
                target.region.give_back(now);
                target.place.give_back(now);
                self.wait = self.wait.min(wait);
                None
            }
        }
    }
}

/// Room for one request at one place.
///
/// A permit that is dropped counts as used, as the request may have been sent.
#[derive(Debug)]
#[must_use]
pub struct PlacePermit {
    target: PlaceRoute,
    answers: Arc<AnswerSize>,
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

    /// Tells whether the request passes a limited link.
    pub fn crosses_link(&self) -> bool {
        self.target.link.is_some()
    }

    /// Gives the room back; only for a request of which nothing was sent.
    pub fn give_back(self, now: Instant) {
        self.target.place.give_back(self.taken_at);
        self.target.region.give_back(self.taken_at);
        if let Some(link) = &self.target.link {
            link.give_back(now, self.class, self.debit);
        }
    }

    /// Charges body bytes that are about to be sent and returns how long to hold them.
    pub fn pace_up(&mut self, now: Instant, bytes: u64) -> Duration {
        let Some(link) = &self.target.link else {
            return Duration::ZERO;
        };
        let new = unpaid(&mut self.sent.up, self.debit.up, bytes as f64);
        match new > 0.0 {
            true => link.charge_up(now, self.class, new),
            false => Duration::ZERO,
        }
    }

    /// Charges answer bytes that came and returns how long to wait before reading more.
    pub fn pace_down(&mut self, now: Instant, bytes: u64) -> Duration {
        let Some(link) = &self.target.link else {
            return Duration::ZERO;
        };
        let new = unpaid(&mut self.sent.down, self.debit.down, bytes as f64);
        match new > 0.0 {
            true => link.charge_down(now, self.class, new),
            false => Duration::ZERO,
        }
    }

    /// Ends the request: what passed the link in all is charged as far as it wasn't, and what was
    /// debited too much is given back.
    pub fn settle(mut self, now: Instant, up: u64, down: u64) {
        self.answers.record(down as f64);
        let (up, down) = (up as f64, down as f64);
        let more_up = (up - self.sent.up).max(0.0) as u64;
        let more_down = (down - self.sent.down).max(0.0) as u64;
        self.pace_up(now, more_up);
        self.pace_down(now, more_down);
        if let Some(link) = &self.target.link {
            let rest = LinkDebit {
                up: (self.debit.up - up).max(0.0),
                down: (self.debit.down - down).max(0.0),
            };
            link.give_back(now, self.class, rest);
        }
    }
}

/// Counts bytes and returns those of them that lie above what is paid.
fn unpaid(sent: &mut f64, paid: f64, bytes: f64) -> f64 {
    let before = sent.max(paid);
    *sent += bytes;
    (*sent - before).max(0.0)
}
