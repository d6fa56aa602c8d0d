//! The replicated state machine that gives verdicts on tickets and applies accepted ones.

use std::collections::BTreeMap;

use model::ids;
use model::state::ForceState;
use model::ticket::ChangeTicket;
use serde::{Deserialize, Serialize};

use crate::verdict::TicketVerdict;

/// A verdict, with the digest of the ticket content that it was given for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VerdictRecord {
    /// Digest of the ticket's content.
    pub digest: String,
    /// Verdict on the ticket.
    pub verdict: TicketVerdict,
}

/// Gives each ticket a verdict and applies accepted tickets to the state.
///
/// A number belongs to the first content that reached the log under it, even if that ticket was
/// refused; its verdict never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TicketLedger {
    state: ForceState,
    verdicts: BTreeMap<ids::TicketNumber, VerdictRecord>,
    /// Lowest number above all dropped verdicts.
    lowest: ids::TicketNumber,
    /// Maximum number of verdicts that are kept.
    window: usize,
    /// Whether entry hosts may grant idempotency keys; `false` in a stored ledger without the field.
    #[serde(default)]
    keys_opened: bool,
}

impl TicketLedger {
    /// Default number of verdicts that are kept.
    pub const DEFAULT_WINDOW: usize = 10_000;

    /// Maximum number of faults listed in a verdict, which bounds the memory that verdicts take for
    /// as long as they are kept.
    pub const MAX_FAULTS_PER_VERDICT: usize = 50;

    /// Creates a ledger without tickets that keeps the verdicts on the highest `window` numbers.
    pub fn new(window: usize) -> Self {
        Self {
            state: ForceState::default(),
            verdicts: BTreeMap::new(),
            lowest: 1,
            window: window.max(1),
            keys_opened: false,
        }
    }

    /// Returns the state after all accepted tickets.
    pub fn state(&self) -> &ForceState {
        &self.state
    }

    /// Returns the verdict record of a number, if it is kept.
    pub fn record(&self, number: ids::TicketNumber) -> Option<&VerdictRecord> {
        self.verdicts.get(&number)
    }

    /// Returns the kept verdict records in descending order of their numbers.
    pub fn records(&self) -> impl Iterator<Item = (ids::TicketNumber, &VerdictRecord)> {
        self.verdicts
            .iter()
            .rev()
            .map(|(number, record)| (*number, record))
    }

    /// Returns whether an entry host may have granted an idempotency key.
    ///
    /// Entry hosts grant keys only after this is set. An entry host that starts while it is not
    /// set therefore knows that it granted no keys before its restart.
    pub fn keys_opened(&self) -> bool {
        self.keys_opened
    }

    /// Permanently allows entry hosts to grant idempotency keys.
    pub fn open_keys(&mut self) {
        self.keys_opened = true;
    }

    /// Gives a ticket its verdict and applies the ticket if it is accepted.
    ///
    /// A ticket that is submitted again gets its first verdict again.
    pub fn submit(&mut self, ticket: &ChangeTicket) -> TicketVerdict {
        let digest = ticket.digest();
        if let Some(record) = self.verdicts.get(&ticket.number) {
            if record.digest == digest {
                return record.verdict.clone();
            }
            let holder = record.digest.clone();
            return TicketVerdict::Conflict { holder };
        }
        let lowest = self.lowest_open_number();
        if ticket.number < lowest {
            return TicketVerdict::TooOld { lowest };
        }
        let verdict = self.evaluate(ticket, &digest);
        if verdict.is_accepted() {
            self.state.apply(ticket);
        }
        let record = VerdictRecord {
            digest,
            verdict: verdict.clone(),
        };
        self.store_record(ticket.number, record);
        verdict
    }

    /// Returns the lowest number for which new tickets are evaluated.
    ///
    /// With a full window, this is the lowest kept number: the verdict on a lower number would be
    /// dropped immediately, and the ticket would get a different verdict when submitted again.
    pub fn lowest_open_number(&self) -> ids::TicketNumber {
        if self.verdicts.len() < self.window {
            return self.lowest;
        }
        let lowest_kept = self
            .verdicts
            .first_key_value()
            .map_or(0, |(number, _)| *number);
        self.lowest.max(lowest_kept)
    }

    /// Returns the verdict on a ticket with a new number against the current state.
    fn evaluate(&self, ticket: &ChangeTicket, digest: &str) -> TicketVerdict {
        if let Some((key, by)) = self.state.superseding(ticket) {
            let object = key.to_string();
            return TicketVerdict::Superseded { object, by };
        }
        let mut faults = self.state.faults_after(ticket);
        if !faults.is_empty() {
            faults.truncate(Self::MAX_FAULTS_PER_VERDICT);
            return TicketVerdict::Invalid { faults };
        }
        TicketVerdict::Accepted {
            revision: self.state.revision + 1,
            digest: digest.to_string(),
        }
    }

    /// Stores a record and drops the lowest numbers beyond the window.
    fn store_record(&mut self, number: ids::TicketNumber, record: VerdictRecord) {
        self.verdicts.insert(number, record);
        while self.verdicts.len() > self.window {
            let Some((dropped, _)) = self.verdicts.pop_first() else {
                return;
            };
            self.lowest = dropped + 1;
        }
    }
}
