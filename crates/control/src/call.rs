//! What tasks of the process ask of the core.

use std::collections::BTreeMap;

use ledger::verdict::TicketVerdict;
use model::ids;
use model::ticket::ChangeTicket;
use quorum::message::Message;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use wire::v1;

use crate::shares::PlaceRates;
use store::writer::DiskReport;

/// Something that happened to the replica, or is asked of it.
#[derive(Debug)]
pub enum CoreCall {
    /// A message of another replica arrived.
    Receive {
        /// Replica that sent it.
        from: quorum::ids::ReplicaId,
        /// The message.
        message: Message,
    },
    /// The leader's freshness stamp arrived.
    Beat(v1::Beat),
    /// The disk finished a group of writes.
    Disk(DiskReport),
    /// An operator submits a ticket.
    Submit {
        /// The ticket.
        ticket: ChangeTicket,
        /// Takes the outcome.
        reply: oneshot::Sender<SubmitOutcome>,
    },
    /// A reader asks how far it must have applied the log.
    Confirm {
        /// Takes the outcome.
        reply: oneshot::Sender<ConfirmOutcome>,
    },
    /// An entry host reports and asks for its cap shares.
    Lease {
        /// What it reports.
        report: HostReport,
        /// Takes the shares, where the replica leads.
        reply: oneshot::Sender<Option<LeaseGrant>>,
    },
    /// An operator asks for the verdict on a ticket.
    Ticket {
        /// Number of the ticket.
        number: ids::TicketNumber,
        /// Takes the answer.
        reply: oneshot::Sender<Option<TicketSummary>>,
    },
    /// An operator asks for the latest verdicts.
    Tickets {
        /// Most verdicts to give.
        limit: usize,
        /// Takes the answer, the highest number first.
        reply: oneshot::Sender<Vec<TicketSummary>>,
    },
    /// An operator asks how the replica is.
    Status(oneshot::Sender<StatusReport>),
    /// An operator asks for the whole state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The process is to stop.
    HandOver,
}

/// How a submission ended at this replica.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmitOutcome {
    /// The log gave the ticket its verdict.
    Known(TicketVerdict),
    /// Another replica leads; the ticket is not in the log by this submission.
    NotLeader(Option<quorum::ids::ReplicaId>),
    /// The ticket may yet be in the log.
    Unknown,
}

/// How a confirmation ended at this replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// A reader may answer once it has applied the log up to here.
    Confirmed(quorum::ids::LogIndex),
    /// Another replica leads.
    NotLeader(Option<quorum::ids::ReplicaId>),
    /// The leadership was lost on the way.
    Unknown,
}

/// What an entry host reports.
#[derive(Debug, Clone)]
pub struct HostReport {
    /// Name of the host.
    pub host: ids::HostName,
    /// Revision in force on it.
    pub revision: ids::Revision,
    /// Digest of what is in force on it.
    pub digest: ids::Digest,
    /// Requests a second that it wants to send to each place.
    pub demand: PlaceRates,
    /// It could keep idempotency keys, and none has been granted yet.
    pub open_keys: bool,
}

/// Shares of an entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseGrant {
    /// Revision that they were computed from.
    pub revision: ids::Revision,
    /// Requests a second by place.
    pub shares: PlaceRates,
}

/// A ticket's number, digest and verdict.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TicketSummary {
    /// Number of the ticket.
    pub number: ids::TicketNumber,
    /// Digest of its content.
    pub digest: String,
    /// What was said of it.
    pub verdict: TicketVerdict,
}

/// How the replica is.
#[derive(Debug, Clone, Serialize)]
pub struct StatusReport {
    /// Number of the replica.
    pub id: quorum::ids::ReplicaId,
    /// Part that it plays.
    pub role: &'static str,
    /// Latest term seen.
    pub term: quorum::ids::Term,
    /// Leader of the term, where known.
    pub leader: Option<quorum::ids::ReplicaId>,
    /// Whether it leads, a quorum answered it lately, and it has applied all that is accepted.
    pub lease: bool,
    /// Last committed entry.
    pub commit: quorum::ids::LogIndex,
    /// Last applied entry.
    pub applied: quorum::ids::LogIndex,
    /// Revision in force here.
    pub revision: ids::Revision,
    /// Digest of what is in force here.
    pub digest: ids::Digest,
    /// Entry hosts that reported to this replica lately.
    pub hosts: BTreeMap<ids::HostName, HostStatus>,
}

/// What an entry host reported last.
#[derive(Debug, Clone, Serialize)]
pub struct HostStatus {
    /// Revision in force on it.
    pub revision: ids::Revision,
    /// Digest of what is in force on it.
    pub digest: ids::Digest,
    /// Time since the report, in milliseconds.
    pub age_ms: u64,
}

/// Sends calls to the core.
#[derive(Debug, Clone)]
pub struct CoreHandle {
    calls: mpsc::Sender<CoreCall>,
}

impl CoreHandle {
    /// Most calls that wait.
    pub const MAX_QUEUE: usize = 4_096;

    /// Creates a handle and the queue that the core empties.
    pub fn new() -> (Self, mpsc::Receiver<CoreCall>) {
        let (calls, queue) = mpsc::channel(Self::MAX_QUEUE);
        (Self { calls }, queue)
    }

    /// Queues a call, or drops it where too many wait; only for what may be lost.
    pub fn offer(&self, call: CoreCall) -> bool {
        self.calls.try_send(call).is_ok()
    }

    /// Queues a call from a thread that may block.
    pub fn send_blocking(&self, call: CoreCall) {
        let _ = self.calls.blocking_send(call);
    }

    /// Queues a call.
    pub async fn send(&self, call: CoreCall) {
        let _ = self.calls.send(call).await;
    }

    /// Makes a call and waits for its answer; none where the process is stopping.
    pub async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> CoreCall) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).await.ok()?;
        answer.await.ok()
    }
}
