//! Selection of the entry hosts that keep a key.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use model::ids;
use xxhash_rust::xxh3;

use crate::record::ClaimKey;

/// Keepers of a key under one host list; a majority of them must grant a claim.
pub type KeeperGroup = Vec<ids::HostName>;

/// The current list of entry hosts or a former one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostList {
    /// Names of the hosts.
    pub hosts: BTreeSet<ids::HostName>,
    /// Time for which the keepers under the list still take part in claims.
    pub remaining: Duration,
}

/// Selects the keepers of keys among the current entry hosts by rendezvous hashing.
///
/// After a change of the host list, a claim needs a majority of both the old and the new keepers
/// until every record that only the old keepers have has expired. A restarted host doesn't know
/// the former lists; it claims no keys until another host has sent them or the overlap has passed.
#[derive(Debug, Clone)]
pub struct KeeperSelector {
    current: BTreeSet<ids::HostName>,
    /// Former host lists, each with the time at which it expires.
    former: VecDeque<(BTreeSet<ids::HostName>, Instant)>,
    /// Time for which a former list takes part in claims after its replacement.
    overlap: Duration,
    /// Time until which unknown former lists may take part in claims.
    unknown_until: Option<Instant>,
}

impl KeeperSelector {
    /// Number of keepers of each key; with fewer hosts, all of them are keepers.
    pub const KEEPERS_PER_KEY: usize = 3;

    /// Creates the selector of a host that starts.
    ///
    /// `overlap` is the time for which a former list takes part in claims. It must cover the
    /// retention of the keepers' records and the longest time that a host may lag behind the
    /// current list.
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

    /// Skips the recovery of former lists.
    ///
    /// The caller must know, confirmed by the control replicas, that no key was granted before.
    pub fn skip_recovery(&mut self) {
        self.unknown_until = None;
    }

    /// Replaces the current list of entry hosts; the replaced list becomes a former one.
    pub fn set_hosts(&mut self, now: Instant, hosts: impl IntoIterator<Item = ids::HostName>) {
        let hosts: BTreeSet<_> = hosts.into_iter().collect();
        self.former.retain(|(_, until)| now < *until);
        if hosts == self.current {
            return;
        }
        let old = std::mem::replace(&mut self.current, hosts);
        self.former.push_back((old, now + self.overlap));
    }

    /// Adds the lists that another host knows, which completes the recovery of former lists.
    pub fn add_lists(&mut self, now: Instant, lists: Vec<HostList>) {
        for list in lists {
            if list.hosts != self.current {
                let until = now + list.remaining;
                self.former.push_back((list.hosts, until));
            }
        }
        self.unknown_until = None;
    }

    /// Returns whether all former lists that take part in claims are known.
    pub fn is_known(&self, now: Instant) -> bool {
        self.unknown_until.is_none_or(|until| until <= now)
    }

    /// Returns the current list and the former lists that have not expired, for a restarted host.
    ///
    /// Returns `None` while the former lists aren't known.
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

    /// Returns the groups of keepers of a key, each of which must grant a claim by majority.
    ///
    /// Returns `None` while the former lists aren't known.
    pub fn groups(&self, now: Instant, key: &ClaimKey) -> Option<Vec<KeeperGroup>> {
        if !self.is_known(now) {
            return None;
        }
        let mut groups = vec![Self::select(&self.current, key)];
        for (hosts, until) in &self.former {
            let group = Self::select(hosts, key);
            if now < *until && !group.is_empty() && !groups.contains(&group) {
                groups.push(group);
            }
        }
        Some(groups)
    }

    /// Returns all hosts that may keep keys, including those of former lists that have not expired.
    pub fn hosts(&self, now: Instant) -> BTreeSet<ids::HostName> {
        let former = self.former.iter().filter(|(_, until)| now < *until);
        let mut hosts = self.current.clone();
        hosts.extend(former.flat_map(|(hosts, _)| hosts.iter().cloned()));
        hosts
    }

    /// Selects the hosts with the highest hashes of key and host name.
    fn select(hosts: &BTreeSet<ids::HostName>, key: &ClaimKey) -> KeeperGroup {
        let seed = xxh3::xxh3_64(key.as_bytes());
        let mut ranked: Vec<_> = hosts
            .iter()
            .map(|host| (xxh3::xxh3_64_with_seed(host.as_bytes(), seed), host))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(Self::KEEPERS_PER_KEY);
        ranked.into_iter().map(|(_, host)| host.clone()).collect()
    }
}
