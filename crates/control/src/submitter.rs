//! Brings tickets and reads to the leader, wherever it is.

use std::time::{Duration, Instant};

use async_std::{future, task};
use bytes::Bytes;
use ledger::verdict::TicketVerdict;
use model::ticket::ChangeTicket;
use quorum::ids;
use tokio::sync::watch;

use crate::call::{ConfirmOutcome, CoreCall, CoreHandle, SubmitOutcome};
use crate::peers::PeerLinks;

/// Brings tickets and reads to the leader, and tries again while it is safe and there is time.
///
/// Submitting the same ticket again is always safe: one number has one verdict.
#[derive(Debug, Clone)]
pub struct LeaderCaller {
    core: CoreHandle,
    peers: PeerLinks,
    applied: watch::Receiver<ids::LogIndex>,
}

impl LeaderCaller {
    /// Time in which an operator's call is answered.
    pub const ANSWER_BOUND: Duration = Duration::from_millis(2_500);

    /// Time in which a leader answers another replica; then it is asked again, where it is by then.
    pub const ATTEMPT_BOUND: Duration = Duration::from_millis(600);

    /// Pause before the leader is asked again.
    const PAUSE: Duration = Duration::from_millis(50);

    /// Creates a caller.
    pub fn new(
        core: CoreHandle,
        peers: PeerLinks,
        applied: watch::Receiver<ids::LogIndex>,
    ) -> Self {
        Self {
            core,
            peers,
            applied,
        }
    }

    /// Submits a ticket; gives its verdict, or nothing where it isn't known in time.
    pub async fn submit(&self, ticket: &ChangeTicket) -> Option<TicketVerdict> {
        let deadline = Instant::now() + Self::ANSWER_BOUND;
        while let Some(left) = time_left(deadline) {
            match future::timeout(left, self.submit_once(ticket)).await {
                Ok(Some(verdict)) => return Some(verdict),
                Ok(None) => task::sleep(Self::PAUSE).await,
                Err(_) => return None,
            }
        }
        None
    }

    /// Submits a ticket to the log of this replica alone.
    pub async fn submit_here(&self, ticket: ChangeTicket) -> SubmitOutcome {
        let call = |reply| CoreCall::Submit { ticket, reply };
        let asked = future::timeout(Self::ANSWER_BOUND, self.core.ask(call)).await;
        asked.ok().flatten().unwrap_or(SubmitOutcome::Unknown)
    }

    /// Waits until this replica has applied all that was committed when it was asked; false where
    /// that isn't confirmed in time.
    pub async fn confirm(&self) -> bool {
        let deadline = Instant::now() + Self::ANSWER_BOUND;
        while let Some(left) = time_left(deadline) {
            match future::timeout(left, self.confirm_once()).await {
                Ok(true) => return true,
                Ok(false) => task::sleep(Self::PAUSE).await,
                Err(_) => return false,
            }
        }
        false
    }

    /// Confirms that this replica leads.
    pub async fn confirm_here(&self) -> ConfirmOutcome {
        let call = |reply| CoreCall::Confirm { reply };
        let asked = future::timeout(Self::ANSWER_BOUND, self.core.ask(call)).await;
        asked.ok().flatten().unwrap_or(ConfirmOutcome::Unknown)
    }

    async fn submit_once(&self, ticket: &ChangeTicket) -> Option<TicketVerdict> {
        match self.submit_here(ticket.clone()).await {
            SubmitOutcome::Known(verdict) => Some(verdict),
            SubmitOutcome::NotLeader(Some(leader)) => {
                let ticket = Bytes::from(ticket.to_json());
                let submitted = self.peers.submit(leader, ticket);
                let json = future::timeout(Self::ATTEMPT_BOUND, submitted).await.ok()?;
                serde_json::from_slice(&json.ok()?).ok()
            }
            SubmitOutcome::NotLeader(None) | SubmitOutcome::Unknown => None,
        }
    }

    async fn confirm_once(&self) -> bool {
        let index = match self.confirm_here().await {
            ConfirmOutcome::Confirmed(index) => index,
            ConfirmOutcome::NotLeader(Some(leader)) => {
                let confirmed = self.peers.confirm(leader);
                match future::timeout(Self::ATTEMPT_BOUND, confirmed).await {
                    Ok(Ok(reply)) if reply.confirmed => reply.index,
                    Ok(_) | Err(_) => return false,
                }
            }
            ConfirmOutcome::NotLeader(None) | ConfirmOutcome::Unknown => return false,
        };
        let mut applied = self.applied.clone();
        let reached = applied.wait_for(|applied| *applied >= index).await;
        reached.is_ok()
    }
}

fn time_left(deadline: Instant) -> Option<Duration> {
    let left = deadline.saturating_duration_since(Instant::now());
    (!left.is_zero()).then_some(left)
}
