//! The mutable table of backend servers behind the registry.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::backend::BackendAnnouncement;
use model::ids;
use model::state::{self, ForceState};
use slotmap::SlotMap;

use crate::entry::{BackendEntry, BackendKey};
use crate::error::RegistryError;
use crate::gauge::BackendGauge;
use crate::shared::SharedAnnouncement;
use crate::snapshot::BackendSnapshot;

/// Service and address of a backend server; one process may serve several services.
pub(crate) type ServerName = (ids::ServiceName, SocketAddr);

/// A registered backend server.
#[derive(Debug)]
pub(crate) struct RegisteredServer {
    pub(crate) announcement: BackendAnnouncement,
    pub(crate) gauge: Arc<BackendGauge>,
    /// Number of the latest renewal within the incarnation.
    pub(crate) renewal: u64,
    pub(crate) expires_at: Instant,
    pub(crate) ejected_until: Option<Instant>,
    /// Number of ejections since the latest successful probe.
    pub(crate) ejections: u32,
}

/// Tombstone of an expired server, which keeps late copies of its announcements from registering it
/// again.
#[derive(Debug, Clone, Copy)]
struct ServerTombstone {
    incarnation: u64,
    renewal: u64,
    expires_at: Instant,
}

/// All registered backend servers, and the parts of the current state that concern them.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    servers: SlotMap<BackendKey, RegisteredServer>,
    keys: HashMap<ServerName, BackendKey>,
    tombstones: HashMap<ServerName, ServerTombstone>,
    leaving: BTreeMap<ids::ServiceName, BTreeSet<SocketAddr>>,
    /// Number of entry hosts that share the slots of each server; 0 before the first state.
    host_count: u32,
}

/// Maximum number of registered backend servers, and of tombstones.
pub(crate) const MAX_SERVERS: usize = 20_000;

/// Duration of the first ejection of a server; it doubles with each further one until a probe
/// succeeds.
const INITIAL_EJECTION: Duration = Duration::from_secs(2);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

impl ServerTable {
    /// Registers a server or renews its registration.
    ///
    /// Returns whether the snapshot must be replaced.
    pub(crate) fn apply(
        &mut self,
        now: Instant,
        shared: SharedAnnouncement,
    ) -> Result<bool, RegistryError> {
        let name = (
            shared.announcement.service.clone(),
            shared.announcement.address,
        );
        match self.keys.get(&name).copied() {
            Some(key) => self.renew(now, key, shared),
            None => self.insert(now, name, shared),
        }
    }

    /// Returns the incarnation and the renewal of the latest known announcement of a server.
    pub(crate) fn known_renewal(&self, service: &str, address: SocketAddr) -> Option<(u64, u64)> {
        let name = (service.to_string(), address);
        if let Some(server) = self.keys.get(&name).and_then(|key| self.servers.get(*key)) {
            return Some((server.announcement.incarnation, server.renewal));
        }
        let tombstone = self.tombstones.get(&name)?;
        Some((tombstone.incarnation, tombstone.renewal))
    }

    /// Returns whether a ticket lists a server as leaving.
    pub(crate) fn is_leaving(&self, service: &str, address: SocketAddr) -> bool {
        self.leaving
            .get(service)
            .is_some_and(|set| set.contains(&address))
    }

    /// Applies the current state.
    pub(crate) fn set_state(&mut self, state: &ForceState) {
        self.leaving = state::live(&state.services)
            .map(|(name, service)| (name.to_string(), service.leaving.clone()))
            .collect();
        let host_count = state::live(&state.hosts).count();
        self.host_count = u32::try_from(host_count).unwrap_or(u32::MAX).max(1);
        for server in self.servers.values() {
            let limit = server.gauge.limit();
            limit.set_share(server.announcement.slots, self.host_count);
        }
    }

