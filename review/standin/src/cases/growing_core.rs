//! The configuration grows by many routes, and changes hundreds of times. The stand-in platform ends a
//! process that uses more than `memory_mb`, and starts it again, as DEPLOY.md says.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::deployment::{self, Deployment, Terms, CONTROLS};
use crate::http;
use crate::record::Record;
use crate::Outcome;

/// `memory_mb` of a core machine at the site.
const MEMORY_MB: u64 = 256;
/// Routes of the first configuration.
const FIRST_ROUTES: usize = 8;
/// Routes that `big_config` adds at the site, and how often it comes.
const ADDED_ROUTES: usize = 1_400;
const ADDITIONS: usize = 3;
/// Time between two changes of a `config_storm`.
const GAP: Duration = Duration::from_millis(330);
/// Time for changes.
const CHANGES_TIME: Duration = Duration::from_secs(75);
/// Delay from which changes that were held up are left out, so that they don't come in a heap.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Longest time for reading back, without any change or other load. It is recorded and doesn't decide.
const READ_TIME: Duration = Duration::from_secs(15);
/// Time from the end of a process to its start by the platform.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Ends of the processes of a machine from which it counts for the rule `Fault`.
const MAX_ENDS: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut deployment = Deployment::new(Terms::default(), "growing-core");
    for number in 0..CONTROLS {
        deployment.start_control(number, true);
    }
    if deployment.submit("config.replace", "", &document(1, 0, FIRST_ROUTES)) != Some(200) {
        return Outcome::NotRun("no configuration".to_string());
    }
    let controls: Vec<_> = (0..CONTROLS)
        .map(|number| deployment.control_address(number))
        .collect();
    let platform = Platform::start(record, deployment);
    let version = send_changes(record, trouble, &controls, &platform);
    let read = read_back(record, &controls, version);
    let (mut deployment, machines) = platform.stop();
    let mut counted = 0;
    for (number, machine) in machines.iter().enumerate() {
        record.line(&format!(
            "core-{number}: {:.1} MB of {MEMORY_MB} MB at most; ended {} times over its memory",
            machine.peak_kib as f64 / 1024.0,
            machine.ends
        ));
        counted += usize::from(machine.ends >= MAX_ENDS);
    }
    record.line(&format!(
        "machines of the core whose processes ended by themselves {MAX_ENDS} times or more: {counted} of {CONTROLS}"
    ));
    deployment.stop(record);
    record.line(&format!(
        "the configuration that was acknowledged last could be read back: {read}"
    ));
    match counted * 2 >= usize::from(CONTROLS) {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Sends changes, each on top of the one before, and returns the version that was acknowledged last.
fn send_changes(
    record: &Record,
    trouble: bool,
    controls: &[SocketAddr],
    platform: &Platform,
) -> u64 {
    let started_at = Instant::now();
    let (mut version, mut routes, mut acknowledged, mut unclear) = (1, FIRST_ROUTES, 0, 0);
    let mut control = 0;
    let mut next_change = Instant::now();
    while started_at.elapsed() < CHANGES_TIME {
        thread::sleep(next_change.saturating_duration_since(Instant::now()));
        next_change += GAP;
        if trouble && acknowledged < ADDITIONS {
            routes += ADDED_ROUTES;
        }
        let change = document(version + 1, version, routes);
        let path = "/wisteriaspread/rpc?call=config.replace";
        let answer = http::call(
            controls[control],
            "POST",
            path,
            &change,
            Duration::from_secs(2),
        );
        match answer.map(|(status, _)| status) {
            Some(200) => {
                version += 1;
                acknowledged += 1;
                if acknowledged % 25 == 0 {
                    let used = platform.used_mb();
                    record.line(&format!(
                        "{acknowledged} changes acknowledged, {routes} routes; MB in use: {used:?}"
                    ));
                }
            }
            status => {
                unclear += 1;
                control = (control + 1) % controls.len();
                record.line(&format!(
                    "version {}: {status:?}, sent again to core-{control}",
                    version + 1
                ));
            }
        }
        if Instant::now() > next_change + MAX_DELAY {
            next_change = Instant::now();
        }
    }
    record.line(&format!(
        "{acknowledged} changes acknowledged, {unclear} calls without a clear answer; no more are sent"
    ));
    version
}

/// Reads the configuration back, at one replica after the other. Returns whether the version that was
/// acknowledged last, or a later one, came.
fn read_back(record: &Record, controls: &[SocketAddr], version: u64) -> bool {
    let began_at = Instant::now();
    let mut reads = 0;
    for (number, control) in controls.iter().enumerate().cycle() {
        if began_at.elapsed() >= READ_TIME {
            break;
        }
        let path = "/wisteriaspread/rpc?call=config.get";
        let answer = http::call(*control, "POST", path, "", Duration::from_secs(2));
        reads += 1;
        if let Some((200, document)) = answer {
            let read = document
                .strip_prefix(r#"{"version":"#)
                .and_then(|rest| rest.split(',').next());
            let read = read
                .and_then(|number| number.parse::<u64>().ok())
                .unwrap_or(0);
            record.line(&format!(
                "core-{number} returns version {read}; {version} was acknowledged last"
            ));
            return read >= version;
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!(
        "the configuration doesn't come: {reads} reads in {:.0} s, none answered 200; version {version} was \
         acknowledged last",
        READ_TIME.as_secs_f64()
    ));
    false
}

/// What the platform knows of a core machine.
#[derive(Clone, Default)]
struct Machine {
    ends: usize,
    restart_at: Option<Instant>,
    used_kib: u64,
    peak_kib: u64,
}

/// The stand-in platform: ends the processes that use more than their memory, and starts them again.
struct Platform {
    is_stopped: Arc<AtomicBool>,
    machines: Arc<Mutex<Vec<Machine>>>,
    thread: JoinHandle<Deployment>,
}

impl Platform {
    fn start(record: &Record, mut deployment: Deployment) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let machines = Arc::new(Mutex::new(vec![Machine::default(); usize::from(CONTROLS)]));
        let (stopped, watched, record) = (is_stopped.clone(), machines.clone(), record.clone());
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                for number in 0..CONTROLS {
                    let mut machines = watched.lock().expect("the machines");
                    watch(
                        &record,
                        &mut deployment,
                        number,
                        &mut machines[usize::from(number)],
                    );
                }
                thread::sleep(Duration::from_millis(2));
            }
            deployment
        });
        Self {
            is_stopped,
            machines,
            thread,
        }
    }

    fn used_mb(&self) -> Vec<u64> {
        let machines = self.machines.lock().expect("the machines");
        machines
            .iter()
            .map(|machine| machine.used_kib / 1024)
            .collect()
    }

    fn stop(self) -> (Deployment, Vec<Machine>) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let deployment = self.thread.join().expect("the platform");
        let machines = self.machines.lock().expect("the machines").clone();
        (deployment, machines)
    }
}

