//! Admission of requests at an entry host.

use std::collections::HashMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::Serialize;

use crate::account::{self, Allowance, OrganisationAccount};
use crate::contact::{ContactState, HostContact};
use crate::decision::{QuotaDecision, QuotaRefusal, RefusalCause};
use crate::message::{QuotaCount, QuotaMark, QuotaNotice, QuotaNotices, QuotaReport};
use crate::terms::{BootTime, OrganisationDigest, QuotaLimit, QuotaTerms};

/// Time since the latest confirmed report during which requests are counted for the next one. The control
/// replicas reserve a part of the quotas for hosts that are silent for longer.
const COUNT_PERIOD: Duration = Duration::from_secs(2);

/// Time without requests after which an organisation's account is removed.
const ACCOUNT_RETENTION: Duration = Duration::from_secs(60);

/// Time between two searches for idle accounts.
const EVICTION_INTERVAL: Duration = Duration::from_secs(20);

/// Most organisations in a dump.
const MAX_DUMPED: usize = 20;

/// What a host knows of a rationed organisation, for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RationSummary {
    /// Organisation, as in the dump of a control replica.
    pub organisation: String,
    /// Fraction of its requests that hosts admit.
    pub fraction: f32,
    /// Requests a second that all hosts admit.
    pub rate: f32,
    /// Requests a second that arrive at this host.
    pub demand: f64,
}

/// State of the quotas at an entry host, for a dump.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct GateSummary {
    /// Number of organisations with a quota.
    pub limited: usize,
    /// Number of organisations that made requests lately.
    pub active: usize,
    /// Milliseconds since the host last heard of the quotas.
    pub heard_ago_ms: Option<u128>,
    /// Some of the rationed organisations.
    pub rationed: Vec<RationSummary>,
}

/// Admission by the quotas of organisations at one entry host. All times are those of the boot clock.
#[derive(Debug)]
pub struct QuotaGate {
    terms: QuotaTerms,
    hosts: usize,
    limits: HashMap<OrganisationDigest, QuotaLimit>,
    rations: HashMap<OrganisationDigest, QuotaNotice>,
    accounts: HashMap<OrganisationDigest, OrganisationAccount>,
    contact: HostContact,
    reported_at: BootTime,
    evicted_at: BootTime,
    mark: QuotaMark,
    random: SmallRng,
}

impl QuotaGate {
    /// Creates the gate of a host that knows of no organisation; `seed` differs between hosts.
    pub fn new(now: BootTime, terms: QuotaTerms, seed: u64) -> Self {
        Self {
            terms,
            hosts: 1,
            limits: HashMap::new(),
            rations: HashMap::new(),
            accounts: HashMap::new(),
            contact: HostContact::new(now),
            reported_at: now,
            evicted_at: now,
            mark: QuotaMark::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the quotas. Organisations without one aren't limited.
    pub fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (OrganisationDigest, QuotaLimit)>,
    ) {
        self.limits = limits.into_iter().collect();
        let limits = &self.limits;
        self.accounts
            .retain(|organisation, _| limits.contains_key(organisation));
        self.rations
            .retain(|organisation, _| limits.contains_key(organisation));
    }

    /// Sets the number of entry hosts, with this one.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Decides on a request of an organisation, and counts it.
    pub fn take(&mut self, now: BootTime, organisation: OrganisationDigest) -> QuotaDecision {
        let Some(limit) = self.limits.get(&organisation).copied() else {
            return QuotaDecision::Admitted;
        };
        let counts = self.counts(now);
        let hosts = self.hosts as f64;
        let state = self.contact.state(now);
        let ration = self.rations.get(&organisation).copied();
        let heard_ago = self.contact.heard_ago(now);
        let random = &mut self.random;
        let account = self
            .accounts
            .entry(organisation)
            .or_insert_with(|| OrganisationAccount::new(now, random));
        account.count_asked(now, counts);
        if state == ContactState::Fresh {
            account.release();
        }
        let (allowance, cause) = match (state, &ration) {
            (ContactState::Fresh, None) => (
                account.free(now, limit, hosts, heard_ago),
                RefusalCause::Surge,
            ),
            (ContactState::Fresh, Some(notice)) => (
                account.rationed(now, notice, hosts, heard_ago),
                RefusalCause::Rationed,
            ),
            (ContactState::Holding, ration) => (
                account.held(now, &self.terms, limit, ration.as_ref(), hosts, heard_ago),
                RefusalCause::Isolated,
            ),
            (ContactState::Lost, _) => (
                account.lost(&self.terms, limit, hosts),
                RefusalCause::Isolated,
            ),
        };
        let fraction = match state {
            ContactState::Fresh => ration.map_or(1.0, |notice| {
                account::admitted_fraction(&notice, heard_ago.unwrap_or_default(), limit)
            }),
            ContactState::Holding | ContactState::Lost => 1.0,
        };
        if account.take_credit(fraction) && account.take_token(now, allowance, random) {
            account.count_admitted(counts);
            return QuotaDecision::Admitted;
        }
        let share = Self::share(account, now, allowance, ration);
        QuotaDecision::Refused(QuotaRefusal {
            cause,
            retry_after: account.retry_after(now, share, random),
            rate: limit.rate,
            share,
            heard_ago,
        })
    }

    /// Returns the requests a second that this host admits of an organisation.
    fn share(
        account: &OrganisationAccount,
        now: BootTime,
        allowance: Allowance,
        ration: Option<QuotaNotice>,
    ) -> f64 {
        let fraction = ration.map_or(1.0, |notice| f64::from(notice.fraction));
        allowance.rate.min(account.asked.rate(now) * fraction)
    }

    /// Takes back the admission of a request that certainly didn't run and won't.
    pub fn refund(&mut self, now: BootTime, organisation: OrganisationDigest) {
        let counts = self.counts(now);
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.refund(counts);
        }
    }

