//! The candidates for a request, their cost, and the choice among them.

use std::time::{Duration, Instant};

use admission::rank::WaitTolerance;
use fleet::hint::HintKind;
use xxhash_rust::xxh3;

use crate::balancer::LoadBalancer;
use crate::group::ServiceGroup;
use crate::limit;
use crate::query::{
    LatencyForecast, LoadRefusal, ObjectAffinity, RefusalCause, ServerKey, ServerQuery,
    SoonestServer,
};
use crate::region::RegionLoad;
use crate::server::TrackedServer;

/// Round trip to a backend server in the same region.
const LOCAL_ROUND_TRIP: Duration = Duration::from_millis(3);

/// Round trip to a backend server in another region.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(40);

/// Cost of leaving the zone: traffic between zones is expensive.
const CROSS_ZONE_COST: Duration = Duration::from_millis(12);

/// Cost of utilisation, as a multiple of the typical processing time.
const UTILISATION_COST: f64 = 0.2;

/// Cost of failures, as a multiple of the typical processing time.
const FAILURE_COST: f64 = 2.0;

/// Cost of a relief server, as a fraction of the processing time at the owner: a further cached
/// copy of an object evicts another object.
const RELIEF_COST: f64 = 0.5;

/// Utilisation up to which a backend server relieves the owner of an object: a busy service must
/// not use its slots for further cached copies.
const MAX_RELIEF_UTILISATION: f64 = 1.0;

/// Number of candidates for an object on the side (this region or the others) that its requests are
/// assigned to.
const ASSIGNED_CANDIDATES: usize = 2;

/// Number of candidates for an object on the other side.
const UNASSIGNED_CANDIDATES: usize = 1;

/// Fraction of the permitted rate to a cold backend server that this host uses. It is less than
/// half, so that two hosts that both consider themselves its owner stay within the rate together.
const COLD_RATE_FRACTION: f64 = 0.47;

/// Multiple of the target latency up to which a request is admitted while its region has no queues:
/// a request that is refused and retried is answered even later.
pub(crate) const MAX_LATENCY_FACTOR: f64 = 3.0;

/// Typical queueing time in a region, as a fraction of the target latency, from which requests that
/// would miss the target are refused: in a lasting overload all requests would miss it.
pub(crate) const QUEUED_REGION_FRACTION: f64 = 0.5;

/// Requests that a cold backend server may get at once.
const COLD_BURST: f64 = 2.0;

/// Shortest time after which a client may retry a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Shortest time after which a client may retry a request that backend servers rejected. It is
/// short because a server that rejects requests in spite of free slots does so at any time.
const MIN_RETRY_AFTER_REJECTION: Duration = Duration::from_millis(15);

/// Share of a service's backend servers up to which hints that they don't answer are followed.
const MAX_UNRESPONSIVE_SHARE: f64 = 0.5;

/// Backend servers that may get a request.
#[derive(Debug, Default)]
pub(crate) struct UsableServers {
    pub(crate) preferred: Vec<ServerKey>,
    /// Servers that are probably leaving, which get a request only if none of the others would answer
    /// it in time.
    pub(crate) leaving: Vec<ServerKey>,
}

/// A backend server that may get a request, with its cost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerCandidate {
    pub(crate) key: ServerKey,
    /// Expected latency plus penalties, in seconds; the lowest cost wins.
    cost: f64,
    /// Estimated load, in requests.
    pub(crate) load: f64,
    pub(crate) forecast: LatencyForecast,
    /// Load of the server's region as a fraction of its slots.
    pub(crate) utilisation: f64,
    /// Seconds that a request typically queues in the server's region.
    region_wait: f64,
    /// Whether the server is in this host's region.
    local: bool,
    pub(crate) cold: bool,
    /// Longest queueing time, in seconds, that more urgent requests leave to this one.
    pub(crate) rank_wait: Option<f64>,
}

