//! Messages between the processes of a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::change::FleetUpdate;
use fleet::command::{CommandOutcome, FleetCommand};
use fleet::delta::SiteStamp;
use fleet::hint::{ServerHint, ServerIncarnation};
use fleet::history::SiteUpdate;
use fleet::ids;
use fleet::limit::LimitNotice;
use fleet::parts::PartMark;
use fleet::suspect::RunNotice;
use quorum::ids::ReplicaId;
use quorum::message::Message;
use quota::message::{QuotaNotices, QuotaReport, QuotaSums};
use serde::{Deserialize, Serialize};

use crate::feed::FeedMark;

/// Encoded fields at the end of a follow request that entry hosts of earlier versions don't send: no
/// position in parts.
const LATER_FIELDS: [u8; 1] = [0];

/// A call to another process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum MeshRequest {
    /// A consensus message; the sender ignores the answer.
    Quorum(Box<Message>),
    /// Observations of the sending replica since its previous report; the sender ignores the
    /// answer.
    #[serde(rename = "Heard")]
    Gossip(Box<GossipReport>),
    /// Proposes a command for the log; sent to the leader.
    Propose(Box<FleetCommand>),
    /// Reads the configuration in force; sent to the leader.
    ReadSite,
    /// Asks for the changes after the revision of an entry host's copy (long poll).
    Follow(Box<FollowRequest>),
}

impl MeshRequest {
    /// Decodes a call, also that of an entry host of an earlier version.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no call.
    pub fn decode(payload: &[u8]) -> postcard::Result<Self> {
        match postcard::from_bytes(payload) {
            Err(postcard::Error::DeserializeUnexpectedEnd) => {
                match postcard::from_bytes(&[payload, &LATER_FIELDS].concat())? {
                    Self::Follow(request) => Ok(Self::Follow(request)),
                    _ => Err(postcard::Error::DeserializeUnexpectedEnd),
                }
            }
            decoded => decoded,
        }
    }
}

/// Answer to a [`MeshRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum MeshReply {
    /// The message was received.
    #[serde(rename = "Taken")]
    Received,
    /// Outcome of a proposal.
    Proposed(ProposeOutcome),
    /// Result of reading the configuration in force.
    Site(ReadOutcome),
    /// Update for an entry host.
    Followed(Box<FollowReply>),
}

/// Outcome of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposeOutcome {
    /// The command was committed and applied.
    Done(CommandOutcome),
    /// The command isn't in the log, as this replica isn't the leader. Holds the leader, if known.
    NotLeader(Option<ReplicaId>),
    /// The command may or may not be committed, now or later.
    Unknown,
}

/// Result of a linearizable read of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadOutcome {
    /// The document in force, as the operator sent it; `None` before the first configuration.
    Current(Option<Vec<u8>>),
    /// This replica isn't the leader. Holds the leader, if known.
    NotLeader(Option<ReplicaId>),
    /// No quorum confirmed the read.
    Unknown,
}

/// Status that an entry host reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the entry host.
    pub name: String,
    /// Address for clients.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Whether the host accepts requests of clients.
    pub ready: bool,
}

/// Update of a copy of the list of entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostsUpdate {
    /// The copy is current.
    Current,
    /// The hosts that are gone, and those that are new or changed.
    Changes {
        /// Names of the hosts that are gone.
        gone: Vec<String>,
        /// Status of the hosts that are new or changed.
        changed: Vec<HostStatus>,
    },
    /// All hosts.
    Whole(Vec<HostStatus>),
}

/// Share of a service's requests that an entry host sends to other regions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SpillShare {
    /// Service.
    pub service: ids::ServiceName,
    /// Share, between 0 and 1.
    pub share: f32,
}

/// Sum of the shares that several entry hosts of a region set for a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SpillShareSum {
    /// Region of the entry hosts.
    pub region: ids::RegionName,
    /// Service.
    pub service: ids::ServiceName,
    /// Sum of the shares.
    pub sum: f64,
    /// Number of entry hosts whose shares were added.
    pub hosts: u32,
}

/// Load that a backend server reported in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReading {
    /// Index of the backend server in the list of all, ordered by id, at the revision of the
    /// message.
    #[serde(rename = "place")]
    pub server_index: u32,
    /// In-flight requests, running or queued.
    pub requests: u32,
}

