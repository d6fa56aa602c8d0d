//! Measures the cost of a committed command: bytes in the log and in messages, and CPU time of three
//! replicas together, without disk and network.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::time::{Duration, Instant};

use quorum::config::QuorumConfig;
use quorum::entry::RecoveredState;
use quorum::event::{Effect, Event, Role};
use quorum::ids;
use quorum::machine::QuorumMachine;

/// Measured command sizes, in bytes.
const COMMAND_SIZES: [usize; 3] = [200, 2_000, 20_000];
/// Number of commands for each size.
const COMMANDS: u64 = 20_000;
/// Virtual time for which an idle cluster is measured.
const IDLE_TIME: Duration = Duration::from_secs(600);

/// Three replicas in one thread; writes are synced and messages delivered immediately.
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

    /// Handles all pending events and counts their effects.
    fn run_pending(&mut self) {
        while let Some((id, event)) = self.events.pop_front() {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            for effect in machine.handle(self.now, event) {
                self.execute(id, effect);
            }
        }
    }

    fn execute(&mut self, id: ids::ReplicaId, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                self.messages += 1;
                self.message_bytes += encoded_len(&message);
                let event = Event::Receive { from: id, message };
                self.events.push_back((to, event));
            }
            Effect::Persist(write) => {
                let sizes = write.append.iter().map(encoded_len);
                self.entry_bytes += sizes.sum::<u64>();
                let token = write.token;
                self.events.push_back((id, Event::Persisted { token }));
            }
            Effect::Apply(_) => self.applied += 1,
            Effect::Restore(_) | Effect::Answer { .. } | Effect::RoleChanged { .. } => {}
        }
    }

    /// Advances the time to the next deadline of a machine and handles its tick.
    fn tick(&mut self) {
        let next = self.machines.iter().map(|(id, m)| (m.deadline(), *id));
        if let Some((at, id)) = next.min() {
            self.now = self.now.max(at);
            self.events.push_back((id, Event::Tick));
            self.run_pending();
        }
    }

    /// Runs the cluster until a leader holds a lease.
    fn elect_leader(&mut self) -> ids::ReplicaId {
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

    fn reset_counters(&mut self) {
        self.applied = 0;
        self.messages = 0;
        self.message_bytes = 0;
        self.entry_bytes = 0;
    }
}

fn encoded_len<T: serde::Serialize>(value: &T) -> u64 {
    postcard::experimental::serialized_size(value).map_or(0, |size| size as u64)
}

/// Returns the CPU time of this thread, in nanoseconds.
fn thread_cpu_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|time| time.parse().ok()).unwrap_or(0)
}

fn measure_commands(size: usize) {
    let mut cluster = LocalCluster::new();
    let leader = cluster.elect_leader();
    cluster.reset_counters();
    let cpu_before = thread_cpu_ns();
    for request in 0..COMMANDS {
        let command = vec![0x5a; size];
        let event = Event::Propose { request, command };
        cluster.events.push_back((leader, event));
        cluster.run_pending();
    }
    let cpu_ns = thread_cpu_ns() - cpu_before;
    cluster.tick();
    println!(
        "{size:>8} {:>16.1} {:>20.1} {:>14.1} {:>18.2}",
        cluster.entry_bytes as f64 / COMMANDS as f64 / 3.0,
        cluster.message_bytes as f64 / COMMANDS as f64,
        cluster.messages as f64 / COMMANDS as f64,
        cpu_ns as f64 / COMMANDS as f64 / 1000.0,
    );
}

fn measure_idle() {
    let mut cluster = LocalCluster::new();
    cluster.elect_leader();
    cluster.reset_counters();
    let end = cluster.now + IDLE_TIME;
    let cpu_before = thread_cpu_ns();
    while cluster.now < end {
        cluster.tick();
    }
    let cpu_ns = thread_cpu_ns() - cpu_before;
    let seconds = IDLE_TIME.as_secs_f64();
    println!(
        "idle: {:.1} messages a second, {:.1} bytes a second, {:.1} us of processor time a second",
        cluster.messages as f64 / seconds,
        cluster.message_bytes as f64 / seconds,
        cpu_ns as f64 / seconds / 1000.0,
    );
}

fn main() {
    println!("three replicas, {COMMANDS} commands a size, without disk and network");
    println!("   bytes  log bytes/replica  wire bytes, all  messages, all  CPU us, all three");
    COMMAND_SIZES.into_iter().for_each(measure_commands);
    measure_idle();
}
