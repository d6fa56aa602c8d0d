//! Who waits for the log, and what they are told.

use std::time::Instant;

use model::ticket::ChangeTicket;
use quorum::event::{AnswerOutcome, Event};
use tokio::sync::oneshot;

use super::ReplicaCore;
use crate::call::{ConfirmOutcome, SubmitOutcome};

/// Who waits for an answer of the log.
#[derive(Debug)]
pub(super) enum PendingAnswer {
    Submit(oneshot::Sender<SubmitOutcome>),
    Confirm(oneshot::Sender<ConfirmOutcome>),
}

impl PendingAnswer {
    /// Tells whether nobody waits any more.
    fn is_gone(&self) -> bool {
        match self {
            Self::Submit(reply) => reply.is_closed(),
            Self::Confirm(reply) => reply.is_closed(),
        }
    }

    fn end_unknown(self) {
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
    const MAX_PENDING: usize = 1_024;

    pub(super) fn submit(
        &mut self,
        now: Instant,
        ticket: &ChangeTicket,
        reply: oneshot::Sender<SubmitOutcome>,
    ) {
        let command = ticket.to_json();
        let Some(request) = self.wait(PendingAnswer::Submit(reply)) else {
            return;
        };
        self.feed(now, Event::Propose { request, command });
    }

    pub(super) fn confirm(&mut self, now: Instant, reply: oneshot::Sender<ConfirmOutcome>) {
        if let Some(request) = self.wait(PendingAnswer::Confirm(reply)) {
            self.feed(now, Event::Read { request });
        }
    }

    /// Keeps who waits for an answer; one too many is told that nothing is known.
    pub(super) fn wait(&mut self, pending: PendingAnswer) -> Option<quorum::ids::RequestId> {
        self.pending.retain(|_, pending| !pending.is_gone());
        if self.pending.len() >= Self::MAX_PENDING {
            pending.end_unknown();
            return None;
        }
        self.last_request += 1;
        self.pending.insert(self.last_request, pending);
        Some(self.last_request)
    }

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

    pub(super) fn submit_outcome(&self, outcome: &AnswerOutcome) -> SubmitOutcome {
        match outcome {
            AnswerOutcome::Committed { index } => match self.verdicts.get(index) {
                Some(verdict) => SubmitOutcome::Known(verdict.clone()),
                None => SubmitOutcome::Unknown,
            },
            AnswerOutcome::NotLeader { leader } => SubmitOutcome::NotLeader(*leader),
            AnswerOutcome::Confirmed | AnswerOutcome::Unknown => SubmitOutcome::Unknown,
        }
    }

    pub(super) fn confirm_outcome(&self, outcome: &AnswerOutcome) -> ConfirmOutcome {
        match outcome {
            AnswerOutcome::Confirmed => ConfirmOutcome::Confirmed(self.machine.applied_index()),
            AnswerOutcome::NotLeader { leader } => ConfirmOutcome::NotLeader(*leader),
            AnswerOutcome::Committed { .. } | AnswerOutcome::Unknown => ConfirmOutcome::Unknown,
        }
    }
}
