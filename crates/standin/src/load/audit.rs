//! Counts of violated guarantees.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::load::outcome::{LoadOutcome, RequestRecord};

/// Counts of violated guarantees; each must be 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ViolationAudit {
    /// Requests that must run at most once and ran more than once.
    pub doubled: usize,
    /// Requests that were answered but did not run.
    pub lost: usize,
    /// Requests that were refused as not run but did run.
    pub false_not_run: usize,
    /// Answers that were truncated but looked complete to the HTTP client.
    pub cut: usize,
    /// Answers that belong to another request.
    pub crossed: usize,
    /// 1 if a leaving server got new requests after the grace period, otherwise 0.
    pub late_on_leaving: usize,
}

impl ViolationAudit {
    /// Counts the violations among completed requests, given the number of executions by key.
    pub fn new(records: &[RequestRecord], runs: &BTreeMap<String, u64>) -> Self {
        let mut audit = Self::default();
        for record in records {
            audit.count(record, runs.get(&record.key).copied().unwrap_or(0));
        }
        audit
    }

    /// Returns whether no guarantee was violated.
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
        if record.at_most_once && runs > 1 {
            self.doubled += 1;
        }
        match record.outcome {
            LoadOutcome::Answered if runs == 0 => self.lost += 1,
            LoadOutcome::NotRun(_) if runs > 0 => self.false_not_run += 1,
            _ => (),
        }
    }
}
