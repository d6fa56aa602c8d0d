//! Replicated state machine of a deployment.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::access::AccessPolicy;
use crate::change::FleetChange;
use crate::command::{CommandOutcome, FleetCommand, SiteReplacement, ZoneOrder};
use crate::hint::ServerIncarnation;
use crate::ids;
use crate::membership::CallTrace;
use crate::server::ServerRecord;
use crate::site::SiteConfig;
use crate::suspect::MAX_ENDED_SERVERS;

/// Maximum number of accepted configurations whose digests are remembered, about those of a day. A
/// resent configuration that is older gets the outcome of a conflict.
const MAX_REMEMBERED_SITES: usize = 8_192;

/// Maximum number of quarantined requests; the one that is quarantined for longest is released first.
const MAX_QUARANTINED: usize = 1_024;

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteRecord {
    /// Version of the configuration.
    pub version: ids::SiteVersion,
    /// The document that the operator sent, byte for byte.
    pub document: Vec<u8>,
    /// The validated configuration.
    pub site: Arc<SiteConfig>,
}

/// A request that is held back from all backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Latest servers that ended while they ran it.
    pub ended: Vec<ServerIncarnation>,
    /// Number of all of these servers.
    pub crashes: u32,
    /// Log index at which it was quarantined.
    pub since: ids::Revision,
}

/// Configuration, backend servers and evacuated zones. After the same log entry the state is the
/// same on all replicas.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    revision: ids::Revision,
    site: Option<SiteRecord>,
    /// Digests of the latest accepted configurations, so that a resent one is recognised.
    accepted: BTreeMap<ids::SiteVersion, ids::SiteDigest>,
    pub(crate) servers: BTreeMap<ids::ServerId, ServerRecord>,
    /// Start time of the latest incarnation that left under each id, and the log index at which it
    /// left.
    pub(crate) ended: BTreeMap<ids::ServerId, (ids::StartTime, ids::Revision)>,
    /// Evacuated availability zones, each with the log index at which its evacuation began.
    evacuated: BTreeMap<ids::ZoneName, ids::Revision>,
    quarantined: BTreeMap<ids::RequestDigest, QuarantineRecord>,
    /// Who may call the deployment, by the configuration in force. Snapshots of earlier versions end before
    /// this field.
    access: Arc<AccessPolicy>,
    /// Latest committed call of each backend server, also of some that aren't listed any more.
    pub(crate) calls: BTreeMap<ids::ServerId, CallTrace>,
    /// Log index of the latest accepted order for each availability zone.
    zone_orders: BTreeMap<ids::ZoneName, ids::Revision>,
}

impl FleetState {
    /// Creates an empty state, as it is before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the index of the log entry that last changed the state.
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Returns the configuration in force; `None` before the first.
    pub fn site(&self) -> Option<&SiteRecord> {
        self.site.as_ref()
    }

    /// Returns who may call the deployment.
    pub fn access(&self) -> &Arc<AccessPolicy> {
        &self.access
    }

    /// Returns the backend server with an id.
    pub fn server(&self, id: &str) -> Option<&ServerRecord> {
        self.servers.get(id)
    }