    /// Removes expired servers and ends ejections.
    ///
    /// Returns whether the snapshot must be replaced.
    pub(crate) fn tick(&mut self, now: Instant) -> bool {
        let mut changed = false;
        let expired: Vec<BackendKey> = self
            .servers
            .iter()
            .filter(|(_, server)| server.expires_at <= now)
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.expire(now, key);
            changed = true;
        }
        for server in self.servers.values_mut() {
            if server.ejected_until.is_some_and(|until| until <= now) {
                server.ejected_until = None;
                server.gauge.start_probe();
                changed = true;
            }
        }
        self.tombstones
            .retain(|_, tombstone| tombstone.expires_at > now);
        changed
    }

    /// Ejects a server that isn't ejected yet, unless more than half of the servers of its place
    /// would then be ejected. Leaving servers aren't counted.
    ///
    /// Returns whether the server was ejected.
    pub(crate) fn eject(&mut self, now: Instant, key: BackendKey) -> bool {
        let Some(server) = self.servers.get(key) else {
            return false;
        };
        let place = (&server.announcement.service, &server.announcement.zone);
        let peers = self.servers.values().filter(|other| {
            let other_place = (&other.announcement.service, &other.announcement.zone);
            other_place == place
                && !self.is_leaving(&other.announcement.service, other.announcement.address)
        });
        let (mut all, mut ejected) = (0, 0);
        for peer in peers {
            all += 1;
            ejected += usize::from(peer.ejected_until.is_some());
        }
        if server.ejected_until.is_some() || (ejected + 1) * 2 > all {
            return false;
        }
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let duration = INITIAL_EJECTION * 2_u32.saturating_pow(server.ejections.min(8));
        server.ejections += 1;
        server.ejected_until = Some(now + duration.min(MAX_EJECTION));
        true
    }

    /// Resets the count of ejections of a server, so that its next ejection is short again.
    pub(crate) fn reset_ejections(&mut self, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.ejections = 0;
        }
    }

    /// Returns all announcements that have not expired, to send to another entry host.
    pub(crate) fn export(&self, now: Instant) -> Vec<SharedAnnouncement> {
        let live = self
            .servers
            .values()
            .filter(|server| server.expires_at > now);
        live.map(|server| SharedAnnouncement {
            announcement: server.announcement.clone(),
            remaining: server.expires_at - now,
            renewal: server.renewal,
        })
        .collect()
    }

    /// Builds the snapshot that requests read.
    pub(crate) fn snapshot(&self) -> BackendSnapshot {
        let mut snapshot = BackendSnapshot::default();
        let mut places: HashMap<_, HashMap<_, Vec<_>>> = HashMap::new();
        for (key, server) in &self.servers {
            let announcement = server.announcement.clone();
            let (service, zone) = (announcement.service.clone(), announcement.zone.clone());
            let eligible =
                server.ejected_until.is_none() && !self.is_leaving(&service, announcement.address);
            let entry = Arc::new(BackendEntry {
                key,
                announcement,
                gauge: Arc::clone(&server.gauge),
            });
            snapshot.all.insert(key, Arc::clone(&entry));
            if eligible {
                let zones = places.entry(service).or_default();
                zones.entry(zone).or_default().push(entry);
            }
        }
        for (service, zones) in places {
            let zones = zones
                .into_iter()
                .map(|(zone, entries)| (zone, Arc::from(entries)));
            snapshot.places.insert(service, zones.collect());
        }
        snapshot
    }

    /// Registers a new server, or one whose registration has expired.
    ///
    /// Returns `false` for a renewal that its tombstone shows as known.
    fn insert(
        &mut self,
        now: Instant,
        name: ServerName,
        shared: SharedAnnouncement,
    ) -> Result<bool, RegistryError> {
        if self.servers.len() >= MAX_SERVERS {
            return Err(RegistryError::TableFull);
        }
        if let Some(tombstone) = self.tombstones.get(&name) {
            let incarnation = shared.announcement.incarnation;
            if incarnation < tombstone.incarnation {
                return Err(RegistryError::OldIncarnation(tombstone.incarnation));
            }
            if incarnation == tombstone.incarnation && shared.renewal <= tombstone.renewal {
                return Ok(false);
            }
        }
        self.tombstones.remove(&name);
        let slots = shared.announcement.slots;
        let remaining = shared.remaining.min(shared.announcement.ttl);
        let key = self.servers.insert(RegisteredServer {
            announcement: shared.announcement,
            gauge: Arc::new(BackendGauge::new(slots, self.host_count.max(1))),
            renewal: shared.renewal,
            expires_at: now + remaining,
            ejected_until: None,
            ejections: 0,
        });
        self.keys.insert(name, key);
        Ok(true)
    }

    /// Renews the registration of a server.
    ///
    /// Returns whether the announcement differs from the known one.
    fn renew(
        &mut self,
        now: Instant,
        key: BackendKey,
        shared: SharedAnnouncement,
    ) -> Result<bool, RegistryError> {
        let host_count = self.host_count.max(1);
        let Some(server) = self.servers.get_mut(key) else {
            return Ok(false);
        };
        let known = server.announcement.incarnation;
        let incarnation = shared.announcement.incarnation;
        if incarnation < known {
            return Err(RegistryError::OldIncarnation(known));
        }
        if incarnation == known && shared.renewal <= server.renewal {
            return Ok(false);
        }
        let remaining = shared.remaining.min(shared.announcement.ttl);
        server.renewal = shared.renewal;
        if incarnation > known {
            // A new incarnation starts with empty caches and without the failures of the previous
            // one.
            server.gauge = Arc::new(BackendGauge::new(shared.announcement.slots, host_count));
            server.ejected_until = None;
            server.ejections = 0;
            server.expires_at = now + remaining;
        } else {
            server.expires_at = server.expires_at.max(now + remaining);
        }
        let changed = server.announcement != shared.announcement;
        if changed && incarnation == known {
            let limit = server.gauge.limit();
            limit.set_share(shared.announcement.slots, host_count);
        }
        server.announcement = shared.announcement;
        Ok(changed)
    }

    /// Removes a server and leaves a tombstone.
    fn expire(&mut self, now: Instant, key: BackendKey) {
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        let announcement = server.announcement;
        let name = (announcement.service, announcement.address);
        self.keys.remove(&name);
        if self.tombstones.len() < MAX_SERVERS {
            let tombstone = ServerTombstone {
                incarnation: announcement.incarnation,
                renewal: server.renewal,
                expires_at: now + BackendAnnouncement::MAX_TTL,
            };
            self.tombstones.insert(name, tombstone);
        }
    }
}
