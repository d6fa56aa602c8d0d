//! Records that backend servers announce.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use quick_error::quick_error;
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

/// A call in which a backend server announces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    /// The announced record.
    pub record: ServerRecord,
    /// Number of the call. Entries in the logs of earlier versions end before this field.
    pub sequence: ids::CallSequence,
    /// Servers that hold the address or the id of the record and have stopped announcing themselves, as far as
    /// the replica that got the call knows. `None` stands for all, as in the logs of earlier versions.
    pub silent: Option<Vec<ServerIncarnation>>,
}

impl ServerAnnouncement {
    /// Returns whether another server may be replaced, as it has stopped announcing itself.
    pub(crate) fn is_silent(&self, holder: &ServerRecord) -> bool {
        let silent = self.silent.as_ref();
        silent.is_none_or(|silent| silent.contains(&holder.incarnation()))
    }

    /// Returns whether the number of the call orders it among those of its incarnation. Servers without a
    /// start time begin anew with each incarnation, which nothing tells from the former one.
    pub(crate) fn has_order(&self) -> bool {
        self.record.born > 0
    }

    /// Returns whether the call was sent before another one of its incarnation and is out of date. That a
    /// server drains is never out of date.
    pub(crate) fn is_before(&self, sequence: ids::CallSequence) -> bool {
        let is_ready = self.record.state == ServerState::Ready;
        self.has_order() && is_ready && self.sequence < sequence
    }
}

impl From<ServerRecord> for ServerAnnouncement {
    fn from(record: ServerRecord) -> Self {
        Self {
            record,
            sequence: 0,
            silent: None,
        }
    }
}

quick_error! {
    /// Reason why a record names no backend server.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RecordError {
        /// A text is longer than [`ServerRecord::MAX_TEXT_BYTES`].
        LongText(field: &'static str, bytes: usize) {
            display("{field}: {bytes} bytes are more than {}", ServerRecord::MAX_TEXT_BYTES)
        }
        /// No server can be reached at the address.
        Address(address: SocketAddr) {
            display("address: {address} is no address of a server")
        }
        /// The number of slots is 0 or over [`ServerRecord::MAX_SLOTS`].
        Slots(slots: u32) {
            display("slots: {slots} is not from 1 to {}", ServerRecord::MAX_SLOTS)
        }
    }
}

/// Checks the length of an id or a name; `field` names it in the error.
///
/// # Errors
///
/// Fails if the text is too long.
pub fn check_text(field: &'static str, text: &str) -> Result<(), RecordError> {
    if text.len() > ServerRecord::MAX_TEXT_BYTES {
        return Err(RecordError::LongText(field, text.len()));
    }
    Ok(())
}

impl ServerRecord {
    /// Maximum length of the id and of each name, in bytes.
    pub const MAX_TEXT_BYTES: usize = 256;

    /// Maximum number of slots.
    pub const MAX_SLOTS: u32 = 65_535;

    /// Checks that the record can be that of a backend server.
    ///
    /// # Errors
    ///
    /// Fails if a text is too long, or if the address or the number of slots is out of range.
    pub fn check(&self) -> Result<(), RecordError> {
        let texts = [
            ("id", &self.id),
            ("service", &self.service),
            ("zone", &self.zone),
            ("version", &self.version),
        ];
        for (field, text) in texts {
            check_text(field, text)?;
        }
        let ip = self.address.ip();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
            return Err(RecordError::Address(self.address));
        }
        if !(1..=Self::MAX_SLOTS).contains(&self.slots) {
            return Err(RecordError::Slots(self.slots));
        }
        Ok(())
    }

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
