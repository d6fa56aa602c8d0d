//! What entry hosts and backend servers report to the control replicas, besides the committed state.
//!
//! Each replica holds what the processes that call it report, and merges the reports of the other
//! replicas. Nothing of it is stored on the disk.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fleet::change::FleetChange;
use fleet::hint::ServerHint;
use fleet::ids;
use fleet::state::FleetState;
use quorum::ids::ReplicaId;
use quota::terms::QuotaTerms;

use crate::evidence::ServerEvidence;
use crate::feed::FeedEpoch;
use crate::hosts::HostLists;
use crate::index::ServerIndex;
use crate::limits::LimitRegister;
use crate::liveness::LivenessTable;
use crate::loads::LoadTable;
use crate::message::{FollowRequest, GossipReport, LoadVector, SpillShare};
use crate::quotas::QuotaObserver;
use crate::shares::ShareTable;
use crate::suspects::SuspectRegister;

/// Silence after which a backend server or entry host is evicted from the liveness table.
const LIVENESS_RETENTION: Duration = Duration::from_secs(60);

/// Reports of all processes, as far as this replica knows them.
#[derive(Debug)]
pub(crate) struct FleetObserver {
    /// Times of the latest calls.
    pub(crate) liveness: LivenessTable,
    /// The entry hosts that are alive.
    pub(crate) host_lists: HostLists,
    /// Indexes of the backend servers in the committed state.
    index: ServerIndex,
    loads: LoadTable,
    shares: ShareTable,
    evidence: ServerEvidence,
    pub(crate) limits: LimitRegister,
    pub(crate) suspects: SuspectRegister,
    pub(crate) quotas: QuotaObserver,
}

impl FleetObserver {
    /// Creates an observer without reports for the servers of a committed state.
    pub(crate) fn new(
        now: Instant,
        state: &FleetState,
        epoch: FeedEpoch,
        quota: Option<QuotaTerms>,
    ) -> Self {
        let index = ServerIndex::new(state);
        Self {
            liveness: LivenessTable::new(),
            host_lists: HostLists::default(),
            loads: LoadTable::new(index.len()),
            index,
            shares: ShareTable::default(),
            evidence: ServerEvidence::default(),
            limits: LimitRegister::new(epoch),
            suspects: SuspectRegister::default(),
            quotas: QuotaObserver::new(now, quota, epoch, state.access()),
        }
    }

    /// Follows a change of the committed state.
    pub(crate) fn apply_change(&mut self, now: Instant, change: &FleetChange) {
        if let FleetChange::Site { access, .. } = change {
            self.quotas.set_policy(now, access);
        }
        if let Some(shift) = self.index.apply(change) {
            self.loads.shift(shift);
        }
    }

    /// Follows a replacement of the whole committed state.
    pub(crate) fn set_state(&mut self, now: Instant, state: &FleetState) {
        self.liveness.set_all_listed(now, state.servers());
        self.quotas.set_policy(now, state.access());
        self.index = ServerIndex::new(state);
        self.loads = LoadTable::new(self.index.len());
    }

    /// Records the reports in a request of an entry host; `latest` is the revision of the committed
    /// state, and `confirmed` whether that state is confirmed. Returns whether the other replicas should
    /// learn of them at once.
    pub(crate) fn record_host(
        &mut self,
        now: Instant,
        state: &FleetState,
        latest: ids::Revision,
        confirmed: bool,
        request: &mut FollowRequest,
    ) -> bool {
        let shares = std::mem::take(&mut request.shares);
        let host = &request.host;
        self.shares
            .record_host(now, &host.name, &request.region, shares);
        let readings_fit = request.revision == Some(latest);
        if readings_fit {
            self.loads.record_host(now, &request.loads);
        }
        let index = readings_fit.then_some(&self.index);
        let leaving = self.evidence.record_host(now, state, index, request);
        for notice in &request.limits {
            self.limits.record(now, state, notice);
        }
        let mut any_suspect = false;
        for notice in &request.runs {
            any_suspect |= self.suspects.record(now, notice);
        }
        let changed = self.liveness.record_host(now, host);
        if changed {
            log::info!(
                target: "hosts",
                "entry host changed; host={} address={} zone={} ready={}",
                host.name, host.address, host.zone, host.ready
            );
        }
        let counts = request.quotas.as_ref();
        let surge = self.quotas.record_host(now, counts, confirmed);
        leaving || changed || any_suspect || surge
    }

