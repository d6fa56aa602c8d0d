//! Linearizable reads, answered after a heartbeat round confirmed the leader.

use std::collections::VecDeque;

use crate::event::AnswerOutcome;
use crate::fault::InjectedFault;
use crate::ids;
use crate::machine::QuorumMachine;

/// A read that isn't answered yet.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    request: ids::RequestId,
    /// Heartbeat round that must be confirmed.
    round: u64,
    /// Index of the entry that must be applied.
    index: ids::LogIndex,
}

/// Pending reads in the order of their requests.
#[derive(Debug, Default)]
pub(crate) struct ReadQueue {
    pending: VecDeque<PendingRead>,
}

impl ReadQueue {
    /// Returns the number of pending reads.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the highest heartbeat round that a pending read waits for.
    fn last_round(&self) -> Option<u64> {
        self.pending.back().map(|read| read.round)
    }

    /// Removes and returns the reads whose round is confirmed and whose entry is applied.
    fn drain_confirmed(&mut self, round: u64, applied: ids::LogIndex) -> Vec<ids::RequestId> {
        let mut requests = Vec::new();
        while let Some(read) = self.pending.front() {
            if read.round > round || read.index > applied {
                break;
            }
            requests.push(read.request);
            self.pending.pop_front();
        }
        requests
    }

    /// Removes and returns all reads.
    pub(crate) fn drain_all(&mut self) -> Vec<ids::RequestId> {
        self.pending.drain(..).map(|read| read.request).collect()
    }
}

impl QuorumMachine {
    /// Queues a read. It is answered after a heartbeat round that starts after the request.
    pub(crate) fn read(&mut self, request: ids::RequestId) {
        let leader = self.leader;
        let index = self.commit;
        let Some(leadership) = self.leadership.as_mut() else {
            return self.answer(request, AnswerOutcome::NotLeader { leader });
        };
        if leadership.transfer.is_some() {
            return self.answer(request, AnswerOutcome::NotLeader { leader: None });
        }
        let read = PendingRead {
            request,
            round: leadership.rounds.current() + 1,
            index: index.max(leadership.first_index),
        };
        leadership.reads.pending.push_back(read);
        self.start_read_round();
        self.answer_reads();
    }

    /// Answers the reads that are confirmed, and starts the heartbeat round that others wait for.
    pub(crate) fn answer_reads(&mut self) {
        let applied = self.applied;
        let skips_round = self.fault == Some(InjectedFault::ReadWithoutRound);
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let confirmed = leadership.rounds.confirmed();
        let round = if skips_round { u64::MAX } else { confirmed };
        let requests = leadership.reads.drain_confirmed(round, applied);
        for request in requests {
            self.answer(request, AnswerOutcome::Confirmed);
        }
        self.start_read_round();
    }

    /// Starts a heartbeat round if a read waits for it and no other round is in progress.
    fn start_read_round(&mut self) {
        let Some(leadership) = self.leadership.as_ref() else {
            return;
        };
        let rounds = &leadership.rounds;
        let round_needed = leadership.reads.last_round() > Some(rounds.current());
        if round_needed && rounds.confirmed() == rounds.current() {
            self.start_round();
        }
    }
}
