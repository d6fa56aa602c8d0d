//! The record table of one keeper.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use model::ids;

use crate::fault::InjectedFault;
use crate::record::{
    AttemptId, ClaimAnswer, ClaimKey, ClaimRecord, ClaimState, KeptAnswer, RequestDigest,
    RunOutcome,
};

/// Size and time limits of a keeper.
#[derive(Debug, Clone, Copy)]
pub struct KeeperLimits {
    /// Time for which a record is kept after its claim, or after its run ended.
    pub retention: Duration,
    /// Longest time from the start of an attempt to its grant.
    ///
    /// A restarted keeper waits as long before it fetches the records of the other hosts: an
    /// attempt that counts a grant from before the restart has ended by then, and the other keepers
    /// that granted it have its record.
    pub attempt_timeout: Duration,
    /// Most records in the table.
    pub max_records: usize,
    /// Most bytes of all keys and kept answers.
    pub max_bytes: usize,
    /// Most bytes of one kept answer; a larger answer is not kept.
    pub max_answer_bytes: usize,
}

impl Default for KeeperLimits {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            attempt_timeout: Duration::from_secs(1),
            max_records: 200_000,
            max_bytes: 64 << 20,
            max_answer_bytes: 16 << 10,
        }
    }
}

/// Table entry of a key.
#[derive(Debug, Clone)]
struct KeyEntry {
    request: RequestDigest,
    /// Attempts that may hold the key; several only after a merge of records.
    holders: Vec<AttemptId>,
    state: ClaimState,
    /// Time of the claim, or of the end of its run.
    since: Instant,
    /// Whether this keeper granted the key to the holder.
    ///
    /// False for a record that was merged from another keeper: this keeper grants its holders
    /// nothing.
    granted: bool,
}

/// Progress of a restarted keeper in fetching the records of the other hosts.
#[derive(Debug, Clone)]
struct KeeperRecovery {
    /// Time from which records are fetched.
    fetch_at: Instant,
    /// Time at which recovery ends without the missing hosts: all earlier records have expired.
    until: Instant,
    /// Hosts whose records have been merged.
    merged: BTreeSet<ids::HostName>,
}

/// Stores the claim records of the keys that a host keeps.
///
/// The table grants each key to one attempt at a time and never evicts a record before its
/// retention has passed.
#[derive(Debug)]
pub struct ClaimKeeper {
    limits: KeeperLimits,
    keys: HashMap<ClaimKey, KeyEntry>,
    expiry: BTreeSet<(Instant, ClaimKey)>,
    bytes: usize,
    recovery: Option<KeeperRecovery>,
    fault: Option<InjectedFault>,
}

