//! Quotas of organisations at this host.

use std::sync::{Mutex, MutexGuard, PoisonError};

use clock::pause;
use director::quotas;
use fleet::access::AccessPolicy;
use quota::decision::QuotaDecision;
use quota::gate::{GateSummary, QuotaGate};
use quota::message::{QuotaNotices, QuotaReport};
use quota::terms::{self, BootTime, QuotaTerms};

/// Gate for the quotas, where the deployment promises to keep them.
#[derive(Debug)]
pub(crate) struct HostQuotas {
    gate: Option<Mutex<QuotaGate>>,
}

impl HostQuotas {
    pub(crate) fn new(terms: Option<QuotaTerms>) -> Self {
        let gate = terms.map(|terms| {
            let gate = QuotaGate::new(pause::boot_time(), terms, rand::random());
            Mutex::new(gate)
        });
        Self { gate }
    }

    fn gate(&self) -> Option<MutexGuard<'_, QuotaGate>> {
        let gate = self.gate.as_ref()?;
        Some(gate.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn set_policy(&self, policy: &AccessPolicy) {
        if let Some(mut gate) = self.gate() {
            let limits = quotas::limits(policy);
            gate.set_limits(limits.map(|(name, limit)| (terms::digest(name), limit)));
        }
    }

    pub(crate) fn set_hosts(&self, hosts: usize) {
        if let Some(mut gate) = self.gate() {
            gate.set_hosts(hosts);
        }
    }

    pub(crate) fn take(&self, organisation: &str) -> QuotaDecision {
        let gate = self.gate();
        gate.map_or(QuotaDecision::Admitted, |mut gate| {
            gate.take(pause::boot_time(), terms::digest(organisation))
        })
    }

    pub(crate) fn refund(&self, organisation: &str) {
        if let Some(mut gate) = self.gate() {
            gate.refund(pause::boot_time(), terms::digest(organisation));
        }
    }

    pub(crate) fn report(&self) -> Option<QuotaReport> {
        Some(self.gate()?.report(pause::boot_time()))
    }

    /// Applies the answer to a call that was sent at `sent_at`; `confirmed` tells whether the replica's
    /// state is confirmed, so that it counted the report.
    pub(crate) fn apply(&self, sent_at: BootTime, notices: Option<&QuotaNotices>, confirmed: bool) {
        let Some(mut gate) = self.gate() else {
            return;
        };
        if confirmed {
            gate.confirm_report(pause::boot_time());
        }
        if let Some(notices) = notices {
            gate.apply(sent_at, notices, confirmed);
        }
    }

    pub(crate) fn summary(&self) -> Option<GateSummary> {
        Some(self.gate()?.summary(pause::boot_time()))
    }
}
