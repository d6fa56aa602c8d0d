//! Calls from the process's tasks to the core, and their outcomes.

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

/// An event or a request that the core handles.
#[derive(Debug)]
pub enum CoreCall {
    /// A message of the replicated log arrived from another replica.
    Receive {
        /// Replica that sent the message.
        from: quorum::ids::ReplicaId,
        /// The message.
        message: Message,
    },
    /// A heartbeat of the leader arrived.
    Heartbeat(v1::Beat),
    /// The disk synced a group of writes, or failed.
    Disk(DiskReport),
    /// An operator submits a ticket.
    Submit {
        /// The submitted ticket.
        ticket: ChangeTicket,
        /// Receives the outcome.
        reply: oneshot::Sender<SubmitOutcome>,
    },
    /// A reader requests the log index up to which it must have applied the log, for a
    /// linearizable read.
    Confirm {
        /// Receives the outcome.
        reply: oneshot::Sender<ConfirmOutcome>,
    },
    /// An entry host reports its state and demand and requests its cap shares.
    Lease {
        /// Report of the entry host.
        report: HostReport,
        /// Receives the granted shares, or `None` where this replica doesn't lead with a valid
        /// lease.
        reply: oneshot::Sender<Option<LeaseGrant>>,
    },
    /// An operator requests the verdict on a ticket.
    Ticket {
        /// Number of the ticket.
        number: ids::TicketNumber,
        /// Receives what is known about the number.
        reply: oneshot::Sender<TicketLookup>,
    },
    /// An operator requests the verdicts on the highest ticket numbers.
    Tickets {
        /// Most verdicts to return.
        limit: usize,
        /// Receives the tickets in descending order of their numbers.
        reply: oneshot::Sender<Vec<TicketSummary>>,
    },
    /// An operator requests the status of the replica.
    Status(oneshot::Sender<StatusReport>),
    /// An operator requests a dump of the whole state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The process is about to stop: transfer the leadership.
    TransferLeadership,
}

/// Outcome of a submission at this replica.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmitOutcome {
    /// The ticket is committed and has this verdict.
    Verdict(TicketVerdict),
    /// This replica isn't the leader; this submission didn't add the ticket to the log. Names the
    /// leader, if known.
    NotLeader(Option<quorum::ids::ReplicaId>),
    /// The ticket may or may not be committed. It can be submitted again, to any replica.
    Unknown,
}

/// Outcome of the confirmation of a read at this replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// A reader may answer once it has applied the log up to this index.
    Confirmed(quorum::ids::LogIndex),
    /// This replica isn't the leader. Names the leader, if known.
    NotLeader(Option<quorum::ids::ReplicaId>),
    /// The read isn't confirmed, for example because the leadership was lost meanwhile.
    Unknown,
}

/// Report of an entry host with its request for cap shares.
#[derive(Debug, Clone)]
pub struct HostReport {
    /// Name of the entry host.
    pub host: ids::HostName,
    /// Revision of the entry host's state.
    pub revision: ids::Revision,
    /// Digest of the entry host's state.
    pub digest: ids::Digest,
    /// Demand for each place, in requests per second.
    pub demand: PlaceRates,
    /// Whether the entry host can keep idempotency keys while no key has been granted anywhere yet.
    /// The leader then opens idempotency keys, so that entry hosts may grant them.
    pub open_keys: bool,
}

/// Cap shares granted to an entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseGrant {
    /// Revision of the state that the shares were computed from.
    pub revision: ids::Revision,
    /// Granted share of each place, in requests per second.
    pub shares: PlaceRates,
}

/// What a replica knows about a ticket number.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketLookup {
    /// A verdict is kept.
    Known(TicketSummary),
    /// No ticket has the number.
    Open,
    /// Verdicts on numbers this low aren't kept, so a ticket with the number is refused.
    TooOld {
        /// Lowest number for which tickets are evaluated.
        lowest: ids::TicketNumber,
    },
}

/// A ticket's number, digest and verdict.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TicketSummary {
    /// Number of the ticket.
    pub number: ids::TicketNumber,
    /// Digest of the ticket's content.
    pub digest: String,
    /// Verdict on the ticket.
    pub verdict: TicketVerdict,
}

/// Status of a replica.
#[derive(Debug, Clone, Serialize)]
pub struct StatusReport {
    /// Number of the replica.
    pub id: quorum::ids::ReplicaId,
    /// Role in the quorum, as text: `leader`, `follower` and so on.
    pub role: &'static str,
    /// Latest term seen.
    pub term: quorum::ids::Term,
    /// Leader of the term, if known.
    pub leader: Option<quorum::ids::ReplicaId>,
    /// Whether the replica leads with a valid lease and has applied all tickets that earlier
    /// leaders accepted.
    pub lease: bool,
    /// Index of the last committed entry.
    pub commit: quorum::ids::LogIndex,
    /// Index of the last applied entry.
    pub applied: quorum::ids::LogIndex,
    /// Revision of this replica's state.
    pub revision: ids::Revision,
    /// Digest of this replica's state.
    pub digest: ids::Digest,
    /// Latest reports of the entry hosts to this replica. A report older than a minute is removed
    /// once another one arrives.
    pub hosts: BTreeMap<ids::HostName, HostStatus>,
}

/// Status of an entry host, from its last report.
#[derive(Debug, Clone, Serialize)]
pub struct HostStatus {
    /// Revision of the entry host's state.
    pub revision: ids::Revision,
    /// Digest of the entry host's state.
    pub digest: ids::Digest,
    /// Time since the report, in milliseconds.
    pub age_ms: u64,
}

/// Sending end of the core's bounded call queue.
#[derive(Debug, Clone)]
pub struct CoreHandle {
    calls: mpsc::Sender<CoreCall>,
}

impl CoreHandle {
    /// Most calls that wait for the core.
    pub const MAX_QUEUED_CALLS: usize = 4_096;

    /// Creates a queue and returns its sending and receiving ends.
    pub fn new() -> (Self, mpsc::Receiver<CoreCall>) {
        let (calls, queue) = mpsc::channel(Self::MAX_QUEUED_CALLS);
        (Self { calls }, queue)
    }

    /// Queues a call, or drops it where the queue is full; returns whether it was queued.
    ///
    /// Suits messages that may be lost, as on the network.
    pub fn offer(&self, call: CoreCall) -> bool {
        self.calls.try_send(call).is_ok()
    }

    /// Queues a call from a thread outside the async runtime, and blocks while the queue is full.
    pub fn send_blocking(&self, call: CoreCall) {
        let _ = self.calls.blocking_send(call);
    }

    /// Queues a call, and waits while the queue is full.
    pub async fn send(&self, call: CoreCall) {
        let _ = self.calls.send(call).await;
    }

    /// Queues a call and waits for its answer; `None` where the core dropped the call or has
    /// stopped.
    pub async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> CoreCall) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).await.ok()?;
        answer.await.ok()
    }
}
