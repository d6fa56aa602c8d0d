//! The table of one keeper.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use model::ids;

use crate::fault::PlantedFault;
use crate::record::{
    AttemptId, ClaimAnswer, ClaimKey, ClaimRecord, ClaimState, KeptAnswer, RequestDigest, RunEnd,
};

/// Bounds and times of a keeper.
#[derive(Debug, Clone, Copy)]
pub struct KeeperLimits {
    /// Time for which a record is kept after the claim or the end of its run.
    pub window: Duration,
    /// Longest time from the start of an attempt to its grant; a keeper that restarted waits as
    /// long before it asks the others for their records.
    pub attempt: Duration,
    /// Most records.
    pub entries: usize,
    /// Most bytes of keys and kept answers.
    pub bytes: usize,
    /// Most bytes of one kept answer; a larger one is not kept.
    pub answer_bytes: usize,
}

impl Default for KeeperLimits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            attempt: Duration::from_secs(1),
            entries: 200_000,
            bytes: 64 << 20,
            answer_bytes: 16 << 10,
        }
    }
}

/// A key as the table holds it.
#[derive(Debug, Clone)]
struct HeldKey {
    request: RequestDigest,
    holders: Vec<AttemptId>,
    state: ClaimState,
    since: Instant,
    /// False for a record that came from another keeper: its attempt is granted nothing here.
    granted: bool,
}

/// What a keeper that restarted still waits for.
#[derive(Debug, Clone)]
struct KeeperRecovery {
    ask_at: Instant,
    until: Instant,
    answered: BTreeSet<ids::HostName>,
}

/// Holds the claims of the keys that a host keeps.
#[derive(Debug)]
pub struct ClaimKeeper {
    limits: KeeperLimits,
    keys: HashMap<ClaimKey, HeldKey>,
    expiry: BTreeSet<(Instant, ClaimKey)>,
    bytes: usize,
    recovery: Option<KeeperRecovery>,
    fault: Option<PlantedFault>,
}

