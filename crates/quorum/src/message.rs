//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::entry;
use crate::ids;

/// A message between two replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; in a pre-vote request, the term that the sender would campaign in.
    pub term: ids::Term,
    /// Incarnation of the sender.
    pub incarnation: ids::Incarnation,
    /// Whether the sender is a voter by its own log. Votes and acknowledgements of other senders
    /// don't count toward a quorum.
    pub member: bool,
    /// Content of the message.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Requests a vote, or with `pre` a pre-vote.
    VoteRequest {
        /// Whether this is a pre-vote, which asks for no commitment.
        pre: bool,
        /// Index of the sender's last log entry.
        last_index: ids::LogIndex,
        /// Term of that entry.
        last_term: ids::Term,
        /// Whether the current leader transferred its leadership to the sender, so that the
        /// leader's lease doesn't prevent the vote.
        handed_over: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; a message without entries is a heartbeat.
    Append {
        /// Index of the entry before the first of `entries`.
        prev_index: ids::LogIndex,
        /// Term of that entry.
        prev_term: ids::Term,
        /// Entries to append.
        entries: Vec<entry::LogEntry>,
        /// Commit index of the leader.
        commit: ids::LogIndex,
        /// Heartbeat round of the leader, echoed by the reply; confirms reads and renews the lease.
        round: u64,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// Whether the receiver's log contains the entry before the first of the request.
        matched: bool,
        /// If matched, index of the last entry that is synced and agrees with the leader's log;
        /// otherwise the index after which the leader resumes.
        index: ids::LogIndex,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// Sends a snapshot to a replica whose next entry is compacted.
    Snapshot {
        /// The snapshot to install.
        snapshot: entry::LogSnapshot,
        /// Heartbeat round of the leader.
        round: u64,
    },
    /// Transfers the leadership: the receiver starts an election at once.
    HandOver,
    /// Sent by a replica that is blank, or that isn't admitted and knows no leader.
    Greeting {
        /// Incarnation of the founder that the sender is bound to, if any.
        founder: Option<ids::Incarnation>,
        /// Nonce that an answer echoes to prove that it isn't older than this greeting.
        nonce: u64,
        /// Latest nonce that the sender got from the receiver; 0 if there is none.
        echo: u64,
    },
    /// Notifies a replica that the membership entries up to `index` are committed. A receiver whose
    /// log holds that entry settles its membership by its own log.
    Settled {
        /// Index of a committed entry.
        index: ids::LogIndex,
        /// Term of that entry.
        term: ids::Term,
    },
    /// Answers a greeting or a vote request of a replica that isn't a voter: names the voters, to which
    /// that replica sends its greetings and vote requests as well.
    Members {
        /// Ids of the voters.
        members: Vec<ids::ReplicaId>,
    },
    /// Hands the bootstrap entry to a replica that it names. A blank receiver starts its log with
    /// it.
    Bootstrap {
        /// The first entry of the log.
        entry: entry::LogEntry,
    },
}
