//! The choice of a backend server, or a refusal.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use fleet::change::{FleetChange, FleetView};
use fleet::ids;
use fleet::server::ServerRecord;
use fleet::site::ServiceSpec;
use slotmap::SlotMap;
use xxhash_rust::xxh3;

use crate::budget::AttemptBudget;
use crate::server::{AttemptEnd, ReportedLoad, TrackedServer};
use crate::settings::BalanceSettings;
use crate::spill::RegionSpill;

slotmap::new_key_type! {
    /// One life of a backend server.
    pub struct ServerKey;
}

/// Time of one request, until some were seen; that of a short read.
const FIRST_WORK: Duration = Duration::from_millis(100);

/// Time of a request for an object that is not warm, as a multiple of one that is, until some were
/// seen.
const FIRST_STRANGE: f64 = 2.5;

/// Weight of the latest request in a service's time of work.
const WORK_WEIGHT: f64 = 0.05;

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

/// Least part of a request's time that is taken as its own work.
const LEAST_WORK: f64 = 0.3;

/// Factor by which a request that finds a free slot may take longer than usual.
const ALONE_SPREAD: f64 = 1.3;

/// Load below which a backend server has room, as a part of its slots.
const ROOM_LOAD: f64 = 0.85;

/// Share of the rate that a cold backend server bears which this host uses, so that two hosts
/// that both take themselves for its owner stay below its bound.
const COLD_RATE_USED: f64 = 0.7;

/// Requests that a cold backend server may get at once.
const COLD_BURST: f64 = 2.0;

/// Shortest time after which a refused caller is told to come back.
const MIN_COME_BACK: Duration = Duration::from_millis(60);

/// What is known of a request when its backend server is chosen.
#[derive(Debug, Clone)]
pub struct ServerQuery<'a> {
    /// Service that it goes to.
    pub service: &'a str,
    /// Digest of the object that it is about, where the route is sticky.
    pub object: Option<u64>,
    /// Time until it must be answered.
    pub left: Duration,
    /// Time within which its answer is wanted, counted from now.
    pub wanted: Duration,
    /// Regions that may serve it; none where any may.
    pub homes: &'a [ids::RegionName],
    /// Backend servers that it was sent to before.
    pub tried: &'a [ServerKey],
}

/// A backend server that was chosen; the request counts towards its load until its end is told.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// Recognises it.
    pub key: ServerKey,
    /// What it announced.
    pub record: ServerRecord,
    /// Load that it was taken to have.
    pub load: f64,
    /// What was expected of the request.
    pub forecast: TimeForecast,
}

/// Time that a request was taken to need at a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimeForecast {
    /// Whether its object was taken to be warm.
    pub warm: bool,
    /// Seconds behind other requests.
    pub wait: f64,
    /// Seconds of its own, at the usual pace.
    pub own: f64,
    /// Seconds on the way.
    pub round: f64,
    /// The backend server's pace, as a multiple of the usual time.
    pub pace: f64,
}

impl TimeForecast {
    /// Returns the seconds until the answer.
    pub fn seconds(&self) -> f64 {
        (self.own + self.wait) * self.pace + self.round
    }

    /// Returns the seconds until the answer where the request finds a free slot and is among the
    /// slower ones.
    fn alone(&self) -> f64 {
        self.own * self.pace * ALONE_SPREAD + self.round
    }

    /// Returns the time until the answer.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.seconds())
    }
}

/// Why there is no backend server for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCause {
    /// The service has no backend server that may be used.
    NoServer,
    /// All that may be used have more than they can answer in time.
    Full,
}

/// A refusal before anything was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// When room is expected.
    pub come_back: Duration,
    /// Backend servers that might have been used.
    pub candidates: usize,
    /// Time until the answer of the soonest of them; zero where there is none.
    pub soonest: Duration,
    /// Share of the requests for the service that leaves the region.
    pub spill: f64,
}

