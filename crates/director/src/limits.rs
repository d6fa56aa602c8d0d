//! Limits of backend servers, which entry hosts report and learn from each other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fleet::hint::ServerIncarnation;
use fleet::ids;
use fleet::limit::{LimitNotice, LimitTable, LimitUpdate};
use fleet::state::FleetState;

use crate::feed::{ChangeFeed, FeedEpoch, FeedMark};

/// Time for which a limit that an entry host reported is in each report to the other replicas, as reports
/// may be lost.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Time between two reports of all limits, for replicas that have started meanwhile.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Limits of the listed backend servers, with the changes for entry hosts.
#[derive(Debug)]
pub struct LimitRegister {
    table: LimitTable,
    changes: ChangeFeed<ServerIncarnation>,
    /// Times at which entry hosts last reported limits to this replica.
    reported: BTreeMap<ServerIncarnation, Instant>,
    next_full_report: Option<Instant>,
}

/// Returns whether an incarnation is the one that is listed.
fn is_listed(state: &FleetState, server: &ServerIncarnation) -> bool {
    let record = state.server(&server.id);
    record.is_some_and(|record| record.born == server.born)
}

impl LimitRegister {
    /// Creates a register without limits.
    pub fn new(epoch: FeedEpoch) -> Self {
        Self {
            table: LimitTable::default(),
            changes: ChangeFeed::new(epoch),
            reported: BTreeMap::new(),
            next_full_report: None,
        }
    }

    /// Records what an entry host reports. Unlisted incarnations are ignored.
    pub fn record(&mut self, now: Instant, state: &FleetState, notice: &LimitNotice) {
        if self.merge(now, state, notice) != LimitUpdate::Outdated {
            self.reported.insert(notice.server.clone(), now);
        }
    }

    /// Merges what another replica reports.
    pub fn merge(&mut self, now: Instant, state: &FleetState, notice: &LimitNotice) -> LimitUpdate {
        let server = &notice.server;
        if !is_listed(state, server) {
            return LimitUpdate::Outdated;
        }
        let observed_at = now.checked_sub(notice.ago).unwrap_or(now);
        let update = self.table.record(server, notice.rate, observed_at);
        if update == LimitUpdate::Changed {
            log::info!(
                target: "hosts",
                "limit changed; server={} born={} limit={}",
                server.id, server.born, notice.rate.map_or(-1.0, f64::from)
            );
            self.changes.push(server.clone());
        }
        update
    }

    /// Removes the limits of incarnations that are no longer listed.
    pub fn evict_unlisted(&mut self, state: &FleetState) {
        self.table.retain(|server, _| is_listed(state, server));
        self.changes.retain(|server| is_listed(state, server));
        self.reported.retain(|server, _| is_listed(state, server));
    }

    /// Returns the limits for a report to the other replicas.
    pub fn report(&mut self, now: Instant) -> Vec<LimitNotice> {
        if self.next_full_report.is_none_or(|at| now >= at) {
            self.next_full_report = Some(now + FULL_REPORT_INTERVAL);
            return self.since(now, FeedMark::default());
        }
        self.reported
            .retain(|_, reported_at| now < *reported_at + REPORT_PERIOD);
        let servers = self.reported.keys();
        servers
            .filter_map(|server| self.table.notice(now, server))
            .collect()
    }

    /// Returns the position after the latest change.
    pub fn mark(&self) -> FeedMark {
        self.changes.mark()
    }

    /// Returns the rates of the limited servers, in requests a second, for a dump.
    pub fn rates(&self, now: Instant) -> BTreeMap<ids::ServerId, f64> {
        let limits = self.since(now, FeedMark::default()).into_iter();
        limits
            .filter_map(|notice| Some((notice.server.id, notice.rate?.per_second())))
            .collect()
    }

    /// Returns the limits that changed after a position.
    pub fn since(&self, now: Instant, mark: FeedMark) -> Vec<LimitNotice> {
        let changes = self.changes.since(mark);
        changes
            .filter_map(|server| self.table.notice(now, server))
            .collect()
    }
}
