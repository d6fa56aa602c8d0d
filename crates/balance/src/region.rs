//! The load of this host's region compared with the other regions, and the spill that follows.

use std::time::{Duration, Instant};

use fleet::ids;

use crate::balancer::LoadBalancer;
use crate::query::ServerQuery;

/// Weight of the assumption that a region is idle, as a fraction of its slots.
const IDLE_WEIGHT: f64 = 0.01;

/// Utilisation above which a region's requests spill to regions with a lower utilisation.
const SPILL_UTILISATION: f64 = 0.6;

/// Difference in utilisation at which the spill share changes at its full rate.
const FULL_RATE_DIFFERENCE: f64 = 0.25;

/// Capacity and load of the usable backend servers of this region, or of all other regions.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RegionLoad {
    slots: f64,
    /// Slots of the servers that reported their load, weighted by the age of the reports.
    reported_slots: f64,
    /// Load of the same servers, weighted in the same way.
    reported_load: f64,
}

impl RegionLoad {
    /// Returns the load as a fraction of the slots.
    pub(crate) fn utilisation(&self) -> f64 {
        // A region that refuses all requests gets no new reports and is soon idle, so the old
        // reports must lose their effect.
        let slots = self.reported_slots + self.slots * IDLE_WEIGHT;
        if slots > 0.0 {
            self.reported_load / slots
        } else {
            0.0
        }
    }
}

/// Requests in a reported load that have ended: a server counts the request that it answers.
const ANSWERED_REQUESTS: f64 = 1.0;

/// Slots and load of the usable backend servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServiceLoad {
    /// Slots of the servers.
    pub slots: f64,
    /// Requests that run or queue at them. Servers whose load isn't known count like the others.
    pub load: f64,
    /// Mean age of the known loads, or `None` if none is known.
    pub age: Option<Duration>,
    /// Mean processing time of all requests.
    pub processing: Duration,
}

impl LoadBalancer {
    /// Returns the slots and the load of the backend servers that may get requests for a service.
    pub fn service_load(
        &self,
        now: Instant,
        service: &str,
        home_regions: &[ids::RegionName],
    ) -> ServiceLoad {
        let Some(group) = self.groups.get(service) else {
            return ServiceLoad::default();
        };
        let (mut slots, mut known_slots, mut load, mut ages) = (0.0, 0.0, 0.0, 0.0);
        for key in &group.servers {
            let server = &self.servers[*key];
            let home = home_regions.is_empty() || home_regions.contains(&server.region);
            let usable = self.zones[server.zone].is_open(now) && server.accepts_requests();
            if !home || !usable || server.is_ejected(now) {
                continue;
            }
            let own = f64::from(server.record.slots);
            slots += own;
            if let Some(age) = server.load_age(now) {
                known_slots += own;
                let running = server.load(now, 0.0) - ANSWERED_REQUESTS;
                load += running.max(f64::from(server.in_flight()));
                ages += age.as_secs_f64() * own;
            }
        }
        let is_known = known_slots > 0.0;
        ServiceLoad {
            slots,
            load: if is_known {
                load * slots / known_slots
            } else {
                0.0
            },
            age: is_known.then(|| Duration::from_secs_f64(ages / known_slots)),
            processing: Duration::from_secs_f64(group.mean_processing()),
        }
    }

    /// Updates the spill share of the service from the loads of this region and of the others, and
    /// returns whether the request spills to another region.
    ///
    /// A request that may run only in this region never spills, and one that may run only in other
    /// regions always does; neither updates the share. A retry spills only if the share covers its
    /// object.
    pub(crate) fn decide_spill(
        &mut self,
        now: Instant,
        query: &ServerQuery<'_>,
        [local, remote]: &[RegionLoad; 2],
    ) -> bool {
        match query.home_regions {
            [] => {}
            [home] if *home == self.region => return false,
            homes if homes.contains(&self.region) => {}
            _ => return true,
        }
        let fair_share = self.fair_spill_share(local, remote);
        // Spilling gives no relief while the other regions have the same utilisation.
        let pressure = (local.utilisation() - remote.utilisation().max(SPILL_UTILISATION))
            / FULL_RATE_DIFFERENCE;
        let max_shift = self.settings.max_shift;
        let spill = &mut self.group_mut(query.service).spill;
        spill.update_capacity(now, local.slots, fair_share);
        spill.update_share(now, pressure, max_shift);
        if query.tried.is_empty() {
            spill.decide(query.object)
        } else {
            spill.spills_object(query.object)
        }
    }

    /// Returns the loads of this region and of the others for a service, in this order.
    pub(crate) fn region_loads(&self, now: Instant, service: &str) -> [RegionLoad; 2] {
        let keys = self.groups.get(service).map(|group| &group.servers);
        let mut loads = [RegionLoad::default(); 2];
        for key in keys.into_iter().flatten() {
            let server = &self.servers[*key];
            let reached = self.zones[server.zone].is_open(now);
            if !reached || !server.accepts_requests() || server.is_ejected(now) {
                continue;
            }
            let load = &mut loads[usize::from(server.region != self.region)];
            let slots = f64::from(server.record.slots);
            load.slots += slots;
            let report = server.reported_load(now).zip(server.report_weight(now));
            if let Some((reported, weight)) = report {
                load.reported_slots += slots * weight;
                load.reported_load += reported * weight;
            }
        }
        loads
    }

    /// Returns the share of this region's requests that would spill if all zones had the same
    /// demand and all servers the same utilisation.
    fn fair_spill_share(&self, local: &RegionLoad, remote: &RegionLoad) -> f64 {
        let zones = &self.settings.regions;
        let own = zones
            .values()
            .filter(|region| **region == self.region)
            .count();
        let demand = own as f64 / zones.len().max(1) as f64;
        let all = local.slots + remote.slots;
        let kept = if all > 0.0 {
            local.slots / (all * demand)
        } else {
            1.0
        };
        (1.0 - kept).clamp(0.0, 1.0)
    }
}
