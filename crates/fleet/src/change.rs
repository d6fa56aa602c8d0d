//! Log of recent changes, from which entry hosts update their copies of the state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::access::AccessPolicy;
use crate::ids;
use crate::server::ServerRecord;
use crate::site::SiteConfig;
use crate::state::FleetState;

/// A change of the state that entry hosts copy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetChange {
    /// A new configuration is in force.
    Site {
        /// Version of the configuration.
        version: ids::SiteVersion,
        /// The configuration.
        site: Arc<SiteConfig>,
        /// Who may call the deployment.
        access: Arc<AccessPolicy>,
    },
    /// A backend server was added or its record changed.
    Server(ServerRecord),
    /// A backend server was removed.
    ServerGone(ids::ServerId),
    /// An availability zone was evacuated: its backend servers get no new requests.
    Evacuated(ids::ZoneName),
    /// The evacuation of an availability zone ended.
    Readmitted(ids::ZoneName),
    /// A request was quarantined, or further backend servers ended with it.
    Quarantined {
        /// The request.
        request: ids::RequestDigest,
        /// Number of servers that ended while they ran it.
        crashes: u32,
    },
    /// The quarantine of a request ended.
    Released(ids::RequestDigest),
}

/// Copy of the state that an entry host keeps.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Revision of the state that was copied.
    pub revision: ids::Revision,
    /// Version of the configuration; 0 where there is none yet.
    pub version: ids::SiteVersion,
    /// Configuration in force.
    pub site: Arc<SiteConfig>,
    /// Who may call the deployment.
    pub access: Arc<AccessPolicy>,
    /// Backend servers by id.
    pub servers: BTreeMap<ids::ServerId, ServerRecord>,
    /// Evacuated availability zones.
    pub evacuated: BTreeSet<ids::ZoneName>,
    /// Quarantined requests, each with the number of backend servers that ended with it.
    pub quarantined: BTreeMap<ids::RequestDigest, u32>,
}

impl FleetView {
    /// Copies a state.
    pub fn of(state: &FleetState) -> Self {
        let servers = state
            .servers()
            .map(|server| (server.id.clone(), server.clone()));
        Self {
            revision: state.revision(),
            version: state.site().map_or(0, |site| site.version),
            site: state
                .site()
                .map(|site| site.site.clone())
                .unwrap_or_default(),
            access: state.access().clone(),
            servers: servers.collect(),
            evacuated: state.evacuated().cloned().collect(),
            quarantined: state.quarantined_requests().collect(),
        }
    }

    /// Applies a change. The caller sets `revision`.
    pub fn apply(&mut self, change: FleetChange) {
        match change {
            FleetChange::Site {
                version,
                site,
                access,
            } => {
                self.version = version;
                self.site = site;
                self.access = access;
            }
            FleetChange::Server(record) => {
                self.servers.insert(record.id.clone(), record);
            }
            FleetChange::ServerGone(id) => {
                self.servers.remove(&id);
            }
            FleetChange::Evacuated(zone) => {
                self.evacuated.insert(zone);
            }
            FleetChange::Readmitted(zone) => {
                self.evacuated.remove(&zone);
            }
            FleetChange::Quarantined { request, crashes } => {
                self.quarantined.insert(request, crashes);
            }
            FleetChange::Released(request) => {
                self.quarantined.remove(&request);
            }
        }
    }
}

/// Update that brings a copy of the state from one revision to the latest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetUpdate {
    /// The copy is up to date.
    Current,
    /// The changes after the revision of the copy.
    Changes {
        /// Revision after the last of the changes.
        revision: ids::Revision,
        /// The changes, oldest first.
        changes: Vec<FleetChange>,
    },
    /// A complete copy, for an entry host that has none or whose revision the change log doesn't
    /// cover.
    Whole(Box<FleetView>),
}

/// Log of the latest changes, bounded in number and bytes. A configuration that a later one replaced is
/// left out.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Revision after which the log holds every change.
    base: ids::Revision,
    latest: ids::Revision,
    changes: VecDeque<LoggedChange>,
    /// Sum of the bytes of all changes.
    bytes: usize,
}

#[derive(Debug)]
struct LoggedChange {
    revision: ids::Revision,
    change: FleetChange,
    /// Upper bound of the encoded size.
    bytes: usize,
}

impl ChangeLog {
    /// Number of changes that the log keeps; an entry host that lags further gets a complete copy.
    pub const MAX_CHANGES: usize = 2_048;

    /// Bytes of changes that the log keeps; the latest command's changes are kept whatever their size.
    pub const MAX_BYTES: usize = 2 << 20;

    /// Creates an empty log that begins at a revision.
    pub fn new(base: ids::Revision) -> Self {
        Self {
            base,
            latest: base,
            changes: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Appends the changes of one command and drops the oldest ones beyond the bounds. Each change
    /// counts with the encoded size of the command; a configuration doesn't count, as the log shares the
    /// only one that it has with the state.
    pub fn append(
        &mut self,
        revision: ids::Revision,
        changes: Vec<FleetChange>,
        command_bytes: usize,
    ) {
        if changes.is_empty() {
            return;
        }
        self.latest = revision;
        for change in changes {
            let is_site = matches!(change, FleetChange::Site { .. });
            if is_site {
                self.remove_sites();
            }
            let bytes = if is_site { 0 } else { command_bytes };
            self.bytes += bytes;
            self.changes.push_back(LoggedChange {
                revision,
                change,
                bytes,
            });
        }
        while self.changes.len() > Self::MAX_CHANGES || self.bytes > Self::MAX_BYTES {
            let is_latest = |logged: &LoggedChange| logged.revision == revision;
            if self.changes.front().is_none_or(is_latest) {
                break;
            }
            if let Some(oldest) = self.changes.pop_front() {
                self.bytes -= oldest.bytes;
                self.base = oldest.revision;
            }
        }
    }

    /// Removes the configuration, as a later one replaces it.
    fn remove_sites(&mut self) {
        self.changes
            .retain(|logged| !matches!(logged.change, FleetChange::Site { .. }));
    }

    /// Returns the latest revision.
    pub fn latest_revision(&self) -> ids::Revision {
        self.latest
    }

    /// Returns the update for a copy at a revision; `None` where the log doesn't cover it and the
    /// entry host needs a complete copy.
    pub fn update_since(&self, revision: ids::Revision) -> Option<FleetUpdate> {
        if revision == self.latest {
            return Some(FleetUpdate::Current);
        }
        if revision < self.base || revision > self.latest {
            return None;
        }
        let later = self.changes.iter().filter(|at| at.revision > revision);
        Some(FleetUpdate::Changes {
            revision: self.latest,
            changes: later.map(|logged| logged.change.clone()).collect(),
        })
    }
}
