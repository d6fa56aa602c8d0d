//! Look-up of the entry hosts that a caller should use.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::sync::Arc;

use ipnet::IpNet;
use model::ids;
use model::spec;
use model::state::{self, ForceState};
use model::ticket::ChangeTicket;
use xxhash_rust::xxh3;

use crate::blocks::{BlockTable, SiteBlock, SiteId, NO_SITE};

/// Maximum number of entry hosts in one answer.
pub const MAX_HOSTS: usize = 5;

/// Maximum number of entry hosts of the caller's zone in one answer, so that an answer also has
/// hosts of other zones.
const MAX_OWN_ZONE_HOSTS: usize = 3;

/// An entry host in an answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostTarget {
    /// Host name.
    pub name: ids::HostName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address at which the host accepts callers.
    pub callers: SocketAddr,
}

/// Immutable table that maps zones and client addresses to entry hosts.
///
/// Hosts of the caller's zone come first, then those of the same region, then others. Closed hosts
/// are left out: those that are stopping, lost or cut off.
#[derive(Debug, Clone)]
pub struct LookupTable {
    revision: ids::Revision,
    blocks: BlockTable,
    sites: Arc<SiteNames>,
    zones: HashMap<ids::ZoneName, ZoneHosts>,
    all: Arc<[Arc<HostTarget>]>,
}

/// Open entry hosts by zone name.
type ZoneTargets<'a> = BTreeMap<&'a str, Vec<Arc<HostTarget>>>;

/// Mapping between zones and their site numbers in the block table.
#[derive(Debug, Default, Clone)]
struct SiteNames {
    names: Vec<ids::ZoneName>,
    numbers: HashMap<ids::ZoneName, SiteId>,
}

/// Open entry hosts grouped by their distance to one zone.
#[derive(Debug, Clone)]
struct ZoneHosts {
    /// Hosts of the zone itself.
    own: Arc<[Arc<HostTarget>]>,
    /// Hosts of the other zones in the same region.
    region: Arc<[Arc<HostTarget>]>,
    /// Hosts of other regions.
    others: Arc<[Arc<HostTarget>]>,
}

impl LookupTable {
    /// Builds a table from the blocks and hosts of a state, without the closed hosts.
    pub fn new(state: &ForceState, closed: &BTreeSet<ids::HostName>) -> Self {
        let mut sites = SiteNames::default();
        let blocks: Vec<SiteBlock> = state::live(&state.blocks)
            .filter_map(|(prefix, block)| sites.block(prefix, block))
            .collect();
        Self {
            revision: 0,
            blocks: BlockTable::new(&blocks),
            sites: Arc::new(sites),
            zones: HashMap::new(),
            all: Arc::from([]),
        }
        .with_hosts(state, closed)
    }

    /// Builds a table from blocks that are not part of the state. `sites` are the zone names in the
    /// order of the blocks' site numbers.
    pub fn from_blocks(
        state: &ForceState,
        closed: &BTreeSet<ids::HostName>,
        sites: Vec<ids::ZoneName>,
        blocks: &[SiteBlock],
    ) -> Self {
        let numbers = (0..NO_SITE).zip(&sites);
        let numbers = numbers.map(|(site, name)| (name.clone(), site)).collect();
        let sites = SiteNames {
            names: sites,
            numbers,
        };
        Self {
            revision: 0,
            blocks: BlockTable::new(blocks),
            sites: Arc::new(sites),
            zones: HashMap::new(),
            all: Arc::from([]),
        }
        .with_hosts(state, closed)
    }

    /// Returns the revision of the state that the entry hosts are from.
    pub fn revision(&self) -> ids::Revision {
        self.revision
    }

