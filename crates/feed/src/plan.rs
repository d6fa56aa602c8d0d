//! Which sources a host follows.

use std::net::SocketAddr;

use model::ids;
use model::spec::HostSpec;
use model::state::{self, ForceState};

/// Chooses the sources that an entry host follows, the best first.
///
/// Few hosts follow the control replicas. Where there are many, the first hosts of each
/// availability zone do, and the others follow a parent in a tree within their zone.
#[derive(Debug, Clone)]
pub struct SourcePlan {
    host: ids::HostName,
    controls: Vec<SocketAddr>,
}

impl SourcePlan {
    /// Most hosts that all follow the control replicas.
    pub const MAX_DIRECT: usize = 32;

    /// Hosts of each availability zone that follow the control replicas.
    pub const ZONE_HEADS: usize = 2;

    /// Hosts that follow one parent.
    pub const FAN_OUT: usize = 8;

    /// Creates the plan of a host.
    pub fn new(host: impl Into<ids::HostName>, controls: Vec<SocketAddr>) -> Self {
        Self {
            host: host.into(),
            controls,
        }
    }

    /// Returns the sources under a state, the best first.
    ///
    /// All control replicas and all hosts of the zone are among them, so that any one path is
    /// enough.
    pub fn sources(&self, force: &ForceState) -> Vec<SocketAddr> {
        let hosts: Vec<_> = state::live(&force.hosts).collect();
        let zone = hosts
            .iter()
            .find(|(name, _)| *name == self.host)
            .map(|(_, spec)| spec.zone.as_str());
        let near: Vec<_> = hosts
            .iter()
            .filter(|(_, spec)| Some(spec.zone.as_str()) == zone)
            .collect();
        let rank = near.iter().position(|(name, _)| *name == self.host);
        let mut sources = Vec::new();
        if hosts.len() > Self::MAX_DIRECT {
            sources.extend(parents(&near, rank));
        }
        // Hosts of the same rank in different zones begin with different replicas.
        let turn = self.host.bytes().map(usize::from).sum();
        sources.extend(rotated(&self.controls, turn));
        let others = hosts.iter().filter(|(name, _)| *name != self.host);
        sources.extend(others.map(|(_, spec)| spec.peers));
        dedup(sources)
    }
}

/// Returns the parent of a host in its zone and the parents beside it; a zone's heads have none.
fn parents(near: &[&(&str, &HostSpec)], rank: Option<usize>) -> Vec<SocketAddr> {
    let Some(rank) = rank.filter(|rank| *rank >= SourcePlan::ZONE_HEADS) else {
        return Vec::new();
    };
    let parent = (rank - SourcePlan::ZONE_HEADS) / SourcePlan::FAN_OUT;
    let heads = [parent, (parent + 1) % SourcePlan::ZONE_HEADS];
    heads
        .iter()
        .filter_map(|place| near.get(*place))
        .map(|(_, spec)| spec.peers)
        .collect()
}

/// Returns a list from one of its places on, then the rest.
fn rotated(list: &[SocketAddr], turn: usize) -> Vec<SocketAddr> {
    let mut list = list.to_vec();
    if !list.is_empty() {
        let turn = turn % list.len();
        list.rotate_left(turn);
    }
    list
}

fn dedup(mut list: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let mut seen = std::collections::HashSet::new();
    list.retain(|address| seen.insert(*address));
    list
}