    fn counts(&self, now: BootTime) -> bool {
        now.saturating_sub(self.reported_at) < COUNT_PERIOD
    }

    /// Returns the counts to report to a control replica, until [`confirm_report`](Self::confirm_report)
    /// is called.
    pub fn report(&mut self, now: BootTime) -> QuotaReport {
        self.drop_outdated(now);
        self.evict_idle(now);
        let accounts = self.accounts.iter_mut();
        let counts = accounts.filter_map(|(organisation, account)| {
            let (asked, admitted) = account.report();
            (asked, admitted).ne(&(0, 0)).then_some(QuotaCount {
                organisation: *organisation,
                asked,
                admitted,
            })
        });
        QuotaReport {
            counts: counts.collect(),
            mark: self.mark,
        }
    }

    /// Drops counts that no control replica got within a window: they no longer matter to the promise.
    fn drop_outdated(&mut self, now: BootTime) {
        if now.saturating_sub(self.reported_at) < self.terms.window {
            return;
        }
        self.accounts
            .values_mut()
            .for_each(OrganisationAccount::drop_counts);
    }

    /// Records that a control replica with a confirmed state received the latest report.
    pub fn confirm_report(&mut self, now: BootTime) {
        for account in self.accounts.values_mut() {
            account.confirm_report(now);
        }
        self.reported_at = now;
    }

    /// Applies the notices of a control replica to a call that was sent at `sent_at`. Those of a replica
    /// whose state isn't confirmed only take effect where they are stricter: it may not know what other
    /// hosts admit.
    pub fn apply(&mut self, sent_at: BootTime, notices: &QuotaNotices, confirmed: bool) {
        let rationed = notices.rationed.iter().copied();
        if confirmed {
            let limits = &self.limits;
            let known = rationed.filter(|notice| limits.contains_key(&notice.organisation));
            self.rations = known.map(|notice| (notice.organisation, notice)).collect();
            self.mark = notices.mark;
            self.contact.record(sent_at);
            return;
        }
        for notice in rationed.filter(|notice| self.limits.contains_key(&notice.organisation)) {
            let known = self.rations.entry(notice.organisation).or_insert(notice);
            if notice.fraction < known.fraction {
                *known = notice;
            }
        }
    }

    fn evict_idle(&mut self, now: BootTime) {
        if now.saturating_sub(self.evicted_at) < EVICTION_INTERVAL {
            return;
        }
        self.evicted_at = now;
        self.accounts
            .retain(|_, account| !account.is_idle(now, ACCOUNT_RETENTION));
    }

    /// Returns a summary for a dump.
    pub fn summary(&self, now: BootTime) -> GateSummary {
        let rationed = self.rations.values().take(MAX_DUMPED);
        let rationed = rationed.map(|notice| RationSummary {
            organisation: format!("{:016x}", notice.organisation),
            fraction: notice.fraction,
            rate: notice.rate,
            demand: self
                .accounts
                .get(&notice.organisation)
                .map_or(0.0, |account| account.asked.rate(now)),
        });
        GateSummary {
            limited: self.limits.len(),
            active: self.accounts.len(),
            heard_ago_ms: self.contact.heard_ago(now).map(|ago| ago.as_millis()),
            rationed: rationed.collect(),
        }
    }
}
