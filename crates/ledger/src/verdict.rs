//! The verdict on a change ticket.

use std::fmt;

use model::fault::InputFault;
use model::ids;
use serde::{Deserialize, Serialize};

/// Verdict on a change ticket, the same on every replica and after every restart.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum TicketVerdict {
    /// The ticket is applied as this revision; an accepted ticket is never reverted.
    Accepted {
        /// Revision of the state after the ticket.
        revision: ids::Revision,
        /// Digest of the ticket's content.
        digest: String,
    },
    /// A ticket with other content has the same number; nothing of this ticket is applied.
    Conflict {
        /// Digest of the content that was first submitted under the number.
        holder: String,
    },
    /// A ticket with a higher number already set one of the objects; nothing of this ticket is
    /// applied.
    Superseded {
        /// First such object as `kind/name`.
        object: String,
        /// Number of the ticket that set the object.
        by: ids::TicketNumber,
    },
    /// The state after the ticket would be invalid; nothing of the ticket is applied.
    Invalid {
        /// Faults of the state after the ticket. The ledger keeps at most
        /// [`MAX_FAULTS_PER_VERDICT`](crate::tickets::TicketLedger::MAX_FAULTS_PER_VERDICT).
        faults: Vec<InputFault>,
    },
    /// The number is below those of the kept verdicts; nothing of the ticket is applied.
    TooOld {
        /// Lowest number for which new tickets are evaluated.
        lowest: ids::TicketNumber,
    },
}

impl TicketVerdict {
    /// Returns whether the ticket was accepted and applied.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}

impl fmt::Display for TicketVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { revision, .. } => write!(f, "accepted as revision {revision}"),
            Self::Conflict { holder } => {
                write!(
                    f,
                    "refused: other content holds the number, digest {holder}"
                )
            }
            Self::Superseded { object, by } => {
                write!(f, "refused: {object} comes from the higher ticket {by}")
            }
            Self::Invalid { faults } => {
                write!(f, "refused: it doesn't fit what is in force")?;
                faults.iter().try_for_each(|fault| write!(f, "; {fault}"))
            }
            Self::TooOld { lowest } => {
                write!(
                    f,
                    "refused: the number is below {lowest}, the lowest still taken"
                )
            }
        }
    }
}
