//! Cap shares that the leader grants to entry hosts for a short time.
//!
//! Half of a place's cap is divided equally into fixed shares, which the entry hosts compute without
//! the leader. The leader grants the other half here, in proportion to the demand that the entry
//! hosts report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::ids;
use model::spec;
use model::state::{self, ForceState};
use serde::Serialize;

/// Key of a place: a service in an availability zone.
pub type PlaceKey = (ids::ServiceName, ids::ZoneName);

/// Rates by place, in requests per second.
pub type PlaceRates = BTreeMap<PlaceKey, f64>;

/// Shares of one place by entry host.
type HostShares = BTreeMap<ids::HostName, HostShare>;

/// Grants the second half of each place's cap.
///
/// The sum of all unexpired grants of a place never rises above half of its cap. Where a ticket
/// lowers the cap below what is granted, nothing more is granted until enough has expired, which
/// takes at most [`ShareTable::TTL`].
#[derive(Debug)]
pub struct ShareTable {
    /// Time from which grants are given; `None` while this replica doesn't lead.
    grants_from: Option<Instant>,
    places: BTreeMap<PlaceKey, HostShares>,
}

/// Demand of one entry host for one place, and the grants that it holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct HostShare {
    /// Demand in the last report, in requests per second.
    demand: f64,
    #[serde(skip)]
    reported_at: Option<Instant>,
    /// Grants that have not expired. The entry host may use any one of them, because the answer
    /// with a newer grant may be lost.
    grants: Vec<ShareGrant>,
}

/// One grant of a rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ShareGrant {
    /// Granted rate, in requests per second.
    rate: f64,
    #[serde(skip)]
    expires_at: Instant,
}

impl ShareTable {
    /// Time to live of a grant. The entry host measures it from the time at which it sent its
    /// request.
    pub const TTL: Duration = Duration::from_secs(2);

    /// Age up to which a reported demand counts.
    pub const MAX_DEMAND_AGE: Duration = Duration::from_secs(4);

    /// Fraction of a cap that the leader grants.
    pub const GRANTED_FRACTION: f64 = 0.5;

    /// Most demand of one entry host for one place, in requests per second. Higher reports are
    /// clamped to it.
    pub const MAX_DEMAND: f64 = 1e9;

    /// Creates a table of a replica that doesn't lead; it grants nothing.
    pub fn new() -> Self {
        Self {
            grants_from: None,
            places: BTreeMap::new(),
        }
    }

    /// Starts granting when this replica becomes the leader.
    ///
    /// The first grants are given after one [`ShareTable::TTL`], when all grants of an earlier
    /// leader have expired.
    pub fn start(&mut self, now: Instant) {
        self.places.clear();
        self.grants_from = Some(now + Self::TTL);
    }

    /// Stops granting and forgets all demand and grants.
    pub fn stop(&mut self) {
        self.grants_from = None;
        self.places.clear();
    }

    /// Records the demand of an entry host and returns the shares that it is granted.
    ///
    /// Demand counts from the first report on, also before the table grants anything. Places and
    /// entry hosts that are not part of the state get nothing.
    pub fn lease(
        &mut self,
        now: Instant,
        state: &ForceState,
        host: &str,
        demand: &PlaceRates,
    ) -> PlaceRates {
        let mut shares = PlaceRates::new();
        self.remove_expired(now);
        let Some(from) = self.grants_from else {
            return shares;
        };
        if state::live(&state.hosts).all(|(name, _)| name != host) {
            return shares;
        }
        for (service, spec) in state::live(&state.services) {
            for (zone, place) in &spec.places {
                let key = (service.to_string(), zone.clone());
                let rate = demand.get(&key).copied().unwrap_or(0.0);
                let hosts = self.places.entry(key.clone()).or_default();
                record_demand(now, hosts, host, rate);
                if now >= from {
                    let rate = grant_share(now, hosts, host, place.cap * Self::GRANTED_FRACTION);
                    shares.insert(key, rate);
                }
            }
        }
        shares
    }

    /// Returns the sum of the rates of a place that entry hosts may use by unexpired grants.
    pub fn granted_rate(&self, now: Instant, key: &PlaceKey) -> f64 {
        let hosts = self.places.get(key).into_iter().flatten();
        hosts.fold(0.0, |sum, (_, share)| sum + share.max_granted_rate(now))
    }

