//! Reads that wait until a quorum has confirmed the leader.

use std::collections::VecDeque;

use crate::event::AnswerOutcome;
use crate::fault::PlantedFault;
use crate::ids;
use crate::machine::QuorumMachine;

/// A read that was asked.
#[derive(Debug, Clone, Copy)]
struct OpenRead {
    request: ids::RequestId,
    /// Round that must be confirmed.
    round: u64,
    /// Entry that must be applied.
    index: ids::LogIndex,
}

/// Reads in the order in which they were asked.
#[derive(Debug, Default)]
pub(crate) struct ReadQueue {
    open: VecDeque<OpenRead>,
}

impl ReadQueue {
    /// Returns the number of reads that wait.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns the last round that a read waits for.
    fn last_round(&self) -> Option<u64> {
        self.open.back().map(|read| read.round)
    }

    /// Removes and returns the reads that are confirmed and applied.
    fn take_confirmed(&mut self, round: u64, applied: ids::LogIndex) -> Vec<ids::RequestId> {
        let mut requests = Vec::new();
        while let Some(read) = self.open.front() {
            if read.round > round || read.index > applied {
                break;
            }
            requests.push(read.request);
            self.open.pop_front();
        }
        requests
    }

    /// Removes and returns all reads.
    pub(crate) fn take_all(&mut self) -> Vec<ids::RequestId> {
        self.open.drain(..).map(|read| read.request).collect()
    }
}

impl QuorumMachine {
    /// Takes a read; it is answered after a round of heartbeats that starts after it.
    pub(crate) fn read(&mut self, request: ids::RequestId) {
        let leader = self.leader;
        let index = self.commit;
        let Some(leadership) = self.leadership.as_mut() else {
            return self.answer(request, AnswerOutcome::NotLeader { leader });
        };
        if leadership.transfer.is_some() {
            return self.answer(request, AnswerOutcome::NotLeader { leader: None });
        }
        let read = OpenRead {
            request,
            round: leadership.rounds.current() + 1,
            index: index.max(leadership.first_index),
        };
        leadership.reads.open.push_back(read);
        self.start_read_round();
        self.answer_reads();
    }

    /// Answers the reads that are confirmed, and starts the round that others wait for.
    pub(crate) fn answer_reads(&mut self) {
        let applied = self.applied;
        let unconfirmed = self.fault == Some(PlantedFault::ReadWithoutRound);
        let Some(leadership) = self.leadership.as_mut() else {
            return;
        };
        let confirmed = leadership.rounds.confirmed();
        let round = if unconfirmed { u64::MAX } else { confirmed };
        let requests = leadership.reads.take_confirmed(round, applied);
        for request in requests {
            self.answer(request, AnswerOutcome::Confirmed);
        }
        self.start_read_round();
    }

    /// Starts a round where reads wait for one and none is on its way.
    fn start_read_round(&mut self) {
        let Some(leadership) = self.leadership.as_ref() else {
            return;
        };
        let rounds = &leadership.rounds;
        let wanted = leadership.reads.last_round() > Some(rounds.current());
        if wanted && rounds.confirmed() == rounds.current() {
            self.start_round();
        }
    }
}
