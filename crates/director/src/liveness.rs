//! Who was heard when: backend servers and entry hosts, here or at another replica.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use fleet::ids;

use crate::message::{HeardHost, HeardReport, HeardServer, HostStatus};

/// Silence after which an entry host is named no more; three missed calls.
pub const HOST_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time added to what a backend server says of its coldness, for the way of the news.
const COLD_MARGIN: Duration = Duration::from_millis(200);

#[derive(Debug, Clone)]
struct ServerSign {
    born: ids::BirthTime,
    heard_at: Instant,
    cold_until: Instant,
    /// Heard here since the others were last told.
    fresh: bool,
}

#[derive(Debug, Clone)]
struct HostSign {
    status: HostStatus,
    heard_at: Instant,
    fresh: bool,
}

/// Times at which backend servers and entry hosts were heard.
#[derive(Debug, Default)]
pub struct LivenessTable {
    servers: BTreeMap<ids::ServerId, ServerSign>,
    hosts: BTreeMap<String, HostSign>,
}

impl LivenessTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes an announcement that came here.
    pub fn hear_server(&mut self, now: Instant, id: &str, born: ids::BirthTime, cold: Duration) {
        self.note_server(now, id, born, now, cold, true);
    }

    fn note_server(
        &mut self,
        now: Instant,
        id: &str,
        born: ids::BirthTime,
        heard_at: Instant,
        cold: Duration,
        fresh: bool,
    ) {
        let until = match cold {
            Duration::ZERO => now,
            cold => heard_at + cold + COLD_MARGIN,
        };
        let Some(sign) = self.servers.get_mut(id) else {
            let sign = ServerSign {
                born,
                heard_at,
                cold_until: until,
                fresh,
            };
            self.servers.insert(id.to_string(), sign);
            return;
        };
        if born < sign.born {
            return;
        }
        if born > sign.born {
            sign.cold_until = now;
        }
        sign.born = born;
        sign.heard_at = sign.heard_at.max(heard_at);
        sign.cold_until = sign.cold_until.max(until);
        sign.fresh |= fresh;
    }

    /// Notes that a backend server is cold.
    pub fn set_cold(&mut self, now: Instant, id: &str, born: ids::BirthTime, cold: Duration) {
        self.note_server(now, id, born, now, cold, false);
    }

    /// Notes a call of an entry host that came here; tells whether it says something new.
    pub fn hear_host(&mut self, now: Instant, status: &HostStatus) -> bool {
        let known = self.hosts.get(&status.name);
        let changed =
            known.is_none_or(|sign| sign.status != *status || now >= sign.heard_at + HOST_TIMEOUT);
        let sign = HostSign {
            status: status.clone(),
            heard_at: now,
            fresh: true,
        };
        self.hosts.insert(status.name.clone(), sign);
        changed
    }

    /// Takes in what another replica heard.
    pub fn merge(&mut self, now: Instant, report: HeardReport) {
        for server in report.servers {
            let heard_at = now.checked_sub(server.ago).unwrap_or(now);
            self.note_server(now, &server.id, server.born, heard_at, server.cold, false);
        }
        for host in report.hosts {
            let heard_at = now.checked_sub(host.ago).unwrap_or(now);
            let known = self.hosts.get(&host.status.name);
            if known.is_some_and(|sign| sign.heard_at >= heard_at) {
                continue;
            }
            let sign = HostSign {
                status: host.status,
                heard_at,
                fresh: false,
            };
            self.hosts.insert(sign.status.name.clone(), sign);
        }
    }

    /// Returns what was heard here since the last report.
    pub fn take_report(&mut self, now: Instant) -> HeardReport {
        let mut report = HeardReport::default();
        for (id, sign) in self.servers.iter_mut().filter(|(_, sign)| sign.fresh) {
            sign.fresh = false;
            report.servers.push(HeardServer {
                id: id.clone(),
                born: sign.born,
                ago: now.saturating_duration_since(sign.heard_at),
                cold: sign.cold_until.saturating_duration_since(now),
            });
        }
        for sign in self.hosts.values_mut().filter(|sign| sign.fresh) {
            sign.fresh = false;
            report.hosts.push(HeardHost {
                status: sign.status.clone(),
                ago: now.saturating_duration_since(sign.heard_at),
            });
        }
        report
    }

    /// Returns when a backend server was last heard in a life.
    pub fn heard_at(&self, id: &str, born: ids::BirthTime) -> Option<Instant> {
        let sign = self.servers.get(id)?;
        (sign.born == born).then_some(sign.heard_at)
    }

    /// Returns the backend servers that are cold and for how long yet.
    pub fn cold(&self, now: Instant) -> Vec<(ids::ServerId, Duration)> {
        let servers = self
            .servers
            .iter()
            .filter(|(_, sign)| sign.cold_until > now);
        servers
            .map(|(id, sign)| (id.clone(), sign.cold_until - now))
            .collect()
    }

    /// Returns the entry hosts that are alive.
    pub fn hosts(&self, now: Instant) -> Vec<HostStatus> {
        let alive = self
            .hosts
            .values()
            .filter(|sign| now < sign.heard_at + HOST_TIMEOUT);
        alive.map(|sign| sign.status.clone()).collect()
    }

    /// Forgets what was silent for long.
    pub fn forget(&mut self, now: Instant, limit: Duration) {
        self.servers.retain(|_, sign| now < sign.heard_at + limit);
        self.hosts.retain(|_, sign| now < sign.heard_at + limit);
    }
}

/// Returns the digest of a list of entry hosts; 0 stands for none known.
pub fn hosts_digest(hosts: &[HostStatus]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for host in hosts {
        (&host.name, host.address, &host.zone, host.ready).hash(&mut hasher);
    }
    hasher.finish() | 1
}

/// Returns the digest of the ids of cold backend servers; 0 where there is none.
pub fn cold_digest(cold: &[(ids::ServerId, Duration)]) -> u64 {
    if cold.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    for (id, _) in cold {
        id.hash(&mut hasher);
    }
    hasher.finish() | 1
}
