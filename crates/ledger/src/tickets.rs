//! The verdicts kept and the state in force.

use std::collections::BTreeMap;

use model::ids;
use model::state::ForceState;
use model::ticket::ChangeTicket;
use serde::{Deserialize, Serialize};

use crate::verdict::TicketVerdict;

/// A verdict and the digest of the content that it was given for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VerdictRecord {
    /// Digest of the ticket's content.
    pub digest: String,
    /// What was said of it.
    pub verdict: TicketVerdict,
}

/// Gives each ticket its verdict and keeps the state in force.
///
/// A number belongs to the first content that reached the log under it, also when that was
/// refused: one number has one verdict for good.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TicketBook {
    state: ForceState,
    verdicts: BTreeMap<ids::TicketNumber, VerdictRecord>,
    lowest: ids::TicketNumber,
    window: usize,
    #[serde(default)]
    keys_opened: bool,
}

impl TicketBook {
    /// Verdicts kept by default.
    pub const WINDOW: usize = 10_000;

    /// Most faults that a verdict names; verdicts are kept for long.
    pub const MAX_FAULTS: usize = 50;

    /// Creates a book without tickets that keeps the verdicts on the highest `window` numbers.
    pub fn new(window: usize) -> Self {
        Self {
            state: ForceState::default(),
            verdicts: BTreeMap::new(),
            lowest: 1,
            window: window.max(1),
            keys_opened: false,
        }
    }

    /// Returns the state in force.
    pub fn state(&self) -> &ForceState {
        &self.state
    }

    /// Returns the record of a number, where it is kept.
    pub fn record(&self, number: ids::TicketNumber) -> Option<&VerdictRecord> {
        self.verdicts.get(&number)
    }

    /// Returns the records from the highest number down.
    pub fn records(&self) -> impl Iterator<Item = (ids::TicketNumber, &VerdictRecord)> {
        self.verdicts
            .iter()
            .rev()
            .map(|(number, record)| (*number, record))
    }

    /// Tells whether an idempotency key may have been granted.
    ///
    /// Entry hosts grant keys only once this is in force, so that one that starts before knows
    /// that it has forgotten none.
    pub fn keys_opened(&self) -> bool {
        self.keys_opened
    }

    /// Notes for good that idempotency keys may be granted from now on.
    pub fn open_keys(&mut self) {
        self.keys_opened = true;
    }

    /// Gives a ticket its verdict, and applies it where it is accepted.
    ///
    /// A ticket that comes again gets its first verdict.
    pub fn submit(&mut self, ticket: &ChangeTicket) -> TicketVerdict {
        let digest = ticket.digest();
        if let Some(record) = self.verdicts.get(&ticket.number) {
            if record.digest == digest {
                return record.verdict.clone();
            }
            let holder = record.digest.clone();
            return TicketVerdict::Conflict { holder };
        }
        let lowest = self.lowest_taken();
        if ticket.number < lowest {
            return TicketVerdict::TooOld { lowest };
        }
        let verdict = self.judge(ticket, &digest);
        if verdict.is_accepted() {
            self.state.apply(ticket);
        }
        let record = VerdictRecord {
            digest,
            verdict: verdict.clone(),
        };
        self.keep(ticket.number, record);
        verdict
    }

    /// Returns the lowest number that is still taken.
    ///
    /// Where the window is full, that is above the lowest number kept: a lower one would be dropped
    /// as soon as it is kept, and its resending would get another verdict.
    fn lowest_taken(&self) -> ids::TicketNumber {
        if self.verdicts.len() < self.window {
            return self.lowest;
        }
        let kept = self.verdicts.first_key_value().map_or(0, |(kept, _)| *kept);
        self.lowest.max(kept)
    }

    /// Judges a ticket with a new number against the state in force.
    fn judge(&self, ticket: &ChangeTicket, digest: &str) -> TicketVerdict {
        if let Some((key, by)) = self.state.superseding(ticket) {
            let object = key.to_string();
            return TicketVerdict::Superseded { object, by };
        }
        let mut faults = self.state.faults_after(ticket);
        if !faults.is_empty() {
            faults.truncate(Self::MAX_FAULTS);
            return TicketVerdict::Invalid { faults };
        }
        TicketVerdict::Accepted {
            revision: self.state.revision + 1,
            digest: digest.to_string(),
        }
    }

    /// Keeps a record, and drops the lowest where there are more than the window holds.
    fn keep(&mut self, number: ids::TicketNumber, record: VerdictRecord) {
        self.verdicts.insert(number, record);
        while self.verdicts.len() > self.window {
            let Some((dropped, _)) = self.verdicts.pop_first() else {
                return;
            };
            self.lowest = dropped + 1;
        }
    }
}
