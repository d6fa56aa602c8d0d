//! Settings of an entry host.

use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;
use model::fault::InputFault;
use model::ids;
use settings::help::{ProgramHelp, SettingHelp};
use settings::reader::SettingReader;
use settings::secret;
use telemetry::logs::LogSettings;
use wire::token::AccessToken;

/// Help text of the program.
pub const HELP: ProgramHelp = ProgramHelp {
    program: "wisteria-entry",
    summary: "Entry host: forwards callers' requests to backend servers.",
    settings: &[
        help("name", "NAME", "name of this host, as in tickets"),
        help("zone", "ZONE", "availability zone of this host"),
        help(
            "callers",
            "ADDRESS",
            "address to listen on for callers and backend servers",
        ),
        help(
            "peers",
            "ADDRESS",
            "address to listen on for other processes of the system",
        ),
        help(
            "controls",
            "ADDRESSES",
            "addresses of the control replicas, separated by commas",
        ),
        help(
            "token-file",
            "FILE",
            "file with the access token; by default it is read from WISTERIA_TOKEN",
        ),
        help(
            "answer-max-age",
            "TIME",
            "time for which callers may cache look-up answers [5s]",
        ),
        help(
            "stop-bound",
            "TIME",
            "longest wait for in-flight requests at shutdown [60s]",
        ),
        help(
            "log-level",
            "LEVEL",
            "off, error, warn, info, debug or trace [info]",
        ),
        help("log-json", "", "one JSON object per log line"),
    ],
};

const fn help(name: &'static str, value: &'static str, text: &'static str) -> SettingHelp {
    SettingHelp { name, value, text }
}

/// Validated settings of an entry host.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of this host.
    pub name: ids::HostName,
    /// Availability zone of this host.
    pub zone: ids::ZoneName,
    /// Address to listen on for callers and backend servers.
    pub callers: SocketAddr,
    /// Address to listen on for other processes of the system.
    pub peers: SocketAddr,
    /// Addresses of the control replicas; at least one.
    pub controls: Vec<SocketAddr>,
    /// Access token of calls between processes.
    pub token: AccessToken,
    /// Token that announcements must carry; `None` accepts announcements without a token.
    pub announce_token: Option<AccessToken>,
    /// Time for which callers may cache look-up answers.
    pub answer_max_age: Duration,
    /// Longest wait for in-flight requests in a graceful shutdown.
    pub stop_bound: Duration,
    /// Log level and format.
    pub logs: LogSettings,
}

impl TryFrom<SettingReader> for EntrySettings {
    type Error = Vec<InputFault>;

    fn try_from(mut reader: SettingReader) -> Result<Self, Self::Error> {
        let name = reader.required("name", SettingReader::name);
        let zone = reader.required("zone", SettingReader::name);
        let callers = reader.required("callers", SettingReader::address);
        let peers = reader.required("peers", SettingReader::address);
        let controls = reader.list("controls", SettingReader::address);
        if controls.is_empty() {
            reader.fault("controls", "", "at least one address");
        }
        let token = secret::read_token(&mut reader);
        let announce_token = reader.variable("announce_token").map(AccessToken::new);
        let answer_max_age = reader.or(
            "answer-max-age",
            SettingReader::duration,
            Duration::from_secs(5),
        );
        let stop_bound = reader.or(
            "stop-bound",
            SettingReader::duration,
            Duration::from_secs(60),
        );
        let logs = LogSettings {
            level: reader.or("log-level", SettingReader::log_level, LevelFilter::Info),
            json: reader.flag("log-json"),
        };
        reader.finish()?;
        let (Some(name), Some(zone), Some(callers), Some(peers), Some(token)) =
            (name, zone, callers, peers, token)
        else {
            return Err(Vec::new());
        };
        Ok(Self {
            name,
            zone,
            callers,
            peers,
            controls,
            token: AccessToken::new(token),
            announce_token,
            answer_max_age,
            stop_bound,
            logs,
        })
    }
}
