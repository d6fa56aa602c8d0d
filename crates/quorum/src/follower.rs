//! Replication on the side of a follower or learner.

use crate::entry::{LogEntry, LogSnapshot};
use crate::fault::InjectedFault;
use crate::ids;
use crate::machine::QuorumMachine;
use crate::message::{Message, MessageBody};
use crate::writes::SyncRequirement;

impl QuorumMachine {
    /// Handles an [`MessageBody::Append`] or [`MessageBody::Snapshot`] of a leader.
    pub(crate) fn on_leader_message(&mut self, from: ids::ReplicaId, message: Message) {
        if self.is_unbound_founder(from, message.incarnation) {
            return;
        }
        if message.term < self.hard.term {
            return self.acknowledge(from, false, 0, 0);
        }
        self.become_follower(message.term, Some(from));
        self.last_leader_contact = Some(self.now);
        self.has_heard_leader = true;
        if self.hard.leader != Some(from) {
            self.hard.leader = Some(from);
            self.writes.mark_hard_state_changed();
        }
        self.reset_election_timer();
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
        let skips_sync = self.fault == Some(InjectedFault::AckBeforeSync);
        let requirement = if skips_sync {
            SyncRequirement::Nothing
        } else {
            SyncRequirement::AllWrites
        };
        let body = MessageBody::AppendReply {
            matched,
            index,
            round,
        };
        self.send(requirement, to, body);
    }

    /// Returns whether this replica's log agrees with the leader's log up to the given entry.
    fn has_previous(&self, index: ids::LogIndex, term: ids::Term) -> bool {
        index <= self.commit || self.log.term_at(index) == Some(term)
    }

    /// Returns the highest index below `index` up to which this replica's log may agree with the
    /// leader's log. All entries of a conflicting term are skipped at once.
    fn resume_point(&self, index: ids::LogIndex) -> ids::LogIndex {
        let mut candidate = self.log.last_index().min(index.saturating_sub(1));
        let Some(term) = self.log.term_at(index) else {
            return candidate;
        };
        while candidate > self.commit && self.log.term_at(candidate) == Some(term) {
            candidate -= 1;
        }
        candidate.max(self.commit)
    }

    /// Appends the missing entries and removes conflicting ones.
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

    /// Installs a snapshot if it is newer than the commit index, and returns the index up to which
    /// this replica agrees with the leader.
    fn accept_snapshot(&mut self, snapshot: LogSnapshot) -> ids::LogIndex {
        let outdated = snapshot.index <= self.commit;
        if outdated && self.fault != Some(InjectedFault::OldSnapshot) {
            return self.commit;
        }
        self.restore(snapshot);
        self.commit
    }
}