    /// Merges the report of another replica; `latest` is the revision of the committed state.
    pub(crate) fn merge_report(
        &mut self,
        now: Instant,
        from: ReplicaId,
        state: &FleetState,
        latest: ids::Revision,
        mut report: GossipReport,
    ) {
        let shares = std::mem::take(&mut report.shares);
        self.shares.record_replica(now, from, shares);
        let readings_fit = report.revision == latest;
        if readings_fit {
            self.loads.merge_sums(now, &report.loads);
        }
        let index = readings_fit.then_some(&self.index);
        self.evidence.merge_report(now, state, index, &report);
        for notice in &report.limits {
            self.limits.merge(now, state, notice);
        }
        for notice in &report.runs {
            self.suspects.merge(now, notice);
        }
        self.quotas.merge(now, from, report.quotas.as_ref());
        self.liveness.merge_report(now, report);
    }

    /// Returns the report to the other replicas; `None` where there is nothing new.
    pub(crate) fn take_report(
        &mut self,
        now: Instant,
        latest: ids::Revision,
    ) -> Option<GossipReport> {
        let mut report = self.liveness.take_report(now);
        report.shares = self.shares.report(now);
        report.revision = latest;
        report.loads = self.loads.take_sums();
        self.evidence.fill_report(now, &self.index, &mut report);
        report.limits = self.limits.report(now);
        report.runs = self.suspects.report(now);
        report.quotas = self.quotas.report(now);
        let has_counts = report
            .quotas
            .as_ref()
            .is_some_and(|sums| !sums.sums.is_empty());
        let is_empty = !has_counts
            && report.servers.is_empty()
            && report.hosts.is_empty()
            && report.hints.is_empty()
            && report.limits.is_empty()
            && report.runs.is_empty();
        (!is_empty).then_some(report)
    }

    /// Determines which backend servers became unresponsive. Returns whether there are any, so that the
    /// other replicas should learn of them at once.
    pub(crate) fn refresh_outages(&mut self, now: Instant) -> bool {
        self.quotas.refresh_hosts(now, &self.liveness);
        self.evidence.refresh(now)
    }

    /// Updates the list of entry hosts that are alive.
    pub(crate) fn refresh_hosts(&mut self, now: Instant) {
        if let Some(hosts) = self.liveness.take_changed_hosts(now) {
            self.host_lists.set(hosts);
        }
    }

    /// Evicts the processes that have been silent for long, and what was reported of servers that are
    /// gone.
    pub(crate) fn evict_silent(&mut self, now: Instant, state: &FleetState) {
        self.liveness.evict_silent(now, LIVENESS_RETENTION);
        self.limits.evict_unlisted(state);
    }

    /// Returns whether entry hosts should learn at once of servers that became cold or got a hint, and
    /// of organisations that are held back, since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        let became_cold = self.liveness.take_became_cold();
        let rationed = self.quotas.take_changed();
        self.evidence.take_changed() || became_cold || rationed
    }

    /// Returns the hints that are in force.
    pub(crate) fn hints(&mut self, now: Instant) -> Vec<ServerHint> {
        self.evidence.hints(now)
    }

    /// Returns the mean spill shares of all regions.
    pub(crate) fn shares(&self, now: Instant) -> BTreeMap<ids::RegionName, Vec<SpillShare>> {
        self.shares.means(now)
    }

    /// Returns the mean loads of all backend servers.
    pub(crate) fn loads(&self, now: Instant, latest: ids::Revision) -> LoadVector {
        self.loads.vector(now, latest)
    }
}
