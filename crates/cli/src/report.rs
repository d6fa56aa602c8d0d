//! What a command found.

use std::net::SocketAddr;

use ledger::verdict::TicketVerdict;
use model::ids;
use model::spec;
use serde::Serialize;

use crate::check::FileCheck;
use crate::exit::ExitStatus;

/// What a command found, as plain data.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "report", rename_all = "kebab-case")]
pub enum CommandReport {
    /// Ticket files were checked.
    Check {
        /// One entry a file.
        files: Vec<FileCheck>,
    },
    /// A ticket was submitted.
    Submit(SubmitReport),
    /// What would be said of a ticket.
    Preview {
        /// Number of the ticket.
        number: ids::TicketNumber,
        /// What would be said of it now.
        verdict: TicketVerdict,
    },
    /// Objects in force.
    Objects {
        /// Revision in force.
        revision: ids::Revision,
        /// Digest of the state.
        digest: String,
        /// The objects asked for.
        objects: Vec<ObjectRow>,
    },
    /// Tickets and their verdicts.
    Tickets {
        /// From the highest number down.
        tickets: Vec<TicketRow>,
    },
    /// Replicas and entry hosts.
    Status(StatusReport),
    /// Whole state of a process.
    Dump {
        /// As the process gave it.
        state: serde_json::Value,
    },
}

impl CommandReport {
    /// Returns the exit code.
    pub fn exit(&self) -> ExitStatus {
        let done = match self {
            Self::Check { files } => files.iter().all(|file| file.faults.is_empty()),
            Self::Submit(report) => {
                if report.wait.as_ref().is_some_and(|wait| !wait.done) {
                    return ExitStatus::Unknown;
                }
                report.verdict.is_accepted()
            }
            Self::Preview { verdict, .. } => verdict.is_accepted(),
            Self::Objects { objects, .. } => !objects.is_empty(),
            Self::Tickets { .. } | Self::Dump { .. } => true,
            Self::Status(report) => {
                if !report.is_whole() {
                    return ExitStatus::Unknown;
                }
                true
            }
        };
        if done {
            return ExitStatus::Done;
        }
        ExitStatus::Refused
    }
}

/// A submission and its verdict.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SubmitReport {
    /// Number of the ticket.
    pub number: ids::TicketNumber,
    /// The verdict.
    pub verdict: TicketVerdict,
    /// Replica that gave it.
    pub replica: SocketAddr,
    /// Times that the ticket was sent.
    pub sends: u32,
    /// Where `--wait` was given and the ticket is accepted.
    pub wait: Option<WaitReport>,
}

/// How a ticket came into force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WaitReport {
    /// It is in force on every entry host.
    pub done: bool,
    /// Time from the verdict, in milliseconds.
    pub ms: u64,
    /// Entry hosts where it isn't in force as far as known.
    pub behind: Vec<ids::HostName>,
}

/// An object in force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ObjectRow {
    /// Kind of the object.
    pub kind: spec::ObjectKind,
    /// Name within the kind.
    pub name: String,
    /// Ticket that it comes from.
    pub ticket: ids::TicketNumber,
    /// Its state.
    pub state: serde_json::Value,
}

/// A ticket and its verdict.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TicketRow {
    /// Number of the ticket.
    pub number: ids::TicketNumber,
    /// Digest of its content.
    pub digest: String,
    /// Its verdict.
    pub verdict: TicketVerdict,
}

/// Replicas and entry hosts.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StatusReport {
    /// Highest revision that a quorum confirmed, where one did.
    pub revision: Option<ids::Revision>,
    /// The replicas in the order of `--controls`.
    pub replicas: Vec<ReplicaRow>,
    /// The entry hosts in force, by name.
    pub hosts: Vec<HostRow>,
}

impl StatusReport {
    /// Tells whether a quorum confirmed what is in force.
    pub fn is_whole(&self) -> bool {
        self.revision.is_some()
    }
}

/// One control replica.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ReplicaRow {
    /// Its operator address.
    pub address: String,
    /// Its role, or `no answer`.
    pub role: String,
    /// Its term.
    pub term: Option<u64>,
    /// Revision that it has applied.
    pub revision: Option<ids::Revision>,
    /// Revisions that it is behind.
    pub lag: Option<u64>,
}

/// One entry host.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct HostRow {
    /// Its name.
    pub name: ids::HostName,
    /// Its availability zone.
    pub zone: ids::ZoneName,
    /// Address for callers.
    pub address: String,
    /// What it says of itself, or `no answer`.
    pub condition: String,
    /// Revision in force on it.
    pub revision: Option<ids::Revision>,
    /// Revisions that it is behind.
    pub lag: Option<u64>,
}
