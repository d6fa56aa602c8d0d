//! One attempt to claim a key, and how it ended.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::ids;

use crate::fault::PlantedFault;
use crate::record::{
    AttemptId, ClaimAnswer, ClaimKey, ClaimRecord, ClaimState, KeptAnswer, RequestDigest, RunEnd,
};
use crate::ring::KeeperGroup;

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimOutcome {
    /// The request may run.
    Granted,
    /// The same request runs now, or another attempt asked at the same time; not run.
    HeldInProgress,
    /// The same request ran before, and this was its answer.
    AnsweredBefore(KeptAnswer),
    /// The same request may have run before, and no answer is known.
    UsedUnknown,
    /// The key was used for another request; not run.
    KeyUsed,
    /// Too few keepers are in reach; not run.
    Unconfirmed,
}

/// Something that the daemon must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEffect {
    /// Ask a keeper for the key.
    Ask(ids::HostName),
    /// Tell a keeper how the attempt ended; sent again until the keeper has confirmed it.
    Complete {
        /// The keeper.
        keeper: ids::HostName,
        /// How it ended; not run, where the claim was not granted.
        end: RunEnd,
    },
    /// The claim came to an end.
    Finish(ClaimOutcome),
}

/// Asks the keepers of a key for it, until a majority of each group has granted it.
#[derive(Debug)]
pub struct ClaimAttempt {
    id: AttemptId,
    key: ClaimKey,
    request: RequestDigest,
    groups: Vec<KeeperGroup>,
    answers: BTreeMap<ids::HostName, ClaimAnswer>,
    failed: BTreeSet<ids::HostName>,
    deadline: Instant,
    run_limit: Duration,
    outcome: Option<ClaimOutcome>,
    fault: Option<PlantedFault>,
}

impl ClaimAttempt {
    /// Longest time for which a claimed key counts as running; afterwards its end is unknown.
    pub const RUN_LIMIT: Duration = Duration::from_secs(120);

