//! Settings of the command `load`.

use std::net::SocketAddr;
use std::path::PathBuf;

use model::fault::InputFault;
use settings::help::{ProgramHelp, SettingHelp};
use settings::reader::SettingReader;
use settings::secret;

use crate::load::ticket::ClusterHost;

const fn help(name: &'static str, value: &'static str, text: &'static str) -> SettingHelp {
    SettingHelp { name, value, text }
}

/// Help text of the command `load`.
pub const HELP: ProgramHelp = ProgramHelp {
    program: "wisteria-standin load",
    summary: "Sends a seeded sequence of requests like callers do and measures their outcomes.",
    settings: &[
        help("scenario", "FILE", "scenario in TOML, see docs/testing.md"),
        help(
            "controls",
            "ADDRESSES",
            "operator addresses of the control replicas, comma-separated",
        ),
        help(
            "hosts",
            "HOSTS",
            "entry hosts, each as name/zone/callers/peers, comma-separated",
        ),
        help(
            "standins",
            "ADDRESSES",
            "control addresses of the stand-ins, comma-separated",
        ),
        help(
            "first-ticket",
            "NUMBER",
            "number of the first ticket to submit [1]",
        ),
        help("seed", "NUMBER", "seed that overrides the scenario's"),
        help("json", "FILE", "file to write the results to, as JSON"),
        help(
            "token-file",
            "FILE",
            "file with the access token; or WISTERIA_TOKEN",
        ),
    ],
};

/// Checked settings of the command `load`.
#[derive(Debug)]
pub struct LoadSettings {
    /// Path of the scenario in TOML.
    pub scenario: PathBuf,
    /// Operator addresses of the control replicas.
    pub controls: Vec<SocketAddr>,
    /// Entry hosts of the cluster.
    pub hosts: Vec<ClusterHost>,
    /// Addresses of the stand-ins' control endpoints.
    pub standins: Vec<SocketAddr>,
    /// Number of the first ticket to submit.
    pub first_ticket: u64,
    /// Seed that overrides the scenario's.
    pub seed: Option<u64>,
    /// Path of the file to write the results to, as JSON.
    pub json: Option<PathBuf>,
    /// Access token for operators.
    pub token: String,
}

impl TryFrom<SettingReader> for LoadSettings {
    type Error = Vec<InputFault>;

    fn try_from(mut reader: SettingReader) -> Result<Self, Self::Error> {
        let scenario = reader.required("scenario", SettingReader::path);
        let controls = reader.list("controls", SettingReader::address);
        let hosts = reader.list("hosts", parse_host);
        let standins = reader.list("standins", SettingReader::address);
        let first_ticket = reader.or("first-ticket", SettingReader::count, 1);
        let seed = reader.optional("seed", SettingReader::seed);
        let json = reader.optional("json", SettingReader::path);
        let token = secret::read_token(&mut reader);
        reader.finish()?;
        let (Some(scenario), Some(token)) = (scenario, token) else {
            return Err(Vec::new());
        };
        Ok(Self {
            scenario,
            controls,
            hosts,
            standins,
            first_ticket,
            seed,
            json,
            token,
        })
    }
}

/// Parses an entry host of the form `name/zone/callers/peers`.
fn parse_host(text: &str) -> Result<ClusterHost, &'static str> {
    const ALLOWED: &str = "name/zone/callers/peers, such as e1/altiplano-a/10.0.0.1:80/10.0.0.1:81";
    let parts: Vec<_> = text.split('/').collect();
    let [name, zone, callers, peers] = parts[..] else {
        return Err(ALLOWED);
    };
    Ok(ClusterHost {
        name: name.to_string(),
        zone: zone.to_string(),
        callers: callers.parse().map_err(|_| ALLOWED)?,
        peers: peers.parse().map_err(|_| ALLOWED)?,
    })
}
