//! Status of the other entry hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::ids;
use model::state::{self, ForceState};
use serde::Serialize;

use crate::standing::StandingFacts;

/// Status that another entry host reports about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerStatus {
    /// Name of the host.
    pub host: ids::HostName,
    /// Incarnation of the host, which increases with each start.
    pub incarnation: u64,
    /// Whether callers should not be sent to the host.
    pub closed: bool,
}

/// Latest status of a peer.
#[derive(Debug, Clone)]
struct PeerEntry {
    incarnation: u64,
    closed: bool,
    /// Time at which the status arrived.
    last_seen: Instant,
}

/// Latest status of each of the other entry hosts.
#[derive(Debug, Clone)]
pub struct PeerTable {
    own: ids::HostName,
    started: Instant,
    peers: BTreeMap<ids::HostName, PeerEntry>,
}

/// Status of a peer in a state dump.
#[derive(Debug, Clone, Serialize)]
pub struct PeerReport {
    /// Name of the host.
    pub host: ids::HostName,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Whether callers should not be sent to the host.
    pub closed: bool,
    /// Time since the latest status arrived, in milliseconds.
    pub heard_ms_ago: u64,
}

impl PeerTable {
    /// Time without a status after which a host is lost.
    pub const LOST_AFTER: Duration = StandingFacts::PEER_TIMEOUT;

    /// Creates the empty table of the host `own`.
    pub fn new(now: Instant, own: impl Into<ids::HostName>) -> Self {
        Self {
            own: own.into(),
            started: now,
            peers: BTreeMap::new(),
        }
    }

    /// Records the status of a host.
    ///
    /// A status of this host itself is ignored, and so is one of an earlier incarnation than known.
    pub fn record(&mut self, now: Instant, status: PeerStatus) {
        if status.host == self.own {
            return;
        }
        let known = self.peers.get(&status.host);
        if known.is_some_and(|entry| entry.incarnation > status.incarnation) {
            return;
        }
        let entry = PeerEntry {
            incarnation: status.incarnation,
            closed: status.closed,
            last_seen: now,
        };
        self.peers.insert(status.host, entry);
    }

    /// Removes the hosts that are not in the current state.
    pub fn retain(&mut self, current: &ForceState) {
        let is_live = |name: &String| {
            current
                .hosts
                .get(name)
                .is_some_and(|entry| entry.spec.is_some())
        };
        self.peers.retain(|name, _| is_live(name));
    }

    /// Returns the number of other hosts in the current state that are not lost.
    pub fn count_reachable(&self, now: Instant, current: &ForceState) -> usize {
        state::live(&current.hosts)
            .filter(|(name, _)| self.is_reachable(now, name))
            .count()
    }

    /// Returns the other hosts in the current state that are closed or lost; callers should not be
    /// sent to them.
    ///
    /// A host that has sent no status yet counts as lost only after this host has run for
    /// [`Self::LOST_AFTER`].
    pub fn closed(&self, now: Instant, current: &ForceState) -> BTreeSet<ids::HostName> {
        let grace_over = now.saturating_duration_since(self.started) > Self::LOST_AFTER;
        state::live(&current.hosts)
            .filter(|(name, _)| *name != self.own)
            .filter(|(name, _)| match self.peers.get(*name) {
                Some(entry) => entry.closed || !self.is_reachable(now, name),
                None => grace_over,
            })
            .map(|(name, _)| name.to_string())
            .collect()
    }

    /// Returns the status of all peers for a state dump.
    pub fn report(&self, now: Instant) -> Vec<PeerReport> {
        let report = |(host, entry): (&ids::HostName, &PeerEntry)| PeerReport {
            host: host.clone(),
            incarnation: entry.incarnation,
            closed: entry.closed,
            heard_ms_ago: millis(now.saturating_duration_since(entry.last_seen)),
        };
        self.peers.iter().map(report).collect()
    }

    fn is_reachable(&self, now: Instant, name: &str) -> bool {
        self.peers.get(name).is_some_and(|entry| {
            now.saturating_duration_since(entry.last_seen) <= StandingFacts::PEER_TIMEOUT
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
