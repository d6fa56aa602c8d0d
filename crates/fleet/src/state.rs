//! The state that all replicas agree on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::change::FleetChange;
use crate::command::{CommandOutcome, FleetCommand, SiteOrder};
use crate::ids;
use crate::server::{ServerRecord, ServerState};
use crate::site::SiteConfig;

/// Most ended lives that are remembered, to tell late announcements of them.
const MAX_ENDED: usize = 4_096;

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteRecord {
    /// Its number.
    pub version: ids::SiteVersion,
    /// As it was sent.
    pub document: Vec<u8>,
    /// Checked.
    pub site: SiteConfig,
}

/// The whole state; the same on all replicas after the same entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    revision: ids::Revision,
    site: Option<SiteRecord>,
    /// Digest of each configuration that was accepted, for resends.
    accepted: BTreeMap<ids::SiteVersion, ids::SiteDigest>,
    servers: BTreeMap<ids::ServerId, ServerRecord>,
    /// Last life that ended under an id, with the revision at which it did.
    ended: BTreeMap<ids::ServerId, (ids::BirthTime, ids::Revision)>,
    evacuated: BTreeMap<ids::ZoneName, ids::Revision>,
}

impl FleetState {
    /// Creates the state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the entry at which the state last changed.
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Returns the configuration in force.
    pub fn site(&self) -> Option<&SiteRecord> {
        self.site.as_ref()
    }

    /// Returns a backend server.
    pub fn server(&self, id: &str) -> Option<&ServerRecord> {
        self.servers.get(id)
    }

    /// Returns all backend servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    /// Returns the zones that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &ids::ZoneName> {
        self.evacuated.keys()
    }

    /// Tells what an announcement would change, without changing it.
    pub fn would_change(&self, record: &ServerRecord) -> bool {
        self.merge_announcement(record).is_some()
    }

    /// Applies a command and returns how it ended and what it changed.
    pub fn apply(
        &mut self,
        revision: ids::Revision,
        command: FleetCommand,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        let (outcome, changes) = match command {
            FleetCommand::Replace(order) => self.replace(order),
            FleetCommand::Announce(record) => self.announce(record),
            FleetCommand::Leave { id, born } => self.leave(revision, &id, born),
            FleetCommand::Expire(lives) => self.expire(lives),
            FleetCommand::Evacuate(zone) => self.evacuate(revision, zone),
            FleetCommand::Readmit(zone) => self.readmit(zone),
        };
        if !changes.is_empty() {
            self.revision = revision;
        }
        (outcome, changes)
    }

    fn replace(&mut self, order: SiteOrder) -> (CommandOutcome, Vec<FleetChange>) {
        let digest = xxh3::xxh3_128(&order.document);
        if self.accepted.get(&order.version) == Some(&digest) {
            return (CommandOutcome::Accepted, Vec::new());
        }
        let current = self.site.as_ref().map_or(0, |site| site.version);
        if order.base != current {
            return (CommandOutcome::Conflict, Vec::new());
        }
        if order.version <= current {
            return (CommandOutcome::OldVersion, Vec::new());
        }
        self.accepted.insert(order.version, digest);
        let change = FleetChange::Site {
            version: order.version,
            site: order.site.clone(),
        };
        self.site = Some(SiteRecord {
            version: order.version,
            document: order.document,
            site: order.site,
        });
        (CommandOutcome::Accepted, vec![change])
    }

    /// Returns what the record of a server becomes by an announcement, where it changes anything.
    fn merge_announcement(&self, record: &ServerRecord) -> Option<ServerRecord> {
        let ended = self.ended.get(&record.id);
        if ended.is_some_and(|(born, _)| !record.is_younger(*born)) {
            return None;
        }
        let mut merged = record.clone();
        if let Some(known) = self.servers.get(&record.id) {
            if known.is_younger(record.born) {
                return None;
            }
            // Leaving is final within one life: a late announcement doesn't undo it.
            let same_life = known.born == record.born;
            if same_life && known.state == ServerState::Draining {
                merged.state = ServerState::Draining;
            }
            merged.cold = known.cold;
            if *known == merged {
                return None;
            }
            merged.cold = record.cold;
        }
        let successor = self
            .servers
            .values()
            .any(|other| other.address == record.address && other.is_younger(record.born));
        (!successor).then_some(merged)
    }

    fn announce(&mut self, record: ServerRecord) -> (CommandOutcome, Vec<FleetChange>) {
        let Some(merged) = self.merge_announcement(&record) else {
            return (CommandOutcome::Unchanged, Vec::new());
        };
        let mut changes = Vec::new();
        let replaced: Vec<_> = self
            .servers
            .values()
            .filter(|other| other.address == merged.address && other.id != merged.id)
            .map(|other| other.id.clone())
            .collect();
        for id in replaced {
            self.servers.remove(&id);
            changes.push(FleetChange::ServerGone(id));
        }
        self.ended.remove(&merged.id);
        changes.push(FleetChange::Server(merged.clone()));
        self.servers.insert(merged.id.clone(), merged);
        (CommandOutcome::Accepted, changes)
    }

    fn leave(
        &mut self,
        revision: ids::Revision,
        id: &str,
        born: Option<ids::BirthTime>,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        let Some(known) = self.servers.get(id) else {
            if let Some(born) = born {
                self.note_end(revision, id, born);
            }
            return (CommandOutcome::Unchanged, Vec::new());
        };
        if born.is_some_and(|born| known.is_younger(born)) {
            return (CommandOutcome::Unchanged, Vec::new());
        }
        let born = born.unwrap_or(known.born);
        self.note_end(revision, id, born);
        self.servers.remove(id);
        let change = FleetChange::ServerGone(id.to_string());
        (CommandOutcome::Accepted, vec![change])
    }

    fn note_end(&mut self, revision: ids::Revision, id: &str, born: ids::BirthTime) {
        let latest = self
            .ended
            .get(id)
            .map_or(born, |(known, _)| born.max(*known));
        self.ended.insert(id.to_string(), (latest, revision));
        while self.ended.len() > MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, (_, at))| *at);
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            self.ended.remove(&oldest);
        }
    }

    fn expire(
        &mut self,
        lives: Vec<(ids::ServerId, ids::BirthTime)>,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        let mut changes = Vec::new();
        for (id, born) in lives {
            let same = self
                .servers
                .get(&id)
                .is_some_and(|known| known.born == born);
            if same {
                self.servers.remove(&id);
                changes.push(FleetChange::ServerGone(id));
            }
        }
        (CommandOutcome::Accepted, changes)
    }

    fn evacuate(
        &mut self,
        revision: ids::Revision,
        zone: ids::ZoneName,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        if self.evacuated.contains_key(&zone) {
            return (CommandOutcome::Accepted, Vec::new());
        }
        self.evacuated.insert(zone.clone(), revision);
        (CommandOutcome::Accepted, vec![FleetChange::Evacuated(zone)])
    }

    fn readmit(&mut self, zone: ids::ZoneName) -> (CommandOutcome, Vec<FleetChange>) {
        if self.evacuated.remove(&zone).is_none() {
            return (CommandOutcome::Accepted, Vec::new());
        }
        (
            CommandOutcome::Accepted,
            vec![FleetChange::Readmitted(zone)],
        )
    }
}