    /// Creates an attempt that gives up at `deadline`, which must be no later than the keepers'
    /// longest attempt from now.
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
            run_limit: Self::RUN_LIMIT,
            outcome: None,
            fault: None,
        }
    }

    /// Plants a known fault, by which tests show that they would find it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_fault(mut self, fault: Option<PlantedFault>) -> Self {
        self.fault = fault;
        self
    }

    /// Returns the attempt's number and host.
    pub fn id(&self) -> &AttemptId {
        &self.id
    }

    /// Returns the key.
    pub fn key(&self) -> &ClaimKey {
        &self.key
    }

    /// Returns the digest of the request.
    pub fn request(&self) -> RequestDigest {
        self.request
    }

    /// Returns when the attempt gives up.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns what became of the claim, once it is known.
    pub fn outcome(&self) -> Option<&ClaimOutcome> {
        self.outcome.as_ref()
    }

    /// Asks all keepers.
    pub fn start(&mut self, now: Instant) -> Vec<AttemptEffect> {
        let mut effects: Vec<_> = self.keepers().into_iter().map(AttemptEffect::Ask).collect();
        effects.extend(self.decide(now));
        effects
    }

    /// Takes a keeper's answer.
    ///
    /// A grant that comes after the claim has ended without one is released.
    pub fn on_answer(
        &mut self,
        now: Instant,
        keeper: ids::HostName,
        answer: ClaimAnswer,
    ) -> Vec<AttemptEffect> {
        match &self.outcome {
            None => {
                self.answers.insert(keeper, answer);
                self.decide(now)
            }
            Some(ClaimOutcome::Granted) => Vec::new(),
            Some(_) if answer == ClaimAnswer::Granted => vec![AttemptEffect::Complete {
                keeper,
                end: RunEnd::NotRun,
            }],
            Some(_) => Vec::new(),
        }
    }

    /// Notes that a keeper can't be reached.
    pub fn on_failure(&mut self, now: Instant, keeper: ids::HostName) -> Vec<AttemptEffect> {
        self.failed.insert(keeper);
        self.decide(now)
    }

    /// Gives up where the deadline has passed.
    pub fn on_tick(&mut self, now: Instant) -> Vec<AttemptEffect> {
        self.decide(now)
    }

    /// Tells all keepers how a granted run ended.
    pub fn complete(&self, end: &RunEnd) -> Vec<AttemptEffect> {
        let keepers = self.keepers().into_iter();
        keepers
            .map(|keeper| AttemptEffect::Complete {
                keeper,
                end: end.clone(),
            })
            .collect()
    }

    /// Returns the keepers of all groups, each once.
    fn keepers(&self) -> BTreeSet<ids::HostName> {
        self.groups.iter().flatten().cloned().collect()
    }

    /// Ends the claim once its outcome is known.
    fn decide(&mut self, now: Instant) -> Vec<AttemptEffect> {
        if self.outcome.is_some() {
            return Vec::new();
        }
        let Some(outcome) = self.judge(now) else {
            return Vec::new();
        };
        self.outcome = Some(outcome.clone());
        let mut effects = match outcome {
            ClaimOutcome::Granted => Vec::new(),
            _ => self.complete(&RunEnd::NotRun),
        };
        effects.push(AttemptEffect::Finish(outcome));
        effects
    }

    fn judge(&self, now: Instant) -> Option<ClaimOutcome> {
        let ended = self.held().find(|record| self.has_ended(record));
        if let Some(record) = ended {
            return Some(self.outcome_of(record));
        }
        let untimely = self.fault == Some(PlantedFault::GrantAfterDeadline);
        let in_time = now < self.deadline || untimely;
        if in_time && self.groups.iter().all(|group| self.is_granted(group)) {
            return Some(ClaimOutcome::Granted);
        }
        let possible = self.groups.iter().all(|group| self.is_possible(group));
        // A keeper that has not answered yet may know how the run of a held key ended.
        let may_know_end = self.held().next().is_some() && self.awaits_keepers();
        if in_time && (possible || may_know_end) {
            return None;
        }
        let mut held = self.held().collect::<Vec<_>>();
        held.sort_by_key(|record| record.request == self.request);
        let first = held.first();
        Some(first.map_or(ClaimOutcome::Unconfirmed, |record| self.outcome_of(record)))
    }

    fn held(&self) -> impl Iterator<Item = &ClaimRecord> {
        self.answers.values().filter_map(|answer| match answer {
            ClaimAnswer::Held(record) => Some(record),
            ClaimAnswer::Granted | ClaimAnswer::Recovering | ClaimAnswer::Full => None,
        })
    }

    /// Returns whether a record shows that the key's run came to an end.
    fn has_ended(&self, record: &ClaimRecord) -> bool {
        record.state != ClaimState::Claimed
    }

    fn outcome_of(&self, record: &ClaimRecord) -> ClaimOutcome {
        if record.request != self.request {
            return ClaimOutcome::KeyUsed;
        }
        match &record.state {
            ClaimState::Answered(answer) => ClaimOutcome::AnsweredBefore(answer.clone()),
            ClaimState::Unknown => ClaimOutcome::UsedUnknown,
            ClaimState::Claimed if record.age >= self.run_limit => ClaimOutcome::UsedUnknown,
            ClaimState::Claimed => ClaimOutcome::HeldInProgress,
        }
    }

    fn is_granted(&self, group: &KeeperGroup) -> bool {
        let grants = group.iter().filter(|keeper| self.has_granted(keeper));
        grants.count() >= self.majority(group)
    }

    /// Returns whether a keeper has neither answered nor failed.
    fn awaits_keepers(&self) -> bool {
        let keepers = self.keepers();
        let mut open = keepers.iter().filter(|keeper| self.is_open(keeper));
        open.next().is_some()
    }

    fn is_open(&self, keeper: &ids::HostName) -> bool {
        !self.answers.contains_key(keeper) && !self.failed.contains(keeper)
    }

    /// Returns whether a majority may still grant the key.
    fn is_possible(&self, group: &KeeperGroup) -> bool {
        let hopeful = group
            .iter()
            .filter(|keeper| self.is_open(keeper) || self.has_granted(keeper));
        hopeful.count() >= self.majority(group)
    }

    fn has_granted(&self, keeper: &ids::HostName) -> bool {
        self.answers.get(keeper) == Some(&ClaimAnswer::Granted)
    }

    fn majority(&self, group: &KeeperGroup) -> usize {
        if self.fault == Some(PlantedFault::GrantByOne) {
            return 1;
        }
        group.len() / 2 + 1
    }
}
