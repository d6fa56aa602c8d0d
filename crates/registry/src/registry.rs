//! The registry of one entry host.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use model::backend::BackendAnnouncement;
use model::state::ForceState;

use crate::entry::BackendKey;
use crate::error::RegistryError;
use crate::gauge::GaugeVerdict;
use crate::report::{BackendOutcome, HealthReport, LoadReport};
use crate::shared::SharedAnnouncement;
use crate::snapshot::{BackendSnapshot, PlaceCandidates};
use crate::table::ServerTable;

/// What a backend server is told when it announces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceAnswer {
    /// It may get requests until its time to live ends.
    Taken {
        /// Time within which it should announce itself again.
        renew_within: Duration,
    },
    /// A ticket says that it is leaving: it gets no new requests, however often it announces
    /// itself.
    Leaving,
}

/// Backend servers that one entry host knows.
///
/// Commands take a lock and publish a new immutable table; requests read the table without one.
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
    /// Creates a registry that knows no backend server.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the announcement of a backend server.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::OldIncarnation`] for a start before the one that is known and
    /// [`RegistryError::TableFull`] when there is no room for another server.
    pub fn announce(
        &self,
        now: Instant,
        announcement: BackendAnnouncement,
    ) -> Result<AnnounceAnswer, RegistryError> {
        let mut table = self.table();
        let (service, address) = (announcement.service.clone(), announcement.address);
        let renewal = match table.known(&service, address) {
            Some((incarnation, renewal)) if incarnation == announcement.incarnation => renewal + 1,
            _ => 1,
        };
        let left = announcement.ttl;
        let shared = SharedAnnouncement {
            announcement,
            left,
            renewal,
        };
        if table.put(now, shared)? {
            self.publish(&table);
        }
        if table.is_leaving(&service, address) {
            return Ok(AnnounceAnswer::Leaving);
        }
        Ok(AnnounceAnswer::Taken {
            renew_within: left / 3,
        })
    }

    /// Takes announcements that another entry host has heard; old news changes nothing.
    pub fn merge(&self, now: Instant, announcements: Vec<SharedAnnouncement>) {
        let mut table = self.table();
        let mut changed = false;
        for shared in announcements {
            if !shared.left.is_zero() {
                changed |= table.put(now, shared).unwrap_or(false);
            }
        }
        if changed {
            self.publish(&table);
        }
    }

    /// Takes what is in force: which backend servers are leaving, and the count of entry hosts
    /// that share their slots.
    pub fn set_state(&self, _now: Instant, state: &ForceState) {
        let mut table = self.table();
        table.set_state(state);
        self.publish(&table);
    }

    /// Drops lapsed announcements and ends ejections; due every 100 ms.
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

    /// Records how an attempt at a backend server ended.
    pub fn record_outcome(&self, now: Instant, key: BackendKey, outcome: BackendOutcome) {
        let snapshot = self.snapshot.load();
        let Some(entry) = snapshot.entry(key) else {
            return;
        };
        match entry.gauge.record(now, outcome) {
            GaugeVerdict::Keep => (),
            GaugeVerdict::Recovered => self.table().recover(key),
            GaugeVerdict::Eject => {
                let mut table = self.table();
                if table.eject(now, key) {
                    self.publish(&table);
                }
            }
        }
    }

    /// Returns the backend servers of a place that may take requests, from one read of the
    /// shared table.
    pub fn candidates(&self, service: &str, zone: &str) -> PlaceCandidates {
        self.snapshot.load().candidates(service, zone)
    }

    /// Returns the table that requests read, for health and load polls and dumps.
    pub fn snapshot(&self) -> Arc<BackendSnapshot> {
        self.snapshot.load_full()
    }

    /// Returns all live announcements for another entry host.
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
