//! State of one organisation at one entry host.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::message::QuotaNotice;
use crate::meter::RateMeter;
use crate::terms::{BootTime, QuotaLimit, QuotaTerms};

/// Time over which a host measures its demand. It is longer than it takes the control replicas to learn
/// of a sudden growth.
const DEMAND_PERIOD: Duration = Duration::from_millis(2_500);

/// Time over which a host measures what control replicas know that it admitted. It bridges the gaps of a few
/// requests a second.
const ADMITTED_PERIOD: Duration = Duration::from_secs(3);

/// Multiple of its part that a host admits of an organisation, whose requests are spread unevenly, until
/// the control replicas have learned of a growth.
const LOCAL_FACTOR: f64 = 1.6;

/// Requests that a host admits at once of an organisation.
const LOCAL_BURST: f64 = 3.0;

/// Multiple of that at a host to which callers keep, so that it has far more than an equal part. Chance then
/// takes it beyond its part more often.
const MAX_SKEW: f64 = 6.0;

/// Requests that a host admits of an organisation before a control replica knows of them, while replicas
/// answer and don't ration it. They serve callers who come from other hosts.
const UNCONFIRMED_BURST: f64 = 8.0;

/// Age of a notice up to which the replicas answer the calls of a host: two calls and their ways.
const ANSWER_LIFETIME: Duration = Duration::from_millis(900);

/// Part of the organisation's burst that all hosts together admit at once in addition, unless the
/// organisation is rationed.
const FREE_BURST_PART: f64 = 0.25;

/// Age of a notice from which hosts admit no more than the quota, as what was left of the burst is spent.
const SURPLUS_LIFETIME: Duration = Duration::from_millis(600);

/// Time at the rate of a host's part that may be admitted at once in addition.
const BURST_PERIOD: f64 = 0.2;

/// Parts of a quota that are divided among the hosts equally, and by what they admitted before, while
/// they don't hear of each other.
const EQUAL_PART: f64 = 0.5;

/// Part of the burst that hosts without contact may admit at once.
const HELD_BURST_PART: f64 = 0.25;

/// Part of the margin of a window that hosts without contact may admit at once.
const HELD_MARGIN_PART: f64 = 0.3;

/// Part of the margin of a window that all hosts without contact may use in each window, once other hosts
/// may use the whole quota.
const LOST_MARGIN_PART: f64 = 0.3;

/// Fewest tokens of an account that was just made, in parts of its burst.
const FRESH_FILL: f64 = 0.5;

/// Bounds of the time after which a refused request may return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Relative spread of that time, so that requests that were refused together don't return together.
const RETRY_SPREAD: f64 = 0.3;

/// Bound on what a host admits of an organisation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Allowance {
    /// Requests a second.
    pub(crate) rate: f64,
    /// Requests that may be admitted at once.
    pub(crate) burst: f64,
    /// Requests that may be admitted in any case before a control replica knows of them.
    pub(crate) unconfirmed: f64,
    /// Whether a part of a token admits a request with the probability of that part. Hosts whose part is
    /// far below a request would otherwise admit one each, or none.
    pub(crate) draws: bool,
}

/// Returns the fraction of a rationed organisation's requests to admit by a notice of some age.
pub(crate) fn admitted_fraction(notice: &QuotaNotice, age: Duration, limit: QuotaLimit) -> f64 {
    let fraction = f64::from(notice.fraction);
    let rate = f64::from(notice.rate);
    let has_surplus = fraction < 1.0 && rate > limit.rate;
    if age < SURPLUS_LIFETIME || !has_surplus {
        fraction
    } else {
        fraction * limit.rate / rate
    }
}

/// What a host knows of an organisation's requests.
#[derive(Debug)]
pub(crate) struct OrganisationAccount {
    pub(crate) asked: RateMeter,
    /// Admitted requests that a control replica knows of.
    confirmed: RateMeter,
    /// Rate to keep to while there is no contact.
    held_rate: Option<f64>,
    /// Requests that may be admitted at once; no number until the first one comes.
    tokens: f64,
    filled_at: BootTime,
    /// Sum of the fractions of requests of a rationed organisation that were not yet admitted.
    credit: f64,
    /// Time by which the requests refused so far will have found room.
    queue_end: BootTime,
    /// Requests that arrived and were admitted since the latest report.
    unreported: (u32, i32),
    /// Those in the running report, which may get lost.
    in_report: (u32, i32),
}

