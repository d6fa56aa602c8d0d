//! Counts of what must never happen.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::load::outcome::{LoadOutcome, RequestRecord};

/// Counts of what must never happen; each must be 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct FaultAudit {
    /// Requests that must run at most once and ran more often.
    pub doubled: usize,
    /// Requests that were answered and did not run.
    pub lost: usize,
    /// Requests that were refused as not run and ran.
    pub false_not_run: usize,
    /// Answers that passed as whole and were not.
    pub cut: usize,
    /// Answers that belong to another request.
    pub crossed: usize,
    /// New work on a leaving server later than the bound.
    pub late_on_leaving: usize,
}

impl FaultAudit {
    /// Counts over ended requests and the runs by key.
    pub fn new(records: &[RequestRecord], runs: &BTreeMap<String, u64>) -> Self {
        let mut audit = Self::default();
        for record in records {
            audit.count(record, runs.get(&record.key).copied().unwrap_or(0));
        }
        audit
    }

    /// Tells whether nothing happened that must not.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }

    fn count(&mut self, record: &RequestRecord, runs: u64) {
        match record.outcome {
            LoadOutcome::Cut => self.cut += 1,
            LoadOutcome::Crossed => self.crossed += 1,
            _ => (),
        }
        if record.key.is_empty() {
            return;
        }
        if record.once && runs > 1 {
            self.doubled += 1;
        }
        match record.outcome {
            LoadOutcome::Answered if runs == 0 => self.lost += 1,
            LoadOutcome::NotRun(_) if runs > 0 => self.false_not_run += 1,
            _ => (),
        }
    }
}
