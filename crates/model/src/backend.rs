//! Backend servers as they announce themselves.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fault::InputFault;
use crate::ids;

/// An announcement as sent to `POST /v1/announcements`, unchecked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAnnouncement {
    /// Service that the backend server serves.
    pub service: String,
    /// IP number and port that take requests.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Number that grows with each start of the backend server.
    pub incarnation: u64,
    /// Time to live, in milliseconds.
    pub ttl_ms: u64,
}

/// A checked announcement of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendAnnouncement {
    /// Service that the backend server serves.
    pub service: ids::ServiceName,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Number that grows with each start of the backend server.
    pub incarnation: u64,
    /// Time until the announcement lapses.
    pub ttl: Duration,
}

impl BackendAnnouncement {
    /// Most slots of one backend server.
    pub const MAX_SLOTS: u32 = 10_000;
    /// Shortest time to live.
    pub const MIN_TTL: Duration = Duration::from_millis(500);
    /// Longest time to live.
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
