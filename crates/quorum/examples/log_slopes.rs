//! Measures what a committed command costs: bytes in the log and on the wire, and processor time
//! of the three machines together, without disk and network.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::time::{Duration, Instant};

use quorum::config::QuorumConfig;
use quorum::entry::RecoveredState;
use quorum::event::{Effect, Event, Role};
use quorum::ids;
use quorum::machine::QuorumMachine;

/// Sizes of a command, in bytes.
const SIZES: [usize; 3] = [200, 2_000, 20_000];
/// Commands of each size.
const COMMANDS: u64 = 20_000;
/// Time for which a cluster without commands is measured.
const IDLE: Duration = Duration::from_secs(600);

/// Three replicas in one thread; a write is synced and a message delivered at once.
struct LocalCluster {
    now: Instant,
    machines: BTreeMap<ids::ReplicaId, QuorumMachine>,
    events: VecDeque<(ids::ReplicaId, Event)>,
    applied: u64,
    messages: u64,
    message_bytes: u64,
    entry_bytes: u64,
}

impl LocalCluster {
    fn new() -> Self {
        let now = Instant::now();
        let replicas = vec![1, 2, 3];
        let machines = replicas
            .iter()
            .map(|id| {
                let config = QuorumConfig::new(*id, replicas.clone());
                let recovered = RecoveredState {
                    incarnation: 100 + id,
                    blank: true,
                    ..RecoveredState::default()
                };
                (*id, QuorumMachine::new(now, config, recovered))
            })
            .collect();
        Self {
            now,
            machines,
            events: VecDeque::new(),
            applied: 0,
            messages: 0,
            message_bytes: 0,
            entry_bytes: 0,
        }
    }

    /// Handles all that is waiting, and counts what comes out.
    fn settle(&mut self) {
        while let Some((id, event)) = self.events.pop_front() {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            for effect in machine.handle(self.now, event) {
                self.carry_out(id, effect);
            }
        }
    }

    fn carry_out(&mut self, id: ids::ReplicaId, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                self.messages += 1;
                self.message_bytes += encoded(&message);
                let event = Event::Receive { from: id, message };
                self.events.push_back((to, event));
            }
            Effect::Persist(write) => {
                let sizes = write.append.iter().map(encoded);
                self.entry_bytes += sizes.sum::<u64>();
                let token = write.token;
                self.events.push_back((id, Event::Persisted { token }));
            }
            Effect::Apply(_) => self.applied += 1,
            Effect::Restore(_) | Effect::Answer { .. } | Effect::RoleChanged { .. } => {}
        }
    }

    /// Goes on to the next moment that a machine waits for.
    fn tick(&mut self) {
        let next = self.machines.iter().map(|(id, m)| (m.deadline(), *id));
        if let Some((at, id)) = next.min() {
            self.now = self.now.max(at);
            self.events.push_back((id, Event::Tick));
            self.settle();
        }
    }

    fn leader(&mut self) -> ids::ReplicaId {
        loop {
            let now = self.now;
            let mut machines = self.machines.iter();
            let leader = machines.find(|(_, m)| m.role() == Role::Leader && m.has_lease(now));
            if let Some((id, _)) = leader {
                return *id;
            }
            self.tick();
        }
    }

    fn clear(&mut self) {
        self.applied = 0;
        self.messages = 0;
        self.message_bytes = 0;
        self.entry_bytes = 0;
    }
}

fn encoded<T: serde::Serialize>(value: &T) -> u64 {
    postcard::experimental::serialized_size(value).map_or(0, |size| size as u64)
}

/// Returns the processor time of this thread, in nanoseconds.
fn processor_time() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|time| time.parse().ok()).unwrap_or(0)
}

fn measure_commands(size: usize) {
    let mut cluster = LocalCluster::new();
    let leader = cluster.leader();
    cluster.clear();
    let before = processor_time();
    for request in 0..COMMANDS {
        let command = vec![0x5a; size];
        let event = Event::Propose { request, command };
        cluster.events.push_back((leader, event));
        cluster.settle();
    }
    let spent = processor_time() - before;
    cluster.tick();
    println!(
        "{size:>8} {:>16.1} {:>20.1} {:>14.1} {:>18.2}",
        cluster.entry_bytes as f64 / COMMANDS as f64 / 3.0,
        cluster.message_bytes as f64 / COMMANDS as f64,
        cluster.messages as f64 / COMMANDS as f64,
        spent as f64 / COMMANDS as f64 / 1000.0,
    );
}

fn measure_idle() {
    let mut cluster = LocalCluster::new();
    cluster.leader();
    cluster.clear();
    let end = cluster.now + IDLE;
    let before = processor_time();
    while cluster.now < end {
        cluster.tick();
    }
    let spent = processor_time() - before;
    let seconds = IDLE.as_secs_f64();
    println!(
        "idle: {:.1} messages a second, {:.1} bytes a second, {:.1} us of processor time a second",
        cluster.messages as f64 / seconds,
        cluster.message_bytes as f64 / seconds,
        spent as f64 / seconds / 1000.0,
    );
}

fn main() {
    println!("three replicas, {COMMANDS} commands a size, without disk and network");
    println!("   bytes  log bytes/replica  wire bytes, all  messages, all  CPU us, all three");
    SIZES.into_iter().for_each(measure_commands);
    measure_idle();
}
