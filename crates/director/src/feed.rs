//! Changes of a replica's observations, in the order in which entry hosts get them.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

/// Identifies one run of a replica.
pub type FeedEpoch = u64;

/// Position of an entry host in the changes of one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedMark {
    /// Run of the replica; the positions of another run mean nothing to it.
    pub epoch: FeedEpoch,
    /// Number of the latest change that the host has.
    pub sequence: u64,
}

/// Keys whose values changed, each once, by the number of the latest change.
#[derive(Debug)]
pub struct ChangeFeed<K> {
    epoch: FeedEpoch,
    sequence: u64,
    by_sequence: BTreeMap<u64, K>,
    by_key: HashMap<K, u64>,
}

impl<K: Clone + Eq + Hash> ChangeFeed<K> {
    /// Creates a feed without changes.
    pub fn new(epoch: FeedEpoch) -> Self {
        Self {
            epoch,
            sequence: 0,
            by_sequence: BTreeMap::new(),
            by_key: HashMap::new(),
        }
    }

    /// Adds a change, which replaces an earlier one of the same key.
    pub fn push(&mut self, key: K) {
        self.sequence += 1;
        if let Some(former) = self.by_key.insert(key.clone(), self.sequence) {
            self.by_sequence.remove(&former);
        }
        self.by_sequence.insert(self.sequence, key);
    }

    /// Removes the changes of the keys for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&K) -> bool) {
        self.by_sequence.retain(|_, key| is_kept(key));
        self.by_key.retain(|key, _| is_kept(key));
    }

    /// Returns the position after the latest change.
    pub fn mark(&self) -> FeedMark {
        FeedMark {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }

    /// Returns the keys that changed after a position, in order.
    pub fn since(&self, mark: FeedMark) -> impl Iterator<Item = &K> {
        let known = if mark.epoch == self.epoch {
            mark.sequence
        } else {
            0
        };
        let changes = self.by_sequence.range(known + 1..);
        changes.map(|(_, key)| key)
    }
}
