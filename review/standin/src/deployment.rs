//! A small deployment on loopback addresses: the project's programs as separate processes, started with
//! the commands of the deploy file and settings files in the format of DEPLOY.md.

use std::fs::{self, File};
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Port of the metrics, which the deploy file fixes; each machine therefore needs an address of its own.
const METRICS_PORT: u16 = 9464;

/// Control replicas of a deployment that tolerates the loss of one machine.
pub const CONTROLS: u8 = 3;

/// Number of control replicas that the settings name as seeds.
const SEEDS: u8 = 3;

/// Processes that were started, for the watchdog.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and the case where it takes longer than a script may.
pub fn start_watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in STARTED.lock().expect("the processes").iter() {
            signal(*pid, "KILL");
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// Settings that differ between sites.
#[derive(Clone)]
pub struct Terms {
    pub memory_mb: u32,
    pub grace: &'static str,
    /// Machines of the core that may be lost at the same time.
    pub tolerated: u8,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            memory_mb: 160,
            grace: "6s",
            tolerated: 1,
        }
    }
}

pub struct Deployment {
    subnet: (u8, u8),
    control_port: u16,
    directory_port: u16,
    front_port: u16,
    ready_port: u16,
    mesh_port: u16,
    folder: PathBuf,
    terms: Terms,
    pub controls: Vec<Option<Child>>,
    pub entries: Vec<Option<Child>>,
    _reservation: TcpListener,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// Reserves a subnet of loopback addresses on which nothing uses the metrics port.
fn reserve_subnet() -> ((u8, u8), TcpListener) {
    let mut seed = std::process::id();
    loop {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let subnet = (((seed >> 8) % 100 + 100) as u8, (seed >> 16) as u8);
        let address = (Ipv4Addr::new(127, subnet.0, subnet.1, 254), METRICS_PORT);
        if let Ok(listener) = TcpListener::bind(address) {
            return (subnet, listener);
        }
    }
}

impl Deployment {
    pub fn new(terms: Terms, name: &str) -> Self {
        let (subnet, reservation) = reserve_subnet();
        let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            subnet,
            control_port: free_port(),
            directory_port: free_port(),
            front_port: free_port(),
            ready_port: free_port(),
            mesh_port: free_port(),
            folder,
            terms,
            controls: Vec::new(),
            entries: Vec::new(),
            _reservation: reservation,
        }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, host)
    }

    pub fn control_address(&self, number: u8) -> SocketAddr {
        (self.ip(number + 1), self.control_port).into()
    }

    pub fn directory_address(&self, number: u8) -> SocketAddr {
        (self.ip(number + 1), self.directory_port).into()
    }

    pub fn front_address(&self, number: u8) -> SocketAddr {
        (self.ip(number + 101), self.front_port).into()
    }

    pub fn ready_address(&self, number: u8) -> SocketAddr {
        (self.ip(number + 101), self.ready_port).into()
    }

    /// Address for stand-in endpoints.
    pub fn endpoint_ip(&self) -> Ipv4Addr {
        self.ip(201)
    }

    fn settings(
        &self,
        name: &str,
        class: &str,
        serves: &str,
        ip: Ipv4Addr,
        bootstrap: bool,
    ) -> String {
        let seeds: Vec<_> = (0..SEEDS)
            .map(|n| self.control_address(n).to_string())
            .collect();
        format!(
            "self_info.node_name={name}\nself_info.role={class}\nself_info.machine_class={class}\n\
             self_info.serves={serves}\nself_info.ip={ip}\nself_info.zone=lhr-gulberg\n\
             self_info.region=lahore\nself_info.in_tolerance={}\nself_info.bootstrap={bootstrap}\n\
             self_info.limits.cpu_share=0.1\nself_info.limits.cores=1\n\
             self_info.limits.memory_mb={}\nself_info.limits.max_fds=4100\n\
             network.internal_ports={},{}\nnetwork.seeds={}\n\
             network.zones.lhr-gulberg=lahore\nnetwork.zones.khi-clifton=karachi\n\
             network.zones.isb-blue=islamabad\nplatform.discovery=registration\n\
             platform.entry=directory\nplatform.heartbeat=1500ms\n\
             terms.contracts=base,drain,config,cost,retry,recover,health,pool,places\n\
             terms.fault_tolerance.machines={}\nterms.fault_tolerance.zones=1\n\
             terms.fault_tolerance.regions=1\nterms.bounds.seed_lag=3s\nterms.bounds.reuse_after=2s\n\
             terms.bounds.contact=4000ms\nterms.bounds.ack=4000ms\nterms.bounds.catch_up=6s\n\
             terms.bounds.drain=2500ms\nterms.bounds.grace={}\nterms.bounds.loss_slack=200ms\n\
             terms.bounds.config_apply=2500ms\nterms.bounds.downgrade_slack=250ms\n\
             terms.bounds.max_stretch=6000ms\nterms.bounds.retry_budget_ratio=0.2\n\
             terms.bounds.budget_window=10s\nterms.bounds.retry_budget_slack=208\n\
             terms.bounds.cold_load_factor=1.5\nterms.bounds.cold_slack=8\n\
             terms.bounds.evacuate=5000ms\nterms.bounds.recover=15s\nterms.bounds.ttl_max=5s\n\
             terms.bounds.max_region_shift=0.15\n",
            class == "core",
            if class == "core" { 256 } else { self.terms.memory_mb },
            self.mesh_port,
            self.mesh_port,
            seeds.join(","),
            self.terms.tolerated,
            self.terms.grace,
        )
    }

    fn spawn(&self, program: &str, name: &str, settings: &str) -> Child {
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("a settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log file");
        let mut command = Command::new(program);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG", "MALLOC_ARENA_MAX"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .env("WISTERIASPREAD_BOOT", path)
            // The machines of the pages have one core.
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        let child = command
            .spawn()
            .expect("the program of the deploy file; build it first");
        STARTED.lock().expect("the processes").push(child.id());
        child
    }

    pub fn start_control(&mut self, number: u8, bootstrap: bool) {
        let ip = self.ip(number + 1);
        let name = format!("core-{number}");
        let data = self.folder.join(format!("data-{number}"));
        fs::create_dir_all(&data).expect("a data folder");
        let settings = format!(
            "{}self_info.data_dir={}\nself_info.limits.disk_mb=256\nnetwork.listen.control={}\nnetwork.listen.directory={}\n",
            self.settings(&name, "core", "control,directory", ip, bootstrap),
            data.display(),
            self.control_address(number),
            self.directory_address(number),
        );
        let child = self.spawn("target/release/wisteria-site-control", &name, &settings);
        let index = usize::from(number);
        if self.controls.len() <= index {
            self.controls.resize_with(index + 1, || None);
        }
        self.controls[index] = Some(child);
    }

    pub fn start_entry(&mut self, number: u8) {
        let ip = self.ip(number + 101);
        let name = format!("front-{number}");
        let settings = format!(
            "{}self_info.limits.disk_mb=0\nnetwork.listen.front={}\nnetwork.listen.ready={}\n",
            self.settings(&name, "front", "front", ip, true),
            self.front_address(number),
            self.ready_address(number),
        );
        let child = self.spawn("target/release/wisteria-site-entry", &name, &settings);
        let index = usize::from(number);
        if self.entries.len() <= index {
            self.entries.resize_with(index + 1, || None);
        }
        self.entries[index] = Some(child);
    }

    pub fn start_all(&mut self, entries: u8) {
        for number in 0..CONTROLS {
            self.start_control(number, true);
        }
        for number in 0..entries {
            self.start_entry(number);
        }
    }

    pub fn entry_pid(&self, number: u8) -> Option<u32> {
        self.entries[usize::from(number)].as_ref().map(Child::id)
    }

    pub fn signal_control(&self, number: u8, name: &str) {
        if let Some(child) = &self.controls[usize::from(number)] {
            signal(child.id(), name);
        }
    }

    /// Returns the log of a control replica.
    pub fn control_log(&self, number: u8) -> String {
        let bytes = fs::read(self.folder.join(format!("core-{number}.log"))).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Sends a call to the control replicas in turn until one gives a clear answer.
    pub fn submit(&self, call: &str, subject: &str, body: &str) -> Option<u16> {
        let until = Instant::now() + Duration::from_secs(15);
        let mut number = 0;
        while Instant::now() < until {
            let status = self
                .call(number, call, subject, body)
                .map(|(status, _)| status);
            if let Some(status) = status.filter(|status| *status < 500) {
                return Some(status);
            }
            number = (number + 1) % CONTROLS;
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    pub fn call(&self, number: u8, call: &str, subject: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("/wisteriaspread/rpc?call={call}&of={subject}");
        http::call(
            self.control_address(number),
            "POST",
            &path,
            body,
            Duration::from_secs(2),
        )
    }

    pub fn is_ready(&self, number: u8) -> bool {
        let path = "/wisteriaspread/readiness";
        let answer = http::call(
            self.ready_address(number),
            "GET",
            path,
            "",
            Duration::from_secs(1),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, number: u8) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready(number) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends all processes, and removes the folder unless the variable `KEEP` is set.
    pub fn stop(&mut self, record: &Record) {
        let children = self.controls.iter_mut().chain(&mut self.entries);
        for child in children.filter_map(Option::take) {
            let mut child = child;
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_some() {
            record.line(&format!("logs kept in {}", self.folder.display()));
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let children = self.controls.iter_mut().chain(&mut self.entries);
        for child in children.filter_map(Option::take) {
            let mut child = child;
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends a signal to a process that this test started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(pid.to_string())
        .status();
}

/// Memory of a process in KiB, without the pages of its program file.
pub fn anonymous_kib(pid: u32) -> Option<u64> {
    let mut text = String::new();
    File::open(format!("/proc/{pid}/status"))
        .ok()?
        .read_to_string(&mut text)
        .ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}

/// A route of a configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub target_ms: u32,
}

/// Returns a configuration of the host `jepu9.example` in the form of PROTOCOL.md.
pub fn configuration(version: u64, base: u64, services: &[&str], routes: &[Route<'_>]) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","max_conns":1500,"protocol":"h1","tls":false,"cold_start":"0s","cold_per_s":100.0}}"#
            )
        })
        .collect();
    let routes: Vec<_> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| {
            format!(
                r#"{{"name":"r-{index}","path_prefix":"{}","kind":"{}","timeout":"{}ms","target_latency":"{}ms","priority":1,"service":"{}","max_attempts":2,"sticky":false,"home_regions":[]}}"#,
                route.prefix, route.kind, route.timeout_ms, route.target_ms, route.service
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},"base_version":{base},"virtual_hosts":[{{"host":"jepu9.example","path_routes":[{}]}}]}}"#,
        services.join(","),
        routes.join(",")
    )
}
