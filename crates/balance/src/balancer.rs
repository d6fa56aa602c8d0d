//! The choice of a backend server for a request, or a refusal.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use admission::rank::WaitTolerance;

use crate::group::{ServiceGroup, INITIAL_PROCESSING_TIME};
use crate::limit::{self, KnownLimits, SendPermit};
use crate::notice::{NoticeTable, ServerNotice};
use crate::quarantine::{RequestQuarantine, RunAdmission};
use crate::query::{
    AttemptReport, ChosenServer, LoadRefusal, ObjectAffinity, RefusalCause, ServerKey, ServerQuery,
    ZoneKey,
};
use crate::ranking::{HostPlace, HostRanking};
use crate::reach::ZoneReach;
use crate::server::{AttemptEnd, TrackedServer};
use crate::settings::BalanceSettings;
use fleet::change::{FleetChange, FleetView};
use fleet::hint::{ServerHint, ServerIncarnation};
use fleet::ids;
use fleet::limit::{LimitNotice, RequestRate};
use fleet::server::ServerRecord;
use fleet::site::ServiceSpec;
use fleet::suspect::RunNotice;
use slotmap::SlotMap;

/// Lower bound of a measured processing time, as a fraction of the latency without the round trip.
const MIN_PROCESSING_FRACTION: f64 = 0.3;

/// Age of the latest confirmation from which this host counts as isolated.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(2);

/// Chooses backend servers for requests, and tracks their load and health.
#[derive(Debug)]
pub struct LoadBalancer {
    pub(crate) settings: BalanceSettings,
    pub(crate) region: ids::RegionName,
    pub(crate) servers: SlotMap<ServerKey, TrackedServer>,
    /// Whether this host reaches the zones of the servers.
    pub(crate) zones: SlotMap<ZoneKey, ZoneReach>,
    zone_keys: HashMap<ids::ZoneName, ZoneKey>,
    /// Keys by server id. Hosts share loads by the position of a server in this order.
    pub(crate) keys: BTreeMap<ids::ServerId, ServerKey>,
    pub(crate) groups: HashMap<ids::ServiceName, ServiceGroup>,
    pub(crate) specs: HashMap<ids::ServiceName, ServiceSpec>,
    pub(crate) evacuated: Vec<ids::ZoneName>,
    notices: NoticeTable,
    limits: KnownLimits,
    quarantine: RequestQuarantine,
    /// Backend servers that the control replicas gave hints about.
    hinted: Vec<ServerKey>,
    /// Entry hosts that are ready.
    hosts: HostRanking,
    /// Latest time at which the state of a control replica was confirmed.
    confirmed_at: Option<Instant>,
}

impl LoadBalancer {
    /// Creates a balancer without backend servers.
    pub fn new(settings: BalanceSettings) -> Self {
        Self {
            region: settings.region(&settings.zone).to_string(),
            settings,
            servers: SlotMap::with_key(),
            zones: SlotMap::with_key(),
            zone_keys: HashMap::new(),
            keys: BTreeMap::new(),
            groups: HashMap::new(),
            specs: HashMap::new(),
            evacuated: Vec::new(),
            notices: NoticeTable::default(),
            limits: KnownLimits::default(),
            quarantine: RequestQuarantine::default(),
            hinted: Vec::new(),
            hosts: HostRanking::default(),
            confirmed_at: None,
        }
    }

