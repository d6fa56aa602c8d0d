//! Submissions and reads that wait for the log, and their answers.

use std::time::Instant;

use model::ticket::ChangeTicket;
use quorum::event::{AnswerOutcome, Event};
use tokio::sync::oneshot;

use super::ReplicaCore;
use crate::call::{ConfirmOutcome, SubmitOutcome};

/// Reply channel of a request that waits for the log.
#[derive(Debug)]
pub(super) enum PendingAnswer {
    Submit(oneshot::Sender<SubmitOutcome>),
    Confirm(oneshot::Sender<ConfirmOutcome>),
}

impl PendingAnswer {
    /// Returns whether the receiver of the answer was dropped.
    fn is_abandoned(&self) -> bool {
        match self {
            Self::Submit(reply) => reply.is_closed(),
            Self::Confirm(reply) => reply.is_closed(),
        }
    }

    /// Answers that the outcome is unknown.
    fn answer_unknown(self) {
        match self {
            Self::Submit(reply) => {
                let _ = reply.send(SubmitOutcome::Unknown);
            }
            Self::Confirm(reply) => {
                let _ = reply.send(ConfirmOutcome::Unknown);
            }
        }
    }
}

impl ReplicaCore {
    /// Most submissions and reads that wait for the log.
    const MAX_PENDING_ANSWERS: usize = 1_024;

    /// Proposes a ticket for the log.
    pub(super) fn submit(
        &mut self,
        now: Instant,
        ticket: &ChangeTicket,
        reply: oneshot::Sender<SubmitOutcome>,
    ) {
        let command = ticket.to_json();
        let Some(request) = self.register(PendingAnswer::Submit(reply)) else {
            return;
        };
        self.handle_event(now, Event::Propose { request, command });
    }

    /// Starts a linearizable read.
    pub(super) fn confirm(&mut self, now: Instant, reply: oneshot::Sender<ConfirmOutcome>) {
        if let Some(request) = self.register(PendingAnswer::Confirm(reply)) {
            self.handle_event(now, Event::Read { request });
        }
    }

    /// Stores a reply channel under a new request id.
    ///
    /// Where too many requests wait, answers that the outcome is unknown and returns `None`.
    fn register(&mut self, pending: PendingAnswer) -> Option<quorum::ids::RequestId> {
        self.pending.retain(|_, pending| !pending.is_abandoned());
        if self.pending.len() >= Self::MAX_PENDING_ANSWERS {
            pending.answer_unknown();
            return None;
        }
        self.last_request += 1;
        self.pending.insert(self.last_request, pending);
        Some(self.last_request)
    }

    /// Answers a pending request, if it still waits.
    pub(super) fn answer(&mut self, request: quorum::ids::RequestId, outcome: &AnswerOutcome) {
        match self.pending.remove(&request) {
            Some(PendingAnswer::Submit(reply)) => {
                let _ = reply.send(self.submit_outcome(outcome));
            }
            Some(PendingAnswer::Confirm(reply)) => {
                let _ = reply.send(self.confirm_outcome(outcome));
            }
            None => {}
        }
    }

    fn submit_outcome(&self, outcome: &AnswerOutcome) -> SubmitOutcome {
        match outcome {
            AnswerOutcome::Committed { index } => match self.verdicts.get(index) {
                Some(verdict) => SubmitOutcome::Verdict(verdict.clone()),
                None => SubmitOutcome::Unknown,
            },
            AnswerOutcome::NotLeader { leader } => SubmitOutcome::NotLeader(*leader),
            AnswerOutcome::Confirmed | AnswerOutcome::Unknown => SubmitOutcome::Unknown,
        }
    }

    fn confirm_outcome(&self, outcome: &AnswerOutcome) -> ConfirmOutcome {
        match outcome {
            AnswerOutcome::Confirmed => ConfirmOutcome::Confirmed(self.machine.applied_index()),
            AnswerOutcome::NotLeader { leader } => ConfirmOutcome::NotLeader(*leader),
            AnswerOutcome::Committed { .. } | AnswerOutcome::Unknown => ConfirmOutcome::Unknown,
        }
    }
}
