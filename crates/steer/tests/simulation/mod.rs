//! Routers of several entry hosts, driven by a scripted load on a manual clock.

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
const SERVICE_MS: u64 = 20;

/// A protection that a scenario takes away to show that its promise then breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A host holds its lease for good.
    LeasesNeverExpire,
    /// Traffic moves at once.
    NoRamp,
    /// Links have no budget.
    NoLinkBudget,
    /// A new leader leases at once.
    LeaderDoesNotWait,
}

/// Requests of one service from the callers of one zone.
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
    pending: VecDeque<(u64, ChangeTicket)>,
    cut: bool,
    stopped: bool,
    rng: SmallRng,
}

impl Host {
    /// Callers use the hosts of their zone that are in force.
    fn is_called_from(&self, zone: &str) -> bool {
        let held = self.state.hosts.get(&self.name);
        !self.stopped && self.zone == zone && held.is_some_and(|held| held.spec.is_some())
    }
}

/// A request that waits for room, as a host may let it do for a short time.
struct Waiting {
    host: usize,
    load: Load,
    retry_at: u64,
    wait: WaitPermit,
}

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
    lost: BTreeSet<String>,
    loads: Vec<Load>,
    faults: Vec<Fault>,
    transfers: BTreeMap<u64, Transfer>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: VecDeque<Waiting>,
    room: Arc<WaitLimit>,
    pub(crate) waits: bool,
    next_transfer: u64,
    pub(crate) trace: Trace,
}

impl Simulation {
    pub(crate) fn new(ticket: &str, seed: u64, faults: Vec<Fault>) -> Self {
        // Windows are counted in parts of the process's time base, which begins at the first
        // moment it is given; all scenarios start at that one and count alike.
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
            room: Arc::new(WaitLimit::default()),
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
                cut: false,
                stopped: false,
                rng: SmallRng::seed_from_u64(seed * 1000 + index as u64),
            });
        }
        for index in 0..simulation.hosts.len() {
            simulation.rebuild(index);
        }
        simulation.note_caps();
        simulation
    }

    pub(crate) fn set_load(&mut self, load: Load) {
        self.loads
            .retain(|old| (&old.service, &old.zone) != (&load.service, &load.zone));
        self.loads.push(load);
    }

    /// Accepts a ticket; each host gets it later than the one before, the last after the skew.
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

    pub(crate) fn set_cut(&mut self, name: &str, cut: bool) {
        let host = self.hosts.iter_mut().find(|host| host.name == name);
        host.unwrap().cut = cut;
    }

    pub(crate) fn stop_host(&mut self, name: &str) {
        let host = self.hosts.iter_mut().find(|host| host.name == name);
        let host = host.unwrap();
        (host.cut, host.stopped) = (true, true);
    }

    pub(crate) fn set_lost(&mut self, region: &str, lost: bool) {
        match lost {
            true => self.lost.insert(region.to_string()),
            false => self.lost.remove(region),
        };
    }

    pub(crate) fn set_leader(&mut self, leads: bool) {
        let waited = match self.faults.contains(&Fault::LeaderDoesNotWait) {
            true => ShareTable::TTL,
            false => Duration::ZERO,
        };
        let mut table = ShareTable::new();
        table.start(self.now() - waited);
        self.leader = leads.then_some(table);
    }

    pub(crate) fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.apply_tickets();
            self.exchange_leases();
            self.send_waiting();
            self.send_requests();
            self.move_bytes();
            self.now_ms += 1;
            self.trace.close_ms();
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
            if !host.cut && due {
                let (_, ticket) = host.pending.pop_front().unwrap();
                host.state.apply(&ticket);
                self.rebuild(index);
                self.note_caps();
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

    fn exchange_leases(&mut self) {
        let now = self.now();
        let never_expire = self.faults.contains(&Fault::LeasesNeverExpire);
        for (index, host) in self.hosts.iter().enumerate() {
            if !(self.now_ms + 50 * index as u64).is_multiple_of(LEASE_PERIOD_MS) || host.cut {
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
                let grant = ShareLease {
                    service,
                    zone,
                    rate: *rate,
                    ttl,
                    revision: self.control.revision,
                };
                host.table.apply_lease(now, &grant);
            }
        }
    }

    fn send_requests(&mut self) {
        for load in self.loads.clone() {
            let of_zone: Vec<usize> = (0..self.hosts.len())
                .filter(|index| self.hosts[*index].is_called_from(&load.zone))
                .collect();
            for index in &of_zone {
                let mut rate = load.rate / of_zone.len() as f64 / 1000.0;
                while rate > 0.0 {
                    if self.hosts[*index].rng.random::<f64>() < rate {
                        self.send(*index, &load, None);
                    }
                    rate -= 1.0;
                }
            }
        }
    }

    fn send_waiting(&mut self) {
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

    fn refuse(
        &mut self,
        index: usize,
        load: &Load,
        class: RequestClass,
        retry_after: Duration,
        wait: Option<WaitPermit>,
    ) {
        let now = self.now();
        let enter = || {
            let deadline = RequestDeadline::after(now, RequestDeadline::DEFAULT);
            self.room.try_start(now, class, deadline)
        };
        let wait = wait.or_else(|| self.waits.then(enter).flatten());
        let pause = wait
            .as_ref()
            .and_then(|wait| wait.retry_delay(now, retry_after));
        let (Some(wait), Some(pause)) = (wait, pause) else {
            self.trace.refused(&load.service);
            return;
        };
        self.waiting.push_back(Waiting {
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
                self.refuse(index, load, class, refusal.retry_after, wait);
                return;
            }
        };
        let mut permit = Some(permit);
        while let Some(held) = permit.take_if(|held| self.lost.contains(held.region())) {
            held.cancel(now);
            permit = plan.next_permit(now);
        }
        match permit {
            Some(permit) => self.admit(index, permit, load),
            None => {
                let retry_after = plan.refusal().retry_after;
                self.refuse(index, load, class, retry_after, wait);
            }
        }
    }

    fn admit(&mut self, index: usize, permit: PlacePermit, load: &Load) {
        let region = permit.region().clone();
        self.trace.sent(&load.service, permit.zone(), &region);
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

    /// Sends the bytes of requests and answers that cross a link, as slowly as they are told to.
    fn move_bytes(&mut self) {
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
            let hold = match is_up {
                true => transfer.permit.pace_up(now, chunk),
                false => transfer.permit.pace_down(now, chunk),
            };
            let mut next = self.now_ms + hold.as_micros().div_ceil(1000) as u64;
            let (from, to) = match is_up {
                true => (&transfer.link.0, &transfer.link.1),
                false => (&transfer.link.1, &transfer.link.0),
            };
            self.trace.bytes(next, from, to, chunk);
            transfer.sent += chunk;
            if transfer.sent == transfer.up {
                next += SERVICE_MS;
            }
            self.transfers.insert(id, transfer);
            self.due.push(Reverse((next, id)));
        }
    }

    /// Notes the greatest cap that any host has in force for each place and region.
    fn note_caps(&mut self) {
        self.trace.caps.start_change();
        for host in &self.hosts {
            self.trace.caps.put_state(&host.state);
        }
        self.trace.caps.end_change();
    }

    /// Moves the mark from which growth is measured to now.
    pub(crate) fn mark(&mut self) {
        self.trace.mark_ms.get_or_insert(self.now_ms);
    }

    pub(crate) fn host_count(&self) -> usize {
        self.hosts.len()
    }
}

fn parse(text: &str) -> ChangeTicket {
    let raw = RawTicket::from_toml(text).unwrap();
    ChangeTicket::try_from(raw).unwrap()
}
