//! Settings of stand-in backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use model::fault::InputFault;
use model::ids;
use settings::list::{ProgramHelp, SettingHelp};
use settings::reader::SettingReader;

use crate::backend::work::WorkProfile;

const fn help(name: &'static str, value: &'static str, text: &'static str) -> SettingHelp {
    SettingHelp { name, value, text }
}

/// Help text of the command.
pub const HELP: ProgramHelp = ProgramHelp {
    program: "wisteria-standin backend",
    summary: "Hosts stand-in backend servers of one service, for proof only.",
    settings: &[
        help("service", "NAME", "service of the servers"),
        help(
            "zones",
            "NAMES",
            "availability zones, with commas between them",
        ),
        help("servers", "COUNT", "servers in each zone [1]"),
        help(
            "control",
            "ADDRESS",
            "where faults are set and counts are read",
        ),
        help(
            "entries",
            "ADDRESSES",
            "entry hosts to announce to, with commas between them",
        ),
        help(
            "slots",
            "COUNT",
            "requests that a server works on at once [3]",
        ),
        help("queue", "COUNT", "requests that may wait for a slot [30]"),
        help("read-time", "TIME", "work of a GET [5ms]"),
        help("write-time", "TIME", "work of a POST [10ms]"),
        help("upload-time", "TIME", "work of a PUT [20ms]"),
        help("answer-bytes", "COUNT", "body of an answer [512]"),
        help(
            "cold-time",
            "TIME",
            "time from the first request to full speed [1ms]",
        ),
        help(
            "cold-factor",
            "COUNT",
            "how many times slower a cold server works [1]",
        ),
        help("connection-time", "TIME", "cost of a new connection [1ms]"),
        help(
            "zone-delay",
            "TIME",
            "one-way delay between zones of a region [1ns]",
        ),
        help(
            "region-delay",
            "TIME",
            "one-way delay between regions [1ns]",
        ),
        help("ttl", "TIME", "time to live of an announcement [3s]"),
        help(
            "drain-bound",
            "TIME",
            "most time from SIGTERM to the exit [10s]",
        ),
        help("seed", "NUMBER", "seed of every random choice [1]"),
    ],
};

/// Checked settings of stand-in backend servers.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Service of the servers.
    pub service: ids::ServiceName,
    /// Availability zones.
    pub zones: Vec<ids::ZoneName>,
    /// Servers in each zone.
    pub servers: u64,
    /// Where faults are set and counts are read.
    pub control: SocketAddr,
    /// Entry hosts to announce to.
    pub entries: Vec<SocketAddr>,
    /// Token of announcements, where entry hosts ask for one.
    pub announce_token: Option<String>,
    /// How a server works.
    pub work: WorkProfile,
    /// Time to live of an announcement.
    pub ttl: Duration,
    /// Most time from SIGTERM to the exit.
    pub drain_bound: Duration,
    /// Seed of every random choice.
    pub seed: u64,
}

impl TryFrom<SettingReader> for BackendSettings {
    type Error = Vec<InputFault>;

    fn try_from(mut reader: SettingReader) -> Result<Self, Self::Error> {
        let service = reader.required("service", SettingReader::name);
        let zones = reader.list("zones", SettingReader::name);
        if zones.is_empty() {
            reader.fault("zones", "", "at least one availability zone");
        }
        let servers = reader.or("servers", SettingReader::count, 1);
        let control = reader.required("control", SettingReader::address);
        let entries = reader.list("entries", SettingReader::address);
        let announce_token = reader.variable("announce_token");
        let work = read_work(&mut reader);
        let ttl = reader.or("ttl", SettingReader::duration, Duration::from_secs(3));
        let drain_bound = reader.or(
            "drain-bound",
            SettingReader::duration,
            Duration::from_secs(10),
        );
        let seed = reader.or("seed", SettingReader::seed, 1);
        reader.finish()?;
        let (Some(service), Some(control)) = (service, control) else {
            return Err(Vec::new());
        };
        Ok(Self {
            service,
            zones,
            servers,
            control,
            entries,
            announce_token,
            work,
            ttl,
            drain_bound,
            seed,
        })
    }
}

fn read_work(reader: &mut SettingReader) -> WorkProfile {
    let ms = Duration::from_millis;
    let none = Duration::from_nanos(1);
    WorkProfile {
        slots: small(reader.or("slots", SettingReader::count, 3)),
        queue: small(reader.or("queue", SettingReader::count, 30)),
        read_time: reader.or("read-time", SettingReader::duration, ms(5)),
        write_time: reader.or("write-time", SettingReader::duration, ms(10)),
        upload_time: reader.or("upload-time", SettingReader::duration, ms(20)),
        answer_bytes: small(reader.or("answer-bytes", SettingReader::count, 512)),
        cold_time: reader.or("cold-time", SettingReader::duration, ms(1)),
        cold_factor: small(reader.or("cold-factor", SettingReader::count, 1)),
        connection_time: reader.or("connection-time", SettingReader::duration, ms(1)),
        zone_delay: reader.or("zone-delay", SettingReader::duration, none),
        region_delay: reader.or("region-delay", SettingReader::duration, none),
    }
}

fn small(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
