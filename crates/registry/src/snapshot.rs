//! The immutable table that requests read.

use std::collections::HashMap;
use std::sync::Arc;

use model::ids;
use slotmap::SecondaryMap;

use crate::entry::{BackendEntry, BackendKey};

/// Backend servers of one place that may take requests.
pub type PlaceCandidates = Arc<[Arc<BackendEntry>]>;

/// Backend servers that may take requests, by service and availability zone.
#[derive(Debug, Default)]
pub struct BackendSnapshot {
    pub(crate) places: HashMap<ids::ServiceName, HashMap<ids::ZoneName, PlaceCandidates>>,
    pub(crate) all: SecondaryMap<BackendKey, Arc<BackendEntry>>,
    pub(crate) none: PlaceCandidates,
}

impl BackendSnapshot {
    /// Returns the backend servers of a place that may take requests.
    pub fn candidates(&self, service: &str, zone: &str) -> PlaceCandidates {
        let place = self.places.get(service).and_then(|zones| zones.get(zone));
        Arc::clone(place.unwrap_or(&self.none))
    }

    /// Returns a backend server, also one that takes no requests for now.
    pub fn entry(&self, key: BackendKey) -> Option<&Arc<BackendEntry>> {
        self.all.get(key)
    }

    /// Iterates over all backend servers, also those that take no requests for now.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<BackendEntry>> {
        self.all.values()
    }
}
