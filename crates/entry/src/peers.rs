//! What an entry host knows of the others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::ids;
use model::state::{self, ForceState};
use serde::Serialize;

use crate::standing::StandingFacts;

/// What another entry host said last.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerWord {
    /// Name of the host.
    pub host: ids::HostName,
    /// Number that grows with each start of the host.
    pub incarnation: u64,
    /// The host takes no new work.
    pub closed: bool,
}

#[derive(Debug, Clone)]
struct PeerEntry {
    incarnation: u64,
    closed: bool,
    heard: Instant,
}

/// What an entry host knows of the others, from what they said last.
#[derive(Debug, Clone)]
pub struct PeerTable {
    own: ids::HostName,
    started: Instant,
    peers: BTreeMap<ids::HostName, PeerEntry>,
}

/// A peer in a state dump.
#[derive(Debug, Clone, Serialize)]
pub struct PeerReport {
    /// Name of the host.
    pub host: ids::HostName,
    /// Number of its start.
    pub incarnation: u64,
    /// It takes no new work.
    pub closed: bool,
    /// Time since it was heard, in milliseconds.
    pub heard_ms_ago: u64,
}

impl PeerTable {
    /// Time without a word after which a host is left out of answers.
    pub const LOST_AFTER: Duration = StandingFacts::HEARD_WITHIN;

    /// Creates the table of a host.
    pub fn new(now: Instant, own: impl Into<ids::HostName>) -> Self {
        Self {
            own: own.into(),
            started: now,
            peers: BTreeMap::new(),
        }
    }

    /// Takes what a host said; a word of an earlier start of it is passed over.
    pub fn hear(&mut self, now: Instant, word: PeerWord) {
        if word.host == self.own {
            return;
        }
        let known = self.peers.get(&word.host);
        if known.is_some_and(|entry| entry.incarnation > word.incarnation) {
            return;
        }
        let entry = PeerEntry {
            incarnation: word.incarnation,
            closed: word.closed,
            heard: now,
        };
        self.peers.insert(word.host, entry);
    }

    /// Forgets hosts that are not in force.
    pub fn retain(&mut self, force: &ForceState) {
        let known = |name: &String| {
            force
                .hosts
                .get(name)
                .is_some_and(|held| held.spec.is_some())
        };
        self.peers.retain(|name, _| known(name));
    }

    /// Returns how many other hosts in force were heard lately.
    pub fn heard(&self, now: Instant, force: &ForceState) -> usize {
        state::live(&force.hosts)
            .filter(|(name, _)| self.is_heard(now, name))
            .count()
    }

    /// Returns the hosts in force that callers should not be sent to.
    ///
    /// A host that was never heard counts as lost only once this one has run for
    /// [`Self::LOST_AFTER`].
    pub fn closed(&self, now: Instant, force: &ForceState) -> BTreeSet<ids::HostName> {
        let settled = now.saturating_duration_since(self.started) > Self::LOST_AFTER;
        state::live(&force.hosts)
            .filter(|(name, _)| *name != self.own)
            .filter(|(name, _)| match self.peers.get(*name) {
                Some(entry) => entry.closed || !self.is_heard(now, name),
                None => settled,
            })
            .map(|(name, _)| name.to_string())
            .collect()
    }

    /// Returns the table for a state dump.
    pub fn report(&self, now: Instant) -> Vec<PeerReport> {
        let report = |(host, entry): (&ids::HostName, &PeerEntry)| PeerReport {
            host: host.clone(),
            incarnation: entry.incarnation,
            closed: entry.closed,
            heard_ms_ago: millis(now.saturating_duration_since(entry.heard)),
        };
        self.peers.iter().map(report).collect()
    }

    fn is_heard(&self, now: Instant, name: &str) -> bool {
        self.peers.get(name).is_some_and(|entry| {
            now.saturating_duration_since(entry.heard) <= StandingFacts::HEARD_WITHIN
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