    /// Replaces the whole view. A backend server whose incarnation is in the old and the new view
    /// keeps its load and health.
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
            self.set_server(now, record.clone());
        }
        self.update_evacuated(now, &[]);
        self.quarantine
            .retain(now, |request| view.quarantined.contains_key(&request));
        for (request, crashes) in &view.quarantined {
            self.quarantine.set_quarantined(now, *request, *crashes);
        }
    }

    /// Applies a change to the view.
    pub fn apply(&mut self, now: Instant, change: &FleetChange) {
        match change {
            FleetChange::Site { site, .. } => self.set_specs(&site.services),
            FleetChange::Server(record) => {
                let cold = record.cold;
                self.set_server(now, record.clone());
                self.set_cold(now, &record.id, cold);
            }
            FleetChange::ServerGone(id) => self.remove_server(id),
            FleetChange::Evacuated(zone) => {
                self.evacuated.push(zone.clone());
                self.update_evacuated(now, &[]);
            }
            FleetChange::Readmitted(zone) => {
                self.evacuated.retain(|other| other != zone);
                self.update_evacuated(now, std::slice::from_ref(zone));
            }
            FleetChange::Quarantined { request, crashes } => {
                self.quarantine.set_quarantined(now, *request, *crashes);
            }
            FleetChange::Released(request) => self.quarantine.release(now, *request),
        }
    }

    /// Marks a backend server as cold for a period from now; an unknown id is ignored.
    pub fn set_cold(&mut self, now: Instant, id: &str, period: Duration) {
        if let Some(server) = self.keys.get(id).and_then(|key| self.servers.get_mut(*key)) {
            server.set_cold(now, period);
        }
    }

    /// Sets the names and zones of the entry hosts that are ready.
    pub fn set_hosts(&mut self, now: Instant, hosts: Vec<(String, ids::ZoneName)>) {
        self.hosts.set_listed(now, &self.settings.host, hosts);
    }

    /// Records that a control replica confirmed its state at a time.
    pub fn set_confirmed(&mut self, confirmed_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Returns whether no control replica recently confirmed its state to this host.
    fn is_isolated(&self, now: Instant) -> bool {
        self.confirmed_at
            .is_none_or(|confirmed_at| now >= confirmed_at + MAX_CONFIRMATION_AGE)
    }

    /// Returns the number of entry hosts that are ready. It is at least 1, as this host may not be
    /// listed yet.
    pub fn host_count(&self) -> usize {
        self.hosts.listed().max(1)
    }

    /// Records a client request to a service, which adds to the service's retry budget.
    pub fn record_request(&mut self, service: &str) {
        let hosts = self.host_count();
        let (ratio, slack) = (self.settings.retry_ratio, self.settings.retry_slack);
        let budget = &mut self.group_mut(service).budget;
        budget.deposit(ratio, slack, hosts);
    }

    /// Withdraws one retry from the retry budget of a service, and returns whether there was one.
    pub fn try_withdraw_retry(&mut self, service: &str) -> bool {
        self.group_mut(service).budget.try_withdraw()
    }

    /// Returns a withdrawn retry that wasn't sent to the retry budget of a service.
    pub fn refund_retry(&mut self, service: &str) {
        self.group_mut(service).budget.refund();
    }

    /// Returns the expected processing time of a request to a service at a backend server that has
    /// the request's object in its cache, or of one without an object where none names one.
    pub fn typical_processing_time(&self, service: &str) -> Duration {
        let group = self.groups.get(service);
        group.map_or(INITIAL_PROCESSING_TIME, |group| {
            Duration::from_secs_f64(group.typical_processing())
        })
    }

    /// Chooses a backend server at which the request queues no longer than more urgent ones leave to it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no such server, or if it is cold and its rate limit is reached.
    pub(crate) fn choose_within(
        &mut self,
        now: Instant,
        query: &ServerQuery<'_>,
        bound: Option<&WaitTolerance>,
    ) -> Result<ChosenServer, LoadRefusal> {
        self.hosts.evict(now);
        let region_loads = self.region_loads(now, query.service);
        let spills = self.decide_spill(now, query, &region_loads);
        let usable = self.usable_servers(now, query);
        let mut candidates =
            self.candidates(now, query, &region_loads, spills, &usable.preferred, bound);
        if !candidates
            .iter()
            .any(|candidate| candidate.is_in_time(query))
        {
            candidates.extend(self.candidates(
                now,
                query,
                &region_loads,
                spills,
                &usable.leaving,
                bound,
            ));
        }
        let in_time = self.best_candidate(query, &candidates, spills);
        let probed = match in_time {
            Some(_) => None,
            None => self.probed_candidate(now, query, &candidates, spills),
        };
        let Some(best) = in_time.or(probed) else {
            return Err(self.refusal(now, query, &candidates));
        };
        if !self.permits_second(now, query, &best) {
            let cause = RefusalCause::HeldBack;
            let refusal = self.refusal(now, query, &candidates);
            return Err(LoadRefusal { cause, ..refusal });
        }
        if best.cold && !self.try_take_cold_token(now, best.key) {
            return Err(self.refusal(now, query, &candidates));
        }
        let Some(permit) = self.take_permit(now, best.key) else {
            return Err(self.refusal(now, query, &candidates));
        };
        if probed.is_some() {
            self.group_mut(query.service).begin_probe(now, best.key);
        }
        let server = &mut self.servers[best.key];
        server.begin_request();
        self.zones[server.zone].begin_request(best.key);
        Ok(ChosenServer {
            key: best.key,
            record: server.record.clone(),
            load: best.load,
            forecast: best.forecast,
            work_percent: server.work_percent(now),
            permit,
        })
    }

    /// Ends an attempt at the backend server that was chosen for it, and updates the server's load,
    /// health and processing times from the report.
    ///
    /// A report for a server that is gone is ignored. Returns whether the server's zone counts as cut
    /// off from now on.
    pub fn finish(&mut self, now: Instant, key: ServerKey, report: AttemptReport) -> bool {
        // A server that fails may answer without beginning to run the request.
        if report.end == AttemptEnd::Answered {
            self.quarantine.record_answer(now, report.request);
        }
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        server.finish_request(now, report.end, report.load);
        let zone = &mut self.zones[server.zone];
        zone.end_request(key);
        let is_cut_off = match report.end {
            AttemptEnd::Unreachable => zone.record_unreached(now, key),
            AttemptEnd::Answered | AttemptEnd::Failed | AttemptEnd::Shed => {
                zone.record_answer();
                false
            }
            AttemptEnd::Refused
            | AttemptEnd::Misdirected
            | AttemptEnd::Broken
            | AttemptEnd::Oversized
            | AttemptEnd::Crashed
            | AttemptEnd::Withdrawn
            | AttemptEnd::Dropped => false,
        };
        let Some(group) = self.groups.get_mut(&server.record.service) else {
            return is_cut_off;
        };
        group.end_probe(key, report.end == AttemptEnd::Answered);
        let forecast = report.forecast;
        let took = (report.took.as_secs_f64() - forecast.round_trip).max(0.0);
        let ratio = took / (forecast.processing + forecast.wait).max(0.001);
        match report.end {
            AttemptEnd::Answered => {
                // Runs without an object may be so short that their ratio is chance.
                let is_unnamed = forecast.affinity == ObjectAffinity::Unnamed;
                if !is_unnamed || !group.names_objects() {
                    server.record_slowdown(now, ratio);
                }
                // Time in the queue isn't processing time.
                let processing = (took - forecast.wait).max(took * MIN_PROCESSING_FRACTION);
                group.record_processing(now, processing, forecast.affinity);
                if let Some(object) = report.object {
                    server.record_warm(object);
                }
            }
            // An attempt that was cancelled would have taken longer, so its latency is only a lower bound
            // and counts only if it is already above the forecast.
            AttemptEnd::Dropped if ratio > 1.0 => {
                server.record_slowdown(now, ratio);
            }
            _ => {}
        }
        is_cut_off
    }

    /// Returns whether a backend server that was chosen may still get the request: it is in the view,
    /// accepts requests, and isn't limited unless there is a permit. Time passes between the choice and
    /// the send while a connection is opened or the process is suspended.
    pub fn may_send(&mut self, now: Instant, chosen: &ChosenServer) -> bool {
        let Some(server) = self.servers.get(chosen.key) else {
            return false;
        };
        if !server.accepts_requests() || server.is_resting(now) {
            return false;
        }
        server.limit().is_none()
            || chosen.permit.covers_limit(now)
            || self.take_permit(now, chosen.key).is_some()
    }

    /// Takes the permit for one request to a backend server from this host's share of its limit, if the
    /// server is limited.
    fn take_permit(&mut self, now: Instant, key: ServerKey) -> Option<SendPermit> {
        let share = self.share_rate(now, &self.servers[key]);
        self.servers[key].take_permit(now, share)
    }

    /// Returns the rate, in requests a second, at which this host may send requests to a limited server;
    /// `None` where the limit is divided among other hosts.
    pub(crate) fn share_rate(&self, now: Instant, server: &TrackedServer) -> Option<f64> {
        let limit = server.limit()?;
        let sharer = self.host_place(server).sharer;
        let sharers = limit::sharer_count(limit).min(sharer.hosts);
        let shares = sharer.rank.is_some_and(|rank| rank < sharers);
        shares.then(|| limit::share_rate(limit, sharers, self.is_isolated(now)))
    }

    /// Records whether an answer that arrives now names a limit of its backend server. The request was
    /// sent at `sent_at` to the incarnation in `record`. Returns whether the limit changes.
    pub fn record_limit(
        &mut self,
        now: Instant,
        record: &ServerRecord,
        rate: Option<RequestRate>,
        sent_at: Instant,
    ) -> bool {
        let incarnation = record.incarnation();
        let changed = self.limits.record_answer(now, &incarnation, rate, sent_at);
        if changed {
            self.update_limit(now, &incarnation);
        }
        changed
    }

    /// Merges limits that a control replica passes on.
    pub fn merge_limits(&mut self, now: Instant, notices: &[LimitNotice]) {
        for notice in notices {
            if self.limits.merge(now, notice) {
                self.update_limit(now, &notice.server);
            }
        }
    }

    /// Returns whether a request may run. Only one host runs the trials of a quarantined request, and only
    /// while it has contact to a control replica.
    pub fn admission(&self, now: Instant, request: ids::RequestDigest) -> RunAdmission {
        let may_try = || !self.is_isolated(now) && self.hosts.is_first_for(request);
        self.quarantine.admission(now, request, may_try)
    }

    /// Records that the trial of a quarantined request begins.
    pub fn begin_trial(&mut self, now: Instant, request: ids::RequestDigest) {
        self.quarantine.begin_trial(now, request);
    }

    /// Records that a backend server ended while it ran a request.
    pub fn record_crash(
        &mut self,
        now: Instant,
        request: ids::RequestDigest,
        server: &ServerRecord,
    ) {
        self.quarantine
            .record_end(now, request, server.incarnation());
    }

    /// Sets the requests whose answers are reported to the control replicas.
    pub fn set_watched(&mut self, requests: Vec<ids::RequestDigest>) {
        self.quarantine.set_watched(requests);
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        self.quarantine.len()
    }

    /// Returns what runs of suspect requests showed, for a control replica. It is reported until
    /// [`confirm_report`](Self::confirm_report).
    pub fn report_runs(&mut self, now: Instant) -> Vec<RunNotice> {
        self.quarantine.report(now)
    }

    /// Records that a control replica received the latest reports.
    pub fn confirm_report(&mut self) {
        self.limits.confirm_report();
        self.quarantine.confirm_report();
    }

    /// Returns the limits to report to the control replicas, until
    /// [`confirm_report`](Self::confirm_report) is called.
    pub fn report_limits(&mut self, now: Instant) -> Vec<LimitNotice> {
        let (keys, servers) = (&self.keys, &self.servers);
        self.limits.evict(now, |incarnation| {
            let server = keys.get(&incarnation.id).map(|key| &servers[*key]);
            server.is_some_and(|server| server.record.born == incarnation.born)
        });
        self.limits.report(now)
    }

    /// Passes the limit of an incarnation on to its server, if that is in the view.
    fn update_limit(&mut self, now: Instant, incarnation: &ServerIncarnation) {
        let rate = self.limits.rate(incarnation);
        let known = self.keys.get(&incarnation.id).copied();
        if let Some(server) = known.and_then(|key| self.servers.get_mut(key)) {
            if server.record.born == incarnation.born {
                server.set_limit(now, rate);
            }
        }
    }

    /// Records a notice in an answer of a backend server. It concerns the incarnation in `record`,
    /// whether or not that is in the view, and returns whether it changes anything.
    pub fn record_notice(
        &mut self,
        now: Instant,
        record: &ServerRecord,
        notice: ServerNotice,
    ) -> bool {
        let host = &self.settings.host;
        let before = self.notices.state(record);
        let notices = self.notices.record(now, host, record, notice);
        let known = self.keys.get(&record.id).copied();
        if let Some(server) = known.and_then(|key| self.servers.get_mut(key)) {
            if server.record.born == record.born {
                server.set_notices(notices);
            }
        }
        notices != before
    }

    /// Takes the incarnations of backend servers that said since the last call that they are leaving, to
    /// tell the other hosts.
    pub fn take_leaving(&mut self) -> Vec<ServerIncarnation> {
        self.notices.take_leaving()
    }

    /// Replaces the hints about backend servers. Those about another incarnation, or an unknown server,
    /// are ignored.
    pub fn set_hints(&mut self, now: Instant, hints: &[ServerHint]) {
        for key in std::mem::take(&mut self.hinted) {
            if let Some(server) = self.servers.get_mut(key) {
                server.clear_hint();
            }
        }
        for hint in hints {
            let Some(key) = self.keys.get(&hint.server.id).copied() else {
                continue;
            };
            let server = &mut self.servers[key];
            if server.record.born == hint.server.born {
                server.set_hint(hint.kind, now + hint.remaining);
                self.hinted.push(key);
            }
        }
    }

    /// Records that a running attempt has no answer yet although one is overdue.
    pub fn record_late(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.record_unanswered();
        }
    }

    /// Takes the positions, in the order of ids, of the backend servers that left an attempt since the
    /// last call without an answer in time, and have answered none since.
    pub fn take_unanswered(&mut self) -> impl Iterator<Item = usize> + '_ {
        let servers = &mut self.servers;
        let keys = self.keys.values().enumerate();
        keys.filter_map(|(position, key)| {
            let taken = servers[*key].take_unanswered();
            taken.then_some(position)
        })
    }

    /// Returns the state of a service, which is created if it doesn't exist.
    pub(crate) fn group_mut(&mut self, service: &str) -> &mut ServiceGroup {
        let group = self.groups.entry(service.to_string());
        group.or_default()
    }

    fn set_specs(&mut self, specs: &[ServiceSpec]) {
        let specs = specs.iter().map(|spec| (spec.name.clone(), spec.clone()));
        self.specs = specs.collect();
    }

    /// Inserts a backend server, or updates its record. A new incarnation replaces the old one with
    /// its load and health.
    fn set_server(&mut self, now: Instant, record: ServerRecord) {
        let known = self.keys.get(&record.id).copied();
        if let Some(server) = known.and_then(|key| self.servers.get_mut(key)) {
            let same_incarnation = server.record.born == record.born
                && server.record.address == record.address
                && server.record.service == record.service;
            if same_incarnation {
                server.record = record;
                server.place.set(None);
                return;
            }
        }
        self.remove_server(&record.id);
        let (id, service) = (record.id.clone(), record.service.clone());
        let region = self.settings.region(&record.zone).to_string();
        let zone = self.zone_key(&record.zone);
        let mut server = TrackedServer::new(record, region, zone);
        server.evacuated = self.evacuated.contains(&server.record.zone);
        server.set_notices(self.notices.state(&server.record));
        server.set_limit(now, self.limits.rate(&server.record.incarnation()));
        let key = self.servers.insert(server);
        self.keys.insert(id, key);
        self.group_mut(&service).servers.push(key);
    }

    /// Returns the key of a zone, which is added if it is new.
    fn zone_key(&mut self, zone: &str) -> ZoneKey {
        if let Some(key) = self.zone_keys.get(zone) {
            return *key;
        }
        let key = self.zones.insert(ZoneReach::default());
        self.zone_keys.insert(zone.to_string(), key);
        key
    }

    fn remove_server(&mut self, id: &str) {
        let Some(key) = self.keys.remove(id) else {
            return;
        };
        let Some(server) = self.servers.remove(key) else {
            return;
        };
        self.zones[server.zone].end_request(key);
        if let Some(group) = self.groups.get_mut(&server.record.service) {
            group.servers.retain(|other| *other != key);
        }
    }

    /// Updates which backend servers are in evacuated zones. Those in the zones of `readmitted`
    /// count as cold for the cold period of their service.
    fn update_evacuated(&mut self, now: Instant, readmitted: &[ids::ZoneName]) {
        for server in self.servers.values_mut() {
            server.evacuated = self.evacuated.contains(&server.record.zone);
            if readmitted.contains(&server.record.zone) {
                let spec = self.specs.get(&server.record.service);
                server.set_cold(now, spec.map_or(Duration::ZERO, |spec| spec.cold_period));
            }
        }
    }

    /// Returns whether this host is the only one that sends requests to a backend server while the
    /// server is cold or probably doesn't answer: the first by rendezvous hashing among the hosts in the
    /// server's zone, else in its region, else among all hosts.
    pub(crate) fn is_designated(&self, server: &TrackedServer) -> bool {
        self.host_place(server).is_first
    }

    /// Returns the place of this host in the ranking for a backend server. It is kept until the ranking
    /// changes.
    fn host_place(&self, server: &TrackedServer) -> HostPlace {
        let version = self.hosts.version();
        if let Some((known, place)) = server.place.get() {
            if known == version {
                return place;
            }
        }
        let record = &server.record;
        let place = self
            .hosts
            .place(&self.settings, &record.id, &record.zone, &server.region);
        server.place.set(Some((version, place)));
        place
    }

    /// Returns the share of the requests for a service that leaves this region, from 0 to 1.
    pub fn spill_share(&self, service: &str) -> f64 {
        self.groups
            .get(service)
            .map_or(0.0, |group| group.spill.share())
    }

    /// Returns the spill shares of the services whose share a first request has initialised.
    pub fn spill_shares(&self) -> impl Iterator<Item = (&ids::ServiceName, f64)> {
        let groups = self.groups.iter();
        let initialised = groups.filter(|(_, group)| group.spill.is_initialised());
        initialised.map(|(service, group)| (service, group.spill.share()))
    }

    /// Moves the spill share of a service towards the mean over the hosts of this region.
    pub fn approach_mean_share(&mut self, service: &str, mean: f64) {
        if let Some(group) = self.groups.get_mut(service) {
            group.spill.approach_mean(mean);
        }
    }

    /// Takes the loads that were reported since the last call, each with the position of the
    /// backend server in the order of ids.
    pub fn take_readings(&mut self) -> impl Iterator<Item = (usize, u32)> + '_ {
        let servers = &mut self.servers;
        let keys = self.keys.values().enumerate();
        keys.filter_map(|(position, key)| Some((position, servers[*key].take_reading()?)))
    }

    /// Sets the mean loads of all backend servers, in the order of ids, over the readings of all
    /// hosts.
    pub fn set_shared_loads(&mut self, now: Instant, means: impl Iterator<Item = Option<f64>>) {
        // Hosts send about the same number of requests each, and the requests of this host are
        // counted separately, so this host's part of the mean is subtracted.
        let hosts = self.host_count() as f64;
        let others = (hosts - 1.0) / hosts;
        for (key, mean) in self.keys.values().zip(means) {
            if let Some(mean) = mean {
                self.servers[*key].set_shared_load(now, mean * others);
            }
        }
    }

    /// Returns how long work took on the machine of a backend server by its latest report, in percent of the usual,
    /// and the age of that report.
    pub fn work_percent(&self, now: Instant, key: ServerKey) -> Option<(u32, Duration)> {
        self.servers.get(key)?.work_percent(now)
    }

    /// Returns the latest figures of the machines, in percent of the usual, with their ages, for a dump.
    pub fn work_percents(&self, now: Instant) -> BTreeMap<ids::ServerId, (u32, Duration)> {
        let servers = self.servers.values();
        servers
            .filter_map(|server| Some((server.record.id.clone(), server.work_percent(now)?)))
            .collect()
    }

    /// Returns the limits of the backend servers, in requests a second, for a dump.
    pub fn limits(&self) -> BTreeMap<ids::ServerId, f64> {
        let servers = self.servers.values();
        servers
            .filter_map(|server| Some((server.record.id.clone(), server.limit()?.per_second())))
            .collect()
    }

    /// Returns the loads of the backend servers that have a recent load report, for a dump.
    pub fn loads(&self, now: Instant) -> BTreeMap<ids::ServerId, f64> {
        let servers = self.servers.values();
        servers
            .filter_map(|server| Some((server.record.id.clone(), server.reported_load(now)?)))
            .collect()
    }
}
