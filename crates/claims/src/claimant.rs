//! One attempt to claim a key.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::ids;

use crate::fault::InjectedFault;
use crate::record::{
    AttemptId, ClaimAnswer, ClaimKey, ClaimRecord, ClaimState, KeptAnswer, RequestDigest,
    RunOutcome,
};
use crate::selector::KeeperGroup;

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimOutcome {
    /// The claim is granted; the request may run.
    Granted,
    /// Another attempt with the same request is running, or claimed the key at the same time; the
    /// request is not run.
    HeldInProgress,
    /// The same request ran before, with this answer.
    AnsweredBefore(KeptAnswer),
    /// The same request may have run before, and no answer is kept; the request is not run.
    UsedUnknown,
    /// The key belongs to a different request; the request is not run.
    KeyUsed,
    /// Too few keepers granted the key in time; the request is not run.
    Unconfirmed,
}

/// Action that the caller of a [`ClaimAttempt`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEffect {
    /// Send the claim to a keeper.
    Claim(ids::HostName),
    /// Report the outcome of the run to a keeper; retried until the keeper confirms it.
    Complete {
        /// Keeper to report to.
        keeper: ids::HostName,
        /// Outcome of the run: `NotRun` where the claim was not granted.
        outcome: RunOutcome,
    },
    /// Return the outcome of the claim; no further claims are sent.
    Finish(ClaimOutcome),
}

/// Claims a key from its keepers; the claim is granted by a majority of each group.
#[derive(Debug)]
pub struct ClaimAttempt {
    id: AttemptId,
    key: ClaimKey,
    request: RequestDigest,
    groups: Vec<KeeperGroup>,
    answers: BTreeMap<ids::HostName, ClaimAnswer>,
    failed: BTreeSet<ids::HostName>,
    deadline: Instant,
    max_run_time: Duration,
    outcome: Option<ClaimOutcome>,
    fault: Option<InjectedFault>,
}

impl ClaimAttempt {
    /// Longest time for which a claimed key counts as running; after that, the outcome of its run
    /// counts as unknown.
    pub const MAX_RUN_TIME: Duration = Duration::from_secs(120);

    /// Creates an attempt that fails if it is not granted before `deadline`.
    ///
    /// The deadline must be at most [`KeeperLimits::attempt_timeout`] from now: restarted keepers
    /// rely on it.
    ///
    /// [`KeeperLimits::attempt_timeout`]: crate::keeper::KeeperLimits::attempt_timeout
    pub fn new(
        id: AttemptId,
        key: ClaimKey,
        request: RequestDigest,
        groups: Vec<KeeperGroup>,
        deadline: Instant,
    ) -> Self {
        Self {
            id,
            key,
            request,
            groups,
            answers: BTreeMap::new(),
            failed: BTreeSet::new(),
            deadline,
            max_run_time: Self::MAX_RUN_TIME,
            outcome: None,
            fault: None,
        }
    }

