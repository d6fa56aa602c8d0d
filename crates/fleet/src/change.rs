//! Changes in the order in which they were made, for those that follow the state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::server::ServerRecord;
use crate::site::SiteConfig;
use crate::state::FleetState;

/// One change of what entry hosts need to know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetChange {
    /// Another configuration is in force.
    Site {
        /// Its number.
        version: ids::SiteVersion,
        /// The configuration.
        site: SiteConfig,
    },
    /// A backend server is new or changed.
    Server(ServerRecord),
    /// A backend server is gone.
    ServerGone(ids::ServerId),
    /// A zone gets no new work.
    Evacuated(ids::ZoneName),
    /// A zone gets new work again.
    Readmitted(ids::ZoneName),
}

/// The part of the state that entry hosts follow.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Entry of the log that it holds.
    pub revision: ids::Revision,
    /// Number of the configuration; 0 before the first.
    pub version: ids::SiteVersion,
    /// Configuration in force.
    pub site: SiteConfig,
    /// Backend servers.
    pub servers: BTreeMap<ids::ServerId, ServerRecord>,
    /// Zones that get no new work.
    pub evacuated: BTreeSet<ids::ZoneName>,
}

impl FleetView {
    /// Returns the view of a state.
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
            servers: servers.collect(),
            evacuated: state.evacuated().cloned().collect(),
        }
    }

    /// Applies a change.
    pub fn apply(&mut self, change: FleetChange) {
        match change {
            FleetChange::Site { version, site } => {
                self.version = version;
                self.site = site;
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
        }
    }
}

/// What a follower needs to get from one revision to the latest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetUpdate {
    /// Nothing changed.
    Current,
    /// The changes since, in order.
    Changes {
        /// Revision after them.
        revision: ids::Revision,
        /// The changes.
        changes: Vec<FleetChange>,
    },
    /// The whole view: the follower is new, or too far behind.
    Whole(Box<FleetView>),
}

/// The latest changes.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Revision after which the log is complete.
    base: ids::Revision,
    last: ids::Revision,
    changes: VecDeque<(ids::Revision, FleetChange)>,
}

impl ChangeLog {
    /// Changes that are kept; a follower that lags further gets the whole view.
    pub const MAX_CHANGES: usize = 2_048;

    /// Creates a log that begins at a revision.
    pub fn new(base: ids::Revision) -> Self {
        Self {
            base,
            last: base,
            changes: VecDeque::new(),
        }
    }

    /// Appends what one command changed.
    pub fn append(&mut self, revision: ids::Revision, changes: Vec<FleetChange>) {
        if changes.is_empty() {
            return;
        }
        self.last = revision;
        let changes = changes.into_iter().map(|change| (revision, change));
        self.changes.extend(changes);
        while self.changes.len() > Self::MAX_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.base = revision;
            }
        }
    }

    /// Returns the latest revision.
    pub fn last(&self) -> ids::Revision {
        self.last
    }

    /// Returns what a follower at a revision needs; `None` where it needs the whole view.
    pub fn since(&self, revision: ids::Revision) -> Option<FleetUpdate> {
        if revision == self.last {
            return Some(FleetUpdate::Current);
        }
        if revision < self.base || revision > self.last {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(FleetUpdate::Changes {
            revision: self.last,
            changes: later.map(|(_, change)| change.clone()).collect(),
        })
    }
}
