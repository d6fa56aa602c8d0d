//! Claims the idempotency keys of requests at their keepers, before the requests run.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use claims::claimant::{self, AttemptEffect, ClaimAttempt};
use claims::keeper::KeeperLimits;
use claims::record::{AttemptId, AttemptNumber, ClaimAnswer, ClaimKey, RunOutcome};
use forward::hooks::ClaimStore;
use forward::idempotency::{ClaimCompletion, ClaimOutcome, ClaimRequest, KeptAnswer};
use futures_util::future::{self, BoxFuture, Either};
use futures_util::stream::{FuturesUnordered, StreamExt};
use model::ids;
use wire::dial;
use wire::v1;
use wire::v1::peer_client::PeerClient;

use crate::claim_wire;
use crate::context::EntryContext;
use crate::exchange::CallError;

/// Time limit of a call to a keeper.
pub const KEEPER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit of a claim at all its keepers.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after which a report to a keeper that doesn't confirm it is given up.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// Initial backoff between two reports to the same keeper; it doubles up to 32 times the value.
const REPORT_BACKOFF: Duration = Duration::from_millis(50);

/// Longest time for which the answer to a caller is held back until more than half of the keepers
/// have confirmed the outcome of its run, so that other hosts know it before the caller does.
const CONFIRM_WAIT: Duration = Duration::from_millis(100);

/// Claims idempotency keys for the requests of this host.
#[derive(Debug, Clone)]
pub struct KeyClaims {
    context: Arc<EntryContext>,
    /// Granted claims whose runs have not ended, by the number of the attempt.
    granted: Arc<Mutex<HashMap<AttemptNumber, ClaimAttempt>>>,
}

impl KeyClaims {
    /// Creates the claims of a host, with none granted.
    pub fn new(context: Arc<EntryContext>) -> Self {
        Self {
            context,
            granted: Arc::default(),
        }
    }

    /// Claims the key of a request and returns the outcome.
    async fn run_claim(&self, request: ClaimRequest) -> ClaimOutcome {
        if self.context.holder.view().keys_opened() != Some(true) {
            return ClaimOutcome::Unconfirmed;
        }
        let Some(mut attempt) = self.new_attempt(&request) else {
            return ClaimOutcome::Unconfirmed;
        };
        let mut answers = FuturesUnordered::new();
        let mut effects = attempt.start(self.context.now());
        loop {
            for effect in effects.drain(..) {
                match effect {
                    AttemptEffect::Claim(keeper) => answers.push(self.claim_at(&attempt, keeper)),
                    AttemptEffect::Complete { keeper, outcome } => {
                        task::spawn(self.report_outcome(&attempt, keeper, outcome));
                    }
                    AttemptEffect::Finish(outcome) => {
                        self.release_late(&attempt, answers);
                        return self.finish(attempt, outcome);
                    }
                }
            }
            let timer = std::pin::pin!(self.context.clock.sleep_until(attempt.deadline()));
            let answer = match future::select(answers.next(), timer).await {
                Either::Left((answer, _)) => answer,
                Either::Right(_) => None,
            };
            let now = self.context.now();
            effects = match answer {
                Some((keeper, Ok(answer))) => attempt.on_answer(now, keeper, answer),
                Some((keeper, Err(_))) => attempt.on_failure(now, keeper),
                None => attempt.on_tick(now.max(attempt.deadline())),
            };
        }
    }

    /// Creates an attempt, or returns `None` while the keepers of the key aren't known.
    fn new_attempt(&self, request: &ClaimRequest) -> Option<ClaimAttempt> {
        let now = self.context.now();
        let key: ClaimKey = format!("{}/{}", request.service, request.key);
        let groups = self.context.keepers.groups(now, &key)?;
        let id = AttemptId {
            host: self.context.settings.name.clone(),
            number: rand::random(),
        };
        let timeout = CLAIM_TIMEOUT.min(KeeperLimits::default().attempt_timeout);
        let deadline = now + timeout;
        Some(ClaimAttempt::new(id, key, request.digest, groups, deadline))
    }

