//! Flags and environment variables of the daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use log::LevelFilter;
use model::fault::InputFault;
use model::ids::ZoneName;
use quorum::ids;
use settings::help::{ProgramHelp, SettingHelp};
use settings::reader::SettingReader;
use settings::secret;
use telemetry::logs::LogSettings;
use wire::token::AccessToken;

/// Help text of the program.
pub const HELP: ProgramHelp = ProgramHelp {
    program: "wisteria-control",
    summary: "Control replica: stores change tickets on a quorum of replicas and applies them.",
    settings: &[
        help("id", "NUMBER", "number of this replica, one of --replicas"),
        help(
            "replicas",
            "LIST",
            "peer addresses of all replicas: 1=ip:port,2=ip:port,…",
        ),
        help(
            "operators",
            "ADDRESS",
            "ip:port of the HTTP interface for operators",
        ),
        help("zone", "NAME", "availability zone of this process"),
        help(
            "data-folder",
            "PATH",
            "folder that holds the replica's state",
        ),
        help(
            "token-file",
            "PATH",
            "file with the access token; or WISTERIA_TOKEN",
        ),
        help(
            "log-level",
            "LEVEL",
            "off, error, warn, info, debug or trace (info)",
        ),
        help("log-json", "", "logs one JSON object per line"),
        help(
            "verdict-window",
            "COUNT",
            "verdicts kept, 100 to 1000000 (10000); same on all replicas",
        ),
        help(
            "snapshot-every",
            "COUNT",
            "entries between two snapshots, 10 to 100000 (1000)",
        ),
    ],
};

const fn help(name: &'static str, value: &'static str, text: &'static str) -> SettingHelp {
    SettingHelp { name, value, text }
}

/// Parsed settings that are not yet checked against each other.
#[derive(Debug)]
pub struct RawSettings {
    id: Option<u64>,
    replicas: Vec<(u64, SocketAddr)>,
    operators: Option<SocketAddr>,
    zone: Option<String>,
    data_folder: Option<PathBuf>,
    token: Option<String>,
    log: LogSettings,
    verdict_window: u64,
    snapshot_every: u64,
    faults: Vec<InputFault>,
}

impl RawSettings {
    /// Reads the settings from flags and environment variables, and collects all faults.
    pub fn read(mut reader: SettingReader) -> Self {
        let mut raw = Self {
            id: reader.required("id", SettingReader::count),
            replicas: reader.list("replicas", SettingReader::numbered_address),
            operators: reader.required("operators", SettingReader::address),
            zone: reader.required("zone", SettingReader::name),
            data_folder: reader.required("data-folder", SettingReader::path),
            token: secret::read_token(&mut reader),
            log: LogSettings {
                level: reader.or("log-level", SettingReader::log_level, LevelFilter::Info),
                json: reader.flag("log-json"),
            },
            verdict_window: reader.or("verdict-window", SettingReader::count, 10_000),
            snapshot_every: reader.or("snapshot-every", SettingReader::count, 1_000),
            faults: Vec::new(),
        };
        raw.faults = reader.finish().err().unwrap_or_default();
        raw
    }
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Number of this replica.
    pub id: ids::ReplicaId,
    /// Peer address of each replica, this one included.
    pub replicas: BTreeMap<ids::ReplicaId, SocketAddr>,
    /// Listening address of the HTTP interface for operators.
    pub operators: SocketAddr,
    /// Availability zone of this process.
    pub zone: ZoneName,
    /// Folder that holds the replica's state.
    pub data_folder: PathBuf,
    /// Access token that operators and other processes present.
    pub token: AccessToken,
    /// Level and format of the log.
    pub log: LogSettings,
    /// Most verdicts that are kept, by the highest ticket numbers.
    pub verdict_window: usize,
    /// Log entries between two snapshots.
    pub snapshot_every: u64,
}

impl ControlSettings {
    /// Most replicas of one cluster.
    pub const MAX_REPLICAS: usize = 7;

    /// Returns the peer address of this replica.
    pub fn own_address(&self) -> SocketAddr {
        self.replicas
            .get(&self.id)
            .copied()
            .unwrap_or(self.operators)
    }
}

impl TryFrom<RawSettings> for ControlSettings {
    type Error = Vec<InputFault>;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        let mut faults = raw.faults;
        let mut fault = |name: &str, value: String, allowed: &str| {
            faults.push(InputFault::new(format!("--{name}"), value, allowed));
        };
        let replicas: BTreeMap<_, _> = raw.replicas.iter().copied().collect();
        let count = raw.replicas.len();
        if replicas.len() < count {
            fault("replicas", format!("{count} items"), "each number once");
        }
        if count.is_multiple_of(2) || count > Self::MAX_REPLICAS {
            fault(
                "replicas",
                format!("{count} replicas"),
                "1, 3, 5 or 7 replicas",
            );
        }
        let mut addresses: Vec<_> = replicas.values().chain(&raw.operators).collect();
        addresses.sort();
        for pair in addresses.windows(2).filter(|pair| pair[0] == pair[1]) {
            fault(
                "replicas",
                pair[0].to_string(),
                "each address once, --operators included",
            );
        }
        for address in addresses.iter().filter(|address| address.port() == 0) {
            fault("replicas", address.to_string(), "a port above 0");
        }
        if let Some(id) = raw.id.filter(|id| !replicas.contains_key(id)) {
            fault("id", id.to_string(), "a number that --replicas lists");
        }
        if !(100..=1_000_000).contains(&raw.verdict_window) {
            fault(
                "verdict-window",
                raw.verdict_window.to_string(),
                "100 to 1000000",
            );
        }
        if !(10..=100_000).contains(&raw.snapshot_every) {
            fault(
                "snapshot-every",
                raw.snapshot_every.to_string(),
                "10 to 100000",
            );
        }
        let parts = (raw.id, raw.operators, raw.zone, raw.data_folder, raw.token);
        let (Some(id), Some(operators), Some(zone), Some(data_folder), Some(token)) = parts else {
            return Err(faults);
        };
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            id,
            replicas,
            operators,
            zone,
            data_folder,
            token: AccessToken::new(token),
            log: raw.log,
            verdict_window: usize::try_from(raw.verdict_window).unwrap_or(usize::MAX),
            snapshot_every: raw.snapshot_every,
        })
    }
}