impl ClaimKeeper {
    /// Creates the keeper of a host that starts; the keeper begins in recovery.
    pub fn new(now: Instant, limits: KeeperLimits) -> Self {
        let recovery = KeeperRecovery {
            fetch_at: now + limits.attempt_timeout,
            until: now + limits.retention,
            merged: BTreeSet::new(),
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

    /// Injects a fault, so that tests can prove that they detect it.
    #[doc(hidden)]
    #[must_use]
    pub fn with_fault(mut self, fault: Option<InjectedFault>) -> Self {
        self.fault = fault;
        self
    }

    /// Handles a claim of a key.
    ///
    /// A repeated claim of the attempt that holds the key is granted again.
    pub fn claim(
        &mut self,
        now: Instant,
        key: &ClaimKey,
        request: RequestDigest,
        attempt: &AttemptId,
    ) -> ClaimAnswer {
        self.expire(now);
        if let Some(entry) = self.keys.get(key) {
            let claimed = entry.state == ClaimState::Claimed;
            if claimed && entry.granted && entry.holders.contains(attempt) {
                return ClaimAnswer::Granted;
            }
            return ClaimAnswer::Held(Self::record_of(now, key, entry));
        }
        if self.is_recovering(now) {
            return ClaimAnswer::Recovering;
        }
        if !self.has_room(key.len()) {
            return ClaimAnswer::Full;
        }
        let entry = KeyEntry {
            request,
            holders: vec![attempt.clone()],
            state: ClaimState::Claimed,
            since: now,
            granted: true,
        };
        self.insert(key.clone(), entry);
        ClaimAnswer::Granted
    }

    /// Records the outcome of an attempt's run.
    ///
    /// [`RunOutcome::NotRun`] releases the attempt's hold on the key; an attempt whose claim was
    /// not granted reports it too.
    pub fn complete(
        &mut self,
        now: Instant,
        key: &ClaimKey,
        request: RequestDigest,
        attempt: &AttemptId,
        outcome: RunOutcome,
    ) {
        self.expire(now);
        let frees_after_run = self.fault == Some(InjectedFault::FreeAfterRun);
        match outcome {
            RunOutcome::NotRun => self.release(key, attempt),
            RunOutcome::Answered(_) | RunOutcome::Unknown if frees_after_run => {
                self.release(key, attempt)
            }
            RunOutcome::Answered(answer) => {
                let state = self.answered_state(key, answer);
                self.store_final_state(now, key, request, attempt, state);
            }
            RunOutcome::Unknown => {
                self.store_final_state(now, key, request, attempt, ClaimState::Unknown)
            }
        }
    }

    /// Returns all records, for a restarted keeper, or `None` while this keeper is recovering too.
    pub fn dump(&mut self, now: Instant) -> Option<Vec<ClaimRecord>> {
        self.expire(now);
        if self.is_recovering(now) {
            return None;
        }
        let keys = self.keys.iter();
        let records = keys.map(|(key, entry)| Self::record_of(now, key, entry));
        Some(records.collect())
    }

    /// Returns whether the keeper has not yet recovered the records from before its start.
    pub fn is_recovering(&self, now: Instant) -> bool {
        if self.fault == Some(InjectedFault::GrantBeforeRecovery) {
            return false;
        }
        let recovery = self.recovery.as_ref();
        recovery.is_some_and(|recovery| now < recovery.until)
    }

    /// Returns the hosts whose records are to be fetched now.
    ///
    /// `others` are all other hosts that may keep keys.
    pub fn recovery_sources(
        &self,
        now: Instant,
        others: &BTreeSet<ids::HostName>,
    ) -> Vec<ids::HostName> {
        let Some(recovery) = &self.recovery else {
            return Vec::new();
        };
        let immediate = self.fault == Some(InjectedFault::RecoverAtOnce);
        if now < recovery.fetch_at && !immediate {
            return Vec::new();
        }
        others.difference(&recovery.merged).cloned().collect()
    }

    /// Merges the records of another host; recovery ends with the last of `others`.
    ///
    /// The records must have been requested after [`Self::recovery_sources`] returned the host.
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
        recovery.merged.insert(from);
        if others.is_subset(&recovery.merged) {
            self.recovery = None;
        }
    }

    /// Ends recovery without any records.
    ///
    /// The caller must know, confirmed by the control replicas, that no key was granted before.
    pub fn skip_recovery(&mut self) {
        self.recovery = None;
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the size in bytes of all keys and kept answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the record of a key as other processes see it.
    fn record_of(now: Instant, key: &ClaimKey, entry: &KeyEntry) -> ClaimRecord {
        ClaimRecord {
            key: key.clone(),
            request: entry.request,
            holders: entry.holders.clone(),
            state: entry.state.clone(),
            age: now.saturating_duration_since(entry.since),
        }
    }

    /// Returns whether one more record of `bytes` fits in the table.
    fn has_room(&self, bytes: usize) -> bool {
        self.keys.len() < self.limits.max_records && self.bytes + bytes <= self.limits.max_bytes
    }

    /// Returns the state of an answered key: `Unknown` where the answer exceeds the limits.
    fn answered_state(&self, key: &ClaimKey, answer: KeptAnswer) -> ClaimState {
        let bytes = answer.bytes();
        let fits = bytes <= self.limits.max_answer_bytes
            && self.bytes + bytes + key.len() <= self.limits.max_bytes;
        if fits {
            ClaimState::Answered(answer)
        } else {
            ClaimState::Unknown
        }
    }

    /// Records the final state of a run, replacing the claim of any other attempt.
    ///
    /// Only an attempt that a majority of keepers granted the key runs, so its outcome takes
    /// precedence. An answer that is already kept stays.
    fn store_final_state(
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
        let previous = self.remove(key);
        let answered = previous.filter(|entry| matches!(entry.state, ClaimState::Answered(_)));
        let entry = answered.unwrap_or(KeyEntry {
            request,
            holders: vec![attempt.clone()],
            state,
            since: now,
            granted: false,
        });
        self.insert(key.clone(), entry);
    }

    /// Removes an attempt from the holders of a claimed key. The key is free once it has no holders.
    fn release(&mut self, key: &ClaimKey, attempt: &AttemptId) {
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        let frees_after_run = self.fault == Some(InjectedFault::FreeAfterRun);
        if entry.state != ClaimState::Claimed && !frees_after_run {
            return;
        }
        entry.holders.retain(|holder| holder != attempt);
        if entry.holders.is_empty() {
            self.remove(key);
        }
    }

    /// Merges a record of another keeper with this keeper's record of the key, so that nothing that
    /// either keeper knows is lost.
    ///
    /// The result has the holders of both, the later time, and the final state where either has
    /// one; a kept answer takes precedence over `Unknown`.
    fn merge(&mut self, now: Instant, record: ClaimRecord) {
        let since = now.checked_sub(record.age).unwrap_or(now);
        let mut entry = self.remove(&record.key).unwrap_or(KeyEntry {
            request: record.request,
            holders: Vec::new(),
            state: ClaimState::Claimed,
            since,
            granted: false,
        });
        for holder in record.holders {
            if !entry.holders.contains(&holder) {
                entry.holders.push(holder);
                entry.granted = false;
            }
        }
        entry.since = entry.since.max(since);
        match (&entry.state, record.state) {
            (ClaimState::Answered(_), _) | (_, ClaimState::Claimed) => {}
            (_, final_state) => {
                entry.state = final_state;
                entry.request = record.request;
            }
        }
        self.insert(record.key, entry);
    }

    /// Returns the bytes that an entry counts against the limit of the table.
    fn entry_bytes(key: &ClaimKey, entry: &KeyEntry) -> usize {
        let answer = match &entry.state {
            ClaimState::Answered(answer) => answer.bytes(),
            ClaimState::Claimed | ClaimState::Unknown => 0,
        };
        key.len() + answer
    }

    fn insert(&mut self, key: ClaimKey, entry: KeyEntry) {
        self.bytes += Self::entry_bytes(&key, &entry);
        let expires = entry.since + self.limits.retention;
        self.expiry.insert((expires, key.clone()));
        self.keys.insert(key, entry);
    }

    fn remove(&mut self, key: &ClaimKey) -> Option<KeyEntry> {
        let entry = self.keys.remove(key)?;
        self.bytes -= Self::entry_bytes(key, &entry);
        let expires = entry.since + self.limits.retention;
        self.expiry.remove(&(expires, key.clone()));
        Some(entry)
    }

    /// Removes the records whose retention has passed.
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