    /// Returns a table with the same blocks and the entry hosts of a state, without the closed
    /// hosts.
    #[must_use]
    pub fn with_hosts(&self, state: &ForceState, closed: &BTreeSet<ids::HostName>) -> Self {
        let mut by_zone: ZoneTargets<'_> = BTreeMap::new();
        for (name, host) in state::live(&state.hosts) {
            if !closed.contains(name) {
                let target = Arc::new(HostTarget {
                    name: name.to_string(),
                    zone: host.zone.clone(),
                    callers: host.callers,
                });
                by_zone.entry(&host.zone).or_default().push(target);
            }
        }
        let mut zones = HashMap::new();
        for (_, region) in state::live(&state.regions) {
            let others = hosts_outside(region, &by_zone);
            for zone in &region.zones {
                let hosts = zone_hosts(zone, region, &by_zone, &others);
                zones.insert(zone.clone(), hosts);
            }
        }
        Self {
            revision: state.revision,
            blocks: self.blocks.clone(),
            sites: Arc::clone(&self.sites),
            zones,
            all: by_zone.into_values().flatten().collect(),
        }
    }

    /// Returns the table after a ticket that has already been applied to the state. Only the /16
    /// chunks that the ticket changes are rebuilt, and all IPv6 blocks if it changes one of them.
    #[must_use]
    pub fn with_ticket(
        &self,
        state: &ForceState,
        ticket: &ChangeTicket,
        closed: &BTreeSet<ids::HostName>,
    ) -> Self {
        let changed = ticket
            .objects
            .keys()
            .filter(|key| key.kind == spec::ObjectKind::Block)
            .filter_map(|key| IpNet::from_str(&key.name).ok());
        let mut chunks = BTreeSet::new();
        let mut has_v6 = false;
        for net in changed {
            match net {
                IpNet::V4(net) => {
                    let first = u32::from(net.network()) >> 16;
                    let last = u32::from(net.broadcast()) >> 16;
                    chunks.extend(first as u16..=last as u16);
                }
                IpNet::V6(_) => has_v6 = true,
            }
        }
        let mut sites = SiteNames::clone(&self.sites);
        let mut blocks = self.blocks.clone();
        for chunk in chunks {
            let chunk_blocks = sites.chunk_blocks(state, chunk);
            blocks = blocks.with_chunk(chunk, &chunk_blocks);
        }
        if has_v6 {
            blocks = blocks.with_v6(&sites.v6_blocks(state));
        }
        Self {
            revision: 0,
            blocks,
            sites: Arc::new(sites),
            zones: HashMap::new(),
            all: Arc::from([]),
        }
        .with_hosts(state, closed)
    }

    /// Returns the entry hosts that a caller in a zone should use, in order of preference.
    ///
    /// `caller` is a hash of the caller, such as [`caller_hash`]; it spreads the callers over the
    /// hosts of a zone.
    pub fn by_zone(&self, zone: &str, caller: u64) -> Vec<Arc<HostTarget>> {
        let mut answer = Vec::with_capacity(MAX_HOSTS);
        if let Some(hosts) = self.zones.get(zone) {
            push_rotated(&mut answer, &hosts.own, caller, MAX_OWN_ZONE_HOSTS);
            push_rotated(&mut answer, &hosts.region, caller, MAX_HOSTS - 1);
            push_rotated(&mut answer, &hosts.others, caller, MAX_HOSTS);
        }
        push_rotated(&mut answer, &self.all, caller, MAX_HOSTS);
        answer
    }

    /// Returns the entry hosts that a caller with an address should use, in order of preference.
    /// The caller's zone is that of the block with the longest matching prefix.
    pub fn by_address(&self, address: IpAddr) -> Vec<Arc<HostTarget>> {
        let zone = self.zone_of(address).unwrap_or_default();
        self.by_zone(zone, caller_hash(address))
    }

    /// Returns the zone of the block with the longest prefix that covers an address.
    pub fn zone_of(&self, address: IpAddr) -> Option<&str> {
        match self.blocks.site(address) {
            NO_SITE => None,
            site => self.sites.names.get(usize::from(site)).map(String::as_str),
        }
    }

    /// Returns the table of address blocks.
    pub fn blocks(&self) -> &BlockTable {
        &self.blocks
    }
}

/// Returns the hash of a caller's address, for [`LookupTable::by_zone`].
pub fn caller_hash(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => xxh3::xxh3_64(&address.octets()),
        IpAddr::V6(address) => xxh3::xxh3_64(&address.octets()),
    }
}

