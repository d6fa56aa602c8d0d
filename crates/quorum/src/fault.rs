//! Known faults that tests plant to show that they would find them.

/// A protection that is left out.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PlantedFault {
    /// A vote is answered before it is synced.
    VoteBeforeSync,
    /// A replica that lost its disk votes and counts at once.
    BlankVotes,
    /// An entry of an earlier term is committed by counting replicas.
    CommitEarlierTerm,
    /// A proposal is answered before it is committed.
    AnswerBeforeCommit,
    /// A snapshot is accepted that is older than what is applied.
    OldSnapshot,
    /// Entries are acknowledged before they are synced.
    AckBeforeSync,
    /// A read is confirmed without asking the quorum.
    ReadWithoutRound,
    /// A leader takes proposals without a lease.
    ProposeWithoutLease,
    /// A replica takes its leader's lease to be over when any other asks for votes.
    LeaseEndedByAnyone,
}
