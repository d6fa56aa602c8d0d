//! Specifications of the objects that tickets set: regions, links, hosts, services and blocks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

use crate::ids;

/// Kind of an object that tickets set or remove.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A region and its availability zones.
    Region,
    /// The network link between two regions.
    Link,
    /// An entry host.
    Host,
    /// A service and its places.
    Service,
    /// A block of client addresses.
    Block,
}

/// Priority class of a service, which decides whose requests are shed first under overload.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ServiceClass {
    /// Uploads and other work that can be deferred; shed first.
    Bulk,
    /// Idempotent lookups; shed second.
    Read,
    /// Work that must not run twice; shed last.
    Write,
}

/// Specification of a region: its availability zones and its capacity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionSpec {
    /// Availability zones of the region, in the order of the ticket.
    pub zones: Vec<ids::ZoneName>,
    /// Maximum rate that steering may send to the region, in requests per second.
    pub cap: f64,
}

/// Specification of the link between two regions, which all traffic between them shares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkSpec {
    /// Capacity in each direction, in megabits per second.
    pub mbits: f64,
}

/// Specification of an entry host: its availability zone and its addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSpec {
    /// Availability zone of the host.
    pub zone: ids::ZoneName,
    /// Address that callers and backend servers connect to.
    pub callers: SocketAddr,
    /// Address that other processes of the system connect to.
    pub peers: SocketAddr,
}

/// Specification of a service: where it runs and how much traffic each place may receive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Priority class of the service's requests.
    pub class: ServiceClass,
    /// Maximum growth of the traffic to each place, in requests per second per second.
    pub shift: f64,
    /// Places that serve the service, by availability zone.
    pub places: BTreeMap<ids::ZoneName, PlaceSpec>,
    /// Addresses of backend servers that get no new requests because they are leaving.
    #[serde(default)]
    pub leaving: BTreeSet<SocketAddr>,
}

/// Granularity of the shares of a cap, in requests per second.
///
/// Caps are enforced in windows of 100 ms, in which this rate is one request, so each share is a
/// whole multiple of it.
pub const SHARE_UNIT: f64 = 10.0;

/// Specification of a place: one service in one availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceSpec {
    /// Maximum rate of the place, in requests per second.
    pub cap: f64,
}

/// Specification of a block of client addresses: the availability zone that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockSpec {
    /// Availability zone whose entry hosts are preferred for the block.
    pub zone: ids::ZoneName,
}
