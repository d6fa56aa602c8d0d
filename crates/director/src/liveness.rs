//! Failure detection: the times at which backend servers and entry hosts last called a replica.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fleet::ids;
use fleet::server::ServerRecord;
use xxhash_rust::xxh3::Xxh3;

use crate::hosts::HostsByName;
use crate::message::{GossipReport, HostLiveness, HostStatus, ServerLiveness};

/// Silence after which an entry host no longer counts as alive: three missed calls.
pub const HOST_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Resolution of the ends of cold periods in the digest of the cold backend servers. Announcements of
/// one period give ends that differ by their delays.
const COLD_RESOLUTION: Duration = Duration::from_millis(500);

/// Time added to the announced cold period, for the delay of the announcement.
const COLD_MARGIN: Duration = Duration::from_millis(200);

#[derive(Debug, Clone)]
struct ServerEntry {
    born: ids::StartTime,
    seen_at: Instant,
    cold_until: Instant,
    /// Whether the server called this replica since the replica's previous report.
    unreported: bool,
    /// Whether the committed state lists this incarnation.
    listed: bool,
}

impl ServerEntry {
    /// Extends the cold period. Returns whether its end moves by more than the delays of announcements.
    fn extend_cold(&mut self, cold_until: Instant) -> bool {
        let extended = cold_until > self.cold_until + COLD_RESOLUTION;
        self.cold_until = self.cold_until.max(cold_until);
        extended
    }
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
    /// Time until which the list of hosts that are alive can't change by silence; `None` if it has
    /// changed since it was last taken.
    hosts_valid_until: Option<Instant>,
    /// Whether a backend server became cold, or will remain so for longer, since this was last taken.
    became_cold: bool,
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

    /// Merges an observation of a backend server; one of an earlier incarnation, or of another one than is
    /// listed, is ignored.
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
            self.became_cold |= cold_until > now;
            let entry = ServerEntry {
                born,
                seen_at,
                cold_until,
                unreported,
                listed: false,
            };
            self.servers.insert(id.to_string(), entry);
            return;
        };
        if born < entry.born || (entry.listed && born != entry.born) {
            return;
        }
        if born > entry.born {
            entry.cold_until = now;
        }
        entry.born = born;
        entry.seen_at = entry.seen_at.max(seen_at);
        self.became_cold |= entry.extend_cold(cold_until);
        entry.unreported |= unreported;
    }

    /// Records that an incarnation of a backend server is listed from now on, and no longer any other,
    /// whichever started later.
    pub fn set_listed(&mut self, now: Instant, id: &str, born: ids::StartTime) {
        let known = self.servers.get(id).filter(|entry| entry.born == born);
        let entry = ServerEntry {
            born,
            seen_at: known.map_or(now, |entry| entry.seen_at),
            cold_until: known.map_or(now, |entry| entry.cold_until),
            unreported: known.is_some_and(|entry| entry.unreported),
            listed: true,
        };
        self.servers.insert(id.to_string(), entry);
    }

    /// Records that no incarnation of a backend server is listed any more.
    pub fn set_unlisted(&mut self, id: &str) {
        if let Some(entry) = self.servers.get_mut(id) {
            entry.listed = false;
        }
    }

    /// Records that these backend servers are listed from now on, and no others.
    pub fn set_all_listed<'a>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = &'a ServerRecord>,
    ) {
        for entry in self.servers.values_mut() {
            entry.listed = false;
        }
        for server in servers {
            self.set_listed(now, &server.id, server.born);
        }
    }

    /// Records that a backend server is cold from now on. An incarnation that is known isn't thereby
    /// seen.
    pub fn set_cold(&mut self, now: Instant, id: &str, born: ids::StartTime, cold: Duration) {
        let known = self.servers.get_mut(id).filter(|entry| entry.born == born);
        match known {
            Some(entry) if !cold.is_zero() => {
                self.became_cold |= entry.extend_cold(now + cold + COLD_MARGIN);
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
        if changed {
            self.hosts_valid_until = None;
        }
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
            let changed = known.is_none_or(|entry| {
                entry.status != host.status || now >= entry.seen_at + HOST_TIMEOUT
            });
            if changed {
                self.hosts_valid_until = None;
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

    /// Returns the entry hosts that are alive, or `None` if they are the same as at the last call.
    pub fn take_changed_hosts(&mut self, now: Instant) -> Option<HostsByName> {
        if self.hosts_valid_until.is_some_and(|until| now < until) {
            return None;
        }
        let alive = self
            .hosts
            .values()
            .filter(|entry| now < entry.seen_at + HOST_TIMEOUT);
        let first_silent = alive
            .clone()
            .map(|entry| entry.seen_at + HOST_TIMEOUT)
            .min();
        self.hosts_valid_until = Some(first_silent.unwrap_or(now + HOST_TIMEOUT));
        let alive = alive.map(|entry| (entry.status.name.clone(), entry.status.clone()));
        Some(alive.collect())
    }

    /// Returns the numbers of entry hosts that accepted clients when they were last seen: those that were
    /// seen within `silent_after`, and those that were seen before that, but within `forgotten_after`.
    pub fn ready_hosts(
        &self,
        now: Instant,
        silent_after: Duration,
        forgotten_after: Duration,
    ) -> (usize, usize) {
        let ready = self.hosts.values().filter(|entry| entry.status.ready);
        let known = ready.filter(|entry| now < entry.seen_at + forgotten_after);
        let (alive, silent): (Vec<_>, Vec<_>) =
            known.partition(|entry| now < entry.seen_at + silent_after);
        (alive.len(), silent.len())
    }

    /// Returns whether a backend server became cold, or will remain so for longer, since the last call.
    pub fn take_became_cold(&mut self) -> bool {
        std::mem::take(&mut self.became_cold)
    }

    /// Evicts backend servers and entry hosts that have been silent for `limit`.
    pub fn evict_silent(&mut self, now: Instant, limit: Duration) {
        self.servers.retain(|_, entry| now < entry.seen_at + limit);
        self.hosts.retain(|_, entry| now < entry.seen_at + limit);
    }
}

/// Returns the digest of a list of cold backend servers that is taken `now`; 0 for an empty list.
///
/// `origin` is any time that stays the same; the digest covers the end of each cold period counted from
/// it.
pub fn cold_digest(now: Instant, origin: Instant, cold: &[(ids::ServerId, Duration)]) -> u64 {
    if cold.is_empty() {
        return 0;
    }
    let mut hasher = Xxh3::new();
    for (id, period) in cold {
        let end = (now + *period).saturating_duration_since(origin);
        let steps = end.as_millis() / COLD_RESOLUTION.as_millis();
        hasher.update(id.as_bytes());
        hasher.update(&steps.to_le_bytes());
    }
    hasher.digest() | 1
}
