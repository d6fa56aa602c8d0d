//! The choice of a backend server, or a refusal.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use fleet::change::{FleetChange, FleetView};
use fleet::ids;
use fleet::server::ServerRecord;
use fleet::site::ServiceSpec;
use slotmap::SlotMap;
use xxhash_rust::xxh3;

use crate::group::{ServiceGroup, FIRST_WORK};
use crate::query::{AttemptReport, ChosenServer, LoadRefusal, ServerKey, ServerQuery};
use crate::server::{AttemptEnd, TrackedServer};
use crate::settings::BalanceSettings;

/// Least part of a request's time that is taken as its own work.
const LEAST_WORK: f64 = 0.3;

/// Chooses backend servers.
#[derive(Debug)]
pub struct LoadBalancer {
    pub(crate) settings: BalanceSettings,
    pub(crate) region: ids::RegionName,
    pub(crate) servers: SlotMap<ServerKey, TrackedServer>,
    /// In the order of their ids, by which hosts tell loads.
    pub(crate) keys: BTreeMap<ids::ServerId, ServerKey>,
    pub(crate) groups: HashMap<ids::ServiceName, ServiceGroup>,
    pub(crate) specs: HashMap<ids::ServiceName, ServiceSpec>,
    pub(crate) evacuated: Vec<ids::ZoneName>,
    /// Entry hosts that are ready, with their zones.
    pub(crate) hosts: Vec<(String, ids::ZoneName)>,
}

impl LoadBalancer {
    /// Creates a balancer that knows nothing yet.
    pub fn new(settings: BalanceSettings) -> Self {
        Self {
            region: settings.region(&settings.zone).to_string(),
            settings,
            servers: SlotMap::with_key(),
            keys: BTreeMap::new(),
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
        let group = self.groups.get(service);
        group.map_or(FIRST_WORK, |group| {
            Duration::from_secs_f64(group.warm_work())
        })
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
        let sides = self.side_loads(now, query.service);
        let leaves = self.leaves(now, query, &sides);
        let costs = self.costs(now, query, &sides, leaves);
        let Some(best) = self.best(query, &costs, leaves) else {
            return Err(self.refusal(query, &costs));
        };
        if best.cold && !self.take_cold(now, best.key) {
            return Err(self.refusal(query, &costs));
        }
        let server = &mut self.servers[best.key];
        server.begin();
        Ok(ChosenServer {
            key: best.key,
            record: server.record.clone(),
            load: best.load,
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
                group.note_work(now, work, forecast.affinity);
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

    pub(crate) fn group(&mut self, service: &str) -> &mut ServiceGroup {
        let group = self.groups.entry(service.to_string());
        group.or_default()
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

    /// Returns the share of the requests for a service that leaves this region.
    pub fn spill_share(&self, service: &str) -> f64 {
        self.groups
            .get(service)
            .map_or(0.0, |group| group.spill.share())
    }

    /// Returns the shares of the requests for all services in use that leave this region.
    pub fn spill_shares(&self) -> impl Iterator<Item = (&ids::ServiceName, f64)> {
        let groups = self.groups.iter();
        let moving = groups.filter(|(_, group)| group.spill.is_set());
        moving.map(|(service, group)| (service, group.spill.share()))
    }

    /// Takes in the mean share that the hosts of this region have set for a service.
    pub fn approach_share(&mut self, service: &str, mean: f64) {
        if let Some(group) = self.groups.get_mut(service) {
            group.spill.approach(mean);
        }
    }

    /// Takes the loads that were reported since the last time, by the places of the backend
    /// servers in the order of their ids.
    pub fn take_readings(&mut self) -> impl Iterator<Item = (usize, u32)> + '_ {
        let servers = &mut self.servers;
        let keys = self.keys.values().enumerate();
        keys.filter_map(|(place, key)| Some((place, servers[*key].take_reading()?)))
    }

    /// Takes in the mean loads of all backend servers, in the order of their ids, as all hosts
    /// together see them.
    pub fn set_shared_loads(&mut self, now: Instant, means: impl Iterator<Item = Option<f64>>) {
        // Hosts send about as much each, and what this one sent is counted by itself.
        let hosts = self.hosts() as f64;
        let others = (hosts - 1.0) / hosts;
        for (key, mean) in self.keys.values().zip(means) {
            if let Some(mean) = mean {
                self.servers[*key].set_shared_load(now, mean * others);
            }
        }
    }

    /// Returns the loads that backend servers reported a short time ago, for a dump.
    pub fn loads(&self, now: Instant) -> BTreeMap<ids::ServerId, f64> {
        let servers = self.servers.values();
        servers
            .filter_map(|server| Some((server.record.id.clone(), server.reported_load(now)?)))
            .collect()
    }
}
