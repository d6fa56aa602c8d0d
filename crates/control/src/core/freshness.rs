//! Freshness stamps and cap shares, which only a leader with the lease gives out.

use std::time::{Duration, Instant};

use quorum::event::Event;
use wire::v1;

use super::{CoreAction, ReplicaCore};
use crate::call::{HostReport, LeaseGrant};

impl ReplicaCore {
    /// Time for which a host's report is shown.
    const REPORT_AGE: Duration = Duration::from_secs(60);

    /// Most hosts whose reports are kept.
    const MAX_REPORTS: usize = 10_000;

    /// Tells whether the state here is what is in force: a quorum answered this leader within the
    /// lease, and it has applied an entry of its own term and thereby all that was accepted before.
    pub(super) fn speaks_for_quorum(&self, now: Instant) -> bool {
        self.machine.has_lease(now) && self.applied_term == self.machine.term()
    }

    /// Stamps what is in force, while a quorum answered this leader within the lease.
    pub(super) fn beat(&mut self, now: Instant) {
        if !self.speaks_for_quorum(now) {
            return;
        }
        self.beats += 1;
        let beat = v1::Beat {
            term: self.machine.term(),
            sequence: self.beats,
            revision: self.book.state().revision,
            digest: self.book.state().digest,
            keys_opened: self.book.keys_opened(),
        };
        self.take_beat(now, beat);
        self.actions.push(CoreAction::Beat(beat));
    }

    pub(super) fn take_beat(&mut self, now: Instant, beat: v1::Beat) {
        if let Err(e) = self.holder.publish_heartbeat(now, beat.into()) {
            log::error!(target: "feed", "the leader's stamp was not taken: {e}");
        }
    }

    /// Opens idempotency keys, once in the life of the log, as a host that could keep them asks.
    fn open_keys(&mut self, now: Instant) {
        let term = self.machine.term();
        if self.book.keys_opened() || self.keys_asked_term == term {
            return;
        }
        self.keys_asked_term = term;
        self.last_request += 1;
        let propose = Event::Propose {
            request: self.last_request,
            command: Self::OPEN_KEYS.to_vec(),
        };
        self.feed(now, propose);
    }

    pub(super) fn lease(&mut self, now: Instant, report: HostReport) -> Option<LeaseGrant> {
        if report.open_keys && self.speaks_for_quorum(now) {
            self.open_keys(now);
        }
        let grant = self.speaks_for_quorum(now).then(|| LeaseGrant {
            revision: self.book.state().revision,
            shares: self
                .shares
                .lease(now, self.book.state(), &report.host, &report.demand),
        });
        self.reports
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < Self::REPORT_AGE);
        if self.reports.len() < Self::MAX_REPORTS || self.reports.contains_key(&report.host) {
            self.reports.insert(report.host.clone(), (now, report));
        }
        grant
    }
}
