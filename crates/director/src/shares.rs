//! Mean spill shares: the shares of requests that the entry hosts of a region send to other
//! regions.
//!
//! Each entry host sees few of its region's requests. If hosts disagreed on which objects go to
//! another region, these objects would be warm in the caches of no region; so each host gets the
//! mean share of its region and moves towards it.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use fleet::ids;
use quorum::ids::ReplicaId;

use crate::message::{SpillShare, SpillShareSum};

/// Age at which a share is stale: four calls of an entry host, or four reports of a replica.
const SHARE_TTL: Duration = Duration::from_millis(1_600);

/// Sum of shares, and the number of entry hosts whose shares were added.
type SumAndCount = (f64, u32);

#[derive(Debug)]
struct HostShares {
    region: ids::RegionName,
    shares: Vec<SpillShare>,
    reported_at: Instant,
}

#[derive(Debug)]
struct ReplicaShares {
    shares: Vec<SpillShareSum>,
    reported_at: Instant,
}

/// Shares that entry hosts reported to this replica and to the others.
#[derive(Debug, Default)]
pub struct ShareTable {
    hosts: HashMap<String, HostShares>,
    replicas: HashMap<ReplicaId, ReplicaShares>,
}

impl ShareTable {
    /// Records the shares that an entry host reported to this replica.
    pub fn record_host(&mut self, now: Instant, host: &str, region: &str, shares: Vec<SpillShare>) {
        let shares = HostShares {
            region: region.to_string(),
            shares,
            reported_at: now,
        };
        self.hosts.insert(host.to_string(), shares);
    }

    /// Replaces the sums that another replica reported.
    pub fn record_replica(&mut self, now: Instant, from: ReplicaId, shares: Vec<SpillShareSum>) {
        let shares = ReplicaShares {
            shares,
            reported_at: now,
        };
        self.replicas.insert(from, shares);
    }

    /// Evicts stale shares and returns the sums of those reported to this replica, for the others.
    pub fn report(&mut self, now: Instant) -> Vec<SpillShareSum> {
        self.hosts
            .retain(|_, host| now < host.reported_at + SHARE_TTL);
        self.replicas
            .retain(|_, replica| now < replica.reported_at + SHARE_TTL);
        let sums = self.local_sums(now).into_iter();
        let shares = sums.map(|((region, service), (sum, hosts))| SpillShareSum {
            region: region.to_string(),
            service: service.to_string(),
            sum,
            hosts,
        });
        shares.collect()
    }

    /// Returns the mean shares of each region over all its entry hosts.
    pub fn means(&self, now: Instant) -> BTreeMap<ids::RegionName, Vec<SpillShare>> {
        let mut sums = self.local_sums(now);
        let replicas = self.replicas.values();
        let current = replicas.filter(|replica| now < replica.reported_at + SHARE_TTL);
        for share in current.flat_map(|replica| &replica.shares) {
            let sum = sums.entry((&share.region, &share.service)).or_default();
            sum.0 += share.sum;
            sum.1 += share.hosts;
        }
        let mut means: BTreeMap<ids::RegionName, Vec<SpillShare>> = BTreeMap::new();
        for ((region, service), (sum, hosts)) in sums {
            means
                .entry(region.to_string())
                .or_default()
                .push(SpillShare {
                    service: service.to_string(),
                    share: (sum / f64::from(hosts.max(1))) as f32,
                });
        }
        means
    }

    /// Returns the sums of the shares reported to this replica, by region and service.
    fn local_sums(&self, now: Instant) -> BTreeMap<(&str, &str), SumAndCount> {
        let mut sums: BTreeMap<(&str, &str), SumAndCount> = BTreeMap::new();
        let hosts = self.hosts.values();
        for host in hosts.filter(|host| now < host.reported_at + SHARE_TTL) {
            for share in &host.shares {
                let sum = sums.entry((&host.region, &share.service)).or_default();
                sum.0 += f64::from(share.share);
                sum.1 += 1;
            }
        }
        sums
    }
}
