//! What replicas send to each other.

use serde::{Deserialize, Serialize};

use crate::entry;
use crate::ids;

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; for a pre-vote the term that it would stand in.
    pub term: ids::Term,
    /// Incarnation of the sender.
    pub incarnation: ids::Incarnation,
    /// Whether the sender knows that its incarnation is admitted; others count for nothing.
    pub member: bool,
    /// What it says.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks for a vote, or with `pre` whether one would be given.
    VoteRequest {
        /// Nothing is promised by the answer.
        pre: bool,
        /// Last entry of the sender.
        last_index: ids::LogIndex,
        /// Term of that entry.
        last_term: ids::Term,
        /// The leader asked the sender to stand, so the leader's lease is no obstacle.
        handed_over: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// As in the request.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Sends entries; without any it is a heartbeat.
    Append {
        /// Entry before the first of `entries`.
        prev_index: ids::LogIndex,
        /// Term of that entry.
        prev_term: ids::Term,
        /// Entries.
        entries: Vec<entry::LogEntry>,
        /// Last entry that the leader knows to be committed.
        commit: ids::LogIndex,
        /// Round of the leader, repeated by the reply; confirms reads and the lease.
        round: u64,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// Whether the entry before the first was there.
        matched: bool,
        /// Last entry that is synced and agrees; where not matched, where to go on from.
        index: ids::LogIndex,
        /// As in the request.
        round: u64,
    },
    /// Sends a snapshot in place of entries that are gone.
    Snapshot {
        /// The snapshot.
        snapshot: entry::LogSnapshot,
        /// Round of the leader.
        round: u64,
    },
    /// Asks the receiver to stand for election at once.
    HandOver,
    /// Sent by a replica that has nothing, or doesn't know whether it is admitted.
    Greeting {
        /// Incarnation of the founder that the sender waits for, where it has heard from it.
        founder: Option<ids::Incarnation>,
        /// Number that an answer repeats, to show that it is no older than this greeting.
        nonce: u64,
        /// Latest number that the receiver sent; 0 where there is none.
        echo: u64,
    },
    /// Tells a replica that its incarnation is admitted.
    Admitted {
        /// The incarnation.
        incarnation: ids::Incarnation,
    },
    /// Answers a greeting at a replica that doesn't lead: whom else to greet.
    Members {
        /// The voters.
        members: Vec<ids::ReplicaId>,
    },
}
