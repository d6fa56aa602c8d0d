//! Quotas of organisations, from the access policy and the entry hosts that share them.

use std::time::Instant;

use fleet::access::AccessPolicy;
use quorum::ids::ReplicaId;
use quota::message::{QuotaMark, QuotaNotices, QuotaReport, QuotaSums};
use quota::register::{QuotaRegister, RegisterSummary, RESERVE_AFTER, RESERVE_UNTIL};
use quota::terms::{QuotaLimit, QuotaTerms};

use crate::feed::FeedEpoch;
use crate::liveness::LivenessTable;

/// Returns the quotas of a policy, by the names of the organisations.
pub fn limits(policy: &AccessPolicy) -> impl Iterator<Item = (&str, QuotaLimit)> {
    policy.organisations.iter().filter_map(|organisation| {
        let quota = organisation.quota?;
        let limit = QuotaLimit {
            rate: quota.rate.per_second(),
            burst: quota.burst,
        };
        Some((organisation.name.as_str(), limit))
    })
}

/// Register of the quotas, where the deployment promises to keep them.
#[derive(Debug, Default)]
pub(crate) struct QuotaObserver {
    register: Option<QuotaRegister>,
}

impl QuotaObserver {
    pub(crate) fn new(
        now: Instant,
        terms: Option<QuotaTerms>,
        epoch: FeedEpoch,
        policy: &AccessPolicy,
    ) -> Self {
        let register = terms.map(|terms| QuotaRegister::new(now, terms, epoch));
        let mut observer = Self { register };
        observer.set_policy(now, policy);
        observer
    }

    pub(crate) fn set_policy(&mut self, now: Instant, policy: &AccessPolicy) {
        if let Some(register) = &mut self.register {
            register.set_limits(now, limits(policy));
        }
    }

    pub(crate) fn handle_pause(&mut self, now: Instant) {
        if let Some(register) = &mut self.register {
            register.handle_pause(now);
        }
    }

    /// Sets whether the state of this replica is confirmed.
    pub(crate) fn set_confirmed(&mut self, now: Instant, confirmed: bool) {
        if let Some(register) = &mut self.register {
            register.set_confirmed(now, confirmed);
        }
    }

    /// Records the counts of an entry host. Those that come while the state isn't confirmed are left out,
    /// as the host then reports them to another replica too. Returns whether the other replicas should
    /// learn of them at once.
    pub(crate) fn record_host(
        &mut self,
        now: Instant,
        report: Option<&QuotaReport>,
        confirmed: bool,
    ) -> bool {
        match (&mut self.register, report) {
            (Some(register), Some(report)) if confirmed => register.record_host(now, report),
            _ => false,
        }
    }

    pub(crate) fn merge(&mut self, now: Instant, from: ReplicaId, sums: Option<&QuotaSums>) {
        if let (Some(register), Some(sums)) = (&mut self.register, sums) {
            register.merge(now, from, sums);
        }
    }

    pub(crate) fn report(&mut self, now: Instant) -> Option<QuotaSums> {
        let register = self.register.as_mut()?;
        Some(register.report(now))
    }

    pub(crate) fn refresh_hosts(&mut self, now: Instant, liveness: &LivenessTable) {
        if let Some(register) = &mut self.register {
            let (alive, silent) = liveness.ready_hosts(now, RESERVE_AFTER, RESERVE_UNTIL);
            register.set_hosts(alive, silent);
        }
    }

    /// Returns whether entry hosts should learn at once what changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        let register = self.register.as_mut();
        register.is_some_and(QuotaRegister::take_changed)
    }

    pub(crate) fn is_outdated(&self, now: Instant, report: Option<&QuotaReport>) -> bool {
        let mark = report.map_or(QuotaMark::default(), |report| report.mark);
        let register = self.register.as_ref();
        report.is_some() && register.is_some_and(|register| register.is_outdated(now, mark))
    }

    pub(crate) fn notices(&mut self, now: Instant) -> Option<QuotaNotices> {
        self.register.as_mut()?.notices(now)
    }

    pub(crate) fn summary(&self, now: Instant) -> Option<RegisterSummary> {
        let register = self.register.as_ref()?;
        Some(register.summary(now))
    }
}