#[derive(Debug)]
struct ServiceGroup {
    servers: Vec<ServerKey>,
    spill: RegionSpill,
    budget: AttemptBudget,
    /// Seconds of one request at a backend server with room, where its object is warm.
    work: f64,
    /// Seconds of one for an object that is not.
    strange_work: f64,
    /// Seconds of one, warm or not.
    mean_work: f64,
    /// Requests for strange and for warm objects that were seen.
    seen: [u32; 2],
}

impl ServiceGroup {
    fn note_work(&mut self, work: f64, warm: bool) {
        let seen = &mut self.seen[usize::from(warm)];
        *seen = seen.saturating_add(1);
        // The first requests replace the guess.
        let weight = WORK_WEIGHT.max(1.0 / f64::from(*seen));
        let usual = if warm {
            &mut self.work
        } else {
            &mut self.strange_work
        };
        *usual += (work - *usual) * weight;
        if self.seen[1] == 0 {
            self.work = self.strange_work / FIRST_STRANGE;
        }
        self.strange_work = self.strange_work.max(self.work);
        self.mean_work += (work - self.mean_work) * weight;
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub struct AttemptReport {
    /// How it ended.
    pub end: AttemptEnd,
    /// Time that it took.
    pub took: Duration,
    /// Load that its answer reports.
    pub load: Option<ReportedLoad>,
    /// Object that it was about.
    pub object: Option<u64>,
    /// What was expected of it.
    pub forecast: TimeForecast,
}

impl ServiceGroup {
    fn new() -> Self {
        Self {
            servers: Vec::new(),
            spill: RegionSpill::new(),
            budget: AttemptBudget::new(),
            work: FIRST_WORK.as_secs_f64(),
            strange_work: FIRST_WORK.as_secs_f64() * FIRST_STRANGE,
            mean_work: FIRST_WORK.as_secs_f64() * FIRST_STRANGE,
            seen: [0; 2],
        }
    }
}

/// Chooses backend servers.
#[derive(Debug)]
pub struct LoadBalancer {
    settings: BalanceSettings,
    region: ids::RegionName,
    servers: SlotMap<ServerKey, TrackedServer>,
    keys: HashMap<ids::ServerId, ServerKey>,
    groups: HashMap<ids::ServiceName, ServiceGroup>,
    specs: HashMap<ids::ServiceName, ServiceSpec>,
    evacuated: Vec<ids::ZoneName>,
    /// Entry hosts that are ready, with their zones.
    hosts: Vec<(String, ids::ZoneName)>,
}

/// How much a candidate is liked; less is better.
#[derive(Debug, Clone, Copy)]
struct ServerCost {
    key: ServerKey,
    /// Seconds, preferences included.
    cost: f64,
    forecast: TimeForecast,
    local: bool,
    room: bool,
    cold: bool,
}

impl LoadBalancer {
    /// Creates a balancer that knows nothing yet.
    pub fn new(settings: BalanceSettings) -> Self {
        Self {
            region: settings.region(&settings.zone).to_string(),
            settings,
            servers: SlotMap::with_key(),
            keys: HashMap::new(),
            groups: HashMap::new(),
            specs: HashMap::new(),
            evacuated: Vec::new(),
            hosts: Vec::new(),
        }
    }

    /// Puts a whole view in place; what is known of backend servers that stay is kept.
    pub fn set_view(&mut self, now: Instant, view: &FleetView) {
        self.set_specs(&view.site.services);
        self.evacuated = view.evacuated.iter().cloned().collect();
        let gone: Vec<_> = self
            .keys
            .keys()
            .filter(|id| !view.servers.contains_key(*id))
            .cloned()
            .collect();
        for id in gone {
            self.remove_server(&id);
        }
        for record in view.servers.values() {
            self.set_server(record.clone());
        }
        self.mark_evacuated(now, &[]);
    }

    /// Applies a change.
    pub fn apply(&mut self, now: Instant, change: &FleetChange) {
        match change {
            FleetChange::Site { site, .. } => self.set_specs(&site.services),
            FleetChange::Server(record) => {
                let cold = record.cold;
                self.set_server(record.clone());
                self.set_cold(now, &record.id, cold);
            }
            FleetChange::ServerGone(id) => self.remove_server(id),
            FleetChange::Evacuated(zone) => {
                self.evacuated.push(zone.clone());
                self.mark_evacuated(now, &[]);
            }
            FleetChange::Readmitted(zone) => {
                self.evacuated.retain(|other| other != zone);
                self.mark_evacuated(now, std::slice::from_ref(zone));
            }
        }
    }

    /// Notes that a backend server is cold for some time.
    pub fn set_cold(&mut self, now: Instant, id: &str, period: Duration) {
        if let Some(server) = self.keys.get(id).and_then(|key| self.servers.get_mut(*key)) {
            server.set_cold(now, period);
        }
    }

    /// Notes which entry hosts are ready.
    pub fn set_hosts(&mut self, hosts: Vec<(String, ids::ZoneName)>) {
        self.hosts = hosts;
        let keys: Vec<_> = self.servers.keys().collect();
        for key in keys {
            self.set_owner(key);
        }
    }

    /// Returns the number of ready entry hosts that are known, this one included.
    pub fn hosts(&self) -> usize {
        self.hosts.len().max(1)
    }

    /// Returns the backend servers that are known.
    pub fn servers(&self) -> impl Iterator<Item = &TrackedServer> {
        self.servers.values()
    }

    /// Counts a request of a client to a service.
    pub fn note_request(&mut self, service: &str) {
        let hosts = self.hosts();
        let (ratio, slack) = (self.settings.retry_ratio, self.settings.retry_slack);
        self.group(service).budget.deposit(ratio, slack, hosts);
    }

    /// Takes a second attempt out of the budget of a service, where it holds one.
    pub fn try_retry(&mut self, service: &str) -> bool {
        self.group(service).budget.try_withdraw()
    }

    /// Returns the time that a request to a service usually needs.
    pub fn usual_time(&self, service: &str) -> Duration {
        let work = self.groups.get(service).map(|group| group.work);
        work.map_or(FIRST_WORK, Duration::from_secs_f64)
    }

    /// Chooses a backend server; the request counts towards its load from then on.
    ///
    /// # Errors
    ///
    /// Refuses where none may be used, or where none could answer in time.
    pub fn choose(
        &mut self,
        now: Instant,
        query: &ServerQuery<'_>,
    ) -> Result<ChosenServer, LoadRefusal> {
        let costs = self.costs(now, query);
        let Some(best) = self.best(now, query, &costs) else {
            return Err(self.refusal(query, &costs));
        };
        if best.cold && !self.take_cold(now, best.key) {
            return Err(self.refusal(query, &costs));
        }
        let server = &mut self.servers[best.key];
        let load = server.load(now);
        server.begin();
        Ok(ChosenServer {
            key: best.key,
            record: server.record.clone(),
            load,
            forecast: best.forecast,
        })
    }

    /// Tells how a request ended at the backend server that was chosen for it.
    pub fn finish(&mut self, now: Instant, key: ServerKey, report: AttemptReport) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.end(now, report.end, report.load);
        let Some(group) = self.groups.get_mut(&server.record.service) else {
            return;
        };
        let forecast = report.forecast;
        let took = (report.took.as_secs_f64() - forecast.round).max(0.0);
        let ratio = took / (forecast.own + forecast.wait).max(0.001);
        match report.end {
            AttemptEnd::Answered => {
                server.note_pace(now, ratio);
                // What others made it wait is no work of its own.
                let work = (took - forecast.wait).max(took * LEAST_WORK);
                group.note_work(work, forecast.warm);
                if let Some(object) = report.object {
                    server.note_warm(object);
                }
            }
            // One that was given up took longer than this, if it took longer than usual.
            AttemptEnd::Dropped | AttemptEnd::Late if ratio > 1.0 => {
                server.note_pace(now, ratio);
            }
            _ => {}
        }
    }

    fn group(&mut self, service: &str) -> &mut ServiceGroup {
        let group = self.groups.entry(service.to_string());
        group.or_insert_with(ServiceGroup::new)
    }

    fn set_specs(&mut self, specs: &[ServiceSpec]) {
        let specs = specs.iter().map(|spec| (spec.name.clone(), spec.clone()));
        self.specs = specs.collect();
    }

    fn set_server(&mut self, record: ServerRecord) {
        let known = self.keys.get(&record.id).copied();
        if let Some(server) = known.and_then(|key| self.servers.get_mut(key)) {
            let same_life = server.record.born == record.born
                && server.record.address == record.address
                && server.record.service == record.service;
            if same_life {
                server.record = record;
                return;
            }
        }
        self.remove_server(&record.id);
        let (id, service) = (record.id.clone(), record.service.clone());
        let region = self.settings.region(&record.zone).to_string();
        let mut server = TrackedServer::new(record, region);
        server.evacuated = self.evacuated.contains(&server.record.zone);
        let key = self.servers.insert(server);
        self.keys.insert(id, key);
        self.group(&service).servers.push(key);
        self.set_owner(key);
    }

    fn remove_server(&mut self, id: &str) {
        let Some(key) = self.keys.remove(id) else {
            return;
        };
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&server.record.service) {
            group.servers.retain(|other| *other != key);
        }
    }