impl ServerCandidate {
    /// Returns the highest expected latency, in seconds, with which a request is admitted.
    fn latency_limit(&self, query: &ServerQuery<'_>) -> f64 {
        let target = query.target_latency.as_secs_f64();
        let remaining = query.remaining.as_secs_f64();
        let queued = self.region_wait / (target * QUEUED_REGION_FRACTION).max(f64::MIN_POSITIVE);
        let late = target * (1.0 + (MAX_LATENCY_FACTOR - 1.0) * (1.0 - queued).max(0.0));
        let limit = late.max(self.forecast.unqueued()).min(remaining);
        let ranked = self.rank_wait.map(|wait| self.forecast.idle() + wait);
        ranked.map_or(limit, |ranked| limit.min(ranked))
    }

    /// Returns whether only the rank of the request keeps it from the server.
    fn is_outranked(&self, query: &ServerQuery<'_>) -> bool {
        let unranked = Self {
            rank_wait: None,
            ..*self
        };
        !self.is_in_time(query) && unranked.is_in_time(query)
    }

    /// Returns whether the server is expected to answer in time.
    pub(crate) fn is_in_time(&self, query: &ServerQuery<'_>) -> bool {
        self.forecast.seconds() <= self.latency_limit(query)
    }
}

impl LoadBalancer {
    /// Takes a token for one request to a cold backend server, and returns whether there was one.
    pub(crate) fn try_take_cold_token(&self, now: Instant, key: ServerKey) -> bool {
        let server = &self.servers[key];
        server.try_take_cold_token(now, self.cold_rate(server), COLD_BURST)
    }

    /// Returns the rate, in requests a second, at which this host may send requests to a server while
    /// the server is cold.
    fn cold_rate(&self, server: &TrackedServer) -> f64 {
        let spec = self.specs.get(&server.record.service);
        let permitted = spec.map_or(0.0, |spec| spec.cold_rate) * self.settings.cold_factor;
        permitted * COLD_RATE_FRACTION
    }

    /// Returns the time until this host may send a request to a server, as far as the server is cold;
    /// `None` if another host sends the requests to it meanwhile.
    fn cold_wait(&self, now: Instant, server: &TrackedServer) -> Option<Duration> {
        if !server.is_cold(now) {
            return Some(Duration::ZERO);
        }
        let owns = self.is_designated(server);
        owns.then(|| server.cold_wait(now, self.cold_rate(server), COLD_BURST))
    }

    /// Returns the time until this host may send a request to a server by its share of the server's
    /// limit; `None` if other hosts send the requests to it.
    fn permit_wait(&self, now: Instant, server: &TrackedServer) -> Option<Duration> {
        server.permit_wait(now, self.share_rate(now, server))
    }

    /// Returns the backend servers that may get a request.
    ///
    /// An unresponsive one gets a request at a time from one host alone, unless so many are unresponsive
    /// that the cause is more likely between them and the hosts.
    pub(crate) fn usable_servers(&self, now: Instant, query: &ServerQuery<'_>) -> UsableServers {
        let mut usable = UsableServers::default();
        let Some(group) = self.groups.get(query.service) else {
            return usable;
        };
        let mut unresponsive = Vec::new();
        for key in &group.servers {
            let server = &self.servers[*key];
            let home = query.home_regions.is_empty() || query.home_regions.contains(&server.region);
            let probe = !server.is_recovering() || server.in_flight() == 0;
            // A cold or limited server whose rate is used up must not keep the request from the others.
            let has_room = self.cold_wait(now, server) == Some(Duration::ZERO)
                && self.permit_wait(now, server) == Some(Duration::ZERO);
            let is_usable = home
                && probe
                && has_room
                && server.accepts_requests()
                && !server.is_ejected(now)
                && !server.is_resting(now)
                && self.zones[server.zone].is_open(now)
                && !query.tried.contains(key);
            if !is_usable {
                continue;
            }
            match server.hint(now) {
                None => usable.preferred.push(*key),
                Some(HintKind::Leaving) => usable.leaving.push(*key),
                Some(HintKind::Unresponsive) => unresponsive.push(*key),
            }
        }
        let all = usable.preferred.len() + unresponsive.len();
        if unresponsive.len() as f64 > all as f64 * MAX_UNRESPONSIVE_SHARE {
            usable.preferred.append(&mut unresponsive);
        }
        let probed = unresponsive.into_iter().filter(|key| {
            let server = &self.servers[*key];
            server.in_flight() == 0 && self.is_designated(server)
        });
        usable.preferred.extend(probed);
        usable
    }