/// Sum of the readings of one backend server that several entry hosts took.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Index of the backend server in the list of all, ordered by id, at the revision of the
    /// message.
    #[serde(rename = "place")]
    pub server_index: u32,
    /// Sum of the in-flight requests.
    pub sum: u32,
    /// Number of readings.
    pub count: u32,
}

/// Mean loads of all backend servers in the order of their ids, with one byte for each server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadVector {
    /// Revision of the state whose backend servers are listed.
    pub revision: ids::Revision,
    /// Mean in-flight requests, in eighths; [`LoadVector::UNKNOWN`] where no mean is known.
    eighths: Vec<u8>,
}

impl LoadVector {
    /// Value for a backend server without a known mean.
    const UNKNOWN: u8 = u8::MAX;
    /// Resolution: steps per request.
    const STEPS_PER_REQUEST: f64 = 8.0;

    /// Encodes the mean in-flight requests of each backend server, in the order of their ids. Means
    /// are rounded to eighths and limited to 31.75.
    pub fn new(revision: ids::Revision, means: impl Iterator<Item = Option<f64>>) -> Self {
        let most = f64::from(Self::UNKNOWN - 1);
        let encode = |requests: f64| {
            (requests * Self::STEPS_PER_REQUEST)
                .round()
                .clamp(0.0, most) as u8
        };
        let eighths = means.map(|mean| mean.map_or(Self::UNKNOWN, encode));
        Self {
            revision,
            eighths: eighths.collect(),
        }
    }

    /// Returns whether the vector lists no backend server: it then tells no loads.
    pub fn is_empty(&self) -> bool {
        self.eighths.is_empty()
    }

    /// Returns the mean in-flight requests of each backend server, in the order of their ids.
    pub fn means(&self) -> impl Iterator<Item = Option<f64>> + '_ {
        let eighths = self.eighths.iter();
        eighths.map(|eighths| {
            let known = (*eighths != Self::UNKNOWN).then_some(*eighths);
            known.map(|eighths| f64::from(eighths) / Self::STEPS_PER_REQUEST)
        })
    }
}

/// Identifies an entry host in reports.
pub type ReporterHash = u64;

/// Report of an entry host that got no answer from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnansweredReport {
    /// Index of the backend server in the list of all, ordered by id, at the revision of the
    /// message.
    pub server_index: u32,
    /// Identifies the entry host.
    pub reporter: ReporterHash,
}

/// A long poll of an entry host for the changes after its copy.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Status of the calling entry host.
    pub host: HostStatus,
    /// Region of the entry host.
    pub region: ids::RegionName,
    /// Shares of the entry host's requests that it sends to other regions.
    pub shares: Vec<SpillShare>,
    /// Revision of the entry host's copy; `None` where it has none.
    pub revision: Option<ids::Revision>,
    /// Configuration of the entry host; `None` where it has none.
    pub site: Option<SiteStamp>,
    /// Loads that backend servers reported to the entry host since its last call; the indexes are
    /// those at `revision`.
    pub loads: Vec<LoadReading>,
    /// Backend servers that told the entry host since its last call that they are leaving.
    pub leaving: Vec<ServerIncarnation>,
    /// Indexes of the backend servers, at `revision`, that left an attempt since the entry host's last
    /// call without an answer in time, and have answered none since.
    pub unanswered: Vec<u32>,
    /// Limits that backend servers named to the entry host, or ceased to name, since its last call.
    pub limits: Vec<LimitNotice>,
    /// Position of the caller in the changes of limits.
    pub limits_mark: FeedMark,
    /// What runs of suspect requests showed since the entry host's last call.
    pub runs: Vec<RunNotice>,
    /// Digest of the caller's list of watched requests.
    pub watched_digest: u64,
    /// Requests of organisations with a quota; `None` where the deployment has no quotas.
    pub quotas: Option<QuotaReport>,
    /// Digest of the caller's list of entry hosts.
    pub hosts_digest: u64,
    /// Digest of the caller's list of cold backend servers.
    pub cold_digest: u64,
    /// Digest of the caller's list of hints.
    pub hints_digest: u64,
    /// Time for which the replica may hold the call while it has nothing new.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
    /// Position of the caller in the parts of a configuration; `None` where it takes no parts. While it
    /// collects, `revision` is `None`, and `site` the configuration once all its parts are there.
    pub part: Option<PartMark>,
}

