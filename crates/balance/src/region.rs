//! The load of this host's region beside that of the others, and what leaves it.

use std::time::Instant;

use crate::balancer::LoadBalancer;
use crate::query::ServerQuery;

/// Weight of no load at all beside the reports, as a part of all slots.
const UNKNOWN_WEIGHT: f64 = 0.01;

/// Load, as a part of all slots, beyond which a region's requests leave it where others have more
/// room.
const SPILL_LOAD: f64 = 0.6;

/// Difference in load at which the share that leaves moves at its full pace.
const SPILL_RANGE: f64 = 0.25;

/// Slots and load of the backend servers on one side that may be used.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SideLoad {
    slots: f64,
    /// Slots of those that reported their load, weighed by the age of the reports.
    known: f64,
    /// Their load, weighed alike.
    load: f64,
}

impl SideLoad {
    /// Returns the load as a part of the slots.
    pub(crate) fn share(&self) -> f64 {
        // Old reports alone say little: a region whose requests were all refused is idle soon.
        let known = self.known + self.slots * UNKNOWN_WEIGHT;
        if known > 0.0 {
            self.load / known
        } else {
            0.0
        }
    }
}

impl LoadBalancer {
    /// Moves the share of requests that leave this region, and tells whether one that was not sent
    /// anywhere yet is among them.
    pub(crate) fn leaves(
        &mut self,
        now: Instant,
        query: &ServerQuery<'_>,
        [near, far]: &[SideLoad; 2],
    ) -> bool {
        match query.homes {
            [] => {}
            [home] if *home == self.region => return false,
            homes if homes.contains(&self.region) => {}
            _ => return true,
        }
        let fair_share = self.fair_share(near, far);
        // Where the others are as full, more that leaves is no relief.
        let urge = (near.share() - far.share().max(SPILL_LOAD)) / SPILL_RANGE;
        let max_shift = self.settings.max_shift;
        let spill = &mut self.group(query.service).spill;
        spill.note_capacity(now, near.slots, fair_share);
        spill.note_urge(now, urge, max_shift);
        if query.tried.is_empty() {
            spill.decide(query.object)
        } else {
            spill.leaves(query.object)
        }
    }

    /// Returns slots and load of this region and of the others.
    pub(crate) fn side_loads(&self, now: Instant, service: &str) -> [SideLoad; 2] {
        let keys = self.groups.get(service).map(|group| &group.servers);
        let mut sides = [SideLoad::default(); 2];
        for key in keys.into_iter().flatten() {
            let server = &self.servers[*key];
            if !server.takes_work() || server.is_ejected(now) {
                continue;
            }
            let side = &mut sides[usize::from(server.region != self.region)];
            let slots = f64::from(server.record.slots);
            side.slots += slots;
            let report = server.reported_load(now).zip(server.report_trust(now));
            if let Some((load, trust)) = report {
                side.known += slots * trust;
                side.load += load * trust;
            }
        }
        sides
    }

    /// Returns the share of this region's requests that would leave it if all zones asked for the
    /// same.
    fn fair_share(&self, near: &SideLoad, far: &SideLoad) -> f64 {
        let zones = &self.settings.regions;
        let own = zones
            .values()
            .filter(|region| **region == self.region)
            .count();
        let demand = own as f64 / zones.len().max(1) as f64;
        let all = near.slots + far.slots;
        let fair = if all > 0.0 {
            near.slots / (all * demand)
        } else {
            1.0
        };
        (1.0 - fair).clamp(0.0, 1.0)
    }
}
