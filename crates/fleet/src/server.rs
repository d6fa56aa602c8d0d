//! Backend servers as they announce themselves.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Whether a backend server takes new work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerState {
    /// Takes new work.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// One life of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Id.
    pub id: ids::ServerId,
    /// Start of this life.
    pub born: ids::BirthTime,
    /// Service that it belongs to.
    pub service: ids::ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Version of its software.
    pub version: String,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it was cold when it announced this.
    pub cold: Duration,
}

impl ServerRecord {
    /// Tells whether this life began after another one.
    pub fn is_younger(&self, born: ids::BirthTime) -> bool {
        self.born > born
    }
}
