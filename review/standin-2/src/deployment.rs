//! The project's own programs as separate processes on loopback addresses: three control replicas and two
//! entry hosts, started with the commands of the deploy file.

use std::fs::{self, File};
use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// Port of the metrics, as the deploy file has it. Two deployments must not share an address.
const METRICS_PORT: u16 = 9464;

/// First and last port that is tried. Above, the system gives out ports itself.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Number of control replicas and of entry hosts.
pub const CONTROLS: u8 = 3;
pub const ENTRIES: u8 = 2;

/// Returns a port that is free on all loopback addresses, from `first` on.
pub fn free_port(first: u16) -> Result<u16> {
    let mut ports = (first..PORTS.end).chain(PORTS.start..first);
    ports
        .find(|port| TcpListener::bind((Ipv4Addr::UNSPECIFIED, *port)).is_ok())
        .ok_or_else(|| Error::from(ErrorKind::AddrInUse))
}

/// A running deployment; its processes end when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    subnet: u8,
    control_port: u16,
    front_port: u16,
    folder: PathBuf,
    processes: Vec<Child>,
    _reservation: TcpListener,
}

impl Deployment {
    /// Starts the processes from the root of the repository.
    pub fn start(root: &Path) -> Result<Self> {
        let mut reserved = (2..=200).filter_map(|subnet| {
            let address = (Ipv4Addr::new(127, 0, subnet, 254), METRICS_PORT);
            Some((subnet, TcpListener::bind(address).ok()?))
        });
        let (subnet, reservation) = reserved.next().ok_or(Error::from(ErrorKind::AddrInUse))?;
        let first = PORTS.start + (std::process::id() % 2_000) as u16 * 8;
        let mut ports = Vec::new();
        for _ in 0..5 {
            ports.push(free_port(ports.last().map_or(first, |last| last + 1))?);
        }
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            subnet,
            control_port: ports[0],
            front_port: ports[1],
            folder,
            processes: Vec::new(),
            _reservation: reservation,
        };
        for number in 0..CONTROLS {
            let ip = deployment.control(number).ip();
            let data = deployment.folder.join(format!("data-{number}"));
            fs::create_dir_all(&data)?;
            let settings = format!(
                "{}self_info.in_tolerance=true\nself_info.data_dir={}\nself_info.limits.memory_mb=256\n\
                 network.listen.control={ip}:{}\nnetwork.listen.directory={ip}:{}\n",
                deployment.settings(&format!("core-{number}"), "core", &ip.to_string(), ports[4]),
                data.display(),
                ports[0],
                ports[2],
            );
            deployment.spawn(
                root,
                "wisteria-site-control",
                &format!("core-{number}"),
                &settings,
            )?;
        }
        for number in 0..ENTRIES {
            let ip = deployment.front(number).ip();
            let settings = format!(
                "{}self_info.in_tolerance=false\nself_info.limits.memory_mb=260\n\
                 network.listen.front={ip}:{}\nnetwork.listen.ready={ip}:{}\n",
                deployment.settings(
                    &format!("front-{number}"),
                    "front",
                    &ip.to_string(),
                    ports[4]
                ),
                ports[1],
                ports[3],
            );
            deployment.spawn(
                root,
                "wisteria-site-entry",
                &format!("front-{number}"),
                &settings,
            )?;
        }
        Ok(deployment)
    }

    fn settings(&self, name: &str, class: &str, ip: &str, mesh_port: u16) -> String {
        let seeds: Vec<_> = (0..CONTROLS).map(|n| self.control(n).to_string()).collect();
        format!(
            "self_info.node_name={name}\nself_info.machine_class={class}\nself_info.ip={ip}\n\
             self_info.zone=xela-a\nself_info.region=altiplano\nself_info.bootstrap=true\n\
             network.internal_ports={mesh_port},{mesh_port}\nnetwork.seeds={}\n\
             network.zones.xela-a=altiplano\nnetwork.zones.antigua-a=sacatepequez\n\
             platform.discovery=registration\nplatform.entry=directory\nplatform.heartbeat=1500ms\n\
             terms.contracts=base,drain,config,cost,retry,recover,places\n\
             terms.fault_tolerance.machines=1\nterms.fault_tolerance.zones=1\n\
             terms.fault_tolerance.regions=1\nterms.bounds.seed_lag=3s\nterms.bounds.reuse_after=2s\n\
             terms.bounds.contact=3000ms\nterms.bounds.ack=4000ms\nterms.bounds.catch_up=4s\n\
             terms.bounds.drain=2500ms\nterms.bounds.grace=6s\nterms.bounds.loss_slack=200ms\n\
             terms.bounds.config_apply=2500ms\nterms.bounds.downgrade_slack=250ms\n\
             terms.bounds.max_stretch=5000ms\nterms.bounds.retry_budget_ratio=0.2\n\
             terms.bounds.budget_window=10s\nterms.bounds.retry_budget_slack=56\n\
             terms.bounds.cold_load_factor=1.5\nterms.bounds.cold_slack=5\n\
             terms.bounds.evacuate=5000ms\nterms.bounds.recover=15s\nterms.bounds.ttl_max=5s\n\
             terms.bounds.max_region_shift=0.15\n",
            seeds.join(","),
        )
    }

    fn spawn(&mut self, root: &Path, program: &str, name: &str, settings: &str) -> Result<()> {
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(root.join("target/release").join(program))
            .current_dir(root)
            .env_clear()
            .env("WISTERIASPREAD_BOOT", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes.push(child);
        Ok(())
    }

    /// Returns the address at which a control replica answers operators and endpoints.
    pub fn control(&self, number: u8) -> SocketAddr {
        (
            Ipv4Addr::new(127, 0, self.subnet, number + 1),
            self.control_port,
        )
            .into()
    }

    /// Returns the addresses of all control replicas.
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..CONTROLS).map(|number| self.control(number)).collect()
    }

    /// Returns the address at which an entry host serves clients.
    pub fn front(&self, number: u8) -> SocketAddr {
        (
            Ipv4Addr::new(127, 0, self.subnet, number + 101),
            self.front_port,
        )
            .into()
    }

    /// Returns the addresses of all entry hosts.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        (0..ENTRIES).map(|number| self.front(number)).collect()
    }

    /// Returns the name of the first process that has ended.
    pub fn ended(&mut self) -> Option<usize> {
        let mut processes = self.processes.iter_mut();
        processes.position(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Sends an order to the replicas in turn until one acknowledges it.
    pub fn order(&self, call: &str, subject: &str, body: &str) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        let controls = self.controls();
        for target in controls.iter().cycle() {
            let bytes = http::rpc(*target, call, subject, body);
            match http::exchange(*target, &bytes, Duration::from_millis(1_500)) {
                Ok(answer) if answer.status() == 200 => return Ok(()),
                Ok(answer) if answer.status() < 500 => break,
                _ if Instant::now() > until => break,
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
        Err(Error::other(format!("{call} was not acknowledged")))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
