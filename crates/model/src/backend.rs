//! Announcements that backend servers send to register with the entry hosts.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fault::InputFault;
use crate::ids;

/// An announcement as sent to `POST /v1/announcements`, before validation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAnnouncement {
    /// Service that the backend server belongs to.
    pub service: String,
    /// IP address and port on which the backend server accepts requests.
    pub address: String,
    /// Availability zone of the backend server.
    pub zone: String,
    /// Number of requests that the backend server processes concurrently.
    pub slots: u32,
    /// Number of the backend server's incarnation, which increases with each start.
    pub incarnation: u64,
    /// Time until the announcement expires, in milliseconds.
    pub ttl_ms: u64,
}

/// A validated announcement of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendAnnouncement {
    /// Service that the backend server belongs to.
    pub service: ids::ServiceName,
    /// Address on which the backend server accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the backend server.
    pub zone: ids::ZoneName,
    /// Number of requests that the backend server processes concurrently.
    pub slots: u32,
    /// Number of the backend server's incarnation, which increases with each start.
    pub incarnation: u64,
    /// Time until the announcement expires.
    pub ttl: Duration,
}

impl BackendAnnouncement {
    /// Maximum number of slots of one backend server.
    pub const MAX_SLOTS: u32 = 10_000;
    /// Minimum time to live of an announcement.
    pub const MIN_TTL: Duration = Duration::from_millis(500);
    /// Maximum time to live of an announcement.
    pub const MAX_TTL: Duration = Duration::from_secs(60);
}

impl TryFrom<RawAnnouncement> for BackendAnnouncement {
    type Error = Vec<InputFault>;

    fn try_from(raw: RawAnnouncement) -> Result<Self, Self::Error> {
        let mut faults = Vec::new();
        for (field, name) in [("service", &raw.service), ("zone", &raw.zone)] {
            if !ids::is_name(name) {
                faults.push(InputFault::new(field, name, "a name of a-z, 0-9, - and ."));
            }
        }
        if !(1..=Self::MAX_SLOTS).contains(&raw.slots) {
            faults.push(InputFault::new("slots", raw.slots, "1 to 10000"));
        }
        let ttl = Duration::from_millis(raw.ttl_ms);
        if !(Self::MIN_TTL..=Self::MAX_TTL).contains(&ttl) {
            faults.push(InputFault::new("ttl_ms", raw.ttl_ms, "500 to 60000"));
        }
        let address = SocketAddr::from_str(&raw.address)
            .ok()
            .filter(|address| address.port() != 0 && !address.ip().is_unspecified());
        let Some(address) = address else {
            faults.push(InputFault::new(
                "address",
                raw.address,
                "IP number and port, such as 10.0.0.1:8080",
            ));
            return Err(faults);
        };
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            service: raw.service,
            address,
            zone: raw.zone,
            slots: raw.slots,
            incarnation: raw.incarnation,
            ttl,
        })
    }
}
