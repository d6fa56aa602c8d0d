//! Order of the entry hosts for one backend server, by which they divide tasks without asking each
//! other.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use fleet::ids;
use xxhash_rust::xxh3;

use crate::settings::BalanceSettings;

/// Time for which a host that is no longer listed keeps its place in the division of limits. It may run
/// on without contact, and a control replica that has just started lists only some hosts.
const UNLISTED_RETENTION: Duration = Duration::from_secs(4);

/// An entry host.
#[derive(Debug)]
struct RankedHost {
    /// Hash of the name.
    seed: u64,
    zone: ids::ZoneName,
    /// Whether it is this host.
    is_own: bool,
    /// Time at which the host is forgotten; `None` while it is listed.
    forgotten_at: Option<Instant>,
}

/// How far an entry host is from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum HostDistance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// Place of this host among the hosts that divide the limit of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SharerPlace {
    /// Number of hosts before this one; `None` where this host isn't among them.
    pub(crate) rank: Option<usize>,
    /// Number of hosts.
    pub(crate) hosts: usize,
}

/// Result of a ranking for one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HostPlace {
    /// Whether this host is the first of the listed ones.
    pub(crate) is_first: bool,
    /// Place among the hosts that divide the server's limit.
    pub(crate) sharer: SharerPlace,
}

/// The entry hosts that are ready, and those that were until recently.
#[derive(Debug, Default)]
pub(crate) struct HostRanking {
    hosts: Vec<RankedHost>,
    listed: usize,
    version: u64,
    /// Time at which the next host is forgotten.
    next_eviction: Option<Instant>,
}

impl HostRanking {
    /// Replaces the names and zones of the listed hosts.
    pub(crate) fn set_listed(
        &mut self,
        now: Instant,
        own: &str,
        listed: Vec<(String, ids::ZoneName)>,
    ) {
        let mut former = std::mem::take(&mut self.hosts);
        self.listed = listed.len();
        for (name, zone) in listed {
            self.hosts.push(RankedHost {
                seed: xxh3::xxh3_64(name.as_bytes()),
                is_own: name == own,
                zone,
                forgotten_at: None,
            });
        }
        let listed: HashSet<_> = self.hosts.iter().map(|host| host.seed).collect();
        former.retain(|host| !listed.contains(&host.seed));
        for host in &mut former {
            host.forgotten_at.get_or_insert(now + UNLISTED_RETENTION);
        }
        self.hosts.append(&mut former);
        self.version += 1;
        self.set_next_eviction();
    }

    /// Forgets the hosts that have not been listed for some time.
    pub(crate) fn evict(&mut self, now: Instant) {
        if self.next_eviction.is_none_or(|at| now < at) {
            return;
        }
        self.hosts
            .retain(|host| host.forgotten_at.is_none_or(|at| now < at));
        self.version += 1;
        self.set_next_eviction();
    }

    fn set_next_eviction(&mut self) {
        let ends = self.hosts.iter().filter_map(|host| host.forgotten_at);
        self.next_eviction = ends.min();
    }

    /// Returns the number of listed hosts.
    pub(crate) fn listed(&self) -> usize {
        self.listed
    }

    /// Returns a number that changes with the ranking.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether this host is the first of the listed ones for a request.
    pub(crate) fn is_first_for(&self, request: ids::RequestDigest) -> bool {
        let listed = self.hosts.iter().filter(|host| host.forgotten_at.is_none());
        let hash = |host: &&RankedHost| xxh3::xxh3_64_with_seed(&request.to_le_bytes(), host.seed);
        listed.min_by_key(hash).is_some_and(|host| host.is_own)
    }

    /// Ranks the hosts for a backend server by their distance and rendezvous hashing. The hosts in the
    /// server's region divide its limit; where there are none, all do.
    pub(crate) fn place(
        &self,
        settings: &BalanceSettings,
        server: &str,
        zone: &str,
        region: &str,
    ) -> HostPlace {
        let distance = |host: &RankedHost| {
            if host.zone == zone {
                HostDistance::SameZone
            } else if settings.region(&host.zone) == region {
                HostDistance::SameRegion
            } else {
                HostDistance::OtherRegion
            }
        };
        let rank = |host: &RankedHost| {
            let hash = xxh3::xxh3_64_with_seed(server.as_bytes(), host.seed);
            (distance(host), hash)
        };
        let listed = self.hosts.iter().filter(|host| host.forgotten_at.is_none());
        let first = listed.min_by_key(|host| rank(host));
        let is_near = |host: &&RankedHost| distance(host) != HostDistance::OtherRegion;
        let any_near = self.hosts.iter().any(|host| is_near(&host));
        let sharers = self.hosts.iter().filter(|host| !any_near || is_near(host));
        let own = sharers.clone().find(|host| host.is_own).map(rank);
        let sharer = SharerPlace {
            rank: own.map(|own| sharers.clone().filter(|host| rank(host) < own).count()),
            hosts: sharers.count(),
        };
        HostPlace {
            is_first: first.is_some_and(|host| host.is_own),
            sharer,
        }
    }
}