    /// Marks the backend servers of evacuated zones; those of a zone that just got work again
    /// count as cold.
    fn mark_evacuated(&mut self, now: Instant, readmitted: &[ids::ZoneName]) {
        for server in self.servers.values_mut() {
            server.evacuated = self.evacuated.contains(&server.record.zone);
            if readmitted.contains(&server.record.zone) {
                let spec = self.specs.get(&server.record.service);
                server.set_cold(now, spec.map_or(Duration::ZERO, |spec| spec.cold_period));
            }
        }
    }

    /// Notes whether this host is the one that may use a backend server while it is cold: the
    /// first by hash among those of its zone, else of its region, else of all.
    fn set_owner(&mut self, key: ServerKey) {
        let server = &self.servers[key];
        let same_zone = |zone: &str| zone == server.record.zone;
        let same_region = |zone: &str| self.settings.region(zone) == server.region;
        let nearness = |zone: &str| match (same_zone(zone), same_region(zone)) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
        let rank = |host: &(String, ids::ZoneName)| {
            let seed = xxh3::xxh3_64(host.0.as_bytes());
            let hash = xxh3::xxh3_64_with_seed(server.record.id.as_bytes(), seed);
            (nearness(&host.1), hash)
        };
        let owner = self.hosts.iter().min_by_key(|host| rank(host));
        let owns = owner.is_some_and(|host| host.0 == self.settings.host);
        self.servers[key].cold_owner = owns;
    }

    fn take_cold(&self, now: Instant, key: ServerKey) -> bool {
        let server = &self.servers[key];
        let spec = self.specs.get(&server.record.service);
        let rate = spec.map_or(0.0, |spec| spec.cold_rate) * COLD_RATE_USED;
        server.try_take_cold(now, rate, COLD_BURST)
    }

    /// Weighs the backend servers that may be used.
    fn costs(&self, now: Instant, query: &ServerQuery<'_>) -> Vec<ServerCost> {
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
    fn best(
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

    fn refusal(&self, query: &ServerQuery<'_>, costs: &[ServerCost]) -> LoadRefusal {
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

    /// Returns the share of the requests for a service that leaves this region.
    pub fn spill_share(&self, service: &str) -> f64 {
        self.groups
            .get(service)
            .map_or(0.0, |group| group.spill.share())
    }

    /// Returns the backend servers by zone, for a dump.
    pub fn loads(&self, now: Instant) -> BTreeMap<ids::ServerId, f64> {
        let servers = self.servers.values();
        servers
            .map(|server| (server.record.id.clone(), server.load(now)))
            .collect()
    }
}