    /// Injects a fault, so that tests can prove that they detect it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_fault(mut self, fault: Option<InjectedFault>) -> Self {
        self.fault = fault;
        self
    }

    /// Returns the host and number of the attempt.
    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// Returns the claimed key.
    pub fn key(&self) -> &ClaimKey {
        &self.key
    }

    /// Returns the digest of the request.
    pub fn request(&self) -> RequestDigest {
        self.request
    }

    /// Returns the time at which the attempt fails.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the outcome of the claim, once it is known.
    pub fn outcome(&self) -> Option<&ClaimOutcome> {
        self.outcome.as_ref()
    }

    /// Sends the claim to all keepers.
    pub fn start(&mut self, now: Instant) -> Vec<AttemptEffect> {
        let mut effects: Vec<_> = self
            .keepers()
            .into_iter()
            .map(AttemptEffect::Claim)
            .collect();
        effects.extend(self.advance(now));
        effects
    }

    /// Handles a keeper's answer.
    ///
    /// A grant that arrives after the claim has failed is released.
    pub fn on_answer(
        &mut self,
        now: Instant,
        keeper: ids::HostName,
        answer: ClaimAnswer,
    ) -> Vec<AttemptEffect> {
        match &self.outcome {
            None => {
                self.answers.insert(keeper, answer);
                self.advance(now)
            }
            Some(ClaimOutcome::Granted) => Vec::new(),
            Some(_) if answer == ClaimAnswer::Granted => vec![AttemptEffect::Complete {
                keeper,
                outcome: RunOutcome::NotRun,
            }],
            Some(_) => Vec::new(),
        }
    }

    /// Records that a keeper could not be reached or did not answer.
    pub fn on_failure(&mut self, now: Instant, keeper: ids::HostName) -> Vec<AttemptEffect> {
        self.failed.insert(keeper);
        self.advance(now)
    }

    /// Ends the attempt if its deadline has passed.
    pub fn on_tick(&mut self, now: Instant) -> Vec<AttemptEffect> {
        self.advance(now)
    }

    /// Reports the outcome of a run to all keepers.
    pub fn complete(&self, outcome: &RunOutcome) -> Vec<AttemptEffect> {
        let keepers = self.keepers().into_iter();
        keepers
            .map(|keeper| AttemptEffect::Complete {
                keeper,
                outcome: outcome.clone(),
            })
            .collect()
    }

    /// Returns the keepers of all groups without duplicates.
    fn keepers(&self) -> BTreeSet<ids::HostName> {
        self.groups.iter().flatten().cloned().collect()
    }

    /// Ends the claim as soon as its outcome is known.
    fn advance(&mut self, now: Instant) -> Vec<AttemptEffect> {
        if self.outcome.is_some() {
            return Vec::new();
        }
        let Some(outcome) = self.evaluate(now) else {
            return Vec::new();
        };
        self.outcome = Some(outcome.clone());
        let mut effects = match outcome {
            ClaimOutcome::Granted => Vec::new(),
            _ => self.complete(&RunOutcome::NotRun),
        };
        effects.push(AttemptEffect::Finish(outcome));
        effects
    }

    /// Returns the outcome of the claim, or `None` while it depends on further answers.
    fn evaluate(&self, now: Instant) -> Option<ClaimOutcome> {
        let ended = self.held_records().find(|record| self.has_ended(record));
        if let Some(record) = ended {
            return Some(self.outcome_of(record));
        }
        let ignores_deadline = self.fault == Some(InjectedFault::GrantAfterDeadline);
        let in_time = now < self.deadline || ignores_deadline;
        if in_time && self.groups.iter().all(|group| self.is_granted(group)) {
            return Some(ClaimOutcome::Granted);
        }
        let grantable = self.groups.iter().all(|group| self.is_grantable(group));
        // A keeper that has not answered yet may know the outcome of the run that holds the key.
        let may_learn_outcome = self.is_held_by_minority() && self.awaits_keepers();
        if in_time && (grantable || may_learn_outcome) {
            return None;
        }
        let mut held = self.held_records().collect::<Vec<_>>();
        // Records of different requests come first, so that a reused key is reported as such.
        held.sort_by_key(|record| record.request == self.request);
        let first = held.first();
        Some(first.map_or(ClaimOutcome::Unconfirmed, |record| self.outcome_of(record)))
    }

    /// Returns the records of the keepers that refused the claim because the key is held.
    fn held_records(&self) -> impl Iterator<Item = &ClaimRecord> {
        self.answers.values().filter_map(|answer| match answer {
            ClaimAnswer::Held(record) => Some(record),
            ClaimAnswer::Granted | ClaimAnswer::Recovering | ClaimAnswer::Full => None,
        })
    }

    /// Returns whether a record shows that the run of the key has ended.
    fn has_ended(&self, record: &ClaimRecord) -> bool {
        record.state != ClaimState::Claimed
    }

    /// Returns the outcome of a claim that a record refuses.
    fn outcome_of(&self, record: &ClaimRecord) -> ClaimOutcome {
        if record.request != self.request {
            return ClaimOutcome::KeyUsed;
        }
        match &record.state {
            ClaimState::Answered(answer) => ClaimOutcome::AnsweredBefore(answer.clone()),
            ClaimState::Unknown => ClaimOutcome::UsedUnknown,
            ClaimState::Claimed if record.age >= self.max_run_time => ClaimOutcome::UsedUnknown,
            ClaimState::Claimed => ClaimOutcome::HeldInProgress,
        }
    }

    /// Returns whether a majority of a group has granted the key.
    fn is_granted(&self, group: &KeeperGroup) -> bool {
        let grants = group.iter().filter(|keeper| self.has_granted(keeper));
        grants.count() >= self.majority(group)
    }

    /// Returns whether some keepers hold the key for another attempt, but fewer than a majority of
    /// any group.
    fn is_held_by_minority(&self) -> bool {
        let holds = |keeper: &ids::HostName| {
            let answer = self.answers.get(keeper);
            matches!(answer, Some(ClaimAnswer::Held(_)))
        };
        let by_majority = |group: &KeeperGroup| {
            let held = group.iter().filter(|keeper| holds(keeper));
            held.count() >= self.majority(group)
        };
        let is_held = self.held_records().next().is_some();
        is_held && !self.groups.iter().any(by_majority)
    }

    /// Returns whether the answer of any keeper is outstanding.
    fn awaits_keepers(&self) -> bool {
        let keepers = self.keepers();
        let mut pending = keepers.iter().filter(|keeper| self.is_pending(keeper));
        pending.next().is_some()
    }

    /// Returns whether a keeper has neither answered nor failed.
    fn is_pending(&self, keeper: &ids::HostName) -> bool {
        !self.answers.contains_key(keeper) && !self.failed.contains(keeper)
    }

    /// Returns whether a majority of a group has granted the key or still may.
    fn is_grantable(&self, group: &KeeperGroup) -> bool {
        let candidates = group
            .iter()
            .filter(|keeper| self.is_pending(keeper) || self.has_granted(keeper));
        candidates.count() >= self.majority(group)
    }

    fn has_granted(&self, keeper: &ids::HostName) -> bool {
        self.answers.get(keeper) == Some(&ClaimAnswer::Granted)
    }

    /// Returns the number of grants that a group needs.
    fn majority(&self, group: &KeeperGroup) -> usize {
        if self.fault == Some(InjectedFault::GrantByOne) {
            return 1;
        }
        group.len() / 2 + 1
    }
}
