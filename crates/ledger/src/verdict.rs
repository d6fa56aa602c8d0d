//! What the system says of a ticket.

use std::fmt;

use model::fault::InputFault;
use model::ids;
use serde::{Deserialize, Serialize};

/// What the system says of a ticket; the same from every replica and after every restart.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum TicketVerdict {
    /// It is in force from this revision on and never reverts.
    Accepted {
        /// Revision that the ticket made.
        revision: ids::Revision,
        /// Digest of its content.
        digest: String,
    },
    /// The number is held by other content; nothing of the ticket applies.
    Conflict {
        /// Digest of the content that holds the number.
        holder: String,
    },
    /// An object comes from a higher number already; nothing of the ticket applies.
    Superseded {
        /// First such object, as `kind/name`.
        object: String,
        /// Number that it comes from.
        by: ids::TicketNumber,
    },
    /// It doesn't fit what is in force; nothing of the ticket applies.
    Invalid {
        /// What doesn't fit.
        faults: Vec<InputFault>,
    },
    /// Its number is below those whose verdicts are kept; nothing of the ticket applies.
    TooOld {
        /// Lowest number that is still taken.
        lowest: ids::TicketNumber,
    },
}

impl TicketVerdict {
    /// Tells whether the ticket is in force.
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
