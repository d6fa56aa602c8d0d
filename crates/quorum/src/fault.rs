//! Faults that tests inject to prove that their checks detect them.

/// A safety rule that the replica deliberately violates.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum InjectedFault {
    /// Answers a vote request before the vote is synced.
    VoteBeforeSync,
    /// Lets a replica that lost its disk vote and count toward a quorum before it is admitted
    /// again.
    BlankVotes,
    /// Commits an entry of an earlier term by counting replicas.
    CommitEarlierTerm,
    /// Answers a proposal before it is committed.
    AnswerBeforeCommit,
    /// Accepts a snapshot that is older than the applied state.
    OldSnapshot,
    /// Acknowledges entries before they are synced.
    AckBeforeSync,
    /// Confirms a read without a heartbeat round.
    ReadWithoutRound,
    /// Accepts proposals on a leader without a lease.
    ProposeWithoutLease,
    /// Drops the lease of the current leader when any replica asks for votes.
    LeaseEndedByAnyone,
    /// Lets a voter that was replaced vote and count toward a quorum, as the bootstrap entry admits
    /// it.
    ReplacedVotes,
}
