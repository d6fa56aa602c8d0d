//! Weighs the backend servers that a request may go to.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3;

use crate::balancer::LoadBalancer;
use crate::group::ServiceGroup;
use crate::query::{
    LoadRefusal, ObjectAffinity, RefusalCause, ServerKey, ServerQuery, SoonestServer, TimeForecast,
};
use crate::region::SideLoad;

/// Time to a backend server in the same region, there and back.
const NEAR_ROUND: Duration = Duration::from_millis(3);

/// Time to a backend server in another region, there and back.
const FAR_ROUND: Duration = Duration::from_millis(40);

/// What leaving the zone counts, as time: bytes between zones are dear.
const ZONE_PENALTY: Duration = Duration::from_millis(12);

/// What relief counts, as a part of an owner's time: a further copy of an object drives another one
/// out.
const RELIEF_BIAS: f64 = 0.5;

/// Load up to which a backend server relieves an owner, as a part of its slots: a busy service must
/// not spend its slots on further copies.
const RELIEF_LOAD: f64 = 1.0;

/// Backend servers on the side where an object is at home that a request for it may go to.
const HOME_RANKS: usize = 2;

/// Backend servers on the other side that it may go to.
const AWAY_RANKS: usize = 1;

/// Part of the permitted rate of a cold backend server that this host uses: less than half, so that
/// two hosts that both take themselves for its owner stay below its bound.
const COLD_RATE_USED: f64 = 0.47;

/// Multiple of the time within which an answer is wanted, up to which a request is taken where its
/// region has no queues: one that is refused and returns is later still.
const LATE_FACTOR: f64 = 3.0;

/// Usual wait in a region, as a part of the time within which an answer is wanted, from which on no
/// request is taken that would be late: under an overload that lasts all would be.
const QUEUED_REGION: f64 = 0.5;

/// Requests that a cold backend server may get at once.
const COLD_BURST: f64 = 2.0;

/// Shortest time after which a refused caller is told to come back.
const MIN_COME_BACK: Duration = Duration::from_millis(60);

/// The same where backend servers rejected its request though they had room: another try has the
/// same chance at any time.
const REJECTED_COME_BACK: Duration = Duration::from_millis(15);

/// How much a candidate is liked; less is better.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerCost {
    pub(crate) key: ServerKey,
    /// Seconds, preferences included.
    cost: f64,
    /// Requests that it is taken to have.
    pub(crate) load: f64,
    pub(crate) forecast: TimeForecast,
    /// Seconds that a request usually waits in its region.
    usual_wait: f64,
    local: bool,
    pub(crate) cold: bool,
}

impl ServerCost {
    /// Returns the seconds within which it must be expected to answer a request to get it.
    fn limit(&self, query: &ServerQuery<'_>) -> f64 {
        let (wanted, left) = (query.wanted.as_secs_f64(), query.left.as_secs_f64());
        let queued = self.usual_wait / (wanted * QUEUED_REGION).max(f64::MIN_POSITIVE);
        let late = wanted * (1.0 + (LATE_FACTOR - 1.0) * (1.0 - queued).max(0.0));
        late.max(self.forecast.alone()).min(left)
    }

    fn fits(&self, query: &ServerQuery<'_>) -> bool {
        self.forecast.seconds() <= self.limit(query)
    }
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

    /// Weighs the backend servers that may be used. An object is at home in this region, or beyond
    /// where its requests leave.
    pub(crate) fn costs(
        &self,
        now: Instant,
        query: &ServerQuery<'_>,
        sides: &[SideLoad; 2],
        leaves: bool,
    ) -> Vec<ServerCost> {
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
        let Some(object) = query.object else {
            let costs = candidates
                .into_iter()
                .filter_map(|key| self.weigh(now, group, sides, ObjectAffinity::Warm, key));
            return costs.collect();
        };
        let ranked = [true, false].into_iter().flat_map(|local| {
            let home = local != leaves;
            let ranks = if home { HOME_RANKS } else { AWAY_RANKS };
            let owners = self.object_owners(object, local, ranks, &candidates);
            owners.into_iter().enumerate().map(move |(rank, key)| {
                let affinity = match (home, rank) {
                    (true, 0) => ObjectAffinity::Owner,
                    (true, _) => ObjectAffinity::Relief,
                    (false, _) => ObjectAffinity::Strange,
                };
                (key, affinity)
            })
        });
        let costs = ranked.filter_map(|(key, affinity)| {
            let warm = self.servers[key].is_warm(object);
            let affinity = if warm { ObjectAffinity::Warm } else { affinity };
            self.weigh(now, group, sides, affinity, key)
        });
        costs.collect()
    }

