//! Which announcements and leave calls list, replace or remove a backend server.
//!
//! All replicas decide this when they apply a log entry, on the committed state. A service that the
//! configuration in force doesn't name has no servers to use, so its records yield to those of named
//! services, whichever came first or started later. Before the first configuration all services count
//! as named.
//!
//! A server that goes on announcing itself keeps its address and its id. Whether it does is what replicas
//! observe, each at its own time, so an announcement names the servers that its replica saw fall silent, and
//! replaces no other.
//!
//! The calls of a server are ordered by its start time and their number. A leave call has neither, so it may
//! have been sent by an earlier incarnation than the one that it removes. A server that goes on announcing
//! itself after it is therefore listed again, once that can't be late calls.

use serde::{Deserialize, Serialize};

use crate::change::FleetChange;
use crate::command::CommandOutcome;
use crate::hint::ServerIncarnation;
use crate::ids;
use crate::server::{ServerAnnouncement, ServerRecord, ServerState};
use crate::state::FleetState;

/// Maximum number of ended incarnations that are remembered, so that their late announcements are
/// refused.
const MAX_ENDED_INCARNATIONS: usize = 4_096;

/// Number of announcements after a leave that show that the incarnation runs on. Fewer may be late ones: a
/// server has one call at a time in flight to each of the five control replicas.
const RETURN_ANNOUNCEMENTS: u32 = 6;

/// Maximum number of servers that aren't listed whose latest call is remembered.
const MAX_UNLISTED_CALLS: usize = 4_096;

/// Latest committed call of a backend server. It outlasts the server's record, so that calls that arrive late
/// are told from those that follow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallTrace {
    born: ids::StartTime,
    sequence: ids::CallSequence,
    /// Whether the incarnation has announced that it drains, which is final.
    is_draining: bool,
    /// Number of announcements since the incarnation left.
    returns: u32,
    /// Log index of the call or of the removal of the server.
    at: ids::Revision,
}

/// What an announcement does to the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnnouncementVerdict {
    /// Nothing: it repeats the state, or belongs to an earlier incarnation.
    Unchanged,
    /// The server gets this record.
    Listed(Box<ServerRecord>),
    /// Nothing for now: this server holds the address or the id.
    Contested(ServerIncarnation),
    /// Nothing yet: the incarnation has left. The call counts towards its return.
    Returning,
}

impl FleetState {
    /// Judges an announcement.
    pub fn judge(&self, announcement: &ServerAnnouncement) -> AnnouncementVerdict {
        let record = &announcement.record;
        let Some(merged) = self.merge(announcement) else {
            return AnnouncementVerdict::Unchanged;
        };
        let is_named = self.is_named(&record.service);
        for holder in self.holders(record) {
            let is_restart = holder.id == record.id
                && holder.address == record.address
                && holder.born != record.born;
            match (is_named, self.is_named(&holder.service)) {
                (true, false) => {}
                (false, true) => return AnnouncementVerdict::Contested(holder.incarnation()),
                (true, true) | (false, false) => {
                    if holder.started_after(record.born) {
                        return AnnouncementVerdict::Unchanged;
                    }
                    if !is_restart && !announcement.is_silent(holder) {
                        return AnnouncementVerdict::Contested(holder.incarnation());
                    }
                }
            }
        }
        if self.has_left(record) && self.returns(record) + 1 < RETURN_ANNOUNCEMENTS {
            return AnnouncementVerdict::Returning;
        }
        AnnouncementVerdict::Listed(Box::new(merged))
    }

    /// Returns whether the incarnation of a record has left.
    fn has_left(&self, record: &ServerRecord) -> bool {
        let ended = self.ended.get(&record.id);
        ended.is_some_and(|(born, _)| !record.started_after(*born))
    }

    /// Returns the number of announcements of the incarnation of a record since it left.
    fn returns(&self, record: &ServerRecord) -> u32 {
        let call = self.calls.get(&record.id);
        let call = call.filter(|call| call.born == record.born);
        call.map_or(0, |call| call.returns)
    }

    /// Returns whether the configuration in force names a service, or there is none yet.
    fn is_named(&self, service: &str) -> bool {
        let site = self.site();
        site.is_none_or(|site| site.site.service(service).is_some())
    }

