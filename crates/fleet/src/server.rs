//! Records that backend servers announce.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::hint::ServerIncarnation;
use crate::ids;

/// Whether a backend server accepts new requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::EnumString, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server finishes its in-flight requests and accepts no new ones.
    Draining,
}

/// One incarnation of a backend server, as the server announced it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Id of the server, the same for all its incarnations.
    pub id: ids::ServerId,
    /// Start time, which identifies the incarnation.
    pub born: ids::StartTime,
    /// Service that the server belongs to.
    pub service: ids::ServiceName,
    /// Address at which the server listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Version of the server's software.
    pub version: String,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Time for which the server remains cold, counted from the announcement; see
    /// [`ServiceSpec::cold_rate`](crate::site::ServiceSpec::cold_rate).
    pub cold: Duration,
}

impl ServerRecord {
    /// Returns the id and the start time.
    pub fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// Returns whether this incarnation started after another one with the given start time.
    pub fn started_after(&self, other: ids::StartTime) -> bool {
        self.born > other
    }
}
