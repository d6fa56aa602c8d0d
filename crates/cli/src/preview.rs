//! The verdict that a ticket would get.

use ledger::verdict::TicketVerdict;
use model::state::ForceState;
use model::ticket::ChangeTicket;

/// Returns the verdict that a ticket would get against the given state.
///
/// The ticket's number must not have a verdict yet.
pub fn preview(state: &ForceState, ticket: &ChangeTicket) -> TicketVerdict {
    if let Some((key, by)) = state.superseding(ticket) {
        let object = key.to_string();
        return TicketVerdict::Superseded { object, by };
    }
    let faults = state.faults_after(ticket);
    if !faults.is_empty() {
        return TicketVerdict::Invalid { faults };
    }
    TicketVerdict::Accepted {
        revision: state.revision + 1,
        digest: ticket.digest(),
    }
}
