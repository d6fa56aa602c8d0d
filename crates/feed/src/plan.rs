//! Order in which an entry host tries the sources of the state.

use std::net::SocketAddr;

use model::ids;
use model::spec::HostSpec;
use model::state::{self, ForceState};

/// Orders the sources that an entry host may subscribe to by preference.
///
/// With few hosts, all of them prefer the control replicas. With many hosts, only the root hosts
/// of each availability zone do, and the other hosts form a tree within their zone in which each
/// prefers its parent.
#[derive(Debug, Clone)]
pub struct SourcePlan {
    host: ids::HostName,
    controls: Vec<SocketAddr>,
}

impl SourcePlan {
    /// Largest number of entry hosts with which all of them prefer the control replicas.
    pub const MAX_DIRECT_HOSTS: usize = 32;

    /// Hosts of each availability zone that prefer the control replicas where there are many hosts.
    pub const ROOTS_PER_ZONE: usize = 2;

    /// Most hosts that prefer the same parent.
    pub const FAN_OUT: usize = 8;

    /// Creates the plan of `host`; `controls` are the addresses of the control replicas.
    pub fn new(host: impl Into<ids::HostName>, controls: Vec<SocketAddr>) -> Self {
        Self {
            host: host.into(),
            controls,
        }
    }

    /// Returns the sources in descending order of preference.
    ///
    /// The result has all control replicas and all other hosts, so that one reachable source is
    /// enough.
    pub fn sources(&self, state: &ForceState) -> Vec<SocketAddr> {
        let hosts: Vec<_> = state::live(&state.hosts).collect();
        let zone = hosts
            .iter()
            .find(|(name, _)| *name == self.host)
            .map(|(_, spec)| spec.zone.as_str());
        let zone_hosts: Vec<_> = hosts
            .iter()
            .filter(|(_, spec)| Some(spec.zone.as_str()) == zone)
            .collect();
        let rank = zone_hosts.iter().position(|(name, _)| *name == self.host);
        let mut sources = Vec::new();
        if hosts.len() > Self::MAX_DIRECT_HOSTS {
            sources.extend(parents(&zone_hosts, rank));
        }
        // The offset depends on the host's name, so that hosts of the same rank in different zones
        // start with different replicas.
        let offset = self.host.bytes().map(usize::from).sum();
        sources.extend(rotated(&self.controls, offset));
        let others = hosts.iter().filter(|(name, _)| *name != self.host);
        sources.extend(others.map(|(_, spec)| spec.peers));
        deduplicated(sources)
    }
}

/// Returns the parent of a host in its zone's tree and a root host as fallback.
///
/// The root hosts of the zone have neither. `rank` is the position of the host in `zone_hosts`.
fn parents(zone_hosts: &[&(&str, &HostSpec)], rank: Option<usize>) -> Vec<SocketAddr> {
    let Some(rank) = rank.filter(|rank| *rank >= SourcePlan::ROOTS_PER_ZONE) else {
        return Vec::new();
    };
    let parent = (rank - SourcePlan::ROOTS_PER_ZONE) / SourcePlan::FAN_OUT;
    let ranks = [parent, (parent + 1) % SourcePlan::ROOTS_PER_ZONE];
    ranks
        .iter()
        .filter_map(|rank| zone_hosts.get(*rank))
        .map(|(_, spec)| spec.peers)
        .collect()
}

/// Returns a list rotated left by an offset.
fn rotated(list: &[SocketAddr], offset: usize) -> Vec<SocketAddr> {
    let mut list = list.to_vec();
    if !list.is_empty() {
        let offset = offset % list.len();
        list.rotate_left(offset);
    }
    list
}

/// Returns a list without the repetitions of addresses.
fn deduplicated(mut list: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let mut seen = std::collections::HashSet::new();
    list.retain(|address| seen.insert(*address));
    list
}
