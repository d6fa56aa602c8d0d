//! The table of backend servers behind the registry's commands.

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

/// Names a backend server: the same process may serve several services.
pub(crate) type ServerName = (ids::ServiceName, SocketAddr);

/// One known backend server.
#[derive(Debug)]
pub(crate) struct KnownServer {
    pub(crate) announcement: BackendAnnouncement,
    pub(crate) gauge: Arc<BackendGauge>,
    pub(crate) renewal: u64,
    pub(crate) expires_at: Instant,
    pub(crate) ejected_until: Option<Instant>,
    pub(crate) ejections: u32,
}

/// What is remembered of a server that lapsed, so that old news of it isn't taken as new.
#[derive(Debug, Clone, Copy)]
struct LapsedServer {
    incarnation: u64,
    renewal: u64,
    forget_at: Instant,
}

/// All known backend servers and what the tickets say of them.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    servers: SlotMap<BackendKey, KnownServer>,
    names: HashMap<ServerName, BackendKey>,
    lapsed: HashMap<ServerName, LapsedServer>,
    leaving: BTreeMap<ids::ServiceName, BTreeSet<SocketAddr>>,
    hosts: u32,
}

/// Most backend servers that the table holds.
pub(crate) const MAX_SERVERS: usize = 20_000;

/// First time that a server stays ejected; it doubles with each ejection in a row.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Longest time that a server stays ejected.
const MAX_EJECTION: Duration = Duration::from_secs(60);

impl ServerTable {
    /// Takes news of a server and tells whether the tables that requests read must change.
    pub(crate) fn put(
        &mut self,
        now: Instant,
        shared: SharedAnnouncement,
    ) -> Result<bool, RegistryError> {
        let name = (
            shared.announcement.service.clone(),
            shared.announcement.address,
        );
        match self.names.get(&name).copied() {
            Some(key) => self.renew(now, key, shared),
            None => self.insert(now, name, shared),
        }
    }

    /// Returns the incarnation and count of renewals that is known of a server.
    pub(crate) fn known(&self, service: &str, address: SocketAddr) -> Option<(u64, u64)> {
        let name = (service.to_string(), address);
        if let Some(server) = self.names.get(&name).and_then(|key| self.servers.get(*key)) {
            return Some((server.announcement.incarnation, server.renewal));
        }
        let lapsed = self.lapsed.get(&name)?;
        Some((lapsed.incarnation, lapsed.renewal))
    }

    /// Tells whether a ticket says that a server is leaving.
    pub(crate) fn is_leaving(&self, service: &str, address: SocketAddr) -> bool {
        self.leaving
            .get(service)
            .is_some_and(|set| set.contains(&address))
    }

    /// Takes what the tickets say.
    pub(crate) fn set_state(&mut self, state: &ForceState) {
        self.leaving = state::live(&state.services)
            .map(|(name, service)| (name.to_string(), service.leaving.clone()))
            .collect();
        let hosts = state::live(&state.hosts).count();
        self.hosts = u32::try_from(hosts).unwrap_or(u32::MAX).max(1);
        for server in self.servers.values() {
            let limit = server.gauge.limit();
            limit.set_share(server.announcement.slots, self.hosts);
        }
    }

    /// Drops lapsed servers and ends ejections; tells whether anything changed.
    pub(crate) fn tick(&mut self, now: Instant) -> bool {
        let mut changed = false;
        let lapsed: Vec<BackendKey> = self
            .servers
            .iter()
            .filter(|(_, server)| server.expires_at <= now)
            .map(|(key, _)| key)
            .collect();
        for key in lapsed {
            self.lapse(now, key);
            changed = true;
        }
        for server in self.servers.values_mut() {
            if server.ejected_until.is_some_and(|until| until <= now) {
                server.ejected_until = None;
                server.gauge.start_probe();
                changed = true;
            }
        }
        self.lapsed.retain(|_, server| server.forget_at > now);
        changed
    }

