//! What a ticket says of each kind of object.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

use crate::ids;

/// Kinds of objects that tickets touch.
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
    /// A region with its availability zones.
    Region,
    /// The link between two regions.
    Link,
    /// An entry host.
    Host,
    /// A service with its places.
    Service,
    /// A block of client addresses.
    Block,
}

/// Priority class of a service's requests when room is short.
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
    /// Uploads and other work that can wait; shed first.
    Bulk,
    /// Idempotent look-ups; shed second.
    Read,
    /// Work that must not run twice; shed last.
    Write,
}

/// A region: its availability zones and what it bears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionSpec {
    /// Availability zones, in order.
    pub zones: Vec<ids::ZoneName>,
    /// Most requests a second that steering may send to the region.
    pub cap: f64,
}

/// The link between two regions, shared by all traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkSpec {
    /// Capacity in megabits a second, each way.
    pub mbits: f64,
}

/// An entry host of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSpec {
    /// Availability zone of the host.
    pub zone: ids::ZoneName,
    /// Address that callers and backend servers use.
    pub callers: SocketAddr,
    /// Address that other processes of the system use.
    pub peers: SocketAddr,
}

/// A service: where it runs and how much traffic each place may take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Priority class of its requests.
    pub class: ServiceClass,
    /// Most requests a second by which the traffic of a place may grow each second.
    pub shift: f64,
    /// Places that serve it, by availability zone.
    pub places: BTreeMap<ids::ZoneName, PlaceSpec>,
    /// Backend servers that are leaving.
    #[serde(default)]
    pub leaving: BTreeSet<SocketAddr>,
}

/// Requests a second that make one request in each window of 100 ms, in which caps hold; shares of
/// a cap come in whole multiples of it.
pub const SHARE_UNIT: f64 = 10.0;

/// A place: one service in one availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlaceSpec {
    /// Most requests a second that the place may take.
    pub cap: f64,
}

/// A block of client addresses and the availability zone that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockSpec {
    /// Availability zone whose entry hosts come first for the block.
    pub zone: ids::ZoneName,
}