impl OrganisationAccount {
    pub(crate) fn new(now: BootTime, random: &mut SmallRng) -> Self {
        Self {
            asked: RateMeter::new(now, DEMAND_PERIOD),
            confirmed: RateMeter::new(now, ADMITTED_PERIOD),
            held_rate: None,
            tokens: f64::NAN,
            filled_at: now,
            credit: random.random_range(0.0..1.0),
            queue_end: now,
            unreported: (0, 0),
            in_report: (0, 0),
        }
    }

    /// Returns the requests that arrived and were admitted since the latest confirmed report.
    pub(crate) fn report(&mut self) -> (u32, i32) {
        let (asked, admitted) = std::mem::take(&mut self.unreported);
        self.in_report.0 = self.in_report.0.saturating_add(asked);
        self.in_report.1 = self.in_report.1.saturating_add(admitted);
        self.in_report
    }

    /// Records that a control replica received the latest report.
    pub(crate) fn confirm_report(&mut self, now: BootTime) {
        let (_, admitted) = std::mem::take(&mut self.in_report);
        if admitted != 0 {
            self.confirmed.record(now, f64::from(admitted));
        }
    }

    /// Drops the requests that no control replica received.
    pub(crate) fn drop_counts(&mut self) {
        self.unreported = (0, 0);
        self.in_report = (0, 0);
    }

    /// Returns how many admitted requests no control replica is known to have received.
    fn unconfirmed(&self) -> f64 {
        f64::from(self.in_report.1) + f64::from(self.unreported.1)
    }

    pub(crate) fn count_asked(&mut self, now: BootTime, counts: bool) {
        self.asked.record(now, 1.0);
        if counts {
            self.unreported.0 = self.unreported.0.saturating_add(1);
        }
    }

    pub(crate) fn count_admitted(&mut self, counts: bool) {
        if counts {
            self.unreported.1 = self.unreported.1.saturating_add(1);
        }
    }

    /// Takes back an admission.
    pub(crate) fn refund(&mut self, counts: bool) {
        self.tokens += 1.0;
        if counts {
            self.unreported.1 = self.unreported.1.saturating_sub(1);
        }
    }

    /// Ends the time without contact, if there was any.
    pub(crate) fn release(&mut self) {
        if self.held_rate.take().is_some() {
            self.tokens = f64::NAN;
        }
    }

    /// Returns the bound while the organisation isn't rationed. It only holds back what comes before the
    /// control replicas have learned of a sudden growth.
    pub(crate) fn free(
        &self,
        now: BootTime,
        limit: QuotaLimit,
        hosts: f64,
        heard_ago: Option<Duration>,
    ) -> Allowance {
        let part = limit.rate / hosts;
        let bound = Self::local(self.asked.rate(now), part);
        Allowance {
            burst: bound.burst + FREE_BURST_PART * limit.burst / hosts,
            unconfirmed: Self::unconfirmed_burst(part, heard_ago),
            ..bound
        }
    }

    /// Returns the bound while the organisation is rationed, which also holds if its demand grows.
    pub(crate) fn rationed(
        &self,
        now: BootTime,
        notice: &QuotaNotice,
        hosts: f64,
        heard_ago: Option<Duration>,
    ) -> Allowance {
        let own = self.asked.rate(now) * f64::from(notice.fraction);
        let part = f64::from(notice.rate) / hosts;
        let bound = Self::local(own, part);
        if notice.fraction < 1.0 {
            return bound;
        }
        Allowance {
            unconfirmed: Self::unconfirmed_burst(part, heard_ago),
            ..bound
        }
    }

    /// Returns how many requests a host admits before a control replica knows of them, while replicas
    /// answer and hold nothing back. `part` is an equal part of the quota.
    fn unconfirmed_burst(part: f64, heard_ago: Option<Duration>) -> f64 {
        if heard_ago.is_some_and(|age| age < ANSWER_LIFETIME) {
            UNCONFIRMED_BURST + part * ANSWER_LIFETIME.as_secs_f64()
        } else {
            0.0
        }
    }

    /// Returns the bound of a host that sees `own` requests a second, where an equal part of the quota is
    /// `part`.
    fn local(own: f64, part: f64) -> Allowance {
        let rate = LOCAL_FACTOR * own.max(part);
        let skew = (own / part.max(f64::MIN_POSITIVE)).clamp(1.0, MAX_SKEW);
        Allowance {
            rate,
            burst: LOCAL_BURST * skew + BURST_PERIOD * rate,
            unconfirmed: 0.0,
            draws: false,
        }
    }

