//! Weighs the backend servers that a request may go to.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3;

use crate::balancer::LoadBalancer;
use crate::group::ServiceGroup;
use crate::query::{LoadRefusal, RefusalCause, ServerKey, ServerQuery, TimeForecast};

/// Time to a backend server in the same region, there and back.
const NEAR_ROUND: Duration = Duration::from_millis(3);

/// Time to a backend server in another region, there and back.
const FAR_ROUND: Duration = Duration::from_millis(40);

/// What leaving the zone counts, as time: bytes between zones are dear.
const ZONE_PENALTY: Duration = Duration::from_millis(12);

/// What a further copy of an object counts, as a part of the time of a request for a strange one: it
/// drives another object out.
const COPY_PENALTY: f64 = 1.0;

/// Backend servers of this region that a request for an object may go to.
const LOCAL_RANKS: usize = 2;

/// Backend servers of other regions that it may go to.
const FAR_RANKS: usize = 1;

/// Load up to which a backend server takes a request for an object that others have warm, as a part
/// of its slots: a busy service must not spend its slots on copies.
const COPY_LOAD: f64 = 0.3;

/// Load below which a backend server has room, as a part of its slots.
const ROOM_LOAD: f64 = 0.85;

/// Part of the permitted rate of a cold backend server that this host uses: less than half, so that
/// two hosts that both take themselves for its owner stay below its bound.
const COLD_RATE_USED: f64 = 0.47;

/// Requests that a cold backend server may get at once.
const COLD_BURST: f64 = 2.0;

/// Shortest time after which a refused caller is told to come back.
const MIN_COME_BACK: Duration = Duration::from_millis(60);

/// How much a candidate is liked; less is better.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerCost {
    pub(crate) key: ServerKey,
    /// Seconds, preferences included.
    cost: f64,
    pub(crate) forecast: TimeForecast,
    local: bool,
    room: bool,
    pub(crate) cold: bool,
}

impl LoadBalancer {
    /// Takes one request to a cold backend server where its rate permits.
    pub(crate) fn take_cold(&self, now: Instant, key: ServerKey) -> bool {
        let server = &self.servers[key];
        let spec = self.specs.get(&server.record.service);
        let permitted = spec.map_or(0.0, |spec| spec.cold_rate) * self.settings.cold_factor;
        let rate = permitted * COLD_RATE_USED;
        server.try_take_cold(now, rate, COLD_BURST)
    }

    /// Weighs the backend servers that may be used.
    pub(crate) fn costs(&self, now: Instant, query: &ServerQuery<'_>) -> Vec<ServerCost> {
        let Some(group) = self.groups.get(query.service) else {
            return Vec::new();
        };
        let candidates = group.servers.iter().copied().filter(|key| {
            let server = &self.servers[*key];
            let home = query.homes.is_empty() || query.homes.contains(&server.region);
            let trial = !server.is_on_trial() || server.outstanding() == 0;
            let cold = !server.is_cold(now) || server.cold_owner;
            home && trial
                && cold
                && server.takes_work()
                && !server.is_ejected(now)
                && !query.tried.contains(key)
        });
        let candidates: Vec<_> = candidates.collect();
        let ranks = query.object.map(|object| {
            [true, false].map(|local| self.object_owners(object, local, &candidates))
        });
        let costs = candidates.into_iter().filter_map(|key| {
            let rank = match &ranks {
                None => 0,
                Some(ranks) => ranks.iter().flatten().find(|owner| owner.0 == key)?.1,
            };
            self.weigh(now, query, group, rank, key)
        });
        costs.collect()
    }

    /// Returns the backend servers of this region, or of the others, that requests for an object
    /// go to, with their ranks: the first by hash, and those that relieve it. The fewer objects a
    /// backend server has to keep warm, the more of them stay so.
    fn object_owners(
        &self,
        object: u64,
        local: bool,
        candidates: &[ServerKey],
    ) -> Vec<(ServerKey, usize)> {
        let candidates = candidates.iter().copied().filter(|key| {
            let server = &self.servers[*key];
            (server.region == self.region) == local
        });
        let hash = |key: ServerKey| {
            let id = self.servers[key].record.id.as_bytes();
            std::cmp::Reverse(xxh3::xxh3_64_with_seed(id, object))
        };
        let mut hashed: Vec<_> = candidates.map(|key| (hash(key), key)).collect();
        let ranks = if local { LOCAL_RANKS } else { FAR_RANKS };
        if hashed.len() > ranks {
            hashed.select_nth_unstable(ranks - 1);
            hashed.truncate(ranks);
        }
        hashed.sort_unstable();
        let ranked = hashed.into_iter().enumerate();
        ranked.map(|(rank, (_, key))| (key, rank)).collect()
    }

