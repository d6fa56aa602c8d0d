//! What tasks ask of the core, and what the core asks of the process.

use fleet::command::FleetCommand;
use fleet::ids;
use fleet::server::ServerRecord;
use quorum::event::PersistWrite;
use quorum::ids::ReplicaId;
use quorum::message::Message;
use serde::Serialize;
use store::writer::DiskReport;
use tokio::sync::oneshot;

use crate::message::{
    FollowReply, FollowRequest, HeardReport, HostStatus, ProposeOutcome, SiteReading,
};

/// What tasks ask of the core.
#[derive(Debug)]
pub enum CoreCall {
    /// A message of the log came.
    Receive {
        /// Its sender.
        from: ReplicaId,
        /// The message.
        message: Box<Message>,
    },
    /// Another replica told what it heard.
    Heard {
        /// The replica.
        from: ReplicaId,
        /// What it heard.
        report: Box<HeardReport>,
    },
    /// The disk finished or failed.
    Disk(DiskReport),
    /// Bring a command into the log, where this replica leads.
    Propose {
        /// The command.
        command: Box<FleetCommand>,
        /// Where the outcome goes.
        reply: oneshot::Sender<ProposeOutcome>,
    },
    /// Read the configuration, where this replica leads.
    ReadSite(oneshot::Sender<SiteReading>),
    /// A backend server announced itself.
    Announce {
        /// What it says.
        record: Box<ServerRecord>,
        /// Where the step goes that it needs.
        reply: oneshot::Sender<AnnounceStep>,
    },
    /// An entry host asks for what is new.
    Follow {
        /// What it has.
        request: Box<FollowRequest>,
        /// Where the answer goes.
        reply: oneshot::Sender<FollowReply>,
    },
    /// Which entry hosts are alive.
    Hosts(oneshot::Sender<Vec<HostStatus>>),
    /// The state for a dump.
    Dump(oneshot::Sender<DirectorDump>),
    /// The settings name other seeds.
    Seeds(Vec<ReplicaId>),
    /// Hand the leadership over before a planned stop.
    HandOver,
}

/// What an announcement needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceStep {
    /// Nothing: it says nothing new.
    Known,
    /// A command in the log.
    Propose,
    /// Another replica: this one can't tell whether it is new.
    Unsure,
}

/// Something that the process must do for the core, in order.
#[derive(Debug)]
pub enum CoreAction {
    /// Make a write durable and report it.
    Write(PersistWrite),
    /// Send a message of the log; it may be lost.
    Send(ReplicaId, Box<Message>),
    /// Tell other replicas what was heard here.
    Report(Vec<ReplicaId>, HeardReport),
}

/// State of a replica, for operators.
#[derive(Debug, Serialize)]
pub struct DirectorDump {
    /// The replicated log.
    pub quorum: quorum::report::QuorumReport,
    /// Entry at which the state last changed.
    pub revision: ids::Revision,
    /// Number of the configuration in force.
    pub version: ids::SiteVersion,
    /// Backend servers.
    pub servers: usize,
    /// Entry hosts that are alive.
    pub hosts: Vec<String>,
    /// Zones that get no new work.
    pub evacuated: Vec<ids::ZoneName>,
    /// Milliseconds since this replica was last sure to have all that is committed.
    pub confirmed_ago_ms: Option<u128>,
}
