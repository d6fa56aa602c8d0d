//! This host's share of the request rates that backend servers take from all entry hosts together.
//!
//! A limited server gets requests from a few hosts only, each of which has a fixed part of the rate. So
//! the hosts stay within the limit without asking each other, also while some of them don't reach the
//! control replicas, and however many hosts there are.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use fleet::hint::ServerIncarnation;
use fleet::limit::{LimitNotice, LimitTable, LimitUpdate, RequestRate};

/// Fraction of a limit that the hosts use. The rest covers hosts that take over a share while a host
/// without contact still uses it.
const USED_FRACTION: f64 = 0.8;

/// Fraction of its share that a host uses while it has no contact to the control replicas, as other hosts
/// may have taken the share over.
const ISOLATED_FRACTION: f64 = 0.5;

/// Lowest rate of all hosts together, in requests a second: only an answer tells that a limit has ended.
const MIN_RATE: f64 = 0.05;

/// Hosts that share a limit, per request a second of it, besides [`MIN_SHARERS`]. Each one may send a
/// request at any moment after a silence, so their number is bound to the limit.
const SHARERS_PER_RATE: f64 = 0.5;

/// Fewest hosts that share a limit, so that the server stays in use while one of them is down.
const MIN_SHARERS: usize = 2;

/// Time at the rate of a share for which unused permits are kept besides the first one, so that a rate of
/// many requests a second can be used.
const BURST_PERIOD: Duration = Duration::from_millis(100);

/// Time from taking a permit to sending within which the permit holds. Requests that wait for longer must
/// not arrive together with those of later permits.
const PERMIT_LIFETIME: Duration = Duration::from_millis(600);

/// Shortest time between two reports of the same limit to the control replicas, which may have lost it
/// in a restart.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which the limit of an incarnation outside of the view is remembered: a late announcement may
/// list it again.
const UNLISTED_RETENTION: Duration = Duration::from_secs(900);

/// Shortest time between two searches for entries to evict.
const EVICTION_INTERVAL: Duration = Duration::from_secs(60);

/// Returns the number of hosts that share a limit.
pub fn sharer_count(limit: RequestRate) -> usize {
    MIN_SHARERS + (limit.per_second() * SHARERS_PER_RATE).min(f64::from(u16::MAX)) as usize
}

/// Returns the time in which all hosts together may send one request to a backend server.
pub(crate) fn interval(limit: Option<RequestRate>) -> Duration {
    limit.map_or(Duration::ZERO, |limit| {
        Duration::from_secs_f64(1.0 / share_rate(limit, 1, false))
    })
}

/// Returns the rate, in requests a second, of one of `sharers` hosts that share a limit.
pub fn share_rate(limit: RequestRate, sharers: usize, isolated: bool) -> f64 {
    let total = (limit.per_second() * USED_FRACTION).max(MIN_RATE);
    let fraction = if isolated { ISOLATED_FRACTION } else { 1.0 };
    total * fraction / sharers.max(1) as f64
}

/// Permission to send one request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermit {
    /// The server wasn't limited.
    Unlimited,
    /// Taken from this host's share of the server's limit.
    Share {
        /// Time at which it was taken.
        taken_at: Instant,
    },
}

impl SendPermit {
    /// Returns whether the request may be sent while the server is limited.
    pub(crate) fn covers_limit(self, now: Instant) -> bool {
        match self {
            Self::Unlimited => false,
            Self::Share { taken_at } => now < taken_at + PERMIT_LIFETIME,
        }
    }
}

/// Token bucket for the permits of one server. It starts empty, as requests of before may just have
/// arrived.
#[derive(Debug)]
pub(crate) struct PermitBucket {
    tokens: f64,
    filled_at: Instant,
}

impl PermitBucket {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Returns the time until a permit can be taken.
    pub(crate) fn wait(&self, now: Instant, rate: f64) -> Duration {
        Duration::from_secs_f64(((1.0 - self.tokens(now, rate)) / rate).max(0.0))
    }