    /// Returns the backend servers of this region, or of the others, that requests for an object
    /// go to: the first by hash, and those that relieve it. The fewer objects a backend server has
    /// to keep warm, the more of them stay so.
    fn object_owners(
        &self,
        object: u64,
        local: bool,
        ranks: usize,
        candidates: &[ServerKey],
    ) -> Vec<ServerKey> {
        let candidates = candidates.iter().copied().filter(|key| {
            let server = &self.servers[*key];
            (server.region == self.region) == local
        });
        let hash = |key: ServerKey| {
            let id = self.servers[key].record.id.as_bytes();
            std::cmp::Reverse(xxh3::xxh3_64_with_seed(id, object))
        };
        let mut hashed: Vec<_> = candidates.map(|key| (hash(key), key)).collect();
        if hashed.len() > ranks {
            hashed.select_nth_unstable(ranks - 1);
            hashed.truncate(ranks);
        }
        hashed.sort_unstable();
        hashed.into_iter().map(|(_, key)| key).collect()
    }

    fn weigh(
        &self,
        now: Instant,
        group: &ServiceGroup,
        [near, far]: &[SideLoad; 2],
        affinity: ObjectAffinity,
        key: ServerKey,
    ) -> Option<ServerCost> {
        let server = &self.servers[key];
        let local = server.region == self.region;
        let slots = f64::from(server.record.slots.max(1));
        let typical = if local { near } else { far };
        let load = server.load(now, typical.share());
        // The mean of a region says little of one server, as most have more room than that.
        let known = server.reported_load(now).or(server.shared_load(now));
        let relieves = match known {
            Some(_) => load + 1.0 <= slots * RELIEF_LOAD,
            None => typical.share() <= RELIEF_LOAD,
        };
        if affinity == ObjectAffinity::Relief && !relieves {
            return None;
        }
        let round = if local { NEAR_ROUND } else { FAR_ROUND };
        let forecast = TimeForecast {
            affinity,
            wait: group.wait(load, slots),
            own: group.work(now, affinity),
            round: round.as_secs_f64(),
            pace: server.pace(now),
        };
        let work = group.warm_work();
        let mut cost = forecast.seconds() + work * 0.2 * load / slots;
        if server.record.zone != self.settings.zone {
            cost += ZONE_PENALTY.as_secs_f64();
        }
        if affinity == ObjectAffinity::Relief {
            cost += group.work(now, ObjectAffinity::Owner) * RELIEF_BIAS;
        }
        cost += work * 2.0 * server.failures();
        Some(ServerCost {
            key,
            cost,
            load,
            forecast,
            usual_wait: group.wait(typical.share() * slots, slots),
            local,
            cold: server.is_cold(now),
        })
    }

    /// Returns the best of the weighed backend servers that can answer in time.
    pub(crate) fn best(
        &mut self,
        query: &ServerQuery<'_>,
        costs: &[ServerCost],
        leaves: bool,
    ) -> Option<ServerCost> {
        let cheapest = |local: bool| {
            let fitting = costs
                .iter()
                .filter(|cost| cost.fits(query) && cost.local == local);
            fitting.min_by(|a, b| a.cost.total_cmp(&b.cost)).copied()
        };
        let (near, far) = (cheapest(true), cheapest(false));
        if !query.tried.is_empty() {
            let best = [near, far].into_iter().flatten();
            return best.min_by(|a, b| a.cost.total_cmp(&b.cost));
        }
        let spill = &mut self.group(query.service).spill;
        let best = match (near, far) {
            (_, Some(far)) if leaves => Some(far),
            (None, Some(far)) if spill.starve(query.object) => Some(far),
            (near, _) => near,
        };
        if let Some(best) = best.filter(|_| query.homes.is_empty()) {
            spill.note_run(!best.local);
        }
        best
    }

    /// Returns when to come back with a request that the backend servers it was sent to rejected:
    /// when the first of them is expected to have room, which may be at once.
    pub fn rejected_come_back(
        &self,
        now: Instant,
        service: &str,
        rejected: &[ServerKey],
    ) -> Duration {
        let group = self.groups.get(service);
        let servers = rejected.iter().filter_map(|key| self.servers.get(*key));
        let waits = servers.filter_map(|server| {
            let slots = f64::from(server.record.slots.max(1));
            Some(group?.wait(server.reported_load(now)?, slots))
        });
        match waits.min_by(f64::total_cmp) {
            Some(wait) => Duration::from_secs_f64(wait).max(REJECTED_COME_BACK),
            None => self.usual_time(service),
        }
    }

    /// Returns why no backend server was taken.
    pub(crate) fn refusal(&self, query: &ServerQuery<'_>, costs: &[ServerCost]) -> LoadRefusal {
        let soonest = costs.iter().map(|cost| SoonestServer {
            load: cost.load,
            forecast: cost.forecast,
            limit: cost.limit(query),
        });
        let soonest = soonest.min_by(|a, b| a.forecast.seconds().total_cmp(&b.forecast.seconds()));
        let (cause, come_back) = match soonest {
            None => {
                let usual = self.usual_time(query.service);
                (RefusalCause::NoServer, usual.max(MIN_COME_BACK * 4))
            }
            Some(soonest) => {
                let over = (soonest.forecast.seconds() - soonest.limit).max(0.0);
                let over = Duration::from_secs_f64(over);
                (RefusalCause::Full, over.max(MIN_COME_BACK))
            }
        };
        LoadRefusal {
            cause,
            come_back,
            candidates: costs.len(),
            soonest,
            spill: self.spill_share(query.service),
        }
    }
}