fn watch(record: &Record, deployment: &mut Deployment, number: u8, machine: &mut Machine) {
    if let Some(at) = machine.restart_at {
        if Instant::now() >= at {
            machine.restart_at = None;
            deployment.start_control(number, false);
            record.line(&format!("core-{number} is started again"));
        }
        return;
    }
    let Some(child) = &mut deployment.controls[usize::from(number)] else {
        return;
    };
    // Memory of its own: pages of the program file don't count here.
    machine.used_kib = deployment::anonymous_kib(child.id()).unwrap_or(0);
    machine.peak_kib = machine.peak_kib.max(machine.used_kib);
    if machine.used_kib > MEMORY_MB * 1024 {
        let _ = child.kill();
        let _ = child.wait();
        machine.ends += 1;
        machine.restart_at = Some(Instant::now() + RESTART_DELAY);
        record.line(&format!(
            "the platform ends core-{number}: it uses {:.1} MB of {MEMORY_MB} MB",
            machine.used_kib as f64 / 1024.0
        ));
    }
}

/// Returns a configuration with `routes` routes, in the form of the example in PROTOCOL.md.
fn document(version: u64, base: u64, routes: usize) -> String {
    let services: Vec<_> = ["huvo11a", "kafi81c", "wuno96b"]
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":14.0}}"#
            )
        })
        .collect();
    let routes: Vec<_> = (0..routes)
        .map(|number| {
            let target = match number % 2 {
                0 => r#""traffic_split":[{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}]"#,
                _ => r#""service":"wuno96b""#,
            };
            // The change: another timeout.
            let timeout = 1_000 + version % 100;
            format!(
                r#"{{"name":"r-{number:07}","path_prefix":"/lepu{number}/ny95/","kind":"safe","timeout":"{timeout}ms","target_latency":"200ms","priority":2,{target},"max_attempts":2,"sticky":true,"home_regions":[]}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},"base_version":{base},"virtual_hosts":[{{"host":"jepu9.example","path_routes":[{}]}}]}}"#,
        services.join(","),
        routes.join(",")
    )
}
