//! Which entry hosts keep a key.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use model::ids;
use xxhash_rust::xxh3;

use crate::record::ClaimKey;

/// Hosts of which a majority must grant a key.
pub type KeeperGroup = Vec<ids::HostName>;

/// A list of entry hosts that is or was in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostList {
    /// The hosts.
    pub hosts: BTreeSet<ids::HostName>,
    /// Time for which the list still counts.
    pub remaining: Duration,
}

/// Chooses the keepers of keys among the entry hosts in force.
///
/// After a change of the list, claims need a majority of the old and of the new keepers, for as
/// long as a record made under the old list alone may still matter. A host that starts doesn't
/// know which lists were in force before, and claims nothing until another host told it, or the
/// overlap has passed.
#[derive(Debug, Clone)]
pub struct KeeperRing {
    current: BTreeSet<ids::HostName>,
    /// Former lists, with the time until which each counts.
    former: VecDeque<(BTreeSet<ids::HostName>, Instant)>,
    overlap: Duration,
    /// Until when former lists may count that the ring doesn't know.
    unknown_until: Option<Instant>,
}

impl KeeperRing {
    /// Keepers of a key.
    pub const KEEPERS: usize = 3;

    /// Creates the ring of a host that starts; `overlap` is the time for which a former list
    /// counts: the window of the keepers and the longest time that a host may lag.
    pub fn new(
        now: Instant,
        hosts: impl IntoIterator<Item = ids::HostName>,
        overlap: Duration,
    ) -> Self {
        Self {
            current: hosts.into_iter().collect(),
            former: VecDeque::new(),
            overlap,
            unknown_until: Some(now + overlap),
        }
    }

    /// Notes that no list was in force before: the host saw, confirmed by the control replicas,
    /// that no ticket was ever in force.
    pub fn start_empty(&mut self) {
        self.unknown_until = None;
    }

    /// Takes the list of entry hosts that is now in force.
    pub fn set_hosts(&mut self, now: Instant, hosts: impl IntoIterator<Item = ids::HostName>) {
        let hosts: BTreeSet<_> = hosts.into_iter().collect();
        self.former.retain(|(_, until)| now < *until);
        if hosts == self.current {
            return;
        }
        let old = std::mem::replace(&mut self.current, hosts);
        self.former.push_back((old, now + self.overlap));
    }

    /// Takes the lists in that another host knows.
    pub fn learn(&mut self, now: Instant, lists: Vec<HostList>) {
        for list in lists {
            if list.hosts != self.current {
                let until = now + list.remaining;
                self.former.push_back((list.hosts, until));
            }
        }
        self.unknown_until = None;
    }

    /// Returns whether all lists that count are known.
    pub fn is_known(&self, now: Instant) -> bool {
        self.unknown_until.is_none_or(|until| until <= now)
    }

    /// Returns the lists that count, for a host that starts; none while they aren't known here.
    pub fn lists(&self, now: Instant) -> Option<Vec<HostList>> {
        if !self.is_known(now) {
            return None;
        }
        let current = HostList {
            hosts: self.current.clone(),
            remaining: self.overlap,
        };
        let former = self.former.iter().filter(|(_, until)| now < *until);
        let former = former.map(|(hosts, until)| HostList {
            hosts: hosts.clone(),
            remaining: until.saturating_duration_since(now),
        });
        Some(std::iter::once(current).chain(former).collect())
    }

    /// Returns the groups of keepers of a key, each of which must grant it by majority; none
    /// while the lists that count aren't known.
    pub fn groups(&self, now: Instant, key: &ClaimKey) -> Option<Vec<KeeperGroup>> {
        if !self.is_known(now) {
            return None;
        }
        let mut groups = vec![Self::choose(&self.current, key)];
        for (hosts, until) in &self.former {
            let group = Self::choose(hosts, key);
            if now < *until && !group.is_empty() && !groups.contains(&group) {
                groups.push(group);
            }
        }
        Some(groups)
    }

    /// Returns all hosts that may keep keys, those of former lists included.
    pub fn hosts(&self, now: Instant) -> BTreeSet<ids::HostName> {
        let former = self.former.iter().filter(|(_, until)| now < *until);
        let mut hosts = self.current.clone();
        hosts.extend(former.flat_map(|(hosts, _)| hosts.iter().cloned()));
        hosts
    }

    /// Chooses the hosts with the highest hashes of key and name.
    fn choose(hosts: &BTreeSet<ids::HostName>, key: &ClaimKey) -> KeeperGroup {
        let seed = xxh3::xxh3_64(key.as_bytes());
        let mut ranked: Vec<_> = hosts
            .iter()
            .map(|host| (xxh3::xxh3_64_with_seed(host.as_bytes(), seed), host))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(Self::KEEPERS);
        ranked.into_iter().map(|(_, host)| host.clone()).collect()
    }
}