/// Answer to a [`FollowRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowReply {
    /// Changes of routes, backend servers and evacuated zones.
    pub update: FleetUpdate,
    /// Update of the caller's configuration, which `update` then doesn't hold.
    pub site: SiteUpdate,
    /// Time since the replica last confirmed that it has applied every committed entry; `None`
    /// where it hasn't since its start.
    pub confirmed_ago: Option<Duration>,
    /// Cold backend servers, each with the time for which it remains cold; `None` where the caller's
    /// list is the same.
    pub cold: Option<Vec<(ids::ServerId, Duration)>>,
    /// Digest of the replica's list of cold backend servers.
    pub cold_digest: u64,
    /// Hints about backend servers; `None` where the caller's list is the same.
    pub hints: Option<Vec<ServerHint>>,
    /// Digest of the replica's list of hints.
    pub hints_digest: u64,
    /// Limits of backend servers that changed after the caller's position.
    pub limits: Vec<LimitNotice>,
    /// Position of the caller after these changes.
    pub limits_mark: FeedMark,
    /// Suspect requests of which the caller is to report answers; `None` where the caller's list is the
    /// same.
    pub watched: Option<Vec<ids::RequestDigest>>,
    /// Digest of the replica's list of watched requests.
    pub watched_digest: u64,
    /// Organisations that ask for more than their quota; `None` where the replica doesn't know, or the
    /// deployment has no quotas.
    pub quotas: Option<QuotaNotices>,
    /// Update of the caller's list of the entry hosts that are alive.
    pub hosts: HostsUpdate,
    /// Digest of the list of entry hosts that are alive.
    pub hosts_digest: u64,
    /// Shares of requests that leave the caller's region, as the mean over its entry hosts.
    pub shares: Vec<SpillShare>,
    /// Mean loads of the backend servers, at the revision after the update; empty where the caller got
    /// loads of late.
    pub loads: LoadVector,
    /// Voters, which the caller may call.
    pub replicas: Vec<ReplicaId>,
}

impl FollowReply {
    /// Creates the answer to an entry host that collects a configuration. It holds no more than the host
    /// needs for that, as every part would repeat the rest.
    pub(crate) fn collecting(request: &FollowRequest, site: SiteUpdate) -> Self {
        Self {
            update: FleetUpdate::Current,
            site,
            confirmed_ago: None,
            cold: None,
            cold_digest: request.cold_digest,
            hints: None,
            hints_digest: request.hints_digest,
            limits: Vec::new(),
            limits_mark: request.limits_mark,
            watched: None,
            watched_digest: request.watched_digest,
            quotas: None,
            hosts: HostsUpdate::Current,
            hosts_digest: request.hosts_digest,
            shares: Vec::new(),
            loads: LoadVector::default(),
            replicas: Vec::new(),
        }
    }
}

/// Last announcement of a backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerLiveness {
    /// Id of the server.
    pub id: ids::ServerId,
    /// Start time, which identifies the incarnation.
    pub born: ids::StartTime,
    /// Time since the announcement.
    pub ago: Duration,
    /// Time for which the server remains cold.
    pub cold: Duration,
}

/// Last call of an entry host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostLiveness {
    /// Status that the host reported.
    pub status: HostStatus,
    /// Time since the call.
    pub ago: Duration,
}

/// Observations of one replica since its previous report, for the other replicas.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct GossipReport {
    /// Backend servers that announced themselves.
    pub servers: Vec<ServerLiveness>,
    /// Entry hosts that called.
    pub hosts: Vec<HostLiveness>,
    /// Hints that follow from reports of entry hosts to this replica.
    pub hints: Vec<ServerHint>,
    /// Sums of the shares that entry hosts reported.
    pub shares: Vec<SpillShareSum>,
    /// Revision at which the indexes in `loads` are valid.
    pub revision: ids::Revision,
    /// Sums of the loads that entry hosts reported.
    pub loads: Vec<LoadSum>,
    /// Reports of unanswered attempts; the indexes are those at `revision`.
    pub unanswered: Vec<UnansweredReport>,
    /// Limits that entry hosts reported to this replica.
    pub limits: Vec<LimitNotice>,
    /// What entry hosts reported to this replica of suspect requests.
    pub runs: Vec<RunNotice>,
    /// Requests of organisations with a quota that entry hosts reported to this replica.
    pub quotas: Option<QuotaSums>,
}
