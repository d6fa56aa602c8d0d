//! Which entry hosts keep a key.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use model::ids;
use xxhash_rust::xxh3;

use crate::record::ClaimKey;

/// Hosts of which a majority must grant a key.
pub type KeeperGroup = Vec<ids::HostName>;

/// Chooses the keepers of keys among the entry hosts in force.
///
/// After a change of the list, claims need a majority of the old and of the new keepers, for as
/// long as a record made under the old list alone may still matter.
#[derive(Debug, Clone)]
pub struct KeeperRing {
    current: BTreeSet<ids::HostName>,
    /// Former lists, with the time until which each counts.
    former: VecDeque<(BTreeSet<ids::HostName>, Instant)>,
    overlap: Duration,
}

impl KeeperRing {
    /// Keepers of a key.
    pub const KEEPERS: usize = 3;

    /// Creates a ring of hosts; `overlap` is the time for which a former list counts.
    pub fn new(hosts: impl IntoIterator<Item = ids::HostName>, overlap: Duration) -> Self {
        Self {
            current: hosts.into_iter().collect(),
            former: VecDeque::new(),
            overlap,
        }
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

    /// Returns the groups of keepers of a key, each of which must grant it by majority.
    pub fn groups(&self, now: Instant, key: &ClaimKey) -> Vec<KeeperGroup> {
        let mut groups = vec![Self::choose(&self.current, key)];
        for (hosts, until) in &self.former {
            let group = Self::choose(hosts, key);
            if now < *until && !group.is_empty() && !groups.contains(&group) {
                groups.push(group);
            }
        }
        groups
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
