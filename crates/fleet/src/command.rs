//! What changes the state, and how each command ended.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::server::ServerRecord;
use crate::site::SiteConfig;

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Puts a whole configuration in place of the one that it builds on.
    Replace(SiteOrder),
    /// Announces a backend server, or a change of what it says of itself.
    Announce(ServerRecord),
    /// Takes a backend server out for good.
    Leave {
        /// The server.
        id: ids::ServerId,
        /// The life that ends; any where it isn't said.
        born: Option<ids::BirthTime>,
    },
    /// Takes out backend servers that have been silent for long; they may come back.
    Expire(Vec<(ids::ServerId, ids::BirthTime)>),
    /// Stops new work for the backend servers of a zone.
    Evacuate(ids::ZoneName),
    /// Takes an evacuation back.
    Readmit(ids::ZoneName),
}

/// A whole configuration on its way into force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteOrder {
    /// Number of the configuration.
    pub version: ids::SiteVersion,
    /// Number of the one that it builds on; 0 for the first.
    pub base: ids::SiteVersion,
    /// The configuration as it was sent.
    pub document: Vec<u8>,
    /// The configuration, checked.
    pub site: SiteConfig,
}

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CommandOutcome {
    /// In force, now or since it was first sent.
    Accepted,
    /// It says nothing new, or comes from a former life of a backend server.
    Unchanged,
    /// It builds on a configuration that isn't the current one.
    Conflict,
    /// Its number isn't above the current one.
    OldVersion,
}
