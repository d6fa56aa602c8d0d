//! Level and demand of one organisation over all entry hosts.

use std::time::Duration;

use crate::message::QuotaNotice;
use crate::meter::RateMeter;
use crate::sums::Growth;
use crate::terms::{OrganisationDigest, QuotaLimit, QuotaTerms};

/// Time over which a sudden growth of the demand is measured.
const FAST_PERIOD: Duration = Duration::from_millis(300);

/// Time over which the demand is measured.
const SLOW_PERIOD: Duration = Duration::from_millis(900);

/// Mean age of the counts: half of a host's call and half of the time between two reports.
const COUNT_AGE: f64 = 0.3;

/// Ratio of the two from which the demand counts as suddenly grown. The fast one varies with the times of
/// reports.
const GROWTH_RATIO: f64 = 1.5;

/// Standard deviations by which a rate must be beyond chance to count as grown.
const GROWTH_DEVIATIONS: f64 = 2.0;

/// Time in seconds until a notice has an effect in the counts.
const REACTION_TIME: f64 = 0.6;

/// Time in seconds within which a debt is repaid or a surplus spent.
const SETTLE_TIME: f64 = 1.2;

/// Parts of the margin of a window that the bucket holds besides the burst: of what the overage adds, and
/// of the slack. They absorb chance.
const OVERAGE_PART: f64 = 0.1;
const SLACK_PART: f64 = 0.55;

/// Part of the margin of a window that the bucket holds at least, for quotas without a burst.
const MIN_CAPACITY_PART: f64 = 0.6;

/// Part of what the bucket holds besides the burst that is there at the start.
const START_PART: f64 = 0.5;

/// Part of a window's requests, and of its margin, up to which a debt is repaid.
const MAX_DEBT_PART: f64 = 0.5;

/// Parts of the full bucket: an organisation is rationed if its level is about to fall below the first,
/// and no longer rationed above the second.
const RATION_LEVEL: f64 = 0.1;
const RELEASE_LEVEL: f64 = 0.5;

/// Shortest time for which an organisation is rationed.
const MIN_RATION_PERIOD: Duration = Duration::from_secs(2);

/// Fall of the fraction that hosts learn at once, and the shortest time between two such falls: each one
/// is a message to every host.
const URGENT_FALL: f64 = 0.8;
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// How many requests of a rationed organisation hosts admit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Ration {
    since: Duration,
    /// Fraction of its requests.
    pub(crate) fraction: f64,
    /// Requests a second of all hosts.
    pub(crate) rate: f64,
    /// Fraction that was last told at once, or a higher one since.
    urgent_fraction: f64,
    urgent_at: Duration,
    /// Whether requests were refused.
    held_back: bool,
}

impl Ration {
    fn record(&mut self, now: Duration, fraction: f64, rate: f64) -> LedgerChange {
        self.fraction = fraction;
        self.rate = rate;
        let begins = !self.held_back && fraction < 1.0;
        let fell = fraction < URGENT_FALL * self.urgent_fraction
            && now >= self.urgent_at + URGENT_INTERVAL;
        if !begins && !fell {
            self.urgent_fraction = self.urgent_fraction.max(fraction);
            return LedgerChange::Minor;
        }
        self.held_back = true;
        self.urgent_fraction = fraction;
        self.urgent_at = now;
        if begins {
            LedgerChange::HeldBack
        } else {
            LedgerChange::Fell
        }
    }
}

/// What changed for entry hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LedgerChange {
    /// Nothing that hosts need to know at once.
    Minor,
    /// Hosts are to refuse requests of the organisation from now on.
    HeldBack,
    /// Far fewer of its requests are to be admitted than before.
    Fell,
    /// The organisation was held back and isn't rationed any more.
    Released,
}

/// Level and demand of an organisation.
#[derive(Debug)]
pub(crate) struct OrganisationLedger {
    pub(crate) name: String,
    pub(crate) limit: QuotaLimit,
    /// Requests that may run at once.
    pub(crate) level: f64,
    filled_at: Duration,
    asked_fast: RateMeter,
    asked_slow: RateMeter,
    admitted: RateMeter,
    pub(crate) ration: Option<Ration>,
}

/// Returns the most requests that may run at once.
fn capacity(terms: &QuotaTerms, limit: QuotaLimit) -> f64 {
    let least = MIN_CAPACITY_PART * terms.margin(limit);
    least.max(limit.burst + spare(terms, limit))
}

/// Returns the requests that may run at once besides the burst.
fn spare(terms: &QuotaTerms, limit: QuotaLimit) -> f64 {
    let overage = terms.margin(limit) - terms.slack;
    OVERAGE_PART * overage + SLACK_PART * terms.slack
}