    /// Returns the candidates among usable backend servers for a request, with their costs.
    ///
    /// If the request spills, its object is assigned to the other regions, else to this region.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        query: &ServerQuery<'_>,
        region_loads: &[RegionLoad; 2],
        spills: bool,
        usable: &[ServerKey],
        bound: Option<&WaitTolerance>,
    ) -> Vec<ServerCandidate> {
        let Some(group) = self.groups.get(query.service) else {
            return Vec::new();
        };
        let Some(object) = query.object else {
            let candidates = usable.iter().filter_map(|key| {
                self.candidate(
                    now,
                    group,
                    region_loads,
                    ObjectAffinity::Unnamed,
                    bound,
                    *key,
                )
            });
            return candidates.collect();
        };
        let ranked = [true, false].into_iter().flat_map(|local| {
            let assigned = local != spills;
            let count = if assigned {
                ASSIGNED_CANDIDATES
            } else {
                UNASSIGNED_CANDIDATES
            };
            let owners = self.object_owners(object, local, count, usable);
            owners.into_iter().enumerate().map(move |(rank, key)| {
                let affinity = match (assigned, rank) {
                    (true, 0) => ObjectAffinity::Owner,
                    (true, _) => ObjectAffinity::Relief,
                    (false, _) => ObjectAffinity::Strange,
                };
                (key, affinity)
            })
        });
        let candidates = ranked.filter_map(|(key, affinity)| {
            let warm = self.servers[key].is_warm(object);
            let affinity = if warm { ObjectAffinity::Warm } else { affinity };
            self.candidate(now, group, region_loads, affinity, bound, key)
        });
        candidates.collect()
    }

    /// Returns the first `count` backend servers of this region (`local`), or of the others, by
    /// rendezvous hashing of an object: its owner, then the servers that relieve it. The fewer
    /// servers an object may go to, the more objects stay cached.
    fn object_owners(
        &self,
        object: u64,
        local: bool,
        count: usize,
        usable: &[ServerKey],
    ) -> Vec<ServerKey> {
        let usable = usable.iter().copied().filter(|key| {
            let server = &self.servers[*key];
            (server.region == self.region) == local
        });
        let hash = |key: ServerKey| {
            let id = self.servers[key].record.id.as_bytes();
            std::cmp::Reverse(xxh3::xxh3_64_with_seed(id, object))
        };
        let mut hashed: Vec<_> = usable.map(|key| (hash(key), key)).collect();
        if hashed.len() > count {
            hashed.select_nth_unstable(count - 1);
            hashed.truncate(count);
        }
        hashed.sort_unstable();
        hashed.into_iter().map(|(_, key)| key).collect()
    }

    /// Computes the cost of a server, or returns `None` for a relief server that is too busy.
    fn candidate(
        &self,
        now: Instant,
        group: &ServiceGroup,
        [local_load, remote_load]: &[RegionLoad; 2],
        affinity: ObjectAffinity,
        bound: Option<&WaitTolerance>,
        key: ServerKey,
    ) -> Option<ServerCandidate> {
        let server = &self.servers[key];
        let local = server.region == self.region;
        let slots = f64::from(server.record.slots.max(1));
        let region_load = if local { local_load } else { remote_load };
        let load = server.load(now, region_load.utilisation());
        // The region's mean is a poor estimate for a single server, as most servers have more room.
        // Without a known load, only a region over the limit rules relief out.
        let known = server.reported_load(now).or(server.shared_load(now));
        let relieves = match known {
            Some(_) => load + 1.0 <= slots * MAX_RELIEF_UTILISATION,
            None => region_load.utilisation() <= MAX_RELIEF_UTILISATION,
        };
        if affinity == ObjectAffinity::Relief && !relieves {
            return None;
        }
        let round_trip = if local {
            LOCAL_ROUND_TRIP
        } else {
            REMOTE_ROUND_TRIP
        };
        let forecast = LatencyForecast {
            affinity,
            wait: group.queue_wait(load, slots),
            processing: group.processing(now, affinity),
            round_trip: round_trip.as_secs_f64(),
            slowdown: server.slowdown(now),
        };
        let typical = group.typical_processing();
        let mut cost = forecast.seconds() + typical * UTILISATION_COST * load / slots;
        if server.record.zone != self.settings.zone {
            cost += CROSS_ZONE_COST.as_secs_f64();
        }
        if affinity == ObjectAffinity::Relief {
            cost += group.processing(now, ObjectAffinity::Owner) * RELIEF_COST;
        }
        cost += typical * FAILURE_COST * server.failure_rate();
        let region_wait = group.queue_wait(region_load.utilisation() * slots, slots);
        Some(ServerCandidate {
            key,
            cost,
            load,
            forecast,
            utilisation: region_load.utilisation(),
            region_wait,
            local,
            cold: server.is_cold(now),
            rank_wait: bound.map(|bound| bound.at(region_wait)),
        })
    }

    /// Returns the candidate with the lowest cost that is expected to answer in time. For a first
    /// attempt the spill decision goes before the cost.
    pub(crate) fn best_candidate(
        &mut self,
        query: &ServerQuery<'_>,
        candidates: &[ServerCandidate],
        spills: bool,
    ) -> Option<ServerCandidate> {
        let cheapest = |local: bool| {
            let in_time = candidates
                .iter()
                .filter(|candidate| candidate.is_in_time(query) && candidate.local == local);
            in_time.min_by(|a, b| a.cost.total_cmp(&b.cost)).copied()
        };
        let (local, remote) = (cheapest(true), cheapest(false));
        if !query.tried.is_empty() {
            let best = [local, remote].into_iter().flatten();
            return best.min_by(|a, b| a.cost.total_cmp(&b.cost));
        }
        let spill = &mut self.group_mut(query.service).spill;
        let best = match (local, remote) {
            (_, Some(remote)) if spills => Some(remote),
            (None, Some(remote)) if spill.overflow(query.object) => Some(remote),
            (local, _) => local,
        };
        if let Some(best) = best.filter(|_| query.home_regions.is_empty()) {
            spill.record_request(!best.local);
        }
        best
    }

    /// Returns the candidate without a queue that gets a request although no answer is expected in time. Only
    /// answers correct a forecast, so one that is too long would otherwise rule the servers out for good.
    pub(crate) fn probed_candidate(
        &self,
        now: Instant,
        query: &ServerQuery<'_>,
        candidates: &[ServerCandidate],
        spills: bool,
    ) -> Option<ServerCandidate> {
        let group = self.groups.get(query.service)?;
        let has_time = query.remaining >= query.target_latency;
        if !query.tried.is_empty() || !has_time || !group.may_probe(now) {
            return None;
        }
        let idle = candidates
            .iter()
            .filter(|candidate| candidate.forecast.wait <= 0.0 && candidate.local != spills);
        idle.min_by(|a, b| a.cost.total_cmp(&b.cost)).copied()
    }

    /// Returns the time after which a client may retry a request that backend servers rejected.
    ///
    /// This is the shortest expected queueing time or rest of these servers, with a small minimum, or
    /// the typical processing time of the service if none of them has a recent load report.
    pub fn retry_after_rejection(
        &self,
        now: Instant,
        service: &str,
        rejected: &[ServerKey],
    ) -> Duration {
        let group = self.groups.get(service);
        let servers = rejected.iter().filter_map(|key| self.servers.get(*key));
        let waits = servers.filter_map(|server| {
            let rest = server.rest_left(now).map(|rest| rest.as_secs_f64());
            let slots = f64::from(server.record.slots.max(1));
            let load = server.reported_load(now);
            let wait = group
                .zip(load)
                .map(|(group, load)| group.queue_wait(load, slots));
            // A server that rests may also have a queue.
            rest.into_iter().chain(wait).max_by(f64::total_cmp)
        });
        match waits.min_by(f64::total_cmp) {
            Some(wait) => Duration::from_secs_f64(wait).max(MIN_RETRY_AFTER_REJECTION),
            None => self.typical_processing_time(service),
        }
    }

    /// Returns the time until the first of the backend servers that rest, aren't reached, or are cold or
    /// limited and have used up their rate, is a candidate again, and which of these it is.
    fn shortest_wait(
        &self,
        now: Instant,
        query: &ServerQuery<'_>,
    ) -> Option<(Duration, RefusalCause)> {
        let group = self.groups.get(query.service)?;
        let keys = group.servers.iter();
        let servers = keys.filter(|key| !query.tried.contains(key));
        let waits = servers.filter_map(|key| {
            let server = &self.servers[*key];
            let home = query.home_regions.is_empty() || query.home_regions.contains(&server.region);
            if !home || !server.accepts_requests() {
                return None;
            }
            let cold = self.cold_wait(now, server)?;
            let limited = self.permit_wait(now, server);
            let limited = limited.unwrap_or_else(|| limit::interval(server.limit()));
            let unreached = self.zones[server.zone].wait(now);
            match server.rest_left(now) {
                Some(rest) => Some((
                    rest.max(cold).max(limited).max(unreached),
                    RefusalCause::Resting,
                )),
                None if !unreached.is_zero() => {
                    Some((unreached.max(cold).max(limited), RefusalCause::Unreachable))
                }
                None if !limited.is_zero() => Some((limited.max(cold), RefusalCause::Limited)),
                None if cold.is_zero() => None,
                None => Some((cold, RefusalCause::Full)),
            }
        });
        waits.min_by_key(|(wait, _)| *wait)
    }

    /// Returns the refusal for a request that no candidate was chosen for.
    pub(crate) fn refusal(
        &self,
        now: Instant,
        query: &ServerQuery<'_>,
        candidates: &[ServerCandidate],
    ) -> LoadRefusal {
        let soonest = candidates.iter().map(|candidate| SoonestServer {
            load: candidate.load,
            forecast: candidate.forecast,
            limit: candidate.latency_limit(query),
        });
        let soonest = soonest.min_by(|a, b| a.forecast.seconds().total_cmp(&b.forecast.seconds()));
        let (cause, retry_after) = match (soonest, self.shortest_wait(now, query)) {
            (None, Some((wait, cause))) => (cause, wait.max(MIN_RETRY_AFTER)),
            (None, None) => {
                let typical = self.typical_processing_time(query.service);
                (RefusalCause::NoServer, typical.max(MIN_RETRY_AFTER * 4))
            }
            (Some(soonest), wait) => {
                let excess = (soonest.forecast.seconds() - soonest.limit).max(0.0);
                let excess = Duration::from_secs_f64(excess);
                let soonest = wait.map_or(excess, |(wait, _)| wait.min(excess));
                let is_outranked = candidates.iter().any(|other| other.is_outranked(query));
                let cause = match is_outranked {
                    true => RefusalCause::Outranked,
                    false => RefusalCause::Full,
                };
                (cause, soonest.max(MIN_RETRY_AFTER))
            }
        };
        LoadRefusal {
            cause,
            retry_after,
            candidates: candidates.len(),
            soonest,
            spill: self.spill_share(query.service),
        }
    }
}
