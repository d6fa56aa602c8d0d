//! Idempotency keys of requests, claimed at their keepers before they run.

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
use crate::exchange::ExchangeError;

/// Time in which a keeper must answer.
pub const KEEPER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time in which a claim must be granted.
pub const CLAIM_BOUND: Duration = Duration::from_millis(900);

/// Time for which the end of a run is told to a keeper that doesn't confirm it.
pub const TELL_BOUND: Duration = Duration::from_secs(30);

/// Shortest pause between two tries to tell a keeper; the longest is 32 times as long.
const TELL_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for a keeper beside this host to know how a run ended, before its caller does.
const SETTLE_BOUND: Duration = Duration::from_millis(100);

/// Claims keys for the requests of this host.
#[derive(Debug, Clone)]
pub struct KeyClaims {
    context: Arc<EntryContext>,
    granted: Arc<Mutex<HashMap<AttemptNumber, ClaimAttempt>>>,
}

impl KeyClaims {
    /// Creates the claims of a process.
    pub fn new(context: Arc<EntryContext>) -> Self {
        Self {
            context,
            granted: Arc::default(),
        }
    }

    async fn run_claim(&self, request: ClaimRequest) -> ClaimOutcome {
        if self.context.holder.view().keys_opened() != Some(true) {
            return ClaimOutcome::Unconfirmed;
        }
        let Some(mut attempt) = self.new_attempt(&request) else {
            return ClaimOutcome::Unconfirmed;
        };
        let mut asked = FuturesUnordered::new();
        let mut effects = attempt.start(self.context.now());
        loop {
            for effect in effects.drain(..) {
                match effect {
                    AttemptEffect::Claim(keeper) => asked.push(self.ask(&attempt, keeper)),
                    AttemptEffect::Complete { keeper, outcome } => {
                        task::spawn(self.tell(&attempt, keeper, outcome));
                    }
                    AttemptEffect::Finish(outcome) => {
                        self.release_late(&attempt, asked);
                        return self.finish(attempt, outcome);
                    }
                }
            }
            let timer = std::pin::pin!(self.context.clock.sleep_until(attempt.deadline()));
            let answered = match future::select(asked.next(), timer).await {
                Either::Left((answered, _)) => answered,
                Either::Right(_) => None,
            };
            let now = self.context.now();
            effects = match answered {
                Some((keeper, Ok(answer))) => attempt.on_answer(now, keeper, answer),
                Some((keeper, Err(_))) => attempt.on_failure(now, keeper),
                None => attempt.on_tick(now.max(attempt.deadline())),
            };
        }
    }

    /// Returns an attempt, or nothing while the hosts that may keep the key aren't known.
    fn new_attempt(&self, request: &ClaimRequest) -> Option<ClaimAttempt> {
        let now = self.context.now();
        let key: ClaimKey = format!("{}/{}", request.service, request.key);
        let groups = self.context.keepers.groups(now, &key)?;
        let id = AttemptId {
            host: self.context.settings.name.clone(),
            number: rand::random(),
        };
        let bound = CLAIM_BOUND.min(KeeperLimits::default().attempt_timeout);
        let deadline = now + bound;
        Some(ClaimAttempt::new(id, key, request.digest, groups, deadline))
    }

