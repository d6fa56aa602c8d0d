//! Reports and notices on quotas at a control replica.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::ledger::{LedgerChange, OrganisationLedger};
use crate::message::{QuotaMark, QuotaNotices, QuotaReport, QuotaSums};
use crate::sums::{Growth, OtherSums, OwnSums};
use crate::terms::{self, OrganisationDigest, QuotaLimit, QuotaTerms};

/// Time from the start of a replica, or its last pause, in which it learns what hosts admit and tells
/// them nothing: a host's call, a report between replicas, and as much again.
const LEARN_PERIOD: Duration = Duration::from_millis(1_500);

/// Silence after which a part of each quota is reserved for an entry host, and that after which the host
/// no longer uses it. Hosts hold their part for 10 s; see `contact`.
pub const RESERVE_AFTER: Duration = Duration::from_secs(2);
/// See [`RESERVE_AFTER`].
pub const RESERVE_UNTIL: Duration = Duration::from_secs(12);

/// Shortest time between two reports to the other replicas that go at once.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reports while an organisation is held back.
const RATIONED_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a confirmed state after which a replica learns anew: hosts reported to others meanwhile, or
/// to none.
const MAX_UNCONFIRMED: Duration = Duration::from_secs(1);

/// Requests that the other replicas learn of at once, as time at the rate of the quota, and at least.
const URGENT_COUNT_PERIOD: f64 = 0.1;
const MIN_URGENT_COUNT: f64 = 8.0;

/// Most organisations in a dump.
const MAX_DUMPED: usize = 20;

/// State of a rationed organisation, for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LedgerSummary {
    /// Name of the organisation.
    pub organisation: String,
    /// Digest of the name, as in the dumps of entry hosts.
    pub digest: String,
    /// Requests that may run at once; negative while a debt is repaid.
    pub level: f64,
    /// Quota in requests a second.
    pub quota: f64,
    /// Requests a second that callers make.
    pub demand: f64,
    /// Fraction of them that hosts admit.
    pub fraction: f64,
}

/// State of the quotas at a control replica, for a dump.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RegisterSummary {
    /// Number of organisations with a quota.
    pub limited: usize,
    /// Part of each quota that is reserved for hosts without contact.
    pub reserved: f64,
    /// Number of rationed organisations.
    pub rationed_count: usize,
    /// Some of the rationed organisations.
    pub rationed: Vec<LedgerSummary>,
}

/// Levels of all organisations with a quota, from the counts of all entry hosts.
#[derive(Debug)]
pub struct QuotaRegister {
    terms: QuotaTerms,
    epoch: u64,
    origin: Instant,
    /// Time until which this replica may lack what hosts admitted.
    learns_until: Duration,
    /// Time at which the state was last confirmed.
    confirmed_at: Duration,
    ledgers: HashMap<OrganisationDigest, OrganisationLedger>,
    rationed: BTreeSet<OrganisationDigest>,
    own: OwnSums,
    others: OtherSums,
    reserved: f64,
    /// Number of the latest urgent notice.
    sequence: u64,
    /// Whether there was an urgent notice since this was last taken.
    changed: bool,
    reported_at: Duration,
}

impl QuotaRegister {
    /// Creates the register of a replica that has just started; `epoch` differs between runs.
    pub fn new(now: Instant, terms: QuotaTerms, epoch: u64) -> Self {
        Self {
            terms,
            epoch,
            origin: now,
            learns_until: LEARN_PERIOD,
            confirmed_at: Duration::ZERO,
            ledgers: HashMap::new(),
            rationed: BTreeSet::new(),
            own: OwnSums::default(),
            others: OtherSums::default(),
            reserved: 0.0,
            sequence: 0,
            changed: false,
            reported_at: Duration::ZERO,
        }
    }