    /// Returns all backend servers in the order of their ids.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    /// Returns the evacuated availability zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &ids::ZoneName> {
        self.evacuated.keys()
    }

    /// Returns the quarantine of a request, if there is one.
    pub fn quarantined(&self, request: ids::RequestDigest) -> Option<&QuarantineRecord> {
        self.quarantined.get(&request)
    }

    /// Returns the quarantined requests, each with the number of backend servers that ended with it.
    pub fn quarantined_requests(&self) -> impl Iterator<Item = (ids::RequestDigest, u32)> + '_ {
        let records = self.quarantined.iter();
        records.map(|(request, record)| (*request, record.crashes))
    }

    /// Applies the command of the log entry at index `revision`, and returns its outcome and the
    /// changes it made.
    pub fn apply(
        &mut self,
        revision: ids::Revision,
        command: FleetCommand,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        let (outcome, changes) = match command {
            FleetCommand::Replace(replacement) => self.replace(replacement),
            FleetCommand::Announce(announcement) => self.announce(revision, &announcement),
            FleetCommand::Leave { id, born } => self.leave(revision, &id, born),
            FleetCommand::Expire(incarnations) => self.expire(revision, incarnations),
            FleetCommand::Evacuate(order) => self.evacuate(revision, order),
            FleetCommand::Readmit(order) => self.readmit(revision, order),
            FleetCommand::Quarantine { request, ended } => {
                self.quarantine(revision, request, ended)
            }
            FleetCommand::Release(request) => self.release(request),
        };
        if !changes.is_empty() {
            self.revision = revision;
        }
        (outcome, changes)
    }

    fn replace(&mut self, replacement: SiteReplacement) -> (CommandOutcome, Vec<FleetChange>) {
        let digest = xxh3::xxh3_128(&replacement.document);
        if self.accepted.get(&replacement.version) == Some(&digest) {
            return (CommandOutcome::Accepted, Vec::new());
        }
        let current = self.site.as_ref().map_or(0, |site| site.version);
        if replacement.base != current {
            return (CommandOutcome::Conflict, Vec::new());
        }
        if replacement.version <= current {
            return (CommandOutcome::OldVersion, Vec::new());
        }
        self.accepted.insert(replacement.version, digest);
        while self.accepted.len() > MAX_REMEMBERED_SITES {
            self.accepted.pop_first();
        }
        let change = FleetChange::Site {
            version: replacement.version,
            site: replacement.site.clone(),
            access: replacement.access.clone(),
        };
        self.access = replacement.access;
        self.site = Some(SiteRecord {
            version: replacement.version,
            document: replacement.document,
            site: replacement.site,
        });
        (CommandOutcome::Accepted, vec![change])
    }

    /// Returns the log index of the latest accepted order for an availability zone; 0 if there was none.
    pub fn latest_order(&self, zone: &str) -> ids::Revision {
        // Snapshots of earlier versions only tell when the evacuations began that are in force.
        let latest = self.zone_orders.get(zone);
        latest
            .or_else(|| self.evacuated.get(zone))
            .copied()
            .unwrap_or(0)
    }

    /// Returns whether an order was taken before one that has been accepted since, so that it arrives too late.
    fn is_superseded(&self, order: &ZoneOrder) -> bool {
        let latest = self.latest_order(&order.zone);
        order.follows.is_some_and(|follows| follows < latest)
    }

    fn evacuate(
        &mut self,
        revision: ids::Revision,
        order: ZoneOrder,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        if self.evacuated.contains_key(&order.zone) {
            return (CommandOutcome::Accepted, Vec::new());
        }
        if self.is_superseded(&order) {
            return (CommandOutcome::Superseded, Vec::new());
        }
        let zone = order.zone;
        self.zone_orders.insert(zone.clone(), revision);
        self.evacuated.insert(zone.clone(), revision);
        (CommandOutcome::Accepted, vec![FleetChange::Evacuated(zone)])
    }

    fn quarantine(
        &mut self,
        revision: ids::Revision,
        request: ids::RequestDigest,
        ended: Vec<ServerIncarnation>,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        let record = self.quarantined.entry(request).or_insert(QuarantineRecord {
            ended: Vec::new(),
            crashes: 0,
            since: revision,
        });
        let before = record.crashes;
        for server in ended {
            if !record.ended.contains(&server) {
                record.ended.push(server);
                record.crashes = record.crashes.saturating_add(1);
            }
        }
        let excess = record.ended.len().saturating_sub(MAX_ENDED_SERVERS);
        record.ended.drain(..excess);
        let crashes = record.crashes;
        if crashes == before {
            return (CommandOutcome::Unchanged, Vec::new());
        }
        let mut changes = vec![FleetChange::Quarantined { request, crashes }];
        while self.quarantined.len() > MAX_QUARANTINED {
            let records = self.quarantined.iter();
            let oldest = records.min_by_key(|(_, record)| record.since);
            let Some(oldest) = oldest.map(|(request, _)| *request) else {
                break;
            };
            self.quarantined.remove(&oldest);
            changes.push(FleetChange::Released(oldest));
        }
        (CommandOutcome::Accepted, changes)
    }

    fn release(&mut self, request: ids::RequestDigest) -> (CommandOutcome, Vec<FleetChange>) {
        match self.quarantined.remove(&request) {
            Some(_) => (
                CommandOutcome::Accepted,
                vec![FleetChange::Released(request)],
            ),
            None => (CommandOutcome::Unchanged, Vec::new()),
        }
    }

    fn readmit(
        &mut self,
        revision: ids::Revision,
        order: ZoneOrder,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        if !self.evacuated.contains_key(&order.zone) {
            return (CommandOutcome::Accepted, Vec::new());
        }
        if self.is_superseded(&order) {
            return (CommandOutcome::Superseded, Vec::new());
        }
        let zone = order.zone;
        self.zone_orders.insert(zone.clone(), revision);
        self.evacuated.remove(&zone);
        (
            CommandOutcome::Accepted,
            vec![FleetChange::Readmitted(zone)],
        )
    }
}