    /// Returns the bound while the host doesn't hear of the quotas. Summed over all hosts, it is the quota
    /// from the time of the latest notices on.
    pub(crate) fn held(
        &mut self,
        now: BootTime,
        terms: &QuotaTerms,
        limit: QuotaLimit,
        notice: Option<&QuotaNotice>,
        hosts: f64,
        heard_ago: Option<Duration>,
    ) -> Allowance {
        let burst = if notice.is_some() { 0.0 } else { limit.burst };
        let burst = HELD_BURST_PART * burst + HELD_MARGIN_PART * terms.margin(limit);
        let burst = burst / hosts;
        let is_new = self.held_rate.is_none();
        let own = match self.held_rate {
            Some(rate) => rate,
            None => {
                let known = self.confirmed.rate(now).clamp(0.0, limit.rate);
                notice.map_or(known, |notice| {
                    let fraction = admitted_fraction(notice, Duration::MAX, limit);
                    known.min(self.asked.rate(now) * fraction)
                })
            }
        };
        self.held_rate = Some(own);
        let rate = (1.0 - EQUAL_PART) * own + EQUAL_PART * limit.rate / hosts;
        if is_new {
            // What was admitted beyond this rate since the replicas last knew is a debt.
            let due = rate * heard_ago.unwrap_or_default().as_secs_f64();
            let excess = (self.unconfirmed() - due).max(0.0);
            self.tokens = burst - excess.min(rate * terms.window.as_secs_f64());
            self.filled_at = now;
        }
        Allowance {
            rate,
            burst,
            unconfirmed: 0.0,
            draws: true,
        }
    }

    /// Returns the bound once other hosts may use the whole quota.
    pub(crate) fn lost(&mut self, terms: &QuotaTerms, limit: QuotaLimit, hosts: f64) -> Allowance {
        self.held_rate.get_or_insert(0.0);
        let part = LOST_MARGIN_PART * terms.margin(limit) / hosts;
        Allowance {
            rate: part / terms.window.as_secs_f64(),
            burst: part,
            unconfirmed: 0.0,
            draws: true,
        }
    }

    /// Returns whether the fraction of a rationed organisation's requests has room for one more.
    pub(crate) fn take_credit(&mut self, fraction: f64) -> bool {
        self.credit += fraction;
        let has_room = self.credit >= 1.0;
        if has_room {
            self.credit -= 1.0;
        }
        has_room
    }

    /// Takes a token if there is one.
    pub(crate) fn take_token(
        &mut self,
        now: BootTime,
        allowance: Allowance,
        random: &mut SmallRng,
    ) -> bool {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        if self.tokens.is_nan() {
            self.tokens = allowance.burst * FRESH_FILL;
        }
        self.tokens = (self.tokens + allowance.rate * elapsed).min(allowance.burst);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        if self.unconfirmed() < allowance.unconfirmed {
            return true;
        }
        if !allowance.draws || self.tokens <= 0.0 {
            return false;
        }
        // The part is spent in either case, so that a host admits as many requests as it has tokens.
        let part = std::mem::take(&mut self.tokens);
        random.random_bool(part.min(1.0))
    }

    /// Returns the time after which a request that is refused now finds room: those refused before it
    /// come first.
    pub(crate) fn retry_after(
        &mut self,
        now: BootTime,
        share: f64,
        random: &mut SmallRng,
    ) -> Duration {
        let latest = now + MAX_RETRY_AFTER;
        let start = self.queue_end.max(now + MIN_RETRY_AFTER);
        let step = Duration::try_from_secs_f64(1.0 / share).unwrap_or(MAX_RETRY_AFTER);
        self.queue_end = start.saturating_add(step).min(latest);
        let spread = random.random_range(1.0 - RETRY_SPREAD..1.0 + RETRY_SPREAD);
        (self.queue_end - now).mul_f64(spread)
    }

    /// Returns whether the organisation made no request lately, so that nothing is lost with the account.
    pub(crate) fn is_idle(&self, now: BootTime, period: Duration) -> bool {
        self.unreported == (0, 0)
            && self.in_report == (0, 0)
            && now.saturating_sub(self.filled_at) >= period
    }
}
