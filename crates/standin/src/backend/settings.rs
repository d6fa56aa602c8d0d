//! Settings of the command `backend`.

use std::net::SocketAddr;
use std::time::Duration;

use model::fault::InputFault;
use model::ids;
use settings::help::{ProgramHelp, SettingHelp};
use settings::reader::SettingReader;

use crate::backend::work::WorkProfile;

const fn help(name: &'static str, value: &'static str, text: &'static str) -> SettingHelp {
    SettingHelp { name, value, text }
}

/// Help text of the command `backend`.
pub const HELP: ProgramHelp = ProgramHelp {
    program: "wisteria-standin backend",
    summary: "Hosts stand-in backend servers of one service, for tests only.",
    settings: &[
        help("service", "NAME", "service of the servers"),
        help("zones", "NAMES", "availability zones, comma-separated"),
        help("servers", "COUNT", "servers in each zone [1]"),
        help(
            "control",
            "ADDRESS",
            "address of the control endpoint for faults and counts",
        ),
        help(
            "entries",
            "ADDRESSES",
            "entry hosts that receive announcements, comma-separated",
        ),
        help(
            "slots",
            "COUNT",
            "requests that a server processes concurrently [3]",
        ),
        help(
            "queue",
            "COUNT",
            "requests that a server queues for a slot [30]",
        ),
        help("read-time", "TIME", "mean processing time of a GET [5ms]"),
        help(
            "write-time",
            "TIME",
            "mean processing time of a POST [10ms]",
        ),
        help(
            "upload-time",
            "TIME",
            "mean processing time of a PUT [20ms]",
        ),
        help("answer-bytes", "COUNT", "bytes of an answer's body [512]"),
        help(
            "cold-time",
            "TIME",
            "warm-up time from the first request to full speed [1ms]",
        ),
        help(
            "cold-factor",
            "COUNT",
            "slowdown of a server at the start of its warm-up [1]",
        ),
        help(
            "connection-time",
            "TIME",
            "delay before a new connection is served [1ms]",
        ),
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
            "maximum time from SIGTERM to the exit [10s]",
        ),
        help("seed", "NUMBER", "seed of the random processing times [1]"),
    ],
};

/// Checked settings of the command `backend`.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Service of the servers.
    pub service: ids::ServiceName,
    /// Availability zones, each with the same number of servers.
    pub zones: Vec<ids::ZoneName>,
    /// Number of servers in each zone.
    pub servers: u64,
    /// Address of the control endpoint for faults and counts.
    pub control: SocketAddr,
    /// Entry hosts that receive announcements.
    pub entries: Vec<SocketAddr>,
    /// Access token for announcements, or `None` if the entry hosts require none.
    pub announce_token: Option<String>,
    /// Capacity and timing of each server.
    pub work: WorkProfile,
    /// Time to live of an announcement.
    pub ttl: Duration,
    /// Maximum time from SIGTERM to the exit.
    pub drain_bound: Duration,
    /// Seed of the random processing times.
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
        let work = read_work_profile(&mut reader);
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

fn read_work_profile(reader: &mut SettingReader) -> WorkProfile {
    let ms = Duration::from_millis;
    // The reader accepts no duration of zero, so the default is the shortest one.
    let negligible = Duration::from_nanos(1);
    WorkProfile {
        slots: saturating_u32(reader.or("slots", SettingReader::count, 3)),
        queue: saturating_u32(reader.or("queue", SettingReader::count, 30)),
        read_time: reader.or("read-time", SettingReader::duration, ms(5)),
        write_time: reader.or("write-time", SettingReader::duration, ms(10)),
        upload_time: reader.or("upload-time", SettingReader::duration, ms(20)),
        answer_bytes: saturating_u32(reader.or("answer-bytes", SettingReader::count, 512)),
        cold_time: reader.or("cold-time", SettingReader::duration, ms(1)),
        cold_factor: saturating_u32(reader.or("cold-factor", SettingReader::count, 1)),
        connection_time: reader.or("connection-time", SettingReader::duration, ms(1)),
        zone_delay: reader.or("zone-delay", SettingReader::duration, negligible),
        region_delay: reader.or("region-delay", SettingReader::duration, negligible),
    }
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
