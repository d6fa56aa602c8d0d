//! Failure detection: the times at which backend servers and entry hosts last called a replica.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use fleet::ids;

use crate::message::{GossipReport, HostLiveness, HostStatus, ServerLiveness};

/// Silence after which an entry host no longer counts as alive: three missed calls.
pub const HOST_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time added to the announced cold period, for the delay of the announcement.
const COLD_MARGIN: Duration = Duration::from_millis(200);

#[derive(Debug, Clone)]
struct ServerEntry {
    born: ids::StartTime,
    seen_at: Instant,
    cold_until: Instant,
    /// Whether the server called this replica since the replica's previous report.
    unreported: bool,
}

#[derive(Debug, Clone)]
struct HostEntry {
    status: HostStatus,
    seen_at: Instant,
    /// Whether the host called this replica since the replica's previous report.
    unreported: bool,
}

/// Times at which backend servers and entry hosts were last seen, by id or name.
#[derive(Debug, Default)]
pub struct LivenessTable {
    servers: BTreeMap<ids::ServerId, ServerEntry>,
    hosts: BTreeMap<String, HostEntry>,
}

impl LivenessTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement that a backend server sent to this replica; `cold` is the time for
    /// which the server remains cold.
    pub fn record_server(&mut self, now: Instant, id: &str, born: ids::StartTime, cold: Duration) {
        self.merge_server(now, id, born, now, cold, true);
    }

    /// Merges an observation of a backend server; one of an earlier incarnation is ignored.
    fn merge_server(
        &mut self,
        now: Instant,
        id: &str,
        born: ids::StartTime,
        seen_at: Instant,
        cold: Duration,
        unreported: bool,
    ) {
        let cold_until = match cold {
            Duration::ZERO => now,
            cold => seen_at + cold + COLD_MARGIN,
        };
        let Some(entry) = self.servers.get_mut(id) else {
            let entry = ServerEntry {
                born,
                seen_at,
                cold_until,
                unreported,
            };
            self.servers.insert(id.to_string(), entry);
            return;
        };
        if born < entry.born {
            return;
        }
        if born > entry.born {
            entry.cold_until = now;
        }
        entry.born = born;
        entry.seen_at = entry.seen_at.max(seen_at);
        entry.cold_until = entry.cold_until.max(cold_until);
        entry.unreported |= unreported;
    }

    /// Records that a backend server is cold from now on. An incarnation that is known isn't thereby
    /// seen.
    pub fn set_cold(&mut self, now: Instant, id: &str, born: ids::StartTime, cold: Duration) {
        let known = self.servers.get_mut(id).filter(|entry| entry.born == born);
        match known {
            Some(entry) if !cold.is_zero() => {
                entry.cold_until = entry.cold_until.max(now + cold + COLD_MARGIN);
            }
            Some(_) => {}
            None => self.merge_server(now, id, born, now, cold, false),
        }
    }

    /// Records a call of an entry host to this replica. Returns whether the host is new, was silent
    /// for [`HOST_TIMEOUT`], or reports another status.
    pub fn record_host(&mut self, now: Instant, status: &HostStatus) -> bool {
        let known = self.hosts.get(&status.name);
        let changed = known
            .is_none_or(|entry| entry.status != *status || now >= entry.seen_at + HOST_TIMEOUT);
        let entry = HostEntry {
            status: status.clone(),
            seen_at: now,
            unreported: true,
        };
        self.hosts.insert(status.name.clone(), entry);
        changed
    }

    /// Merges the observations of another replica.
    pub fn merge_report(&mut self, now: Instant, report: GossipReport) {
        for server in report.servers {
            let seen_at = now.checked_sub(server.ago).unwrap_or(now);
            self.merge_server(now, &server.id, server.born, seen_at, server.cold, false);
        }
        for host in report.hosts {
            let seen_at = now.checked_sub(host.ago).unwrap_or(now);
            let known = self.hosts.get(&host.status.name);
            if known.is_some_and(|entry| entry.seen_at >= seen_at) {
                continue;
            }
            let entry = HostEntry {
                status: host.status,
                seen_at,
                unreported: false,
            };
            self.hosts.insert(entry.status.name.clone(), entry);
        }
    }

    /// Returns the calls to this replica since the previous report.
    pub fn take_report(&mut self, now: Instant) -> GossipReport {
        let mut report = GossipReport::default();
        for (id, entry) in self
            .servers
            .iter_mut()
            .filter(|(_, entry)| entry.unreported)
        {
            entry.unreported = false;
            report.servers.push(ServerLiveness {
                id: id.clone(),
                born: entry.born,
                ago: now.saturating_duration_since(entry.seen_at),
                cold: entry.cold_until.saturating_duration_since(now),
            });
        }
        for entry in self.hosts.values_mut().filter(|entry| entry.unreported) {
            entry.unreported = false;
            report.hosts.push(HostLiveness {
                status: entry.status.clone(),
                ago: now.saturating_duration_since(entry.seen_at),
            });
        }
        report
    }

    /// Returns when an incarnation of a backend server was last seen; `None` where it is unknown.
    pub fn last_seen(&self, id: &str, born: ids::StartTime) -> Option<Instant> {
        let entry = self.servers.get(id)?;
        (entry.born == born).then_some(entry.seen_at)
    }

    /// Returns the cold backend servers, each with the time for which it remains cold.
    pub fn cold(&self, now: Instant) -> Vec<(ids::ServerId, Duration)> {
        let servers = self
            .servers
            .iter()
            .filter(|(_, entry)| entry.cold_until > now);
        servers
            .map(|(id, entry)| (id.clone(), entry.cold_until - now))
            .collect()
    }

    /// Returns the entry hosts that are alive.
    pub fn hosts(&self, now: Instant) -> Vec<HostStatus> {
        let alive = self
            .hosts
            .values()
            .filter(|entry| now < entry.seen_at + HOST_TIMEOUT);
        alive.map(|entry| entry.status.clone()).collect()
    }

    /// Evicts backend servers and entry hosts that have been silent for `limit`.
    pub fn evict_silent(&mut self, now: Instant, limit: Duration) {
        self.servers.retain(|_, entry| now < entry.seen_at + limit);
        self.hosts.retain(|_, entry| now < entry.seen_at + limit);
    }
}

/// Returns the digest of a list of entry hosts. It is never 0, which stands for no known list.
pub fn hosts_digest(hosts: &[HostStatus]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for host in hosts {
        (&host.name, host.address, &host.zone, host.ready).hash(&mut hasher);
    }
    hasher.finish() | 1
}

/// Returns the digest of the ids of cold backend servers; 0 for an empty list.
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
