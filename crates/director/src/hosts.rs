//! Lists of the entry hosts that are alive, and the differences between them.
//!
//! An entry host names its list by a digest. The replica keeps its latest lists, so that it can send the
//! differences alone, also to a host that got its list from another replica.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use fleet::ids;
use xxhash_rust::xxh3::Xxh3;

use crate::message::{HostStatus, HostsUpdate};

/// Number of lists that are kept for differences.
const MAX_KEPT_LISTS: usize = 32;

/// The entry hosts that are alive at one time, by name.
pub type HostsByName = BTreeMap<String, HostStatus>;

/// A list of entry hosts.
#[derive(Debug, Default)]
pub struct HostList {
    digest: u64,
    hosts: HostsByName,
    /// Addresses of the hosts that are ready, by availability zone.
    ready: BTreeMap<ids::ZoneName, Vec<SocketAddr>>,
}

impl HostList {
    /// Creates a list.
    pub fn new(hosts: HostsByName) -> Self {
        let mut ready: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for host in hosts.values().filter(|host| host.ready) {
            let addresses = ready.entry(host.zone.clone()).or_default();
            addresses.push(host.address);
        }
        Self {
            digest: digest(&hosts),
            hosts,
            ready,
        }
    }

    /// Returns the digest of the list.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the hosts.
    pub fn hosts(&self) -> &HostsByName {
        &self.hosts
    }

    /// Returns the addresses of the hosts that are ready, by availability zone.
    pub fn ready(&self) -> &BTreeMap<ids::ZoneName, Vec<SocketAddr>> {
        &self.ready
    }

    /// Returns the changes that turn an older list into this one.
    fn changes_since(&self, older: &Self) -> HostsUpdate {
        let gone = older
            .hosts
            .keys()
            .filter(|name| !self.hosts.contains_key(*name));
        let changed = self.hosts.values();
        let changed = changed.filter(|host| older.hosts.get(&host.name) != Some(*host));
        HostsUpdate::Changes {
            gone: gone.cloned().collect(),
            changed: changed.cloned().collect(),
        }
    }
}

/// Returns the digest of a list of entry hosts. It is never 0, which stands for no known list.
pub fn digest(hosts: &HostsByName) -> u64 {
    let mut hasher = Xxh3::new();
    for host in hosts.values() {
        hasher.update(host.name.as_bytes());
        hasher.update(&[0]);
        hasher.update(host.zone.as_bytes());
        hasher.update(&[0, u8::from(host.ready)]);
        hasher.update(host.address.to_string().as_bytes());
    }
    hasher.digest() | 1
}

/// The current list of entry hosts and those before it.
#[derive(Debug, Default)]
pub struct HostLists {
    current: Arc<HostList>,
    former: VecDeque<Arc<HostList>>,
}

impl HostLists {
    /// Returns the current list.
    pub fn current(&self) -> &Arc<HostList> {
        &self.current
    }

    /// Replaces the current list.
    pub fn set(&mut self, hosts: HostsByName) {
        let list = Arc::new(HostList::new(hosts));
        if list.digest == self.current.digest {
            return;
        }
        let former = std::mem::replace(&mut self.current, list);
        self.former.push_front(former);
        self.former.truncate(MAX_KEPT_LISTS);
    }

    /// Returns the update of a copy with the given digest, or 0 for none, to the current list.
    pub fn update_since(&self, digest: u64) -> HostsUpdate {
        if digest != 0 && digest == self.current.digest {
            return HostsUpdate::Current;
        }
        let mut former = self.former.iter().filter(|_| digest != 0);
        let former = former.find(|list| list.digest == digest);
        match former {
            Some(former) => self.current.changes_since(former),
            None => HostsUpdate::Whole(self.current.hosts.values().cloned().collect()),
        }
    }
}

impl HostsUpdate {
    /// Applies the update to a copy of the list. Returns whether it changes the copy.
    pub fn apply(self, hosts: &mut HostsByName) -> bool {
        match self {
            Self::Current => false,
            Self::Changes { gone, changed } => {
                for name in &gone {
                    hosts.remove(name);
                }
                let changed = changed.into_iter();
                hosts.extend(changed.map(|host| (host.name.clone(), host)));
                true
            }
            Self::Whole(whole) => {
                let whole = whole.into_iter();
                *hosts = whole.map(|host| (host.name.clone(), host)).collect();
                true
            }
        }
    }
}
