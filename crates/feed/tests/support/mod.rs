//! Sample state history of small tickets.

use feed::holder::StateChange;
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;

/// Returns the ticket of a revision, which sets a region whose cap is the revision.
pub(crate) fn ticket(revision: u64) -> ChangeTicket {
    let name = format!("region-{}", revision % 7);
    let text = format!(
        "number = {revision}\n[region.{name}]\nzones = [\"{name}-a\"]\ncap = {revision}.0\n"
    );
    ChangeTicket::try_from(RawTicket::from_toml(&text).unwrap()).unwrap()
}

/// Returns the states after each of the first `count` tickets.
pub(crate) fn history(count: u64) -> Vec<ForceState> {
    let mut state = ForceState::default();
    (1..=count)
        .map(|revision| {
            state.apply(&ticket(revision));
            state.clone()
        })
        .collect()
}

/// Returns the change that leads to a revision of a history.
pub(crate) fn change(states: &[ForceState], revision: u64) -> StateChange {
    StateChange {
        revision,
        digest: states[revision as usize - 1].digest,
        ticket: ticket(revision).to_json().into(),
    }
}