    /// Returns the demand and grants of each entry host by place, for a dump.
    pub fn summary(&self) -> BTreeMap<String, BTreeMap<ids::HostName, HostShare>> {
        self.places
            .iter()
            .map(|((service, zone), hosts)| (format!("{service}/{zone}"), hosts.clone()))
            .collect()
    }

    /// Removes expired grants, and entry hosts with neither grants nor recent demand.
    fn remove_expired(&mut self, now: Instant) {
        for hosts in self.places.values_mut() {
            hosts.retain(|_, share| {
                share.grants.retain(|grant| grant.expires_at > now);
                let demand_until = share.reported_at.map(|at| at + Self::MAX_DEMAND_AGE);
                !share.grants.is_empty() || demand_until.is_some_and(|until| until > now)
            });
        }
        self.places.retain(|_, hosts| !hosts.is_empty());
    }
}

impl Default for ShareTable {
    fn default() -> Self {
        Self::new()
    }
}

impl HostShare {
    /// Returns the highest rate of the unexpired grants.
    fn max_granted_rate(&self, now: Instant) -> f64 {
        let unexpired = self.grants.iter().filter(|grant| grant.expires_at > now);
        unexpired.map(|grant| grant.rate).fold(0.0, f64::max)
    }
}

/// Records the demand of an entry host for a place.
fn record_demand(now: Instant, hosts: &mut HostShares, host: &str, rate: f64) {
    let share = hosts.entry(host.to_string()).or_default();
    share.demand = clamp_demand(rate);
    share.reported_at = Some(now);
}

/// Grants an entry host its share of the grantable rate of a place, and returns the granted rate.
///
/// The share is limited to the part of the rate that the grants of the other hosts leave free.
fn grant_share(now: Instant, hosts: &mut HostShares, host: &str, grantable: f64) -> f64 {
    let others: f64 = hosts
        .iter()
        .filter(|(name, _)| *name != host)
        .map(|(_, share)| share.max_granted_rate(now))
        .sum();
    let free = (grantable - others).max(0.0);
    let rate = proportional_share(hosts, host, grantable).min(free);
    let Some(share) = hosts.get_mut(host) else {
        return 0.0;
    };
    if rate > 0.0 {
        let expires_at = now + ShareTable::TTL;
        share.grants.push(ShareGrant { rate, expires_at });
    }
    rate
}

/// Returns an entry host's share of a rate in proportion to demand.
///
/// The share is a multiple of [`spec::SHARE_UNIT`] if there is at least one unit for each host with
/// demand, because a host can't use a fraction of a request in a window. Units that remain after
/// the division go to the hosts with the largest fractions.
fn proportional_share(hosts: &HostShares, host: &str, grantable: f64) -> f64 {
    let demanding: Vec<_> = hosts
        .iter()
        .filter(|(_, share)| share.demand > 0.0)
        .collect();
    let total: f64 = demanding.iter().map(|(_, share)| share.demand).sum();
    let Some(own) = demanding.iter().position(|(name, _)| *name == host) else {
        return 0.0;
    };
    let units = (grantable / spec::SHARE_UNIT).floor();
    if units < demanding.len() as f64 {
        return grantable * demanding[own].1.demand / total;
    }
    let exact = |index: usize| units * demanding[index].1.demand / total;
    let whole: f64 = (0..demanding.len()).map(|index| exact(index).floor()).sum();
    let fraction = exact(own).fract();
    let before = (0..demanding.len()).filter(|index| {
        let other = exact(*index).fract();
        other > fraction || (other == fraction && *index < own)
    });
    let extra = (before.count() as f64) < units - whole;
    (exact(own).floor() + f64::from(u8::from(extra))) * spec::SHARE_UNIT
}

/// Limits a reported demand to 0 to [`ShareTable::MAX_DEMAND`]; one that isn't finite counts as 0.
fn clamp_demand(demand: f64) -> f64 {
    if demand.is_finite() {
        return demand.clamp(0.0, ShareTable::MAX_DEMAND);
    }
    0.0
}
