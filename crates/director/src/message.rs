//! What processes ask of each other.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::change::FleetUpdate;
use fleet::command::{CommandOutcome, FleetCommand};
use fleet::ids;
use quorum::ids::ReplicaId;
use quorum::message::Message;
use serde::{Deserialize, Serialize};

/// A call of another process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum MeshRequest {
    /// A message of the replicated log; it has no answer.
    Quorum(Box<Message>),
    /// What a replica heard since it last told; it has no answer.
    Heard(Box<HeardReport>),
    /// Brings a command into the log; asked of the leader.
    Propose(Box<FleetCommand>),
    /// Asks the leader for the configuration in force.
    ReadSite,
    /// Asks for what an entry host doesn't know yet.
    Follow(Box<FollowRequest>),
}

/// The answer to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum MeshReply {
    /// The call was taken.
    Taken,
    /// How a command ended.
    Proposed(ProposeOutcome),
    /// The configuration in force as it was sent, where the replica is sure of it.
    Site(SiteReading),
    /// What the entry host didn't know.
    Followed(Box<FollowReply>),
}

/// How a proposal ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposeOutcome {
    /// It is in the log for good.
    Done(CommandOutcome),
    /// It isn't in the log; another replica leads.
    NotLeader(Option<ReplicaId>),
    /// It may come into the log yet.
    Unknown,
}

/// A confirmed reading of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SiteReading {
    /// The configuration as it was sent; none before the first.
    Current(Option<Vec<u8>>),
    /// This replica doesn't lead.
    NotLeader(Option<ReplicaId>),
    /// No quorum confirmed it.
    Unknown,
}

/// An entry host as it tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name.
    pub name: String,
    /// Where clients reach it.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Whether it takes clients.
    pub ready: bool,
}

/// Share of the requests for a service that leaves the region of who tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SpillShare {
    /// Service.
    pub service: ids::ServiceName,
    /// Share, from 0 to 1.
    pub share: f32,
}

/// Shares of several entry hosts of a region, added up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionShare {
    /// Region.
    pub region: ids::RegionName,
    /// Service.
    pub service: ids::ServiceName,
    /// Sum of the shares.
    pub sum: f64,
    /// Number of entry hosts.
    pub hosts: u32,
}

/// A call of an entry host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The caller.
    pub host: HostStatus,
    /// Region of its availability zone.
    pub region: ids::RegionName,
    /// Shares of its requests that leave the region.
    pub shares: Vec<SpillShare>,
    /// Revision that it has; `None` where it has nothing.
    pub revision: Option<ids::Revision>,
    /// Digest of the list of entry hosts that it has.
    pub hosts_digest: u64,
    /// Digest of the cold backend servers that it knows of.
    pub cold_digest: u64,
    /// How long the answer may wait for something new.
    pub patience: Duration,
}

/// What an entry host needs to know.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowReply {
    /// Routes, backend servers and zones.
    pub update: FleetUpdate,
    /// How long ago this replica was sure to have all that is committed; `None` where it wasn't
    /// since its start.
    pub confirmed_ago: Option<Duration>,
    /// Backend servers that are cold, and for how long yet.
    pub cold: Vec<(ids::ServerId, Duration)>,
    /// Digest of those.
    pub cold_digest: u64,
    /// Entry hosts that are alive, where the caller has another list.
    pub hosts: Option<Vec<HostStatus>>,
    /// Digest of that list.
    pub hosts_digest: u64,
    /// Mean shares of the requests that leave the caller's region, by all its hosts.
    pub shares: Vec<SpillShare>,
    /// Replicas that the caller may ask.
    pub replicas: Vec<ReplicaId>,
}

/// One backend server that was heard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeardServer {
    /// Its id.
    pub id: ids::ServerId,
    /// Its life.
    pub born: ids::BirthTime,
    /// How long ago it was heard.
    pub ago: Duration,
    /// How much longer it is cold.
    pub cold: Duration,
}

/// One entry host that was heard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeardHost {
    /// The host.
    pub status: HostStatus,
    /// How long ago it was heard.
    pub ago: Duration,
}

/// What a replica heard since it last told the others.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HeardReport {
    /// Backend servers.
    pub servers: Vec<HeardServer>,
    /// Entry hosts.
    pub hosts: Vec<HeardHost>,
    /// Shares of the entry hosts that called.
    pub shares: Vec<RegionShare>,
}
