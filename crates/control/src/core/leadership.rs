//! Heartbeats and cap shares, which only a leader with a valid lease gives out.

use std::time::{Duration, Instant};

use quorum::event::Event;
use wire::v1;

use super::{CoreAction, ReplicaCore};
use crate::call::{HostReport, LeaseGrant};

impl ReplicaCore {
    /// Age above which the report of an entry host is removed, once another report arrives.
    const MAX_REPORT_AGE: Duration = Duration::from_secs(60);

    /// Most entry hosts whose reports are kept.
    const MAX_REPORTS: usize = 10_000;

    /// Returns whether this replica leads and its state is the current one.
    ///
    /// This holds while a quorum answered the leader within the lease and the leader has applied an
    /// entry of its own term, and thereby every ticket that was accepted in earlier terms.
    pub(super) fn leads_with_current_state(&self, now: Instant) -> bool {
        self.machine.has_lease(now) && self.applied_term == self.machine.term()
    }

    /// Publishes a heartbeat with the current revision and sends it to the other replicas, if this
    /// replica leads with a valid lease.
    pub(super) fn send_heartbeat(&mut self, now: Instant) {
        if !self.leads_with_current_state(now) {
            return;
        }
        self.heartbeats += 1;
        let heartbeat = v1::Beat {
            term: self.machine.term(),
            sequence: self.heartbeats,
            revision: self.ledger.state().revision,
            digest: self.ledger.state().digest,
            keys_opened: self.ledger.keys_opened(),
        };
        self.publish_heartbeat(now, heartbeat);
        self.actions.push(CoreAction::Heartbeat(heartbeat));
    }

    /// Publishes a heartbeat of the leader to this replica's watchers.
    pub(super) fn publish_heartbeat(&mut self, now: Instant, heartbeat: v1::Beat) {
        if let Err(e) = self.holder.publish_heartbeat(now, heartbeat.into()) {
            log::error!(
                target: "feed",
                "heartbeat of the leader was not published to watchers: {e}"
            );
        }
    }

    /// Proposes to open idempotency keys, unless they are open or this was proposed in this term.
    ///
    /// Keys are opened once for the lifetime of the log, at the first request of an entry host.
    fn open_keys(&mut self, now: Instant) {
        let term = self.machine.term();
        if self.ledger.keys_opened() || self.keys_proposed_term == term {
            return;
        }
        self.keys_proposed_term = term;
        self.last_request += 1;
        let propose = Event::Propose {
            request: self.last_request,
            command: Self::OPEN_KEYS.to_vec(),
        };
        self.handle_event(now, propose);
    }

    /// Records the report of an entry host and grants its cap shares; `None` where this replica
    /// doesn't lead with the current state.
    pub(super) fn lease(&mut self, now: Instant, report: HostReport) -> Option<LeaseGrant> {
        if report.open_keys && self.leads_with_current_state(now) {
            self.open_keys(now);
        }
        let grant = self.leads_with_current_state(now).then(|| LeaseGrant {
            revision: self.ledger.state().revision,
            shares: self
                .shares
                .lease(now, self.ledger.state(), &report.host, &report.demand),
        });
        self.reports
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < Self::MAX_REPORT_AGE);
        if self.reports.len() < Self::MAX_REPORTS || self.reports.contains_key(&report.host) {
            self.reports.insert(report.host.clone(), (now, report));
        }
        grant
    }
}
