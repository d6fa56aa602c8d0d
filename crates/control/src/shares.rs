//! Cap shares that the leader grants to entry hosts for a short time.
//!
//! Half of a place's cap is a fixed floor that the entry hosts divide equally by themselves. The
//! other half is granted here, in proportion to reported demand.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::ids;
use model::spec;
use model::state::{self, ForceState};
use serde::Serialize;

/// Names a place: a service in an availability zone.
pub type PlaceKey = (ids::ServiceName, ids::ZoneName);

/// Requests a second by place.
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
    grants_from: Option<Instant>,
    places: BTreeMap<PlaceKey, HostShares>,
}

/// What one entry host wants and holds of one place.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct HostShare {
    /// Requests a second that it last reported.
    demand: f64,
    #[serde(skip)]
    reported_at: Option<Instant>,
    /// Grants that are not expired; a host may use any one of them, as an answer may be lost.
    grants: Vec<ShareGrant>,
}

/// One grant.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ShareGrant {
    /// Requests a second.
    rate: f64,
    #[serde(skip)]
    until: Instant,
}

impl ShareTable {
    /// Time to live of a grant. A host counts it from when it sent its request.
    pub const TTL: Duration = Duration::from_secs(2);

    /// Time for which a reported demand counts.
    pub const DEMAND_AGE: Duration = Duration::from_secs(4);

    /// Part of a cap that is granted.
    pub const GRANTED_PART: f64 = 0.5;

    /// Most demand of one host that is believed, in requests a second.
    pub const MAX_DEMAND: f64 = 1e9;

    /// Creates a table that grants nothing yet.
    pub fn new() -> Self {
        Self {
            grants_from: None,
            places: BTreeMap::new(),
        }
    }

    /// Starts granting after one time to live, when all that an earlier leader granted has expired.
    pub fn start(&mut self, now: Instant) {
        self.places.clear();
        self.grants_from = Some(now + Self::TTL);
    }

    /// Stops granting.
    pub fn stop(&mut self) {
        self.grants_from = None;
        self.places.clear();
    }

    /// Takes a host's demand and grants its shares.
    ///
    /// Demand counts from the first report on, also before anything is granted. Places and hosts
    /// that are not in force get nothing.
    pub fn lease(
        &mut self,
        now: Instant,
        force: &ForceState,
        host: &str,
        demand: &PlaceRates,
    ) -> PlaceRates {
        let mut shares = PlaceRates::new();
        self.expire(now);
        let Some(from) = self.grants_from else {
            return shares;
        };
        if state::live(&force.hosts).all(|(name, _)| name != host) {
            return shares;
        }
        for (service, spec) in state::live(&force.services) {
            for (zone, place) in &spec.places {
                let key = (service.to_string(), zone.clone());
                let wanted = demand.get(&key).copied().unwrap_or(0.0);
                let hosts = self.places.entry(key.clone()).or_default();
                report(now, hosts, host, wanted);
                if now >= from {
                    let rate = grant(now, hosts, host, place.cap * Self::GRANTED_PART);
                    shares.insert(key, rate);
                }
            }
        }
        shares
    }

    /// Returns the sum of what hosts may use of a place by unexpired grants.
    pub fn granted(&self, now: Instant, key: &PlaceKey) -> f64 {
        let hosts = self.places.get(key).into_iter().flatten();
        hosts.fold(0.0, |sum, (_, share)| sum + share.most(now))
    }

    /// Returns what each host wants and holds, for a dump.
    pub fn summary(&self) -> BTreeMap<String, BTreeMap<ids::HostName, HostShare>> {
        self.places
            .iter()
            .map(|((service, zone), hosts)| (format!("{service}/{zone}"), hosts.clone()))
            .collect()
    }

    fn expire(&mut self, now: Instant) {
        for hosts in self.places.values_mut() {
            hosts.retain(|_, share| {
                share.grants.retain(|grant| grant.until > now);
                let reported = share.reported_at.map(|at| at + Self::DEMAND_AGE);
                !share.grants.is_empty() || reported.is_some_and(|until| until > now)
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
    /// Returns the greatest unexpired grant.
    fn most(&self, now: Instant) -> f64 {
        let live = self.grants.iter().filter(|grant| grant.until > now);
        live.map(|grant| grant.rate).fold(0.0, f64::max)
    }
}

/// Notes what a host wants of a place.
fn report(now: Instant, hosts: &mut HostShares, host: &str, wanted: f64) {
    let share = hosts.entry(host.to_string()).or_default();
    share.demand = believable(wanted);
    share.reported_at = Some(now);
}

/// Grants a host its part of what is granted of a place, as far as the others leave it free.
fn grant(now: Instant, hosts: &mut HostShares, host: &str, granted: f64) -> f64 {
    let others: f64 = hosts
        .iter()
        .filter(|(name, _)| *name != host)
        .map(|(_, share)| share.most(now))
        .sum();
    let free = (granted - others).max(0.0);
    let rate = allot(hosts, host, granted).min(free);
    let Some(share) = hosts.get_mut(host) else {
        return 0.0;
    };
    if rate > 0.0 {
        let until = now + ShareTable::TTL;
        share.grants.push(ShareGrant { rate, until });
    }
    rate
}

/// Returns a host's part of a rate by demand, in whole units where there is one for each host that
/// wants any: a host can't use a fraction of a request in a window.
///
/// Units that the division leaves over go to the hosts with the largest fractions.
fn allot(hosts: &HostShares, host: &str, granted: f64) -> f64 {
    let wanting: Vec<_> = hosts
        .iter()
        .filter(|(_, share)| share.demand > 0.0)
        .collect();
    let total: f64 = wanting.iter().map(|(_, share)| share.demand).sum();
    let Some(own) = wanting.iter().position(|(name, _)| *name == host) else {
        return 0.0;
    };
    let units = (granted / spec::SHARE_UNIT).floor();
    if units < wanting.len() as f64 {
        return granted * wanting[own].1.demand / total;
    }
    let exact = |place: usize| units * wanting[place].1.demand / total;
    let whole: f64 = (0..wanting.len()).map(|place| exact(place).floor()).sum();
    let fraction = exact(own).fract();
    let before = (0..wanting.len()).filter(|place| {
        let other = exact(*place).fract();
        other > fraction || (other == fraction && *place < own)
    });
    let extra = (before.count() as f64) < units - whole;
    (exact(own).floor() + f64::from(u8::from(extra))) * spec::SHARE_UNIT
}

/// Bounds what a host reports to a sensible number.
fn believable(demand: f64) -> f64 {
    if demand.is_finite() {
        return demand.clamp(0.0, ShareTable::MAX_DEMAND);
    }
    0.0
}
