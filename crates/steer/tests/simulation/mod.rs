//! Simulation of the routing of several entry hosts, with scripted load and a manual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use control::shares::{PlaceRates, ShareTable};
use guard::{RequestClass, RequestDeadline, WaitLimit, WaitPermit};
use model::raw::RawTicket;
use model::spec::ServiceClass;
use model::state::{self, ForceState};
use model::ticket::ChangeTicket;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use steer::{PlacePermit, RouteDecision, RouteQuery, RouteTable, ShareLease, TableBuilder};

pub(crate) mod trace;

use trace::Trace;

const LEASE_PERIOD_MS: u64 = 500;
const CHUNK_BYTES: u64 = 8192;

/// Time between the last byte of a request and the first byte of its answer.
const PROCESSING_MS: u64 = 20;

/// A protection that a scenario disables, to show that a limit breaks without it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Hosts use leases after their expiry.
    LeasesNeverExpire,
    /// The growth of a place's traffic is unlimited.
    NoRamp,
    /// Links are unlimited.
    NoLinkBudget,
    /// A new leader grants leases while those of the previous leader are valid.
    LeaderDoesNotWait,
}

/// Requests to one service from the callers in one zone; `rate` is in requests a second, `up` and
/// `down` are the bytes of a request and of an answer.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    pub(crate) service: String,
    pub(crate) zone: String,
    pub(crate) rate: f64,
    pub(crate) up: u64,
    pub(crate) down: u64,
}

struct Host {
    name: String,
    zone: String,
    region: String,
    state: ForceState,
    table: RouteTable,
    /// Tickets that the host has yet to apply, with the time of their arrival.
    pending: VecDeque<(u64, ChangeTicket)>,
    /// Whether the host is cut off from the control replicas.
    is_cut_off: bool,
    is_stopped: bool,
    rng: SmallRng,
}

impl Host {
    /// Returns whether callers in a zone use the host: it runs, is in the same zone and in force.
    fn accepts_callers_from(&self, zone: &str) -> bool {
        let held = self.state.hosts.get(&self.name);
        !self.is_stopped && self.zone == zone && held.is_some_and(|held| held.spec.is_some())
    }
}

/// A request that waits for capacity at a host.
struct WaitingRequest {
    host: usize,
    load: Load,
    retry_at: u64,
    wait: WaitPermit,
}

/// A request in flight over a link, and the bytes of it and its answer that were sent.
struct Transfer {
    permit: PlacePermit,
    link: (String, String),
    up: u64,
    down: u64,
    sent: u64,
}

pub(crate) struct Simulation {
    start: Instant,
    pub(crate) now_ms: u64,
    control: ForceState,
    hosts: Vec<Host>,
    leader: Option<ShareTable>,
    /// Regions whose places are unreachable.
    lost: BTreeSet<String>,
    loads: Vec<Load>,
    faults: Vec<Fault>,
    transfers: BTreeMap<u64, Transfer>,
    /// Time in milliseconds and id of the next step of each transfer.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: VecDeque<WaitingRequest>,
    wait_limit: Arc<WaitLimit>,
    /// Whether hosts let requests wait for capacity.
    pub(crate) waits: bool,
    next_transfer: u64,
    pub(crate) trace: Trace,
}

impl Simulation {
    pub(crate) fn new(ticket: &str, seed: u64, faults: Vec<Fault>) -> Self {
        // Subwindows of limits are aligned to a time base that is fixed by its first use in the
        // process. All scenarios start at the same time, so that their results don't depend on
        // their order.
        static START: OnceLock<Instant> = OnceLock::new();
        let start = *START.get_or_init(Instant::now);
        let mut simulation = Self {
            start,
            now_ms: 0,
            control: ForceState::default(),
            hosts: Vec::new(),
            leader: None,
            lost: BTreeSet::new(),
            loads: Vec::new(),
            faults,
            transfers: BTreeMap::new(),
            due: BinaryHeap::new(),
            waiting: VecDeque::new(),
            wait_limit: Arc::new(WaitLimit::default()),
            waits: false,
            next_transfer: 0,
            trace: Trace::default(),
        };
        simulation.set_leader(true);
        simulation.control.apply(&parse(ticket));
        for (index, (name, spec)) in state::live(&simulation.control.hosts).enumerate() {
            simulation.hosts.push(Host {
                name: name.to_string(),
                zone: spec.zone.clone(),
                region: simulation
                    .control
                    .region_of(&spec.zone)
                    .unwrap()
                    .to_string(),
                state: simulation.control.clone(),
                table: RouteTable::default(),
                pending: VecDeque::new(),
                is_cut_off: false,
                is_stopped: false,
                rng: SmallRng::seed_from_u64(seed * 1000 + index as u64),
            });
        }
        for index in 0..simulation.hosts.len() {
            simulation.rebuild(index);
        }
        simulation.record_caps();
        simulation
    }

    pub(crate) fn set_load(&mut self, load: Load) {
        self.loads
            .retain(|old| (&old.service, &old.zone) != (&load.service, &load.zone));
        self.loads.push(load);
    }