/// Returns the lowest level.
fn lowest_level(terms: &QuotaTerms, limit: QuotaLimit) -> f64 {
    let requests = limit.rate * terms.window.as_secs_f64() + terms.margin(limit);
    -MAX_DEBT_PART * requests
}

impl OrganisationLedger {
    /// Creates a ledger without the burst, which may just have been used.
    pub(crate) fn new(now: Duration, name: String, terms: &QuotaTerms, limit: QuotaLimit) -> Self {
        Self {
            name,
            limit,
            level: START_PART * spare(terms, limit),
            filled_at: now,
            asked_fast: RateMeter::new(now, FAST_PERIOD),
            asked_slow: RateMeter::new(now, SLOW_PERIOD),
            admitted: RateMeter::new(now, SLOW_PERIOD),
            ration: None,
        }
    }

    /// Starts anew after a time in which counts may have been missed.
    pub(crate) fn reset(&mut self, now: Duration, terms: &QuotaTerms) {
        *self = Self {
            ration: self.ration,
            ..Self::new(now, std::mem::take(&mut self.name), terms, self.limit)
        };
    }

    /// Changes the quota.
    pub(crate) fn set_limit(
        &mut self,
        now: Duration,
        terms: &QuotaTerms,
        limit: QuotaLimit,
        reserved: f64,
    ) {
        self.fill(now, terms, reserved);
        self.limit = limit;
        self.fill(now, terms, reserved);
    }

    /// Adds the requests that became possible; `reserved` is the part of the quota that is left to hosts
    /// without contact.
    fn fill(&mut self, now: Duration, terms: &QuotaTerms, reserved: f64) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let level = self.level + self.limit.rate * (1.0 - reserved) * elapsed;
        let lowest = lowest_level(terms, self.limit);
        self.level = level.min(capacity(terms, self.limit)).max(lowest);
    }

    /// Records requests that hosts reported.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        terms: &QuotaTerms,
        reserved: f64,
        growth: Growth,
    ) {
        self.fill(now, terms, reserved);
        self.level -= growth.admitted;
        self.asked_fast.record_over(now, growth.asked, growth.time);
        self.asked_slow.record_over(now, growth.asked, growth.time);
        self.admitted.record_over(now, growth.admitted, growth.time);
    }

    /// Returns the requests a second that callers make.
    pub(crate) fn demand(&self, now: Duration) -> f64 {
        let fast = self.asked_fast.rate(now).max(0.0);
        let deviation = (fast / (2.0 * FAST_PERIOD.as_secs_f64())).sqrt();
        let certain = fast - GROWTH_DEVIATIONS * deviation;
        self.asked_slow.rate(now).max(certain)
    }

    /// Decides whether the organisation is rationed, and how far.
    pub(crate) fn decide(
        &mut self,
        now: Duration,
        terms: &QuotaTerms,
        reserved: f64,
    ) -> LedgerChange {
        self.fill(now, terms, reserved);
        let demand = self.demand(now);
        let lasting = self.asked_slow.rate(now);
        let lasting = if demand > GROWTH_RATIO * lasting {
            demand
        } else {
            lasting
        };
        let unseen = self.admitted.rate(now).max(0.0) * COUNT_AGE;
        let level = self.level - unseen;
        let filling = self.limit.rate * (1.0 - reserved);
        let rate = (filling + level / SETTLE_TIME).max(0.0);
        let fraction = if lasting > rate { rate / lasting } else { 1.0 };
        let projected = level - (demand - filling).max(0.0) * REACTION_TIME;
        let capacity = capacity(terms, self.limit);
        if self.ration.is_none() && projected >= RATION_LEVEL * capacity {
            return LedgerChange::Minor;
        }
        let ration = self.ration.get_or_insert(Ration {
            since: now,
            fraction: 1.0,
            rate,
            urgent_fraction: 1.0,
            urgent_at: now,
            held_back: false,
        });
        let full = capacity - unseen;
        let is_settled = now >= ration.since + MIN_RATION_PERIOD;
        if is_settled && projected > RELEASE_LEVEL * full && full > RATION_LEVEL * capacity {
            let was_held_back = ration.held_back;
            self.ration = None;
            return if was_held_back {
                LedgerChange::Released
            } else {
                LedgerChange::Minor
            };
        }
        ration.record(now, fraction, rate)
    }

    /// Returns the notice to hosts, where the organisation is rationed.
    pub(crate) fn notice(&self, organisation: OrganisationDigest) -> Option<QuotaNotice> {
        let ration = self.ration?;
        Some(QuotaNotice {
            organisation,
            fraction: ration.fraction as f32,
            rate: ration.rate as f32,
        })
    }
}
