//! The configuration grows by many routes, and changes hundreds of times. The stand-in platform ends a
//! process that uses more than `memory_mb`, and starts it again, as DEPLOY.md says.

use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, Deployment, Terms, CONTROLS};
use crate::record::Record;
use crate::Outcome;

/// `memory_mb` of a core machine at the site.
const MEMORY_MB: u64 = 256;
/// Routes of the first configuration.
const FIRST_ROUTES: usize = 8;
/// Routes that `big_config` adds at the site, and how often it comes.
const ADDED_ROUTES: usize = 1_400;
const ADDITIONS: usize = 2;
/// Time between two changes of a `config_storm`.
const GAP: Duration = Duration::from_millis(330);
/// Longest time for changes; they end sooner where the processes end.
const CHANGES_TIME: Duration = Duration::from_secs(75);
/// Time for reading back, without any change or other load. The pages ask for `contact` at least, which is
/// 4 s here; `recover` is 15 s.
const READ_TIME: Duration = Duration::from_secs(30);
/// Time from the end of a process to its start by the platform.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Ends of the processes of a machine from which it counts for the rule `Fault`.
const MAX_ENDS: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let mut deployment = Deployment::new(Terms { memory_mb: 160, grace: "6s" }, "growing-core");
    let outcome = play(record, trouble, &mut deployment);
    deployment.stop(record);
    outcome
}

/// What the platform knows of a core machine.
#[derive(Default)]
struct Machine {
    ends: usize,
    restart_at: Option<Instant>,
    peak_kib: u64,
}

fn play(record: &Record, trouble: bool, deployment: &mut Deployment) -> Outcome {
    for number in 0..CONTROLS {
        deployment.start_control(number, true);
    }
    if deployment.submit("config.replace", "", &document(1, 0, FIRST_ROUTES)) != Some(200) {
        return Outcome::NotRun("no configuration".to_string());
    }
    let mut machines: Vec<_> = (0..CONTROLS).map(|_| Machine::default()).collect();
    let started_at = Instant::now();
    let (mut version, mut routes, mut acknowledged, mut unclear) = (1, FIRST_ROUTES, 0, 0);
    let mut control = 0;
    let mut next_change = Instant::now();
    while started_at.elapsed() < CHANGES_TIME {
        guard(record, deployment, &mut machines);
        if machines.iter().all(|machine| machine.ends > 0) {
            break;
        }
        if Instant::now() < next_change {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        next_change += GAP;
        if trouble && acknowledged < ADDITIONS {
            routes += ADDED_ROUTES;
        }
        let change = document(version + 1, version, routes);
        let answer = deployment.call(control, "config.replace", "", &change);
        match answer.map(|(status, _)| status) {
            Some(200) => {
                version += 1;
                acknowledged += 1;
            }
            status => {
                unclear += 1;
                control = (control + 1) % CONTROLS;
                record.line(&format!("version {}: {status:?}, sent again to core-{control}", version + 1));
            }
        }
        if acknowledged % 25 == 0 {
            let used: Vec<_> = (0..CONTROLS).map(|number| used_kib(deployment, number) / 1024).collect();
            record.line(&format!("{acknowledged} changes acknowledged, {routes} routes; MB in use: {used:?}"));
        }
        // Changes that were held up don't come in a heap afterwards.
        next_change = next_change.max(Instant::now());
    }
    record.line(&format!(
        "{acknowledged} changes acknowledged, {unclear} without a clear answer; no more are sent"
    ));
    let read = read_back(record, deployment, &mut machines, version);
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
    match read {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}

/// Reads the configuration back, at one replica after the other. Returns whether the version that was
/// acknowledged last, or a later one, came.
fn read_back(record: &Record, deployment: &mut Deployment, machines: &mut [Machine], version: u64) -> bool {
    let began_at = Instant::now();
    let mut reads = 0;
    let mut control = 0;
    while began_at.elapsed() < READ_TIME {
        guard(record, deployment, machines);
        let answer = deployment.call(control, "config.get", "", "");
        reads += 1;
        if let Some((200, document)) = answer {
            let read = document.strip_prefix(r#"{"version":"#).and_then(|rest| rest.split(',').next());
            let read = read.and_then(|number| number.parse::<u64>().ok()).unwrap_or(0);
            record.line(&format!("core-{control} returns version {read}; {version} was acknowledged last"));
            return read >= version;
        }
        control = (control + 1) % CONTROLS;
        // The guard has to see the processes meanwhile.
        for _ in 0..20 {
            guard(record, deployment, machines);
            thread::sleep(Duration::from_millis(5));
        }
    }
    record.line(&format!(
        "the configuration doesn't come: {reads} reads in {:.0} s, none answered 200; version {version} was \
         acknowledged last",
        READ_TIME.as_secs_f64()
    ));
    false
}

fn used_kib(deployment: &Deployment, number: u8) -> u64 {
    let child = deployment.controls[usize::from(number)].as_ref();
    child.and_then(|child| deployment::anonymous_kib(child.id())).unwrap_or(0)
}

/// Acts as the platform: ends the processes that use more than their memory, and starts them again.
fn guard(record: &Record, deployment: &mut Deployment, machines: &mut [Machine]) {
    for number in 0..CONTROLS {
        let machine = &mut machines[usize::from(number)];
        if let Some(at) = machine.restart_at {
            if Instant::now() >= at {
                machine.restart_at = None;
                deployment.start_control(number, false);
                record.line(&format!("core-{number} is started again"));
            }
            continue;
        }
        let used = used_kib(deployment, number);
        machine.peak_kib = machine.peak_kib.max(used);
        if used > MEMORY_MB * 1024 {
            if let Some(mut child) = deployment.controls[usize::from(number)].take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            machine.ends += 1;
            machine.restart_at = Some(Instant::now() + RESTART_DELAY);
            record.line(&format!(
                "the platform ends core-{number}: it uses {:.1} MB of {MEMORY_MB} MB",
                used as f64 / 1024.0
            ));
        }
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