    /// Returns the servers that a record would replace: those at its address, and another incarnation or
    /// service under its id.
    pub fn holders<'a>(
        &'a self,
        record: &'a ServerRecord,
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        self.servers().filter(|server| {
            if server.id == record.id {
                server.born != record.born || server.service != record.service
            } else {
                server.address == record.address
            }
        })
    }

    /// Returns the latest call of a server, listed or not. Snapshots of earlier versions have no calls.
    fn latest_call(&self, id: &str) -> Option<CallTrace> {
        let listed = || {
            let known = self.servers.get(id)?;
            Some(CallTrace {
                born: known.born,
                sequence: 0,
                is_draining: known.state == ServerState::Draining,
                returns: 0,
                at: 0,
            })
        };
        self.calls.get(id).cloned().or_else(listed)
    }

    /// Returns the record of a server after an announcement; `None` where the call is late or repeats the record.
    fn merge(&self, announcement: &ServerAnnouncement) -> Option<ServerRecord> {
        let record = &announcement.record;
        let has_left = self.has_left(record);
        if has_left && !announcement.has_order() {
            return None;
        }
        let known = self.servers.get(&record.id);
        let mut merged = record.clone();
        if let Some(latest) = self.latest_call(&record.id) {
            if known.is_none() && latest.born > record.born {
                return None;
            }
            if latest.born == record.born {
                let is_repeated = has_left && announcement.sequence == latest.sequence;
                if announcement.is_before(latest.sequence) || is_repeated {
                    return None;
                }
                if latest.is_draining {
                    merged.state = ServerState::Draining;
                }
            }
        }
        if let Some(known) = known.filter(|known| known.born == record.born) {
            // A different remaining cold time alone is no change.
            merged.cold = known.cold;
            if *known == merged {
                return None;
            }
            merged.cold = record.cold;
        }
        Some(merged)
    }

    /// Applies an announcement.
    pub(crate) fn announce(
        &mut self,
        revision: ids::Revision,
        announcement: &ServerAnnouncement,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        let merged = match self.judge(announcement) {
            AnnouncementVerdict::Listed(merged) => *merged,
            AnnouncementVerdict::Unchanged => return (CommandOutcome::Unchanged, Vec::new()),
            AnnouncementVerdict::Contested(_) => return (CommandOutcome::Contested, Vec::new()),
            AnnouncementVerdict::Returning => {
                let returns = self.returns(&announcement.record) + 1;
                self.record_call(revision, announcement, returns);
                return (CommandOutcome::Returning, Vec::new());
            }
        };
        let mut changes = Vec::new();
        let replaced: Vec<_> = self
            .holders(&merged)
            .filter(|holder| holder.id != merged.id)
            .map(ServerRecord::incarnation)
            .collect();
        for ServerIncarnation { id, born } in replaced {
            // A late announcement of the replaced server may come after its successor has left.
            self.record_departure(revision, &id, born);
            changes.extend(self.unlist(revision, &id));
        }
        self.ended.remove(&merged.id);
        self.record_call(revision, announcement, 0);
        changes.push(FleetChange::Server(merged.clone()));
        self.servers.insert(merged.id.clone(), merged);
        (CommandOutcome::Accepted, changes)
    }

    /// Records the latest call of a server, with the number of its announcements since it left.
    fn record_call(
        &mut self,
        revision: ids::Revision,
        announcement: &ServerAnnouncement,
        returns: u32,
    ) {
        let record = &announcement.record;
        let latest = self.latest_call(&record.id);
        let latest = latest.filter(|latest| latest.born == record.born);
        let (sequence, has_drained) =
            latest.map_or((0, false), |latest| (latest.sequence, latest.is_draining));
        let call = CallTrace {
            born: record.born,
            sequence: announcement.sequence.max(sequence),
            is_draining: has_drained || record.state == ServerState::Draining,
            returns,
            at: revision,
        };
        self.calls.insert(record.id.clone(), call);
        self.evict_calls();
    }

    /// Evicts the calls of the servers that have been unlisted for longest, beyond the bound.
    fn evict_calls(&mut self) {
        while self.calls.len() > self.servers.len() + MAX_UNLISTED_CALLS {
            let unlisted = self.calls.iter();
            let unlisted = unlisted.filter(|(id, _)| !self.servers.contains_key(*id));
            let Some((oldest, _)) = unlisted.min_by_key(|(_, call)| call.at) else {
                return;
            };
            let oldest = oldest.clone();
            self.calls.remove(&oldest);
        }
    }

    /// Applies the leave call of an incarnation. One without a start time is that of the latest incarnation
    /// that is known, listed or not, or else of any.
    pub(crate) fn leave(
        &mut self,
        revision: ids::Revision,
        id: &str,
        born: Option<ids::StartTime>,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        let listed = self.servers.get(id);
        if listed.is_some_and(|known| born.is_some_and(|born| known.started_after(born))) {
            return (CommandOutcome::Unchanged, Vec::new());
        }
        let latest = || self.latest_call(id).map(|latest| latest.born);
        let born = born.or_else(latest).unwrap_or(ids::StartTime::MAX);
        self.record_departure(revision, id, born);
        match self.unlist(revision, id) {
            Some(change) => (CommandOutcome::Accepted, vec![change]),
            None => (CommandOutcome::Unchanged, Vec::new()),
        }
    }

    /// Removes a server from the list; its latest call stays known, unless no configuration names its service.
    fn unlist(&mut self, revision: ids::Revision, id: &str) -> Option<FleetChange> {
        let call = self.latest_call(id);
        let server = self.servers.remove(id)?;
        if self.is_named(&server.service) {
            let call = call.map(|call| CallTrace {
                at: revision,
                ..call
            });
            self.calls.extend(call.map(|call| (id.to_string(), call)));
        } else {
            self.calls.remove(id);
        }
        self.evict_calls();
        Some(FleetChange::ServerGone(id.to_string()))
    }

    fn record_departure(&mut self, revision: ids::Revision, id: &str, born: ids::StartTime) {
        let latest = self
            .ended
            .get(id)
            .map_or(born, |(known, _)| born.max(*known));
        self.ended.insert(id.to_string(), (latest, revision));
        if let Some(call) = self.calls.get_mut(id) {
            call.returns = 0;
        }
        while self.ended.len() > MAX_ENDED_INCARNATIONS {
            let oldest = self.ended.iter().min_by_key(|(_, (_, at))| *at);
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            self.ended.remove(&oldest);
        }
    }

    /// Removes incarnations that have stopped announcing themselves.
    pub(crate) fn expire(
        &mut self,
        revision: ids::Revision,
        incarnations: Vec<(ids::ServerId, ids::StartTime)>,
    ) -> (CommandOutcome, Vec<FleetChange>) {
        let mut changes = Vec::new();
        for (id, born) in incarnations {
            let listed = self.servers.get(&id);
            if listed.is_some_and(|known| known.born == born) {
                changes.extend(self.unlist(revision, &id));
            }
        }
        (CommandOutcome::Accepted, changes)
    }
}
