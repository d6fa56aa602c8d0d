//! The registry of backend servers of one entry host.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use model::backend::BackendAnnouncement;
use model::state::ForceState;

use crate::entry::BackendKey;
use crate::error::RegistryError;
use crate::gauge::GaugeAction;
use crate::report::{BackendOutcome, HealthReport, LoadReport};
use crate::shared::SharedAnnouncement;
use crate::snapshot::{BackendSnapshot, PlaceCandidates};
use crate::table::ServerTable;

/// Answer to the announcement of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceAnswer {
    /// The announcement is accepted; the server may receive requests until its time to live ends.
    Accepted {
        /// Time within which the server should announce itself again.
        renew_within: Duration,
    },
    /// A ticket lists the server as leaving: it receives no new requests, however often it
    /// announces itself.
    Leaving,
}

/// The backend servers that one entry host knows.
///
/// Changes take a lock and publish a new immutable snapshot; requests read the snapshot without a
/// lock.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use model::backend::BackendAnnouncement;
///
/// let registry = registry::BackendRegistry::new();
/// let announcement = BackendAnnouncement {
///     service: "ascent-lookup".into(),
///     address: "10.0.0.1:8080".parse().unwrap(),
///     zone: "altiplano-a".into(),
///     slots: 3,
///     incarnation: 1,
///     ttl: Duration::from_secs(3),
/// };
/// registry.announce(Instant::now(), announcement).unwrap();
/// assert_eq!(registry.candidates("ascent-lookup", "altiplano-a").len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct BackendRegistry {
    table: Mutex<ServerTable>,
    snapshot: ArcSwap<BackendSnapshot>,
}

impl BackendRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a backend server or renews its registration.
    ///
    /// # Errors
    ///
    /// Fails with [`RegistryError::OldIncarnation`] if a later incarnation of the server is known,
    /// and with [`RegistryError::TableFull`] if the registry has the maximum number of servers.
    pub fn announce(
        &self,
        now: Instant,
        announcement: BackendAnnouncement,
    ) -> Result<AnnounceAnswer, RegistryError> {
        let mut table = self.table();
        let (service, address) = (announcement.service.clone(), announcement.address);
        let renewal = match table.known_renewal(&service, address) {
            Some((incarnation, renewal)) if incarnation == announcement.incarnation => renewal + 1,
            _ => 1,
        };
        let ttl = announcement.ttl;
        let shared = SharedAnnouncement {
            announcement,
            remaining: ttl,
            renewal,
        };
        if table.apply(now, shared)? {
            self.publish(&table);
        }
        if table.is_leaving(&service, address) {
            return Ok(AnnounceAnswer::Leaving);
        }
        Ok(AnnounceAnswer::Accepted {
            renew_within: ttl / 3,
        })
    }

    /// Applies announcements from another entry host.
    ///
    /// Renewals that are known already or expired, and announcements that are rejected, change
    /// nothing.
    pub fn merge(&self, now: Instant, announcements: Vec<SharedAnnouncement>) {
        let mut table = self.table();
        let mut changed = false;
        for shared in announcements {
            if !shared.remaining.is_zero() {
                changed |= table.apply(now, shared).unwrap_or(false);
            }
        }
        if changed {
            self.publish(&table);
        }
    }

    /// Applies the current state: which backend servers are leaving, and how many entry hosts
    /// share the slots of each server.
    pub fn set_state(&self, _now: Instant, state: &ForceState) {
        let mut table = self.table();
        table.set_state(state);
        self.publish(&table);
    }

    /// Removes expired announcements and ends ejections; to be called about every 100 ms.
    pub fn tick(&self, now: Instant) {
        let mut table = self.table();
        if table.tick(now) {
            self.publish(&table);
        }
    }

    /// Records the answer of a backend server's health endpoint.
    pub fn report_health(&self, now: Instant, key: BackendKey, report: HealthReport) {
        if let Some(entry) = self.snapshot.load().entry(key) {
            entry.gauge.report_health(now, report);
        }
    }

    /// Records the answer of a backend server's load endpoint.
    pub fn report_load(&self, now: Instant, key: BackendKey, report: LoadReport) {
        if let Some(entry) = self.snapshot.load().entry(key) {
            entry.gauge.report_load(now, report);
        }
    }

    /// Records the outcome of an attempt at a backend server, and ejects the server if it fails.
    pub fn record_outcome(&self, now: Instant, key: BackendKey, outcome: BackendOutcome) {
        let snapshot = self.snapshot.load();
        let Some(entry) = snapshot.entry(key) else {
            return;
        };
        match entry.gauge.record(now, outcome) {
            GaugeAction::Keep => (),
            GaugeAction::Recover => self.table().reset_ejections(key),
            GaugeAction::Eject => {
                let mut table = self.table();
                if table.eject(now, key) {
                    self.publish(&table);
                }
            }
        }
    }

    /// Returns the backend servers of a place (a service in an availability zone) that may receive
    /// requests, all from the same snapshot.
    pub fn candidates(&self, service: &str, zone: &str) -> PlaceCandidates {
        self.snapshot.load().candidates(service, zone)
    }

    /// Returns the current snapshot for polls and dumps. It also contains ejected and leaving
    /// servers.
    pub fn snapshot(&self) -> Arc<BackendSnapshot> {
        self.snapshot.load_full()
    }

    /// Returns all announcements that have not expired, to send to another entry host.
    pub fn export(&self, now: Instant) -> Vec<SharedAnnouncement> {
        self.table().export(now)
    }

    fn publish(&self, table: &ServerTable) {
        self.snapshot.store(Arc::new(table.snapshot()));
    }

    fn table(&self) -> MutexGuard<'_, ServerTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