    /// Sends the claim to a keeper and returns its answer; no call is needed if it is this host.
    fn claim_at(
        &self,
        attempt: &ClaimAttempt,
        keeper: ids::HostName,
    ) -> BoxFuture<'static, (ids::HostName, Result<ClaimAnswer, CallError>)> {
        let context = Arc::clone(&self.context);
        let (id, key) = (attempt.id().clone(), attempt.key().clone());
        let request = attempt.request();
        Box::pin(async move {
            if keeper == context.settings.name {
                let now = context.now();
                let answer = context.keepers.keeper().claim(now, &key, request, &id);
                return (keeper, Ok(answer));
            }
            let message = v1::ClaimRequest {
                key,
                request,
                attempt: Some(claim_wire::encode_attempt(&id)),
            };
            let answer = call_claim(&context, &keeper, message).await;
            (keeper, answer)
        })
    }

    /// Reports the outcome of a run to a keeper, until the keeper confirms it.
    fn report_outcome(
        &self,
        attempt: &ClaimAttempt,
        keeper: ids::HostName,
        outcome: RunOutcome,
    ) -> BoxFuture<'static, ()> {
        let context = Arc::clone(&self.context);
        let (id, key) = (attempt.id().clone(), attempt.key().clone());
        let request = attempt.request();
        if keeper == context.settings.name {
            let now = context.now();
            let mut own = context.keepers.keeper();
            own.complete(now, &key, request, &id, outcome);
            return Box::pin(future::ready(()));
        }
        let record = claim_wire::encode_outcome(&key, request, &id, outcome);
        Box::pin(report_until_confirmed(context, keeper, record))
    }

    /// Handles the answers that arrive after a claim has ended.
    ///
    /// A keeper that granted, or may have granted, a claim that failed is asked to release the key.
    fn release_late(
        &self,
        attempt: &ClaimAttempt,
        mut answers: FuturesUnordered<
            BoxFuture<'static, (ids::HostName, Result<ClaimAnswer, CallError>)>,
        >,
    ) {
        if attempt.outcome() == Some(&claimant::ClaimOutcome::Granted) {
            // A late grant belongs to the granted claim and is completed with its run. The calls
            // still have to be polled to their end.
            task::spawn(async move { while answers.next().await.is_some() {} });
            return;
        }
        let claims = self.clone();
        let (id, key) = (attempt.id().clone(), attempt.key().clone());
        let request = attempt.request();
        task::spawn(async move {
            while let Some((keeper, answer)) = answers.next().await {
                if matches!(answer, Ok(ClaimAnswer::Granted) | Err(_)) {
                    let record = claim_wire::encode_outcome(&key, request, &id, RunOutcome::NotRun);
                    let context = Arc::clone(&claims.context);
                    task::spawn(report_until_confirmed(context, keeper, record));
                }
            }
        });
    }

    /// Converts the outcome of a claim, and stores the attempt if it is granted.
    fn finish(&self, attempt: ClaimAttempt, outcome: claimant::ClaimOutcome) -> ClaimOutcome {
        match outcome {
            claimant::ClaimOutcome::Granted => {
                let number = attempt.id().number;
                self.granted().insert(number, attempt);
                ClaimOutcome::Granted { attempt: number }
            }
            claimant::ClaimOutcome::HeldInProgress => ClaimOutcome::InProgress,
            claimant::ClaimOutcome::AnsweredBefore(answer) => ClaimOutcome::Answered(KeptAnswer {
                status: answer.status,
                headers: answer.headers,
                body: answer.body.into(),
            }),
            claimant::ClaimOutcome::UsedUnknown => ClaimOutcome::AnswerLost,
            claimant::ClaimOutcome::KeyUsed => ClaimOutcome::Used,
            claimant::ClaimOutcome::Unconfirmed => ClaimOutcome::Unconfirmed,
        }
    }

    /// Reports the outcome of a run to all keepers, and waits up to [`CONFIRM_WAIT`] until more
    /// than half of them have confirmed it.
    async fn run_complete(&self, number: AttemptNumber, end: ClaimCompletion) {
        let Some(attempt) = self.granted().remove(&number) else {
            return;
        };
        let outcome = match end {
            ClaimCompletion::Answered(answer) => RunOutcome::Answered(claims::record::KeptAnswer {
                status: answer.status,
                headers: answer.headers,
                body: answer.body.to_vec(),
            }),
            ClaimCompletion::NotRun => RunOutcome::NotRun,
            ClaimCompletion::AnswerLost => RunOutcome::Unknown,
        };
        let mut reports = FuturesUnordered::new();
        for effect in attempt.complete(&outcome) {
            if let AttemptEffect::Complete { keeper, outcome } = effect {
                reports.push(task::spawn(self.report_outcome(&attempt, keeper, outcome)));
            }
        }
        let majority = async {
            for _ in 0..reports.len() / 2 + 1 {
                reports.next().await;
            }
        };
        let timer = std::pin::pin!(self.context.clock.sleep(CONFIRM_WAIT));
        future::select(std::pin::pin!(majority), timer).await;
    }

    fn granted(&self) -> MutexGuard<'_, HashMap<AttemptNumber, ClaimAttempt>> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ClaimStore for KeyClaims {
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, ClaimOutcome> {
        Box::pin(self.run_claim(request))
    }

    fn complete(&self, _: ClaimRequest, attempt: u64, end: ClaimCompletion) -> BoxFuture<'_, ()> {
        Box::pin(self.run_complete(attempt, end))
    }
}

/// Sends a claim to a keeper on another host.
async fn call_claim(
    context: &EntryContext,
    keeper: &str,
    message: v1::ClaimRequest,
) -> Result<ClaimAnswer, CallError> {
    let address = context.keepers.address(keeper).ok_or(CallError::NoAnswer)?;
    let call = async {
        let channel = context.channels.channel(address).await?;
        let mut client =
            PeerClient::new(channel).max_decoding_message_size(dial::MAX_MESSAGE_BYTES);
        let reply = client.claim(message).await?.into_inner();
        Ok::<_, CallError>(claim_wire::decode_reply(reply)?)
    };
    let answer = match tokio::time::timeout(KEEPER_TIMEOUT, call).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::NoAnswer),
    };
    if answer.is_err() {
        context.channels.discard(address);
    }
    answer
}

/// Sends the outcome of a run to a keeper on another host, with exponential backoff between the
/// retries.
async fn report_until_confirmed(
    context: Arc<EntryContext>,
    keeper: ids::HostName,
    record: v1::ClaimRecord,
) {
    let deadline = context.now() + REPORT_TIMEOUT;
    let mut backoff = REPORT_BACKOFF;
    while context.now() < deadline {
        let Some(address) = context.keepers.address(&keeper) else {
            return;
        };
        let call = async {
            let channel = context.channels.channel(address).await?;
            let request = v1::CompleteRequest {
                record: Some(record.clone()),
            };
            PeerClient::new(channel).complete(request).await?;
            Ok::<_, CallError>(())
        };
        if matches!(tokio::time::timeout(KEEPER_TIMEOUT, call).await, Ok(Ok(()))) {
            return;
        }
        context.channels.discard(address);
        context.clock.sleep(backoff).await;
        backoff = (backoff * 2).min(REPORT_BACKOFF * 32);
    }
    log::warn!(target: "keys", "keeper {keeper} did not confirm the outcome of a run, giving up");
}
