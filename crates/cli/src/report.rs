//! Results of commands.

use std::net::SocketAddr;

use ledger::verdict::TicketVerdict;
use model::ids;
use model::spec;
use serde::Serialize;

use crate::check::FileCheck;
use crate::exit::ExitStatus;
use crate::explain::RequestExplanation;

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "report", rename_all = "kebab-case")]
pub enum CommandReport {
    /// Validation of ticket files.
    Check {
        /// One result for each file.
        files: Vec<FileCheck>,
    },
    /// Submission of a ticket.
    Submit(SubmitReport),
    /// Preview of the verdict on a ticket that isn't submitted.
    Preview {
        /// Number of the ticket.
        number: ids::TicketNumber,
        /// Verdict that the ticket would get now.
        verdict: TicketVerdict,
    },
    /// Objects in force.
    Objects {
        /// Revision in force.
        revision: ids::Revision,
        /// Digest of the state in force, in hexadecimal.
        digest: String,
        /// Objects that match the filter.
        objects: Vec<ObjectRow>,
    },
    /// Tickets and their verdicts.
    Tickets {
        /// Tickets in descending order of their numbers.
        tickets: Vec<TicketRow>,
    },
    /// Status of the control replicas and entry hosts.
    Status(StatusReport),
    /// What became of a request.
    Explanation(RequestExplanation),
    /// Whole state of one process.
    Dump {
        /// State as returned by the process.
        state: serde_json::Value,
    },
}

impl CommandReport {
    /// Returns the exit code for this result.
    pub fn exit_status(&self) -> ExitStatus {
        let succeeded = match self {
            Self::Check { files } => files.iter().all(|file| file.faults.is_empty()),
            Self::Submit(report) => {
                if report.wait.as_ref().is_some_and(|wait| !wait.done) {
                    return ExitStatus::Unknown;
                }
                report.verdict.is_accepted()
            }
            Self::Preview { verdict, .. } => verdict.is_accepted(),
            Self::Objects { objects, .. } => !objects.is_empty(),
            Self::Tickets { .. } | Self::Explanation(_) | Self::Dump { .. } => true,
            Self::Status(report) => {
                if !report.is_confirmed() {
                    return ExitStatus::Unknown;
                }
                true
            }
        };
        if succeeded {
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
    /// Verdict on the ticket.
    pub verdict: TicketVerdict,
    /// Address of the replica that returned the verdict.
    pub replica: SocketAddr,
    /// Number of times that the ticket was sent.
    pub sends: u32,
    /// Result of `--wait`, if it was given and the ticket was accepted.
    pub wait: Option<WaitReport>,
}

/// Result of the wait until a ticket is in force on every entry host.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WaitReport {
    /// Whether the ticket is in force on every entry host.
    pub done: bool,
    /// Time waited since the verdict, in milliseconds.
    pub ms: u64,
    /// Entry hosts on which the ticket isn't known to be in force.
    pub behind: Vec<ids::HostName>,
}

/// An object in force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ObjectRow {
    /// Kind of the object.
    pub kind: spec::ObjectKind,
    /// Name within the kind.
    pub name: String,
    /// Number of the ticket that set the object.
    pub ticket: ids::TicketNumber,
    /// Specification of the object.
    pub state: serde_json::Value,
}

/// A ticket and its verdict.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TicketRow {
    /// Number of the ticket.
    pub number: ids::TicketNumber,
    /// Digest of the ticket's content, in hexadecimal.
    pub digest: String,
    /// Verdict on the ticket.
    pub verdict: TicketVerdict,
}

/// Status of the control replicas and entry hosts.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StatusReport {
    /// Revision in force, if a quorum confirmed it.
    pub revision: Option<ids::Revision>,
    /// Control replicas in the order of `--controls`.
    pub replicas: Vec<ReplicaRow>,
    /// Entry hosts in force, in order of their names.
    pub hosts: Vec<HostRow>,
}

impl StatusReport {
    /// Returns whether a quorum confirmed the revision in force.
    pub fn is_confirmed(&self) -> bool {
        self.revision.is_some()
    }
}

/// Status of one control replica.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ReplicaRow {
    /// Operator address of the replica.
    pub address: String,
    /// Role of the replica, or `no answer`.
    pub role: String,
    /// Current term of the replica.
    pub term: Option<u64>,
    /// Revision that the replica has applied.
    pub revision: Option<ids::Revision>,
    /// Number of revisions by which it lags behind the revision in force.
    pub lag: Option<u64>,
}

/// Status of one entry host.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct HostRow {
    /// Name of the host.
    pub name: ids::HostName,
    /// Availability zone of the host.
    pub zone: ids::ZoneName,
    /// Address that callers connect to.
    pub address: String,
    /// Condition that the host reports, or `no answer`.
    pub condition: String,
    /// Revision in force on the host.
    pub revision: Option<ids::Revision>,
    /// Number of revisions by which it lags behind the revision in force.
    pub lag: Option<u64>,
}