    fn weigh(
        &self,
        now: Instant,
        query: &ServerQuery<'_>,
        group: &ServiceGroup,
        rank: usize,
        key: ServerKey,
    ) -> Option<ServerCost> {
        let server = &self.servers[key];
        let local = server.region == self.region;
        let slots = f64::from(server.record.slots.max(1));
        let load = server.load(now);
        let queued = (load + 1.0 - slots).max(0.0);
        let cold = server.is_cold(now);
        let warm = query.object.is_none_or(|object| server.is_warm(object));
        let round = if local { NEAR_ROUND } else { FAR_ROUND };
        let own = if warm { group.work } else { group.strange_work };
        let forecast = TimeForecast {
            warm,
            wait: group.mean_work * queued / slots,
            own,
            round: round.as_secs_f64(),
            pace: server.pace(now),
        };
        let mut cost = forecast.seconds() + group.work * 0.2 * load / slots;
        if server.record.zone != self.settings.zone {
            cost += ZONE_PENALTY.as_secs_f64();
        }
        if !warm && rank > 0 {
            if load + 1.0 > slots * COPY_LOAD && load > 0.0 {
                return None;
            }
            cost += group.strange_work * COPY_PENALTY * rank as f64;
        }
        cost += group.work * 2.0 * server.failures();
        Some(ServerCost {
            key,
            cost,
            forecast,
            local,
            room: load + 1.0 <= slots * ROOM_LOAD || load < 1.0,
            cold,
        })
    }

    /// Returns the best of the weighed backend servers that can answer in time.
    pub(crate) fn best(
        &mut self,
        now: Instant,
        query: &ServerQuery<'_>,
        costs: &[ServerCost],
    ) -> Option<ServerCost> {
        let (wanted, left) = (query.wanted.as_secs_f64(), query.left.as_secs_f64());
        let fits = |cost: &&ServerCost| {
            let forecast = cost.forecast;
            forecast.seconds() <= wanted.max(forecast.alone()).min(left)
        };
        let cheapest = |local: bool| {
            let fitting = costs.iter().filter(fits).filter(|cost| cost.local == local);
            fitting.min_by(|a, b| a.cost.total_cmp(&b.cost)).copied()
        };
        let (near, far) = (cheapest(true), cheapest(false));
        let full = !costs.iter().any(|cost| cost.local && cost.room);
        let max_shift = self.settings.max_shift;
        let again = !query.tried.is_empty();
        if again {
            return near.or(far);
        }
        let (capacity, fair_share) = self.capacity(now, query.service);
        let spill = &mut self.group(query.service).spill;
        spill.note_capacity(now, capacity, fair_share);
        // Where the others are full too, more that leaves is no relief.
        let relief = !full || far.is_some_and(|far| far.room);
        let leaves = spill.decide(now, query.object, relief.then_some(full), max_shift);
        let best = match (near, far) {
            (None, Some(far)) if leaves || spill.starve(query.object) => Some(far),
            (Some(near), Some(far)) if leaves && (far.room || !near.room) => Some(far),
            (near, _) => near,
        };
        if let Some(best) = best {
            spill.note_run(!best.local);
        }
        best
    }

    /// Returns the slots of this region that may be used, and the share of its requests that would
    /// leave it if all zones asked for the same.
    fn capacity(&self, now: Instant, service: &str) -> (f64, f64) {
        let keys = self.groups.get(service).map(|group| &group.servers);
        let (mut local, mut all) = (0.0, 0.0);
        for key in keys.into_iter().flatten() {
            let server = &self.servers[*key];
            if !server.takes_work() || server.is_ejected(now) {
                continue;
            }
            let slots = f64::from(server.record.slots);
            all += slots;
            if server.region == self.region {
                local += slots;
            }
        }
        let zones = &self.settings.regions;
        let own = zones
            .values()
            .filter(|region| **region == self.region)
            .count();
        let demand = own as f64 / zones.len().max(1) as f64;
        let fair = if all > 0.0 {
            local / (all * demand)
        } else {
            1.0
        };
        (local, (1.0 - fair).clamp(0.0, 1.0))
    }

    /// Returns why no backend server was taken.
    pub(crate) fn refusal(&self, query: &ServerQuery<'_>, costs: &[ServerCost]) -> LoadRefusal {
        let soonest = costs.iter().map(|cost| cost.forecast.seconds());
        let soonest = soonest.min_by(f64::total_cmp);
        let (cause, come_back) = match soonest {
            None => {
                let usual = self.usual_time(query.service);
                (RefusalCause::NoServer, usual.max(MIN_COME_BACK * 4))
            }
            Some(soonest) => {
                let over = (soonest - query.wanted.as_secs_f64()).max(0.0);
                let over = Duration::from_secs_f64(over);
                (RefusalCause::Full, over.max(MIN_COME_BACK))
            }
        };
        LoadRefusal {
            cause,
            come_back,
            candidates: costs.len(),
            soonest: Duration::from_secs_f64(soonest.unwrap_or_default()),
            spill: self.spill_share(query.service),
        }
    }
}
