//! Requests during whose runs backend servers ended.
//!
//! When a server ends, all requests that it runs become suspect. What tells a harmful one from the others
//! is that several servers ended with it, and that none answered it since.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::hint::ServerIncarnation;
use crate::ids;

/// Number of servers that end with a request, and none answers it, until it is quarantined.
pub const QUARANTINE_CRASHES: usize = 3;

/// Number of servers that end with a request from which all hosts watch for answers to it.
const WATCHED_CRASHES: usize = 2;

/// Most requests that hosts watch for answers.
const MAX_WATCHED: usize = 128;

/// Most ended servers that are remembered for one request.
pub const MAX_ENDED_SERVERS: usize = 16;

/// Time after the latest evidence at which a suspect request is forgotten.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);

/// Most suspect requests that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// What a run of a request showed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEvidence {
    /// The server ended while it ran the request.
    ServerEnded(ServerIncarnation),
    /// A server answered the request.
    Answered,
}

/// Evidence on one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunNotice {
    /// The request.
    pub request: ids::RequestDigest,
    /// What a run showed.
    pub evidence: RunEvidence,
    /// Time since then.
    pub ago: Duration,
}

#[derive(Debug)]
struct SuspectEntry {
    /// Servers that ended since the latest answer, with the times, in the order of recording.
    ended: Vec<(ServerIncarnation, Instant)>,
    answered_at: Option<Instant>,
    touched_at: Instant,
    /// Time since which the request is to be watched.
    watched_since: Option<Instant>,
}

impl SuspectEntry {
    fn update_watched(&mut self, now: Instant) {
        self.watched_since = match self.ended.len() >= WATCHED_CRASHES {
            true => self.watched_since.or(Some(now)),
            false => None,
        };
    }
}

/// Evidence by request.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: HashMap<ids::RequestDigest, SuspectEntry>,
}

impl SuspectTable {
    /// Records evidence of a time `at`. Returns whether it adds anything.
    pub fn record(
        &mut self,
        now: Instant,
        request: ids::RequestDigest,
        evidence: &RunEvidence,
        at: Instant,
    ) -> bool {
        if !self.entries.contains_key(&request) {
            self.make_room(now);
        }
        let entry = self.entries.entry(request).or_insert(SuspectEntry {
            ended: Vec::new(),
            answered_at: None,
            touched_at: now,
            watched_since: None,
        });
        entry.touched_at = now;
        let adds = match evidence {
            RunEvidence::Answered => {
                let is_new = entry.answered_at.is_none_or(|known| known < at);
                entry.answered_at = entry.answered_at.max(Some(at));
                entry.ended.retain(|(_, ended_at)| *ended_at > at);
                is_new
            }
            RunEvidence::ServerEnded(server) => {
                let is_known = entry.ended.iter().any(|(known, _)| known == server);
                if is_known || entry.answered_at >= Some(at) {
                    return false;
                }
                entry.ended.push((server.clone(), at));
                if entry.ended.len() > MAX_ENDED_SERVERS {
                    entry.ended.remove(0);
                }
                true
            }
        };
        entry.update_watched(now);
        adds
    }

    /// Evicts what is old, and where the table is full the request with the least evidence.
    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < MAX_SUSPECTS {
            return;
        }
        self.entries
            .retain(|_, entry| now < entry.touched_at + EVIDENCE_TTL);
        if self.entries.len() < MAX_SUSPECTS {
            return;
        }
        let entries = self.entries.iter();
        let least = entries.min_by_key(|(_, entry)| (entry.ended.len(), entry.touched_at));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.entries.remove(&request);
        }
    }

    /// Returns the servers that ended with a request since its latest answer.
    pub fn ended(
        &self,
        now: Instant,
        request: ids::RequestDigest,
    ) -> impl Iterator<Item = &ServerIncarnation> {
        let entry = self.entries.get(&request);
        let entry = entry.filter(|entry| now < entry.touched_at + EVIDENCE_TTL);
        let ended = entry.into_iter().flat_map(|entry| &entry.ended);
        ended.map(|(server, _)| server)
    }

    /// Returns the time since which a request is to be watched for answers.
    pub fn watched_since(&self, request: ids::RequestDigest) -> Option<Instant> {
        self.entries.get(&request)?.watched_since
    }

    /// Returns the requests that are to be watched for answers: those with the most ended servers.
    pub fn watched(&self, now: Instant) -> Vec<ids::RequestDigest> {
        let fresh = |entry: &SuspectEntry| now < entry.touched_at + EVIDENCE_TTL;
        let watched = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.watched_since.is_some() && fresh(entry));
        let mut watched: Vec<_> = watched
            .map(|(request, entry)| (Reverse(entry.ended.len()), *request))
            .collect();
        watched.sort_unstable();
        watched.truncate(MAX_WATCHED);
        watched.into_iter().map(|(_, request)| request).collect()
    }

    /// Returns whether a request was answered, and no server ended with it since.
    pub fn is_cleared(&self, request: ids::RequestDigest) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| entry.answered_at.is_some() && entry.ended.is_empty())
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