impl SiteNames {
    /// Returns the site number of a zone and assigns the next one to a new zone. Returns `None`
    /// when all numbers are used.
    fn number(&mut self, zone: &str) -> Option<SiteId> {
        if let Some(site) = self.numbers.get(zone) {
            return Some(*site);
        }
        let site = SiteId::try_from(self.names.len()).ok()?;
        if site == NO_SITE {
            return None;
        }
        self.names.push(zone.to_string());
        self.numbers.insert(zone.to_string(), site);
        Some(site)
    }

    /// Returns a block with the site number of its zone, or `None` if the prefix is invalid or all
    /// site numbers are used.
    fn block(&mut self, prefix: &str, block: &spec::BlockSpec) -> Option<SiteBlock> {
        Some(SiteBlock {
            net: IpNet::from_str(prefix).ok()?,
            site: self.number(&block.zone)?,
        })
    }

    /// Returns the blocks of a state that overlap a /16 chunk.
    fn chunk_blocks(&mut self, state: &ForceState, chunk: u16) -> Vec<SiteBlock> {
        let [first, second] = chunk.to_be_bytes();
        let octets_prefix = format!("{first}.{second}.");
        let mut blocks = Vec::new();
        for length in 0..16 {
            let mask = !(u32::MAX.checked_shr(length).unwrap_or(0));
            let network = Ipv4Addr::from((u32::from(chunk) << 16) & mask);
            self.push_block(state, &format!("{network}/{length}"), &mut blocks);
        }
        let names = state.blocks.range(octets_prefix.clone()..);
        for (prefix, _) in names.take_while(|(prefix, _)| prefix.starts_with(&octets_prefix)) {
            if prefix_length(prefix) >= 16 {
                self.push_block(state, prefix, &mut blocks);
            }
        }
        blocks
    }

    fn v6_blocks(&mut self, state: &ForceState) -> Vec<SiteBlock> {
        state::live(&state.blocks)
            .filter(|(prefix, _)| prefix.contains(':'))
            .filter_map(|(prefix, block)| self.block(prefix, block))
            .collect()
    }

    /// Appends the block of a prefix, if the state contains it.
    fn push_block(&mut self, state: &ForceState, prefix: &str, blocks: &mut Vec<SiteBlock>) {
        let spec = state.blocks.get(prefix).and_then(|held| held.spec.as_ref());
        blocks.extend(spec.and_then(|block| self.block(prefix, block)));
    }
}

fn prefix_length(prefix: &str) -> u8 {
    let length = prefix.rsplit('/').next().and_then(|text| text.parse().ok());
    length.unwrap_or(0)
}

fn zone_hosts(
    zone: &str,
    region: &spec::RegionSpec,
    by_zone: &ZoneTargets<'_>,
    others: &Arc<[Arc<HostTarget>]>,
) -> ZoneHosts {
    let hosts_in = |zone: &str| by_zone.get(zone).into_iter().flatten().cloned();
    let other_zones = region.zones.iter().filter(|other| *other != zone);
    ZoneHosts {
        own: hosts_in(zone).collect(),
        region: other_zones.flat_map(|other| hosts_in(other)).collect(),
        others: Arc::clone(others),
    }
}

/// Returns the open hosts outside a region.
fn hosts_outside(region: &spec::RegionSpec, by_zone: &ZoneTargets<'_>) -> Arc<[Arc<HostTarget>]> {
    let outside = by_zone
        .iter()
        .filter(|(zone, _)| region.zones.iter().all(|own| own != *zone));
    outside.flat_map(|(_, hosts)| hosts).cloned().collect()
}

/// Appends hosts, starting at an index that the hash selects, until the answer has `length` hosts.
fn push_rotated(
    answer: &mut Vec<Arc<HostTarget>>,
    hosts: &[Arc<HostTarget>],
    hash: u64,
    length: usize,
) {
    if hosts.is_empty() {
        return;
    }
    let start = (hash % hosts.len() as u64) as usize;
    let (before, after) = hosts.split_at(start);
    for host in after.iter().chain(before) {
        if answer.len() >= length {
            return;
        }
        if !answer.iter().any(|listed| listed.name == host.name) {
            answer.push(Arc::clone(host));
        }
    }
}
