//! Leases of the leading control replica.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::ids;
use model::state::{self, ForceState};

use crate::query::PlaceDemand;
use crate::share::{FLOOR_PART, SHARE_UNIT};

/// A lease as the leading control replica gives it to one entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct PlaceLease {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Requests a second, above the host's floor.
    pub rate: f64,
}

/// Divides the leased half of each place's cap over the entry hosts by their demand.
///
/// A host's lease counts until its time to live has passed on the replica's clock, whatever
/// the host was told since, so the sum of all leases that any host may still hold stays under
/// half of the cap. A replica that has just begun to lead waits one time to live before its first
/// lease, as the leader before it may have given all.
#[derive(Debug)]
pub struct ShareDivider {
    ttl: Duration,
    leads_since: Instant,
    hosts: BTreeMap<ids::HostName, HostLeases>,
}

/// Name of a place.
type PlaceName = (ids::ServiceName, ids::ZoneName);

/// What one host asked for and what it may hold.
#[derive(Debug)]
struct HostLeases {
    asked_at: Instant,
    demand: BTreeMap<PlaceName, f64>,
    held: BTreeMap<PlaceName, Vec<HeldLease>>,
}

/// A lease that a host may hold until a moment.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    rate: f64,
    until: Instant,
}

/// Factor on a host's demand, so that its traffic may grow before its next lease.
const DEMAND_MARGIN: f64 = 1.5;

/// Margin for clocks that run at slightly different speeds, as a part of the time to live.
const CLOCK_MARGIN: f64 = 0.1;

impl ShareDivider {
    /// Creates the divider of a replica that begins to lead now.
    pub fn new(now: Instant, ttl: Duration) -> Self {
        Self {
            ttl,
            leads_since: now,
            hosts: BTreeMap::new(),
        }
    }

    /// Returns the time to live to tell the hosts.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Takes a host's demand and returns its leases.
    ///
    /// A host that is not in force gets none.
    pub fn lease(
        &mut self,
        now: Instant,
        state: &ForceState,
        host: &str,
        demand: &[PlaceDemand],
    ) -> Vec<PlaceLease> {
        let in_force = state::live(&state.hosts).any(|(name, _)| name == host);
        self.forget(now);
        if !in_force {
            return Vec::new();
        }
        self.record(now, host, demand);
        if now < self.leads_since + self.held_time() {
            return Vec::new();
        }
        let mut leases = Vec::new();
        for (service, spec) in state::live(&state.services) {
            for (zone, place) in &spec.places {
                let name = (service.to_string(), zone.clone());
                let rate = self.divide(now, host, &name, place.cap * (1.0 - FLOOR_PART));
                if rate <= 0.0 {
                    continue;
                }
                self.hold(now, host, &name, rate);
                let (service, zone) = name;
                leases.push(PlaceLease {
                    service,
                    zone,
                    rate,
                });
            }
        }
        leases
    }

    /// Returns the greatest sum of a place's leases that hosts may hold at a moment.
    pub fn outstanding(&self, now: Instant, service: &str, zone: &str) -> f64 {
        let name = (service.to_string(), zone.to_string());
        self.hosts
            .values()
            .map(|host| host.most_held(now, &name))
            .sum()
    }

    /// Returns a host's part of a pool: what it wants while the pool carries that, else its
    /// part by demand, and never more than others leave; in whole units.
    fn divide(&self, now: Instant, host: &str, name: &PlaceName, pool: f64) -> f64 {
        let want_of = |leases: &HostLeases| {
            let demand = leases.demand.get(name).copied().unwrap_or(0.0);
            demand * DEMAND_MARGIN
        };
        let total: f64 = self.hosts.values().map(want_of).sum();
        let own = self.hosts.get(host).map_or(0.0, want_of);
        if own <= 0.0 {
            return 0.0;
        }
        let others: f64 = self
            .hosts
            .iter()
            .filter(|(other, _)| other.as_str() != host)
            .map(|(_, leases)| leases.most_held(now, name))
            .sum();
        let part = (pool * own / total.max(pool) / SHARE_UNIT).ceil();
        let left = ((pool - others) / SHARE_UNIT).floor();
        part.min(left).max(0.0) * SHARE_UNIT
    }

    fn record(&mut self, now: Instant, host: &str, demand: &[PlaceDemand]) {
        let entry = self.hosts.entry(host.to_string());
        let leases = entry.or_insert_with(|| HostLeases {
            asked_at: now,
            demand: BTreeMap::new(),
            held: BTreeMap::new(),
        });
        leases.asked_at = now;
        leases.demand = demand
            .iter()
            .filter(|one| one.rate.is_finite() && one.rate > 0.0)
            .map(|one| ((one.service.clone(), one.zone.clone()), one.rate))
            .collect();
    }

    fn hold(&mut self, now: Instant, host: &str, name: &PlaceName, rate: f64) {
        let until = now + self.held_time();
        if let Some(leases) = self.hosts.get_mut(host) {
            let held = leases.held.entry(name.clone()).or_default();
            held.retain(|lease| lease.until > now && lease.rate > rate);
            held.push(HeldLease { rate, until });
        }
    }

    fn forget(&mut self, now: Instant) {
        let held_time = self.held_time();
        self.hosts
            .retain(|_, leases| leases.asked_at + held_time > now);
    }

    fn held_time(&self) -> Duration {
        self.ttl.mul_f64(1.0 + CLOCK_MARGIN)
    }
}

impl HostLeases {
    /// Returns the greatest lease of a place that the host may hold; it may have missed later,
    /// lower ones.
    fn most_held(&self, now: Instant, name: &PlaceName) -> f64 {
        let held = self.held.get(name).map(Vec::as_slice).unwrap_or_default();
        let valid = held.iter().filter(|lease| lease.until > now);
        valid.map(|lease| lease.rate).fold(0.0, f64::max)
    }
}
