//! Replication as a follower or learner sees it.

use crate::entry::{LogEntry, LogSnapshot};
use crate::fault::PlantedFault;
use crate::ids;
use crate::machine::QuorumMachine;
use crate::message::{Message, MessageBody};
use crate::writes::SyncNeed;

impl QuorumMachine {
    /// Takes entries or a snapshot from a leader.
    pub(crate) fn on_leader_message(&mut self, from: ids::ReplicaId, message: Message) {
        if self.is_foreign_founder(from, message.incarnation) {
            return;
        }
        if message.term < self.hard.term {
            return self.acknowledge(from, false, 0, 0);
        }
        self.follow(message.term, Some(from));
        self.heard_at = Some(self.now);
        if self.hard.leader != Some(from) {
            self.hard.leader = Some(from);
            self.writes.change_hard();
        }
        self.arm_election();
        match message.body {
            MessageBody::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                if !self.has_previous(prev_index, prev_term) {
                    let index = self.resume_point(prev_index);
                    return self.acknowledge(from, false, index, round);
                }
                let last = prev_index + entries.len() as u64;
                self.merge(entries);
                self.acknowledge(from, true, last, round);
                self.commit_to(commit.min(last));
            }
            MessageBody::Snapshot { snapshot, round } => {
                let index = self.accept_snapshot(snapshot);
                self.acknowledge(from, true, index, round);
            }
            _ => {}
        }
    }

    fn acknowledge(&mut self, to: ids::ReplicaId, matched: bool, index: ids::LogIndex, round: u64) {
        let hasty = self.fault == Some(PlantedFault::AckBeforeSync);
        let need = if hasty {
            SyncNeed::Nothing
        } else {
            SyncNeed::Everything
        };
        let body = MessageBody::AppendReply {
            matched,
            index,
            round,
        };
        self.send(need, to, body);
    }

    /// Returns whether the log agrees with the leader's up to an entry.
    fn has_previous(&self, index: ids::LogIndex, term: ids::Term) -> bool {
        index <= self.commit || self.log.term_at(index) == Some(term)
    }

    /// Returns the last entry that may agree with the leader's, where `index` doesn't.
    fn resume_point(&self, index: ids::LogIndex) -> ids::LogIndex {
        let mut place = self.log.last_index().min(index.saturating_sub(1));
        let Some(term) = self.log.term_at(index) else {
            return place;
        };
        while place > self.commit && self.log.term_at(place) == Some(term) {
            place -= 1;
        }
        place.max(self.commit)
    }

    /// Appends the entries that the log lacks, and removes those that disagree.
    fn merge(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            if entry.index <= self.commit {
                continue;
            }
            if self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate(entry.index);
            }
            self.append(entry);
        }
    }

    /// Takes a snapshot in where it is newer, and returns up to where this replica agrees.
    fn accept_snapshot(&mut self, snapshot: LogSnapshot) -> ids::LogIndex {
        let old = snapshot.index <= self.commit;
        if old && self.fault != Some(PlantedFault::OldSnapshot) {
            return self.commit;
        }
        self.restore(snapshot);
        self.commit
    }
}
