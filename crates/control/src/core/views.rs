//! Read-only views of the replica: tickets, status and dump.

use std::time::Instant;

use model::ids;

use super::ReplicaCore;
use crate::call::{HostStatus, StatusReport, TicketLookup, TicketSummary};

impl ReplicaCore {
    /// Returns a ticket's digest and verdict, if the verdict is kept.
    fn ticket(&self, number: ids::TicketNumber) -> Option<TicketSummary> {
        let record = self.ledger.record(number)?;
        Some(TicketSummary {
            number,
            digest: record.digest.clone(),
            verdict: record.verdict.clone(),
        })
    }

    /// Returns what is known about a ticket number.
    pub(super) fn look_up_ticket(&self, number: ids::TicketNumber) -> TicketLookup {
        let lowest = self.ledger.lowest_open_number();
        match self.ticket(number) {
            Some(ticket) => TicketLookup::Known(ticket),
            None if number < lowest => TicketLookup::TooOld { lowest },
            None => TicketLookup::Open,
        }
    }

    /// Returns tickets in descending order of their numbers, `limit` at most.
    pub(super) fn tickets(&self, limit: usize) -> Vec<TicketSummary> {
        let numbers = self.ledger.records().map(|(number, _)| number);
        numbers
            .take(limit)
            .filter_map(|number| self.ticket(number))
            .collect()
    }

    /// Returns the status of the replica, with the entry hosts that reported to it.
    pub(super) fn status(&self, now: Instant) -> StatusReport {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis();
        let hosts = self.reports.iter().map(|(host, (at, report))| {
            let status = HostStatus {
                revision: report.revision,
                digest: report.digest,
                age_ms: u64::try_from(age(*at)).unwrap_or(u64::MAX),
            };
            (host.clone(), status)
        });
        StatusReport {
            id: self.settings.id,
            role: self.machine.role().into(),
            term: self.machine.term(),
            leader: self.machine.leader(),
            lease: self.leads_with_current_state(now),
            commit: self.machine.commit_index(),
            applied: self.machine.applied_index(),
            revision: self.ledger.state().revision,
            digest: self.ledger.state().digest,
            hosts: hosts.collect(),
        }
    }

    /// Returns the whole state as JSON, without secrets.
    pub(super) fn dump(&self, now: Instant) -> serde_json::Value {
        let settings = &self.settings;
        let verdicts: Vec<_> = self.tickets(usize::MAX);
        serde_json::json!({
            "settings": {
                "id": settings.id,
                "replicas": settings.replicas,
                "operators": settings.operators,
                "zone": settings.zone,
                "data_folder": settings.data_folder,
                "verdict_window": settings.verdict_window,
                "snapshot_every": settings.snapshot_every,
            },
            "status": self.status(now),
            "quorum": self.machine.report(now),
            "state": self.ledger.state(),
            "verdicts": verdicts,
            "shares": self.shares.summary(),
            "waiting": self.pending.len(),
            "beats": self.heartbeats,
        })
    }
}
