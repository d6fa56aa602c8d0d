//! Immutable snapshot of the registry, which requests read.

use std::collections::HashMap;
use std::sync::Arc;

use model::ids;
use slotmap::SecondaryMap;

use crate::entry::{BackendEntry, BackendKey};

/// Backend servers of one place (a service in an availability zone) that may receive requests.
pub type PlaceCandidates = Arc<[Arc<BackendEntry>]>;

/// Immutable snapshot of the backend servers, with the candidates of each place.
#[derive(Debug, Default)]
pub struct BackendSnapshot {
    pub(crate) places: HashMap<ids::ServiceName, HashMap<ids::ZoneName, PlaceCandidates>>,
    pub(crate) all: SecondaryMap<BackendKey, Arc<BackendEntry>>,
    pub(crate) empty: PlaceCandidates,
}

impl BackendSnapshot {
    /// Returns the backend servers of a place that may receive requests.
    pub fn candidates(&self, service: &str, zone: &str) -> PlaceCandidates {
        let place = self.places.get(service).and_then(|zones| zones.get(zone));
        Arc::clone(place.unwrap_or(&self.empty))
    }

    /// Returns the backend server of a key, also if it is ejected or leaving.
    pub fn entry(&self, key: BackendKey) -> Option<&Arc<BackendEntry>> {
        self.all.get(key)
    }

    /// Returns all backend servers, including those that are ejected or leaving.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<BackendEntry>> {
        self.all.values()
    }
}