    /// Asks a keeper for the key, this host itself without a call.
    fn ask(
        &self,
        attempt: &ClaimAttempt,
        keeper: ids::HostName,
    ) -> BoxFuture<'static, (ids::HostName, Result<ClaimAnswer, ExchangeError>)> {
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
                attempt: Some(claim_wire::attempt_to(&id)),
            };
            let answer = call_claim(&context, &keeper, message).await;
            (keeper, answer)
        })
    }

    /// Tells a keeper how an attempt ended, until it confirms.
    fn tell(
        &self,
        attempt: &ClaimAttempt,
        keeper: ids::HostName,
        end: RunOutcome,
    ) -> BoxFuture<'static, ()> {
        let context = Arc::clone(&self.context);
        let (id, key) = (attempt.id().clone(), attempt.key().clone());
        let request = attempt.request();
        if keeper == context.settings.name {
            let now = context.now();
            let mut own = context.keepers.keeper();
            own.complete(now, &key, request, &id, end);
            return Box::pin(future::ready(()));
        }
        let record = claim_wire::end_to(&key, request, &id, end);
        Box::pin(tell_until_confirmed(context, keeper, record))
    }

    /// Takes the answers that come after a claim has ended, so that late grants are released.
    fn release_late(
        &self,
        attempt: &ClaimAttempt,
        mut asked: FuturesUnordered<
            BoxFuture<'static, (ids::HostName, Result<ClaimAnswer, ExchangeError>)>,
        >,
    ) {
        if attempt.outcome() == Some(&claimant::ClaimOutcome::Granted) {
            // A late grant is part of the claim and ends with its run.
            task::spawn(async move { while asked.next().await.is_some() {} });
            return;
        }
        let claims = self.clone();
        let (id, key) = (attempt.id().clone(), attempt.key().clone());
        let request = attempt.request();
        task::spawn(async move {
            while let Some((keeper, answer)) = asked.next().await {
                if matches!(answer, Ok(ClaimAnswer::Granted) | Err(_)) {
                    let record = claim_wire::end_to(&key, request, &id, RunOutcome::NotRun);
                    let context = Arc::clone(&claims.context);
                    task::spawn(tell_until_confirmed(context, keeper, record));
                }
            }
        });
    }

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

    /// Tells all keepers how a run ended; waits a short time for the first beside this host.
    async fn run_complete(&self, number: AttemptNumber, end: ClaimCompletion) {
        let Some(attempt) = self.granted().remove(&number) else {
            return;
        };
        let end = match end {
            ClaimCompletion::Answered(answer) => RunOutcome::Answered(claims::record::KeptAnswer {
                status: answer.status,
                headers: answer.headers,
                body: answer.body.to_vec(),
            }),
            ClaimCompletion::NotRun => RunOutcome::NotRun,
            ClaimCompletion::AnswerLost => RunOutcome::Unknown,
        };
        let mut told = FuturesUnordered::new();
        for effect in attempt.complete(&end) {
            if let AttemptEffect::Complete { keeper, outcome } = effect {
                told.push(task::spawn(self.tell(&attempt, keeper, outcome)));
            }
        }
        let most = async {
            for _ in 0..told.len() / 2 + 1 {
                told.next().await;
            }
        };
        let timer = std::pin::pin!(self.context.clock.sleep(SETTLE_BOUND));
        future::select(std::pin::pin!(most), timer).await;
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

async fn call_claim(
    context: &EntryContext,
    keeper: &str,
    message: v1::ClaimRequest,
) -> Result<ClaimAnswer, ExchangeError> {
    let address = context
        .keepers
        .address(keeper)
        .ok_or(ExchangeError::Silent)?;
    let call = async {
        let channel = context.links.channel(address).await?;
        let mut client =
            PeerClient::new(channel).max_decoding_message_size(dial::MAX_MESSAGE_BYTES);
        let reply = client.claim(message).await?.into_inner();
        Ok::<_, ExchangeError>(claim_wire::reply_from(reply)?)
    };
    let answer = match tokio::time::timeout(KEEPER_TIMEOUT, call).await {
        Ok(answer) => answer,
        Err(_) => Err(ExchangeError::Silent),
    };
    if answer.is_err() {
        context.links.forget(address);
    }
    answer
}

async fn tell_until_confirmed(
    context: Arc<EntryContext>,
    keeper: ids::HostName,
    record: v1::ClaimRecord,
) {
    let end = context.now() + TELL_BOUND;
    let mut pause = TELL_PAUSE;
    while context.now() < end {
        let Some(address) = context.keepers.address(&keeper) else {
            return;
        };
        let call = async {
            let channel = context.links.channel(address).await?;
            let request = v1::CompleteRequest {
                record: Some(record.clone()),
            };
            PeerClient::new(channel).complete(request).await?;
            Ok::<_, ExchangeError>(())
        };
        if matches!(tokio::time::timeout(KEEPER_TIMEOUT, call).await, Ok(Ok(()))) {
            return;
        }
        context.links.forget(address);
        context.clock.sleep(pause).await;
        pause = (pause * 2).min(TELL_PAUSE * 32);
    }
    log::warn!(target: "keys", "{keeper} did not confirm the end of a run");
}
