//! Applies committed log entries to the ledger, publishes the state and takes snapshots.

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

    /// Most verdicts kept by log index for submitters that wait for an answer; the oldest is dropped
    /// first.
    const MAX_VERDICTS_BY_INDEX: usize = 8_192;

    /// Applies a committed entry.
    pub(super) fn apply(&mut self, entry: LogEntry) {
        self.applied_term = entry.term;
        match entry.payload {
            EntryPayload::Command(command) if command == Self::OPEN_KEYS => self.ledger.open_keys(),
            EntryPayload::Command(command) => self.apply_ticket(entry.index, command),
            EntryPayload::Empty
            | EntryPayload::Admit { .. }
            | EntryPayload::Replace { .. }
            | EntryPayload::Found { .. } => (),
        }
        self.applied.send_replace(entry.index);
    }

    /// Gives a committed ticket its verdict, and publishes the change where it is accepted.
    fn apply_ticket(&mut self, index: quorum::ids::LogIndex, command: Vec<u8>) {
        let Some(ticket) = read_ticket(&command) else {
            log::error!(target: "ledger", "log entry {index} holds no valid ticket and is skipped");
            return;
        };
        let before = self.ledger.state().revision;
        let verdict = self.ledger.submit(&ticket);
        self.metrics.count_verdict(&verdict);
        let (revision, digest) = (self.ledger.state().revision, self.ledger.state().digest);
        if revision > before {
            let change = StateChange {
                revision,
                digest,
                ticket: Bytes::from(command),
            };
            if let Err(e) = self.holder.publish_change(change) {
                log::error!(
                    target: "feed",
                    "change to revision {revision} was not published, publishing the state: {e}"
                );
                self.publish_snapshot();
            }
        }
        log::info!(target: "ledger", "ticket {}: {verdict}", ticket.number);
        self.verdicts.insert(index, verdict);
        if self.verdicts.len() > Self::MAX_VERDICTS_BY_INDEX {
            self.verdicts.pop_first();
        }
    }

    /// Replaces the ledger by a snapshot that the leader sent.
    ///
    /// Where the snapshot can't be decoded, the replica stops taking part in the quorum.
    pub(super) fn restore(&mut self, now: Instant, snapshot: &LogSnapshot) {
        match serde_json::from_slice(&snapshot.data) {
            Ok(ledger) => self.ledger = ledger,
            Err(e) => {
                log::error!(
                    target: "ledger",
                    "snapshot of the leader can't be decoded, replica stops taking part in the quorum: {e}"
                );
                return self.fail(now);
            }
        }
        self.snapshot_index = snapshot.index;
        self.applied_term = snapshot.term;
        self.publish_snapshot();
        self.applied.send_replace(snapshot.index);
    }

    /// Publishes the whole state, unless it is published already.
    pub(super) fn publish_snapshot(&self) {
        if let Err(e) = self.holder.publish_snapshot(self.ledger.state().clone()) {
            log::error!(target: "feed", "state was not published to watchers: {e}");
        }
    }

    /// Takes a snapshot once enough entries were applied since the last one.
    pub(super) fn snapshot_if_due(&mut self, now: Instant) {
        let applied = self.machine.applied_index();
        let is_due = self.machine.needs_snapshot(self.settings.snapshot_every);
        if !is_due || applied == self.snapshot_index {
            return;
        }
        self.snapshot_index = applied;
        match serde_json::to_vec(&self.ledger) {
            Ok(data) => {
                let event = Event::SnapshotTaken {
                    index: applied,
                    data,
                };
                for effect in self.machine.handle(now, event) {
                    self.execute(now, effect);
                }
            }
            Err(e) => {
                log::error!(
                    target: "ledger",
                    "snapshot at entry {applied} can't be encoded and is skipped: {e}"
                )
            }
        }
    }

    /// Stops taking part in the quorum, as after a disk failure, and answers all pending requests.
    fn fail(&mut self, now: Instant) {
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
