//! Applies the committed log: verdicts, what is in force, snapshots.

use std::time::Instant;

use bytes::Bytes;
use feed::holder::StateChange;
use model::raw::RawTicket;
use model::ticket::ChangeTicket;
use quorum::entry::{EntryPayload, LogEntry, LogSnapshot};
use quorum::event::{Effect, Event};

use super::ReplicaCore;

impl ReplicaCore {
    /// Command that opens idempotency keys; any other command is a ticket in JSON.
    pub(super) const OPEN_KEYS: &[u8] = b"open-keys";

    /// Verdicts kept by log index, until their submitter is answered.
    const MAX_VERDICTS: usize = 8_192;

    pub(super) fn apply(&mut self, entry: LogEntry) {
        self.applied_term = entry.term;
        match entry.payload {
            EntryPayload::Command(command) if command == Self::OPEN_KEYS => self.book.open_keys(),
            EntryPayload::Command(command) => self.apply_ticket(entry.index, command),
            EntryPayload::Empty
            | EntryPayload::Admit { .. }
            | EntryPayload::Replace { .. }
            | EntryPayload::Found { .. } => (),
        }
        self.applied.send_replace(entry.index);
    }

    pub(super) fn apply_ticket(&mut self, index: quorum::ids::LogIndex, command: Vec<u8>) {
        let Some(ticket) = read_ticket(&command) else {
            log::error!(target: "ledger", "entry {index} holds no ticket and is passed over");
            return;
        };
        let before = self.book.state().revision;
        let verdict = self.book.submit(&ticket);
        self.metrics.count_verdict(&verdict);
        let (revision, digest) = (self.book.state().revision, self.book.state().digest);
        if revision > before {
            let change = StateChange {
                revision,
                digest,
                ticket: Bytes::from(command),
            };
            if let Err(e) = self.holder.publish_change(change) {
                log::error!(target: "feed", "revision {revision} was not published: {e}");
                self.publish_whole();
            }
        }
        log::info!(target: "ledger", "ticket {}: {verdict}", ticket.number);
        self.verdicts.insert(index, verdict);
        if self.verdicts.len() > Self::MAX_VERDICTS {
            self.verdicts.pop_first();
        }
    }

    pub(super) fn restore(&mut self, now: Instant, snapshot: &LogSnapshot) {
        match serde_json::from_slice(&snapshot.data) {
            Ok(book) => self.book = book,
            Err(e) => {
                log::error!(target: "ledger", "the leader's snapshot can't be read: {e}");
                return self.fail(now);
            }
        }
        self.snapshot_index = snapshot.index;
        self.applied_term = snapshot.term;
        self.publish_whole();
        self.applied.send_replace(snapshot.index);
    }

    /// Publishes the whole state; one that is in force already is passed over.
    pub(super) fn publish_whole(&self) {
        if let Err(e) = self.holder.publish_snapshot(self.book.state().clone()) {
            log::error!(target: "feed", "the state was not published: {e}");
        }
    }

    pub(super) fn snapshot_if_due(&mut self, now: Instant) {
        let applied = self.machine.applied_index();
        if applied < self.snapshot_index + self.settings.snapshot_every {
            return;
        }
        self.snapshot_index = applied;
        match serde_json::to_vec(&self.book) {
            Ok(data) => {
                let event = Event::SnapshotTaken {
                    index: applied,
                    data,
                };
                for effect in self.machine.handle(now, event) {
                    self.carry_out(now, effect);
                }
            }
            Err(e) => log::error!(target: "ledger", "no snapshot was taken: {e}"),
        }
    }

    /// Ends this replica's part in the log, as after a failure of the disk.
    pub(super) fn fail(&mut self, now: Instant) {
        for effect in self.machine.handle(now, Event::StorageFailed) {
            if let Effect::Answer { request, outcome } = effect {
                self.answer(request, &outcome);
            }
        }
    }
}

fn read_ticket(command: &[u8]) -> Option<ChangeTicket> {
    let raw = RawTicket::from_json(command).ok()?;
    ChangeTicket::try_from(raw).ok()
}