    /// Accepts a ticket. It arrives at the hosts one after the other, at the last one after
    /// `skew_ms`.
    pub(crate) fn accept(&mut self, text: &str, skew_ms: u64) {
        let ticket = parse(text);
        let faults = self.control.faults_after(&ticket);
        assert!(faults.is_empty(), "{faults:?}");
        self.control.apply(&ticket);
        let count = self.hosts.len() as u64;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let at = self.now_ms + skew_ms * index as u64 / count.max(2).saturating_sub(1);
            host.pending.push_back((at, ticket.clone()));
        }
    }

    pub(crate) fn set_cut_off(&mut self, name: &str, is_cut_off: bool) {
        let host = self.hosts.iter_mut().find(|host| host.name == name);
        host.unwrap().is_cut_off = is_cut_off;
    }

    pub(crate) fn stop_host(&mut self, name: &str) {
        let host = self.hosts.iter_mut().find(|host| host.name == name);
        let host = host.unwrap();
        (host.is_cut_off, host.is_stopped) = (true, true);
    }

    pub(crate) fn set_lost(&mut self, region: &str, lost: bool) {
        match lost {
            true => self.lost.insert(region.to_string()),
            false => self.lost.remove(region),
        };
    }

    /// Replaces the leader by a new one, or by none. A new leader waits for [`ShareTable::TTL`]
    /// before it grants leases, unless that protection is disabled.
    pub(crate) fn set_leader(&mut self, has_leader: bool) {
        let waited = match self.faults.contains(&Fault::LeaderDoesNotWait) {
            true => ShareTable::TTL,
            false => Duration::ZERO,
        };
        let mut table = ShareTable::new();
        table.start(self.now() - waited);
        self.leader = has_leader.then_some(table);
    }

    pub(crate) fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.apply_tickets();
            self.renew_leases();
            self.retry_waiting();
            self.send_new_requests();
            self.advance_transfers();
            self.now_ms += 1;
            self.trace.end_ms();
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn apply_tickets(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            let due = host
                .pending
                .front()
                .is_some_and(|(at, _)| *at <= self.now_ms);
            if !host.is_cut_off && due {
                let (_, ticket) = host.pending.pop_front().unwrap();
                host.state.apply(&ticket);
                self.rebuild(index);
                self.record_caps();
            }
        }
    }

    fn rebuild(&mut self, index: usize) {
        let now = self.now();
        let host = &mut self.hosts[index];
        let mut state = host.state.clone();
        if self.faults.contains(&Fault::NoRamp) {
            let services = state.services.values_mut();
            services
                .filter_map(|held| held.spec.as_mut())
                .for_each(|service| service.shift = 1e9);
        }
        if self.faults.contains(&Fault::NoLinkBudget) {
            state.links.clear();
        }
        host.table = TableBuilder::new(&state, &host.name, &host.zone)
            .previous(&host.table)
            .build(now);
    }

    fn renew_leases(&mut self) {
        let now = self.now();
        let never_expire = self.faults.contains(&Fault::LeasesNeverExpire);
        for (index, host) in self.hosts.iter().enumerate() {
            let is_due = (self.now_ms + 50 * index as u64).is_multiple_of(LEASE_PERIOD_MS);
            if !is_due || host.is_cut_off {
                continue;
            }
            let Some(leader) = &mut self.leader else {
                continue;
            };
            let demand: PlaceRates = host
                .table
                .demand(now)
                .into_iter()
                .map(|place| ((place.service, place.zone), place.rate))
                .collect();
            let ttl = if never_expire {
                Duration::from_secs(86_400)
            } else {
                ShareTable::TTL
            };
            let shares = leader.lease(now, &self.control, &host.name, &demand);
            for ((service, zone), rate) in &shares {
                let lease = ShareLease {
                    service,
                    zone,
                    rate: *rate,
                    ttl,
                    revision: self.control.revision,
                };
                host.table.apply_lease(now, &lease);
            }
        }
    }

    fn send_new_requests(&mut self) {
        for load in self.loads.clone() {
            let hosts: Vec<usize> = (0..self.hosts.len())
                .filter(|index| self.hosts[*index].accepts_callers_from(&load.zone))
                .collect();
            for index in &hosts {
                let mut rate = load.rate / hosts.len() as f64 / 1000.0;
                while rate > 0.0 {
                    if self.hosts[*index].rng.random::<f64>() < rate {
                        self.send(*index, &load, None);
                    }
                    rate -= 1.0;
                }
            }
        }
    }

    fn retry_waiting(&mut self) {
        for _ in 0..self.waiting.len() {
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            if request.retry_at > self.now_ms {
                self.waiting.push_back(request);
                continue;
            }
            self.send(request.host, &request.load, Some(request.wait));
        }
    }

    /// Lets a request wait for capacity if it may, and refuses it otherwise.
    fn wait_or_refuse(
        &mut self,
        index: usize,
        load: &Load,
        class: RequestClass,
        retry_after: Duration,
        wait: Option<WaitPermit>,
    ) {
        let now = self.now();
        let start_wait = || {
            let deadline = RequestDeadline::after(now, RequestDeadline::DEFAULT);
            self.wait_limit.try_start(now, class, deadline)
        };
        let wait = wait.or_else(|| self.waits.then(start_wait).flatten());
        let pause = wait
            .as_ref()
            .and_then(|wait| wait.retry_delay(now, retry_after));
        let (Some(wait), Some(pause)) = (wait, pause) else {
            self.trace.record_refused(&load.service);
            return;
        };
        self.waiting.push_back(WaitingRequest {
            host: index,
            load: load.clone(),
            retry_at: self.now_ms + pause.as_micros().div_ceil(1000) as u64,
            wait,
        });
    }

    fn send(&mut self, index: usize, load: &Load, wait: Option<WaitPermit>) {
        let now = self.now();
        let host = &self.hosts[index];
        let class =
            host.state.services[&load.service]
                .spec
                .as_ref()
                .map_or(RequestClass::Read, |spec| match spec.class {
                    ServiceClass::Bulk => RequestClass::Bulk,
                    ServiceClass::Read => RequestClass::Read,
                    ServiceClass::Write => RequestClass::Write,
                });
        let query = RouteQuery {
            service: &load.service,
            class,
            bytes_hint: load.up,
        };
        let (permit, mut plan) = match host.table.route(now, &query) {
            RouteDecision::Admit { permit, plan } => (permit, plan),
            RouteDecision::Refuse(refusal) => {
                self.wait_or_refuse(index, load, class, refusal.retry_after, wait);
                return;
            }
        };
        let mut permit = Some(permit);
        while let Some(held) = permit.take_if(|held| self.lost.contains(held.region())) {
            held.cancel(now);
            permit = plan.next_permit(now);
        }
        match permit {
            Some(permit) => self.start(index, permit, load),
            None => {
                let retry_after = plan.refusal().retry_after;
                self.wait_or_refuse(index, load, class, retry_after, wait);
            }
        }
    }

    /// Runs an admitted request: at once within the region, as a transfer over a link otherwise.
    fn start(&mut self, index: usize, permit: PlacePermit, load: &Load) {
        let region = permit.region().clone();
        self.trace
            .record_sent(&load.service, permit.zone(), &region);
        let own = self.hosts[index].region.clone();
        if own == region {
            permit.settle(self.now(), load.up, load.down);
            return;
        }
        let id = self.next_transfer;
        self.next_transfer += 1;
        let transfer = Transfer {
            permit,
            link: (own, region),
            up: load.up,
            down: load.down,
            sent: 0,
        };
        self.transfers.insert(id, transfer);
        self.due.push(Reverse((self.now_ms, id)));
    }

    /// Sends the due chunks of requests and answers that cross a link, with the delays that the
    /// link's budget demands.
    fn advance_transfers(&mut self) {
        let now = self.now();
        while let Some(Reverse((at, id))) = self.due.peek().copied() {
            if at > self.now_ms {
                return;
            }
            self.due.pop();
            let mut transfer = self.transfers.remove(&id).unwrap();
            let total = transfer.up + transfer.down;
            if transfer.sent == total {
                let Transfer {
                    permit, up, down, ..
                } = transfer;
                permit.settle(now, up, down);
                continue;
            }
            let is_up = transfer.sent < transfer.up;
            let part_end = if is_up { transfer.up } else { total };
            let chunk = CHUNK_BYTES.min(part_end - transfer.sent);
            let delay = match is_up {
                true => transfer.permit.pace_up(now, chunk),
                false => transfer.permit.pace_down(now, chunk),
            };
            let mut next = self.now_ms + delay.as_micros().div_ceil(1000) as u64;
            let (from, to) = match is_up {
                true => (&transfer.link.0, &transfer.link.1),
                false => (&transfer.link.1, &transfer.link.0),
            };
            self.trace.record_bytes(next, from, to, chunk);
            transfer.sent += chunk;
            if transfer.sent == transfer.up {
                next += PROCESSING_MS;
            }
            self.transfers.insert(id, transfer);
            self.due.push(Reverse((next, id)));
        }
    }

    /// Records the highest cap that any host has in force for each place and region.
    fn record_caps(&mut self) {
        self.trace.caps.start_update();
        for host in &self.hosts {
            self.trace.caps.add_state(&host.state);
        }
        self.trace.caps.finish_update();
    }

    /// Starts the measurement of growth now, unless it has started.
    pub(crate) fn start_growth_measurement(&mut self) {
        self.trace.growth_from_ms.get_or_insert(self.now_ms);
    }

    pub(crate) fn host_count(&self) -> usize {
        self.hosts.len()
    }
}

fn parse(text: &str) -> ChangeTicket {
    let raw = RawTicket::from_toml(text).unwrap();
    ChangeTicket::try_from(raw).unwrap()
}