    fn time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.origin)
    }

    /// Replaces the quotas, by the names of the organisations. Organisations without one aren't limited.
    pub fn set_limits<'a>(
        &mut self,
        now: Instant,
        limits: impl IntoIterator<Item = (&'a str, QuotaLimit)>,
    ) {
        let now = self.time(now);
        let mut ledgers = HashMap::new();
        for (name, limit) in limits {
            let organisation = terms::digest(name);
            let mut ledger = self.ledgers.remove(&organisation).unwrap_or_else(|| {
                OrganisationLedger::new(now, name.to_string(), &self.terms, limit)
            });
            if ledger.limit != limit {
                ledger.set_limit(now, &self.terms, limit, self.reserved);
            }
            ledgers.insert(organisation, ledger);
        }
        self.rationed
            .retain(|organisation| ledgers.contains_key(organisation));
        self.ledgers = ledgers;
    }

    /// Sets the numbers of entry hosts: those that take requests, and those that fell silent between
    /// [`RESERVE_AFTER`] and [`RESERVE_UNTIL`] ago.
    pub fn set_hosts(&mut self, alive: usize, silent: usize) {
        self.reserved = silent as f64 / (alive + silent).max(1) as f64;
    }

    /// Sets whether the state of this replica is confirmed; called several times a second.
    pub fn set_confirmed(&mut self, now: Instant, confirmed: bool) {
        if !confirmed {
            return;
        }
        let time = self.time(now);
        if time >= self.confirmed_at + MAX_UNCONFIRMED {
            self.handle_pause(now);
        }
        self.confirmed_at = time;
    }

    /// Records the report of an entry host. Returns whether the other replicas should learn of it at once.
    pub fn record_host(&mut self, now: Instant, report: &QuotaReport) -> bool {
        let now = self.time(now);
        let mut is_urgent = false;
        for count in &report.counts {
            let Some(ledger) = self.ledgers.get_mut(&count.organisation) else {
                continue;
            };
            let growth = Growth {
                asked: f64::from(count.asked),
                admitted: f64::from(count.admitted),
                time: Duration::ZERO,
            };
            ledger.record(now, &self.terms, self.reserved, growth);
            let urgent_count = (ledger.limit.rate * URGENT_COUNT_PERIOD).max(MIN_URGENT_COUNT);
            is_urgent |= self.own.add(now, count, urgent_count);
            is_urgent |= self.decide(now, count.organisation);
        }
        let holds_back = self.rationed.iter().any(|organisation| {
            let ration = self
                .ledgers
                .get(organisation)
                .and_then(|ledger| ledger.ration);
            ration.is_some_and(|ration| ration.fraction < 1.0)
        });
        let interval = if is_urgent {
            MIN_REPORT_INTERVAL
        } else {
            RATIONED_REPORT_INTERVAL
        };
        (is_urgent || holds_back) && now >= self.reported_at + interval
    }

    /// Merges the sums of another replica.
    pub fn merge(&mut self, now: Instant, from: u64, report: &QuotaSums) {
        let now = self.time(now);
        for (organisation, growth) in self.others.merge(now, from, report) {
            let Some(ledger) = self.ledgers.get_mut(&organisation) else {
                continue;
            };
            ledger.record(now, &self.terms, self.reserved, growth);
            self.decide(now, organisation);
        }
    }

    /// Returns the sums for the other replicas.
    pub fn report(&mut self, now: Instant) -> QuotaSums {
        let now = self.time(now);
        self.reported_at = now;
        self.own.report(now, self.epoch)
    }

    /// Decides anew on an organisation. Returns whether hosts should learn of it at once.
    fn decide(&mut self, now: Duration, organisation: OrganisationDigest) -> bool {
        let Some(ledger) = self.ledgers.get_mut(&organisation) else {
            return false;
        };
        let change = ledger.decide(now, &self.terms, self.reserved);
        if ledger.ration.is_some() {
            self.rationed.insert(organisation);
        } else {
            self.rationed.remove(&organisation);
        }
        match change {
            LedgerChange::Minor => return false,
            LedgerChange::HeldBack => Self::log(now, "organisation over its quota", ledger),
            LedgerChange::Fell => {}
            LedgerChange::Released => Self::log(now, "organisation within its quota again", ledger),
        }
        let is_urgent = change != LedgerChange::Released;
        if is_urgent {
            self.sequence += 1;
            self.changed = true;
        }
        is_urgent
    }

    fn log(now: Duration, text: &str, ledger: &OrganisationLedger) {
        let fraction = ledger.ration.map_or(1.0, |ration| ration.fraction);
        log::info!(
            target: "quota",
            "{text}; organisation={} digest={:016x} quota={} level={:.0} demand={:.1} fraction={fraction:.2}",
            ledger.name, terms::digest(&ledger.name), ledger.limit.rate, ledger.level, ledger.demand(now),
        );
    }

    /// Returns whether there was an urgent notice since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns whether a host lacks an urgent notice.
    pub fn is_outdated(&self, now: Instant, mark: QuotaMark) -> bool {
        let is_known = mark.epoch == self.epoch && mark.sequence >= self.sequence;
        self.speaks(now) && self.sequence > 0 && !is_known
    }

    fn speaks(&self, now: Instant) -> bool {
        self.time(now) >= self.learns_until
    }

    /// Returns the notices for entry hosts; `None` while this replica may lack what hosts admitted, so that
    /// they keep to what they know.
    pub fn notices(&mut self, now: Instant) -> Option<QuotaNotices> {
        if !self.speaks(now) {
            return None;
        }
        let time = self.time(now);
        for organisation in self.rationed.clone() {
            self.decide(time, organisation);
        }
        let rationed = self.rationed.iter();
        let notices = rationed
            .filter_map(|organisation| self.ledgers.get(organisation)?.notice(*organisation));
        Some(QuotaNotices {
            rationed: notices.collect(),
            mark: QuotaMark {
                epoch: self.epoch,
                sequence: self.sequence,
            },
        })
    }

    /// Handles a pause of the process or the machine, in which counts were missed.
    pub fn handle_pause(&mut self, now: Instant) {
        let time = self.time(now);
        self.learns_until = time + LEARN_PERIOD;
        self.others.clear();
        for ledger in self.ledgers.values_mut() {
            ledger.reset(time, &self.terms);
        }
    }

    /// Returns a summary for a dump.
    pub fn summary(&self, now: Instant) -> RegisterSummary {
        let time = self.time(now);
        let rationed = self.rationed.iter().take(MAX_DUMPED);
        let rationed = rationed.filter_map(|organisation| {
            let ledger = self.ledgers.get(organisation)?;
            Some(LedgerSummary {
                organisation: ledger.name.clone(),
                digest: format!("{organisation:016x}"),
                level: ledger.level,
                quota: ledger.limit.rate,
                demand: ledger.demand(time),
                fraction: ledger.ration.map_or(1.0, |ration| ration.fraction),
            })
        });
        RegisterSummary {
            limited: self.ledgers.len(),
            reserved: self.reserved,
            rationed_count: self.rationed.len(),
            rationed: rationed.collect(),
        }
    }
}
