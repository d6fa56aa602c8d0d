//! Which entry hosts a caller should use.

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

/// Most entry hosts in one answer.
pub const MAX_ANSWER: usize = 5;

/// Most entry hosts of the first zone in one answer; the others are of other zones.
const MAX_NEAR: usize = 3;

/// An entry host as callers are told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostTarget {
    /// Name.
    pub name: ids::HostName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for callers.
    pub callers: SocketAddr,
}

/// Tells callers which entry hosts to use; immutable, shared by all threads.
///
/// Hosts of the caller's zone come first, then those of the same region, then others. Hosts that
/// are stopping, lost or cut off are left out.
#[derive(Debug, Clone)]
pub struct LookupTable {
    blocks: BlockTable,
    sites: Arc<SiteNames>,
    zones: HashMap<ids::ZoneName, ZoneHosts>,
    all: Arc<[Arc<HostTarget>]>,
}

/// Open entry hosts by zone.
type ZoneTargets<'a> = BTreeMap<&'a str, Vec<Arc<HostTarget>>>;

/// Zones by the numbers that blocks carry.
#[derive(Debug, Default, Clone)]
struct SiteNames {
    names: Vec<ids::ZoneName>,
    numbers: HashMap<ids::ZoneName, SiteId>,
}

/// Open entry hosts as one zone sees them.
#[derive(Debug, Clone)]
struct ZoneHosts {
    own: Arc<[Arc<HostTarget>]>,
    region: Arc<[Arc<HostTarget>]>,
    others: Arc<[Arc<HostTarget>]>,
}

impl LookupTable {
    /// Creates the table of a state without the closed hosts.
    pub fn new(state: &ForceState, closed: &BTreeSet<ids::HostName>) -> Self {
        let mut sites = SiteNames::default();
        let blocks: Vec<SiteBlock> = state::live(&state.blocks)
            .filter_map(|(prefix, block)| sites.block(prefix, block))
            .collect();
        Self {
            blocks: BlockTable::new(&blocks),
            sites: Arc::new(sites),
            zones: HashMap::new(),
            all: Arc::from([]),
        }
        .with_hosts(state, closed)
    }

    /// Creates a table of blocks that are not held in a state; `sites` names the zones that the
    /// blocks number.
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
            blocks: BlockTable::new(blocks),
            sites: Arc::new(sites),
            zones: HashMap::new(),
            all: Arc::from([]),
        }
        .with_hosts(state, closed)
    }

    /// Returns the table with the entry hosts of a state and without the closed ones.
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
            blocks: self.blocks.clone(),
            sites: Arc::clone(&self.sites),
            zones,
            all: by_zone.into_values().flatten().collect(),
        }
    }

    /// Returns the table after a ticket that has been applied to a state: only the parts that
    /// the ticket touches are made anew.
    #[must_use]
    pub fn with_ticket(
        &self,
        state: &ForceState,
        ticket: &ChangeTicket,
        closed: &BTreeSet<ids::HostName>,
    ) -> Self {
        let touched = ticket
            .objects
            .keys()
            .filter(|key| key.kind == spec::ObjectKind::Block)
            .filter_map(|key| IpNet::from_str(&key.name).ok());
        let mut chunks = BTreeSet::new();
        let mut has_v6 = false;
        for net in touched {
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
            let held = sites.chunk_blocks(state, chunk);
            blocks = blocks.with_chunk(chunk, &held);
        }
        if has_v6 {
            blocks = blocks.with_v6(&sites.v6_blocks(state));
        }
        Self {
            blocks,
            sites: Arc::new(sites),
            zones: HashMap::new(),
            all: Arc::from([]),
        }
        .with_hosts(state, closed)
    }

    /// Returns the entry hosts that a caller of a zone should use, in order.
    ///
    /// `caller` spreads callers over the hosts of a zone, such as a hash of the caller's address.
    pub fn by_zone(&self, zone: &str, caller: u64) -> Vec<Arc<HostTarget>> {
        let mut answer = Vec::with_capacity(MAX_ANSWER);
        if let Some(hosts) = self.zones.get(zone) {
            add_spread(&mut answer, &hosts.own, caller, MAX_NEAR);
            add_spread(&mut answer, &hosts.region, caller, MAX_ANSWER - 1);
            add_spread(&mut answer, &hosts.others, caller, MAX_ANSWER);
        }
        add_spread(&mut answer, &self.all, caller, MAX_ANSWER);
        answer
    }

    /// Returns the entry hosts that a caller of an address should use, in order: those of the
    /// zone whose block covers the address with the longest prefix.
    pub fn by_address(&self, address: IpAddr) -> Vec<Arc<HostTarget>> {
        let zone = self.zone_of(address).unwrap_or_default();
        self.by_zone(zone, caller_hash(address))
    }

    /// Returns the zone of the block that covers an address.
    pub fn zone_of(&self, address: IpAddr) -> Option<&str> {
        match self.blocks.site(address) {
            NO_SITE => None,
            site => self.sites.names.get(usize::from(site)).map(String::as_str),
        }
    }

    /// Returns the blocks of addresses.
    pub fn blocks(&self) -> &BlockTable {
        &self.blocks
    }
}

/// Returns the hash that spreads callers, from an address.
pub fn caller_hash(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => xxh3::xxh3_64(&address.octets()),
        IpAddr::V6(address) => xxh3::xxh3_64(&address.octets()),
    }
}

impl SiteNames {
    /// Returns the number of a zone; a new zone gets the next one.
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

    fn block(&mut self, prefix: &str, block: &spec::BlockSpec) -> Option<SiteBlock> {
        Some(SiteBlock {
            net: IpNet::from_str(prefix).ok()?,
            site: self.number(&block.zone)?,
        })
    }

    /// Returns the blocks of a state that overlap a /16.
    fn chunk_blocks(&mut self, state: &ForceState, chunk: u16) -> Vec<SiteBlock> {
        let [first, second] = chunk.to_be_bytes();
        let inside = format!("{first}.{second}.");
        let mut blocks = Vec::new();
        for length in 0..16 {
            let mask = !(u32::MAX.checked_shr(length).unwrap_or(0));
            let network = Ipv4Addr::from((u32::from(chunk) << 16) & mask);
            self.push_block(state, &format!("{network}/{length}"), &mut blocks);
        }
        let names = state.blocks.range(inside.clone()..);
        for (prefix, _) in names.take_while(|(prefix, _)| prefix.starts_with(&inside)) {
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

    fn push_block(&mut self, state: &ForceState, prefix: &str, blocks: &mut Vec<SiteBlock>) {
        let held = state.blocks.get(prefix).and_then(|held| held.spec.as_ref());
        blocks.extend(held.and_then(|block| self.block(prefix, block)));
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
    let of = |name: &str| by_zone.get(name).into_iter().flatten().cloned();
    let paired = region.zones.iter().filter(|other| *other != zone);
    ZoneHosts {
        own: of(zone).collect(),
        region: paired.flat_map(|other| of(other)).collect(),
        others: Arc::clone(others),
    }
}

/// Returns the open hosts of all other regions.
fn hosts_outside(region: &spec::RegionSpec, by_zone: &ZoneTargets<'_>) -> Arc<[Arc<HostTarget>]> {
    let outside = by_zone
        .iter()
        .filter(|(zone, _)| region.zones.iter().all(|own| own != *zone));
    outside.flat_map(|(_, hosts)| hosts).cloned().collect()
}

/// Adds hosts from a start that the hash chooses, until the answer has some length.
fn add_spread(
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
