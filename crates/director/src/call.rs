//! Calls to the core, and the actions that it returns to its task.

use std::collections::BTreeMap;
use std::sync::Arc;

use fleet::command::FleetCommand;
use fleet::hint::{HintKind, ServerHint};
use fleet::ids;
use fleet::server::ServerAnnouncement;
use identity::key::KeySalt;
use quorum::event::PersistWrite;
use quorum::ids::ReplicaId;
use quorum::message::Message;
use quota::register::RegisterSummary;
use serde::Serialize;
use store::writer::DiskReport;
use tokio::sync::oneshot;

use crate::hosts::HostList;
use crate::message::{FollowReply, FollowRequest, GossipReport, ProposeOutcome, ReadOutcome};

/// A call to the core. Calls with a reply channel are answered through it.
#[derive(Debug)]
pub enum CoreCall {
    /// Handles a consensus message of another replica.
    Receive {
        /// Replica that sent the message.
        from: ReplicaId,
        /// The message.
        message: Box<Message>,
    },
    /// Merges the observations of another replica.
    Gossip {
        /// Replica that sent the report.
        from: ReplicaId,
        /// Observations of that replica.
        report: Box<GossipReport>,
    },
    /// Handles a finished sync or a failure of the disk.
    Disk(DiskReport),
    /// Proposes a command for the log, where this replica is the leader.
    Propose {
        /// The command.
        command: Box<FleetCommand>,
        /// Receives the outcome.
        reply: oneshot::Sender<ProposeOutcome>,
    },
    /// Reads the configuration in force, where this replica is the leader.
    ReadSite(oneshot::Sender<ReadOutcome>),
    /// Returns the salt of the keys' digests in the configuration in force; `None` where it has no keys.
    KeySalt(oneshot::Sender<Option<KeySalt>>),
    /// Reads the log index of the latest order for an availability zone, as far as this replica knows.
    LatestOrder {
        /// Availability zone.
        zone: ids::ZoneName,
        /// Receives the index; 0 if there was none.
        reply: oneshot::Sender<ids::Revision>,
    },
    /// Handles the announcement of a backend server.
    Announce {
        /// The announcement.
        announcement: Box<ServerAnnouncement>,
        /// Receives what to do with the announcement.
        reply: oneshot::Sender<AnnounceDecision>,
    },
    /// Answers an entry host as soon as its copy is out of date, or when the longest wait of the
    /// request is over (long poll).
    Follow {
        /// Revision and digests of the entry host's copy, and its reports.
        request: Box<FollowRequest>,
        /// Receives the answer.
        reply: oneshot::Sender<FollowReply>,
    },
    /// Returns the entry hosts that are alive.
    Hosts(oneshot::Sender<Arc<HostList>>),
    /// Returns the state for a dump.
    Dump(oneshot::Sender<DirectorDump>),
    /// Replaces the seeds.
    Seeds(Vec<ReplicaId>),
    /// Transfers the leadership to another voter, before a planned stop.
    TransferLeadership,
}

/// What the caller must do with an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnnounceDecision {
    /// Nothing: the announcement doesn't change the state.
    Unchanged,
    /// Propose it as a command for the log.
    Propose(Box<ServerAnnouncement>),
    /// Send it to another replica: the state of this one may be stale.
    Stale,
    /// Nothing for now: a server that still announces itself holds the address or the id, or the record
    /// can't be that of a server.
    Contested,
}

/// An action that the task of the core performs, in the order in which the core returns them.
#[derive(Debug)]
pub enum CoreAction {
    /// Write to the disk, sync and report the result to the core.
    Write(PersistWrite),
    /// Send a consensus message to a replica; it may be lost.
    Send(ReplicaId, Box<Message>),
    /// Send the observations of this replica to others; the report may be lost.
    Report(Vec<ReplicaId>, GossipReport),
}

/// Hint about a backend server, for operators.
#[derive(Debug, Serialize)]
pub struct HintSummary {
    /// Id of the server.
    pub server: ids::ServerId,
    /// What the hint says.
    pub kind: HintKind,
    /// Milliseconds for which the hint still holds.
    pub remaining_ms: u128,
}

impl From<&ServerHint> for HintSummary {
    fn from(hint: &ServerHint) -> Self {
        Self {
            server: hint.server.id.clone(),
            kind: hint.kind,
            remaining_ms: hint.remaining.as_millis(),
        }
    }
}

/// State of a control replica, for operators.
#[derive(Debug, Serialize)]
pub struct DirectorDump {
    /// State of the consensus.
    pub quorum: quorum::report::QuorumReport,
    /// Index of the log entry that last changed the state.
    pub revision: ids::Revision,
    /// Version of the configuration in force; 0 where there is none.
    pub version: ids::SiteVersion,
    /// Number of backend servers.
    pub servers: usize,
    /// Names of the entry hosts that are alive.
    pub hosts: Vec<String>,
    /// Evacuated availability zones.
    pub evacuated: Vec<ids::ZoneName>,
    /// Number of quarantined requests.
    pub quarantined: usize,
    /// Backend servers that are probably leaving or answer no entry host.
    pub hinted: Vec<HintSummary>,
    /// Limits in requests a second that backend servers named.
    pub limits: BTreeMap<ids::ServerId, f64>,
    /// Quotas of organisations; `None` where the deployment has none.
    pub quotas: Option<RegisterSummary>,
    /// Milliseconds since this replica last confirmed that it has applied every committed entry;
    /// `None` where it hasn't since its start.
    pub confirmed_ago_ms: Option<u128>,
}