    fn tokens(&self, now: Instant, rate: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let most = 1.0 + rate * BURST_PERIOD.as_secs_f64();
        (self.tokens + rate * elapsed.as_secs_f64()).min(most)
    }

    /// Takes a permit if there is one.
    pub(crate) fn try_take(&mut self, now: Instant, rate: f64) -> Option<SendPermit> {
        if !self.wait(now, rate).is_zero() {
            return None;
        }
        self.tokens = (self.tokens(now, rate) - 1.0).max(0.0);
        self.filled_at = now;
        Some(SendPermit::Share { taken_at: now })
    }
}

/// Limits that this host knows, from answers and from the control replicas.
#[derive(Debug, Default)]
pub(crate) struct KnownLimits {
    table: LimitTable,
    /// Incarnations whose limit is to be reported.
    unreported: HashSet<ServerIncarnation>,
    /// Those in the running report, which may get lost.
    in_report: HashSet<ServerIncarnation>,
    reported_at: HashMap<ServerIncarnation, Instant>,
    evicted_at: Option<Instant>,
}

impl KnownLimits {
    /// Records what an answer said that arrives now. Returns whether it changes the limit.
    ///
    /// The end of a limit counts from the time at which the request was sent: the server may have written
    /// the answer before it named the limit in another one.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        server: &ServerIncarnation,
        rate: Option<RequestRate>,
        sent_at: Instant,
    ) -> bool {
        let observed_at = if rate.is_some() { now } else { sent_at };
        if rate.is_none() && self.table.rate(server).is_none() {
            return false;
        }
        let update = self.table.record(server, rate, observed_at);
        let due = self
            .reported_at
            .get(server)
            .is_none_or(|reported_at| now >= *reported_at + REPORT_INTERVAL);
        let reports = match update {
            LimitUpdate::Outdated => false,
            LimitUpdate::Confirmed => due,
            LimitUpdate::Changed => true,
        };
        if reports {
            self.unreported.insert(server.clone());
        }
        update == LimitUpdate::Changed
    }

    /// Records what a control replica passes on. Returns whether it changes the limit.
    pub(crate) fn merge(&mut self, now: Instant, notice: &LimitNotice) -> bool {
        let observed_at = now.checked_sub(notice.ago).unwrap_or(now);
        let update = self.table.record(&notice.server, notice.rate, observed_at);
        update == LimitUpdate::Changed
    }

    /// Returns the limits to report to the control replicas, until
    /// [`confirm_report`](Self::confirm_report) is called.
    pub(crate) fn report(&mut self, now: Instant) -> Vec<LimitNotice> {
        self.in_report.extend(self.unreported.drain());
        let mut report = Vec::with_capacity(self.in_report.len());
        for server in &self.in_report {
            report.extend(self.table.notice(now, server));
            self.reported_at.insert(server.clone(), now);
        }
        report
    }

    /// Records that a control replica received the latest report.
    pub(crate) fn confirm_report(&mut self) {
        self.in_report.clear();
    }

    /// Returns the rate that an incarnation takes, if it is limited.
    pub(crate) fn rate(&self, server: &ServerIncarnation) -> Option<RequestRate> {
        if self.table.is_empty() {
            return None;
        }
        self.table.rate(server)
    }

    /// Evicts what was learned long ago of incarnations that are not in the view.
    pub(crate) fn evict(&mut self, now: Instant, is_listed: impl Fn(&ServerIncarnation) -> bool) {
        let recent = |at: Instant, period: Duration| now < at + period;
        if self
            .evicted_at
            .is_some_and(|at| recent(at, EVICTION_INTERVAL))
        {
            return;
        }
        self.evicted_at = Some(now);
        self.table.retain(|server, entry| {
            is_listed(server) || recent(entry.observed_at, UNLISTED_RETENTION)
        });
        self.reported_at
            .retain(|_, reported_at| recent(*reported_at, REPORT_INTERVAL));
    }
}
