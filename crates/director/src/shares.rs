//! The shares of requests that leave each region, as its entry hosts set them.
//!
//! Each entry host sees few of its region's requests. Where hosts disagree on which objects leave,
//! those are warm in no region; so each is told the mean and moves towards it.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use fleet::ids;
use quorum::ids::ReplicaId;

use crate::message::{RegionShare, SpillShare};

/// Age up to which a share counts; four calls of a host, or of reports between replicas.
const SHARE_LIFE: Duration = Duration::from_millis(1_600);

/// Sum of shares and the number of entry hosts that set them.
type ShareSum = (f64, u32);

#[derive(Debug)]
struct HostShares {
    region: ids::RegionName,
    shares: Vec<SpillShare>,
    heard_at: Instant,
}

#[derive(Debug)]
struct ReplicaShares {
    shares: Vec<RegionShare>,
    heard_at: Instant,
}

/// Shares that were heard here and at the other replicas.
#[derive(Debug, Default)]
pub struct ShareTable {
    hosts: HashMap<String, HostShares>,
    replicas: HashMap<ReplicaId, ReplicaShares>,
}

impl ShareTable {
    /// Notes the shares of an entry host that called here.
    pub fn hear_host(&mut self, now: Instant, host: &str, region: &str, shares: Vec<SpillShare>) {
        let shares = HostShares {
            region: region.to_string(),
            shares,
            heard_at: now,
        };
        self.hosts.insert(host.to_string(), shares);
    }

    /// Notes what another replica heard.
    pub fn merge(&mut self, now: Instant, from: ReplicaId, shares: Vec<RegionShare>) {
        let shares = ReplicaShares {
            shares,
            heard_at: now,
        };
        self.replicas.insert(from, shares);
    }

    /// Returns the sums of what was heard here, for the other replicas.
    pub fn report(&mut self, now: Instant) -> Vec<RegionShare> {
        self.hosts
            .retain(|_, host| now < host.heard_at + SHARE_LIFE);
        self.replicas
            .retain(|_, replica| now < replica.heard_at + SHARE_LIFE);
        let sums = self.own_sums(now).into_iter();
        let shares = sums.map(|((region, service), (sum, hosts))| RegionShare {
            region: region.to_string(),
            service: service.to_string(),
            sum,
            hosts,
        });
        shares.collect()
    }

    /// Returns the mean shares of each region, by all its hosts.
    pub fn means(&self, now: Instant) -> BTreeMap<ids::RegionName, Vec<SpillShare>> {
        let mut sums = self.own_sums(now);
        let replicas = self.replicas.values();
        let fresh = replicas.filter(|replica| now < replica.heard_at + SHARE_LIFE);
        for share in fresh.flat_map(|replica| &replica.shares) {
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

    /// Returns the sums of what was heard here, by region and service.
    fn own_sums(&self, now: Instant) -> BTreeMap<(&str, &str), ShareSum> {
        let mut sums: BTreeMap<(&str, &str), ShareSum> = BTreeMap::new();
        let hosts = self.hosts.values();
        for host in hosts.filter(|host| now < host.heard_at + SHARE_LIFE) {
            for share in &host.shares {
                let sum = sums.entry((&host.region, &share.service)).or_default();
                sum.0 += f64::from(share.share);
                sum.1 += 1;
            }
        }
        sums
    }
}
