//! What entry hosts and other replicas report about backend servers, and the hints that follow from it.

use std::time::Instant;

use fleet::hint::{HintKind, ServerHint, ServerIncarnation};
use fleet::server::ServerState;
use fleet::state::FleetState;
use xxhash_rust::xxh3;

use crate::hints::LeavingTable;
use crate::index::ServerIndex;
use crate::message::{FollowRequest, GossipReport};
use crate::outages::OutageTable;

/// Reports about backend servers.
#[derive(Debug, Default)]
pub struct ServerEvidence {
    leaving: LeavingTable,
    outages: OutageTable,
}

impl ServerEvidence {
    /// Records what an entry host reports. `index` is the one to which its indexes refer; `None` where
    /// it has another revision of the state. Returns whether a server is thereby known to leave.
    pub fn record_host(
        &mut self,
        now: Instant,
        state: &FleetState,
        index: Option<&ServerIndex>,
        request: &FollowRequest,
    ) -> bool {
        if let Some(index) = index {
            let answered = request.loads.iter().map(|reading| reading.server_index);
            self.record_answers(now, index, answered);
            let reporter = xxh3::xxh3_64(request.host.name.as_bytes());
            for unanswered in &request.unanswered {
                if let Some(server) = index.incarnation(state, *unanswered) {
                    self.outages.record_unanswered(now, &server, reporter);
                }
            }
        }
        let mut any_new = false;
        for server in &request.leaving {
            any_new |= self.record_leaving(now, state, server);
        }
        any_new
    }

    /// Records a backend server that told an entry host that it is leaving. One that the committed state
    /// already holds back needs no hint.
    fn record_leaving(
        &mut self,
        now: Instant,
        state: &FleetState,
        server: &ServerIncarnation,
    ) -> bool {
        let ServerIncarnation { id, born } = server;
        let record = state.server(id);
        let is_ready =
            record.is_some_and(|record| record.born == *born && record.state == ServerState::Ready);
        if !is_ready || !self.leaving.record(now, server.clone()) {
            return false;
        }
        log::info!(target: "hosts", "server says that it is leaving; server={id} born={born}");
        true
    }

    /// Merges the reports of another replica; `index` as in [`ServerEvidence::record_host`].
    pub fn merge_report(
        &mut self,
        now: Instant,
        state: &FleetState,
        index: Option<&ServerIndex>,
        report: &GossipReport,
    ) {
        for hint in &report.hints {
            match hint.kind {
                HintKind::Leaving => self.leaving.merge(now, hint),
                HintKind::Unresponsive => self.outages.merge_outage(now, hint),
            }
        }
        let Some(index) = index else {
            return;
        };
        for unanswered in &report.unanswered {
            if let Some(server) = index.incarnation(state, unanswered.server_index) {
                self.outages
                    .merge_unanswered(now, &server, unanswered.reporter);
            }
        }
        // The order of the reports of different hosts isn't known, so an answer counts as the latest.
        let answered = report.loads.iter().filter(|sum| sum.count > 0);
        self.record_answers(now, index, answered.map(|sum| sum.server_index));
    }

    fn record_answers(
        &mut self,
        now: Instant,
        index: &ServerIndex,
        answered: impl Iterator<Item = u32>,
    ) {
        if self.outages.is_empty() {
            return;
        }
        for id in answered.filter_map(|server| index.id(server)) {
            self.outages.record_answer(now, id);
        }
    }

    /// Determines which servers became unresponsive since the last call. Returns whether there are any.
    pub fn refresh(&mut self, now: Instant) -> bool {
        let found = self.outages.refresh(now);
        for ServerIncarnation { id, born } in &found {
            log::info!(target: "hosts", "server answers no entry host; server={id} born={born}");
        }
        !found.is_empty()
    }

    /// Adds the reports of entry hosts since the previous call to a report to the other replicas.
    pub fn fill_report(&mut self, now: Instant, index: &ServerIndex, report: &mut GossipReport) {
        report.hints = self.leaving.take_report(now);
        report.hints.extend(self.outages.take_hints(now));
        report.unanswered = self.outages.take_report(index);
    }

    /// Returns the hints that are in force.
    pub fn hints(&mut self, now: Instant) -> Vec<ServerHint> {
        let mut hints = self.leaving.current(now);
        hints.extend(self.outages.current(now));
        hints
    }

    /// Returns whether hints were added or removed, other than by their time, since the last call.
    pub fn take_changed(&mut self) -> bool {
        let leaving = self.leaving.take_changed();
        self.outages.take_changed() || leaving
    }
}