impl ClaimKeeper {
    /// Creates the table of a host that starts; it is recovering.
    pub fn new(now: Instant, limits: KeeperLimits) -> Self {
        let recovery = KeeperRecovery {
            ask_at: now + limits.attempt,
            until: now + limits.window,
            answered: BTreeSet::new(),
        };
        Self {
            limits,
            keys: HashMap::new(),
            expiry: BTreeSet::new(),
            bytes: 0,
            recovery: Some(recovery),
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

    /// Answers a claim.
    pub fn claim(
        &mut self,
        now: Instant,
        key: &ClaimKey,
        request: RequestDigest,
        attempt: &AttemptId,
    ) -> ClaimAnswer {
        self.expire(now);
        if let Some(held) = self.keys.get(key) {
            let claimed = held.state == ClaimState::Claimed;
            if claimed && held.granted && held.holders.contains(attempt) {
                return ClaimAnswer::Granted;
            }
            return ClaimAnswer::Held(Self::describe(now, key, held));
        }
        if self.is_recovering(now) {
            return ClaimAnswer::Recovering;
        }
        if !self.has_room(key.len()) {
            return ClaimAnswer::Full;
        }
        let held = HeldKey {
            request,
            holders: vec![attempt.clone()],
            state: ClaimState::Claimed,
            since: now,
            granted: true,
        };
        self.insert(key.clone(), held);
        ClaimAnswer::Granted
    }

    /// Records how the run of an attempt ended; `NotRun` also releases a claim that lost.
    pub fn complete(
        &mut self,
        now: Instant,
        key: &ClaimKey,
        request: RequestDigest,
        attempt: &AttemptId,
        end: RunEnd,
    ) {
        self.expire(now);
        let freed = self.fault == Some(PlantedFault::FreeAfterRun);
        match end {
            RunEnd::NotRun => self.release(key, attempt),
            RunEnd::Answered(_) | RunEnd::Unknown if freed => self.release(key, attempt),
            RunEnd::Answered(answer) => {
                let state = self.keep_answer(key, answer);
                self.settle(now, key, request, attempt, state);
            }
            RunEnd::Unknown => self.settle(now, key, request, attempt, ClaimState::Unknown),
        }
    }

    /// Returns all records, for a keeper that restarted; none while this one is recovering too.
    pub fn dump(&mut self, now: Instant) -> Option<Vec<ClaimRecord>> {
        self.expire(now);
        if self.is_recovering(now) {
            return None;
        }
        let keys = self.keys.iter();
        let records = keys.map(|(key, held)| Self::describe(now, key, held));
        Some(records.collect())
    }

    /// Returns whether the keeper doesn't know yet what it held before its start.
    pub fn is_recovering(&self, now: Instant) -> bool {
        if self.fault == Some(PlantedFault::GrantBeforeRecovery) {
            return false;
        }
        let recovery = self.recovery.as_ref();
        recovery.is_some_and(|recovery| now < recovery.until)
    }

    /// Returns the hosts to ask for their records now, of all that may keep keys.
    pub fn hosts_to_ask(
        &self,
        now: Instant,
        others: &BTreeSet<ids::HostName>,
    ) -> Vec<ids::HostName> {
        let Some(recovery) = &self.recovery else {
            return Vec::new();
        };
        let at_once = self.fault == Some(PlantedFault::RecoverAtOnce);
        if now < recovery.ask_at && !at_once {
            return Vec::new();
        }
        others.difference(&recovery.answered).cloned().collect()
    }

    /// Takes the records of another host in; once all others gave theirs, recovery is over.
    ///
    /// The dump must have been asked for after [`Self::hosts_to_ask`] named the host.
    pub fn recover(
        &mut self,
        now: Instant,
        from: ids::HostName,
        records: Vec<ClaimRecord>,
        others: &BTreeSet<ids::HostName>,
    ) {
        for record in records {
            self.merge(now, record);
        }
        let Some(recovery) = self.recovery.as_mut() else {
            return;
        };
        recovery.answered.insert(from);
        if others.is_subset(&recovery.answered) {
            self.recovery = None;
        }
    }

    /// Ends recovery where nothing can have run yet: the host saw, confirmed by the control
    /// replicas, that no ticket was ever in force.
    pub fn start_empty(&mut self) {
        self.recovery = None;
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the bytes of keys and kept answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn describe(now: Instant, key: &ClaimKey, held: &HeldKey) -> ClaimRecord {
        ClaimRecord {
            key: key.clone(),
            request: held.request,
            holders: held.holders.clone(),
            state: held.state.clone(),
            age: now.saturating_duration_since(held.since),
        }
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.keys.len() < self.limits.entries && self.bytes + bytes <= self.limits.bytes
    }

    /// Returns the state of a key that was answered: without the answer where it has no room.
    fn keep_answer(&self, key: &ClaimKey, answer: KeptAnswer) -> ClaimState {
        let bytes = answer.bytes();
        let fits = bytes <= self.limits.answer_bytes
            && self.bytes + bytes + key.len() <= self.limits.bytes;
        if fits {
            ClaimState::Answered(answer)
        } else {
            ClaimState::Unknown
        }
    }

    /// Puts an end on record, whoever else asked for the key: the attempt had a majority.
    fn settle(
        &mut self,
        now: Instant,
        key: &ClaimKey,
        request: RequestDigest,
        attempt: &AttemptId,
        state: ClaimState,
    ) {
        if !self.keys.contains_key(key) && !self.has_room(key.len()) {
            return;
        }
        let before = self.remove(key);
        let answered = before.filter(|held| matches!(held.state, ClaimState::Answered(_)));
        let held = answered.unwrap_or(HeldKey {
            request,
            holders: vec![attempt.clone()],
            state,
            since: now,
            granted: false,
        });
        self.insert(key.clone(), held);
    }

    fn release(&mut self, key: &ClaimKey, attempt: &AttemptId) {
        let Some(held) = self.keys.get_mut(key) else {
            return;
        };
        let freed = self.fault == Some(PlantedFault::FreeAfterRun);
        if held.state != ClaimState::Claimed && !freed {
            return;
        }
        held.holders.retain(|holder| holder != attempt);
        if held.holders.is_empty() {
            self.remove(key);
        }
    }

    /// Merges a record of another keeper, so that nothing that either knows is lost.
    fn merge(&mut self, now: Instant, record: ClaimRecord) {
        let since = now.checked_sub(record.age).unwrap_or(now);
        let mut held = self.remove(&record.key).unwrap_or(HeldKey {
            request: record.request,
            holders: Vec::new(),
            state: ClaimState::Claimed,
            since,
            granted: false,
        });
        for holder in record.holders {
            if !held.holders.contains(&holder) {
                held.holders.push(holder);
                held.granted = false;
            }
        }
        held.since = held.since.max(since);
        match (&held.state, record.state) {
            (ClaimState::Answered(_), _) | (_, ClaimState::Claimed) => {}
            (_, ended) => {
                held.state = ended;
                held.request = record.request;
            }
        }
        self.insert(record.key, held);
    }

    fn weight(key: &ClaimKey, held: &HeldKey) -> usize {
        let answer = match &held.state {
            ClaimState::Answered(answer) => answer.bytes(),
            ClaimState::Claimed | ClaimState::Unknown => 0,
        };
        key.len() + answer
    }

    fn insert(&mut self, key: ClaimKey, held: HeldKey) {
        self.bytes += Self::weight(&key, &held);
        let expires = held.since + self.limits.window;
        self.expiry.insert((expires, key.clone()));
        self.keys.insert(key, held);
    }

    fn remove(&mut self, key: &ClaimKey) -> Option<HeldKey> {
        let held = self.keys.remove(key)?;
        self.bytes -= Self::weight(key, &held);
        let expires = held.since + self.limits.window;
        self.expiry.remove(&(expires, key.clone()));
        Some(held)
    }

    /// Drops the records whose window has passed.
    fn expire(&mut self, now: Instant) {
        while let Some((expires, key)) = self.expiry.first() {
            if now < *expires {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }
}