    /// Ejects a server unless half of its place is out already; tells whether it was ejected.
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
        let (mut all, mut out) = (0, 0);
        for peer in peers {
            all += 1;
            out += usize::from(peer.ejected_until.is_some());
        }
        if server.ejected_until.is_some() || (out + 1) * 2 > all {
            return false;
        }
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let time = FIRST_EJECTION * 2_u32.saturating_pow(server.ejections.min(8));
        server.ejections += 1;
        server.ejected_until = Some(now + time.min(MAX_EJECTION));
        true
    }

    /// Forgets the earlier ejections of a server whose probe was answered.
    pub(crate) fn recover(&mut self, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.ejections = 0;
        }
    }

    /// Returns all live announcements for another entry host.
    pub(crate) fn export(&self, now: Instant) -> Vec<SharedAnnouncement> {
        let live = self.servers.values().filter(|one| one.expires_at > now);
        live.map(|server| SharedAnnouncement {
            announcement: server.announcement.clone(),
            left: server.expires_at - now,
            renewal: server.renewal,
        })
        .collect()
    }

    /// Builds the table that requests read.
    pub(crate) fn snapshot(&self) -> BackendSnapshot {
        let mut snapshot = BackendSnapshot::default();
        let mut places: HashMap<_, HashMap<_, Vec<_>>> = HashMap::new();
        for (key, server) in &self.servers {
            let announcement = server.announcement.clone();
            let (service, zone) = (announcement.service.clone(), announcement.zone.clone());
            let usable =
                server.ejected_until.is_none() && !self.is_leaving(&service, announcement.address);
            let entry = Arc::new(BackendEntry {
                key,
                announcement,
                gauge: Arc::clone(&server.gauge),
            });
            snapshot.all.insert(key, Arc::clone(&entry));
            if usable {
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

    fn insert(
        &mut self,
        now: Instant,
        name: ServerName,
        shared: SharedAnnouncement,
    ) -> Result<bool, RegistryError> {
        if self.servers.len() >= MAX_SERVERS {
            return Err(RegistryError::TableFull);
        }
        if let Some(lapsed) = self.lapsed.get(&name) {
            let incarnation = shared.announcement.incarnation;
            if incarnation < lapsed.incarnation {
                return Err(RegistryError::OldIncarnation(lapsed.incarnation));
            }
            if incarnation == lapsed.incarnation && shared.renewal <= lapsed.renewal {
                return Ok(false);
            }
        }
        self.lapsed.remove(&name);
        let slots = shared.announcement.slots;
        let left = shared.left.min(shared.announcement.ttl);
        let key = self.servers.insert(KnownServer {
            announcement: shared.announcement,
            gauge: Arc::new(BackendGauge::new(slots, self.hosts.max(1))),
            renewal: shared.renewal,
            expires_at: now + left,
            ejected_until: None,
            ejections: 0,
        });
        self.names.insert(name, key);
        Ok(true)
    }

    fn renew(
        &mut self,
        now: Instant,
        key: BackendKey,
        shared: SharedAnnouncement,
    ) -> Result<bool, RegistryError> {
        let hosts = self.hosts.max(1);
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
        let left = shared.left.min(shared.announcement.ttl);
        server.renewal = shared.renewal;
        if incarnation > known {
            // A new start has cold caches and none of the faults of the one before.
            server.gauge = Arc::new(BackendGauge::new(shared.announcement.slots, hosts));
            server.ejected_until = None;
            server.ejections = 0;
            server.expires_at = now + left;
        } else {
            server.expires_at = server.expires_at.max(now + left);
        }
        let changed = server.announcement != shared.announcement;
        if changed && incarnation == known {
            let limit = server.gauge.limit();
            limit.set_share(shared.announcement.slots, hosts);
        }
        server.announcement = shared.announcement;
        Ok(changed)
    }

    fn lapse(&mut self, now: Instant, key: BackendKey) {
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        let announcement = server.announcement;
        let name = (announcement.service, announcement.address);
        self.names.remove(&name);
        if self.lapsed.len() < MAX_SERVERS {
            let lapsed = LapsedServer {
                incarnation: announcement.incarnation,
                renewal: server.renewal,
                forget_at: now + BackendAnnouncement::MAX_TTL,
            };
            self.lapsed.insert(name, lapsed);
        }
    }
}
