//! Client of the leader: submits tickets and confirms reads, from any replica.

use std::time::{Duration, Instant};

use async_std::{future, task};
use bytes::Bytes;
use ledger::verdict::TicketVerdict;
use model::ticket::ChangeTicket;
use quorum::ids;
use tokio::sync::watch;

use crate::call::{ConfirmOutcome, CoreCall, CoreHandle, SubmitOutcome};
use crate::peers::PeerLinks;

/// Submits tickets to the leader and confirms reads at it, with retries until a timeout.
///
/// The leader is this replica or the one that this replica knows as the leader. A retry is always
/// safe: a ticket that is submitted again gets its first verdict again.
#[derive(Debug, Clone)]
pub struct LeaderClient {
    core: CoreHandle,
    peers: PeerLinks,
    applied: watch::Receiver<ids::LogIndex>,
}

impl LeaderClient {
    /// Timeout of an operator's call, all attempts included.
    pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

    /// Timeout of an attempt at another replica. The next attempt goes to the replica that leads by
    /// then.
    pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);

    /// Delay before a retry.
    const RETRY_DELAY: Duration = Duration::from_millis(50);

    /// Creates a client. `applied` receives the index of the last entry that this replica applied.
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

    /// Submits a ticket and returns its verdict, or `None` where the verdict isn't known in time.
    pub async fn submit(&self, ticket: &ChangeTicket) -> Option<TicketVerdict> {
        let deadline = Instant::now() + Self::CALL_TIMEOUT;
        while let Some(remaining) = remaining_time(deadline) {
            match future::timeout(remaining, self.submit_once(ticket)).await {
                Ok(Some(verdict)) => return Some(verdict),
                Ok(None) => task::sleep(Self::RETRY_DELAY).await,
                Err(_) => return None,
            }
        }
        None
    }

    /// Submits a ticket to this replica only.
    pub async fn submit_locally(&self, ticket: ChangeTicket) -> SubmitOutcome {
        let call = |reply| CoreCall::Submit { ticket, reply };
        let outcome = future::timeout(Self::CALL_TIMEOUT, self.core.ask(call)).await;
        outcome.ok().flatten().unwrap_or(SubmitOutcome::Unknown)
    }

    /// Waits until this replica has applied all entries that were committed at the time of the
    /// call, as a linearizable read requires. Returns whether this was confirmed in time.
    pub async fn confirm_read(&self) -> bool {
        let deadline = Instant::now() + Self::CALL_TIMEOUT;
        while let Some(remaining) = remaining_time(deadline) {
            match future::timeout(remaining, self.confirm_once()).await {
                Ok(true) => return true,
                Ok(false) => task::sleep(Self::RETRY_DELAY).await,
                Err(_) => return false,
            }
        }
        false
    }

    /// Confirms a read at this replica only, which must be the leader.
    pub async fn confirm_locally(&self) -> ConfirmOutcome {
        let call = |reply| CoreCall::Confirm { reply };
        let outcome = future::timeout(Self::CALL_TIMEOUT, self.core.ask(call)).await;
        outcome.ok().flatten().unwrap_or(ConfirmOutcome::Unknown)
    }

    /// Submits a ticket in one attempt, at this replica or at the leader that it knows.
    async fn submit_once(&self, ticket: &ChangeTicket) -> Option<TicketVerdict> {
        match self.submit_locally(ticket.clone()).await {
            SubmitOutcome::Verdict(verdict) => Some(verdict),
            SubmitOutcome::NotLeader(Some(leader)) => {
                let ticket = Bytes::from(ticket.to_json());
                let submitted = self.peers.submit(leader, ticket);
                let json = future::timeout(Self::ATTEMPT_TIMEOUT, submitted)
                    .await
                    .ok()?;
                serde_json::from_slice(&json.ok()?).ok()
            }
            SubmitOutcome::NotLeader(None) | SubmitOutcome::Unknown => None,
        }
    }

    /// Confirms a read in one attempt, at this replica or at the leader that it knows.
    async fn confirm_once(&self) -> bool {
        let index = match self.confirm_locally().await {
            ConfirmOutcome::Confirmed(index) => index,
            ConfirmOutcome::NotLeader(Some(leader)) => {
                let confirmed = self.peers.confirm(leader);
                match future::timeout(Self::ATTEMPT_TIMEOUT, confirmed).await {
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

/// Returns the time until a deadline, or `None` once it has passed.
fn remaining_time(deadline: Instant) -> Option<Duration> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    (!remaining.is_zero()).then_some(remaining)
}
