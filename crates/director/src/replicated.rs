//! The replicated state of a control replica: committed log entries applied to the fleet state.

use std::collections::BTreeMap;

use fleet::change::{ChangeLog, FleetChange, FleetUpdate, FleetView};
use fleet::command::{CommandOutcome, FleetCommand};
use fleet::delta::{SiteCopy, SiteStamp};
use fleet::history::{SiteHistory, SiteUpdate};
use fleet::ids;
use fleet::state::FleetState;
use quorum::entry::{LogSnapshot, RecoveredState};
use quorum::ids::LogIndex;
use serde::de::DeserializeOwned;

use crate::message::FollowRequest;

/// Most outcomes of applied commands that are kept for answers to their proposers.
const MAX_KEPT_OUTCOMES: usize = 256;

/// Encoded fields at the end of commands and snapshots that earlier versions didn't write: an empty map of
/// quarantined requests, and an access policy that requires no key. All of their bytes are 0.
const LATER_FIELDS: [u8; 32] = [0; 32];

/// State after the last applied log entry, and what led to it.
#[derive(Debug)]
pub(crate) struct ReplicatedState {
    state: FleetState,
    changes: ChangeLog,
    /// The configuration in force and the differences that led to it, in this run of the replica.
    sites: SiteHistory,
    /// Outcomes of the latest applied commands, by log index.
    outcomes: BTreeMap<LogIndex, CommandOutcome>,
    /// Index of the last entry that a snapshot covers or failed to cover.
    snapshot_index: LogIndex,
    /// Index of the last log entry that was recovered from the disk.
    recovered_index: LogIndex,
}

impl ReplicatedState {
    /// Creates the state of the snapshot that was recovered from the disk.
    ///
    /// # Errors
    ///
    /// Fails where the snapshot can't be decoded.
    pub(crate) fn new(recovered: &RecoveredState) -> Result<Self, postcard::Error> {
        let state = decode_state(&recovered.snapshot)?;
        let mut sites = SiteHistory::new();
        set_site(&mut sites, &state);
        Ok(Self {
            sites,
            changes: ChangeLog::new(state.revision()),
            state,
            outcomes: BTreeMap::new(),
            snapshot_index: recovered.snapshot.index,
            recovered_index: recovered.entries.last().map_or(0, |entry| entry.index),
        })
    }

    /// Returns the fleet state.
    pub(crate) fn state(&self) -> &FleetState {
        &self.state
    }

    /// Returns the revision of the latest change.
    pub(crate) fn latest_revision(&self) -> ids::Revision {
        self.changes.latest_revision()
    }

    /// Returns whether a log entry was recovered from the disk, and so may be old.
    pub(crate) fn is_recovered(&self, index: LogIndex) -> bool {
        index <= self.recovered_index
    }

    /// Applies a committed command. Returns its outcome and the changes; `None` where the command can't
    /// be decoded.
    pub(crate) fn apply(
        &mut self,
        index: LogIndex,
        command: &[u8],
    ) -> Option<(CommandOutcome, Vec<FleetChange>)> {
        let command_bytes = command.len();
        let command: FleetCommand = match decode_padded(command) {
            Ok(command) => command,
            Err(e) => {
                log::error!(target: "state", "committed command skipped, as it can't be decoded; index={index} error={e}");
                return None;
            }
        };
        let (outcome, changes) = self.state.apply(index, command);
        let is_site = |change: &FleetChange| matches!(change, FleetChange::Site { .. });
        if changes.iter().any(is_site) {
            set_site(&mut self.sites, &self.state);
        }
        self.changes.append(index, changes.clone(), command_bytes);
        self.outcomes.insert(index, outcome);
        while self.outcomes.len() > MAX_KEPT_OUTCOMES {
            self.outcomes.pop_first();
        }
        Some((outcome, changes))
    }

    /// Replaces the state by a snapshot of the leader. Returns whether it can be decoded.
    pub(crate) fn restore(&mut self, snapshot: &LogSnapshot) -> bool {
        match decode_state(snapshot) {
            Ok(state) => {
                log::info!(
                    target: "state",
                    "state restored from a snapshot of the leader; index={} revision={}",
                    snapshot.index,
                    state.revision()
                );
                self.changes = ChangeLog::new(state.revision());
                self.state = state;
                set_site(&mut self.sites, &self.state);
                self.snapshot_index = snapshot.index;
                true
            }
            Err(e) => {
                log::error!(target: "state", "snapshot of the leader ignored, as it can't be decoded; index={} error={e}", snapshot.index);
                false
            }
        }
    }

    /// Returns the encoded state; `None` where it can't be encoded, or was encoded before.
    pub(crate) fn take_snapshot(&mut self, applied: LogIndex) -> Option<Vec<u8>> {
        if applied == self.snapshot_index {
            return None;
        }
        self.snapshot_index = applied;
        let encoded = postcard::to_allocvec(&self.state);
        if let Err(e) = &encoded {
            log::error!(target: "state", "snapshot skipped, as the state can't be encoded; index={applied} error={e}");
        }
        encoded.ok()
    }

    /// Returns the outcome of the command at an index; `None` where it isn't kept.
    pub(crate) fn outcome(&self, index: LogIndex) -> Option<CommandOutcome> {
        self.outcomes.get(&index).copied()
    }

    /// Returns the update for the copy of an entry host. It is complete where the host has none, and holds
    /// the configuration only where that goes out whole. There is none while the host collects a
    /// configuration.
    pub(crate) fn update_for(&self, request: &FollowRequest) -> (Option<FleetUpdate>, SiteUpdate) {
        let (revision, stamp) = (request.revision, request.site);
        let site = match (request.part, revision) {
            (None, _) => self.sites.update_since(stamp),
            (Some(_), Some(_)) => self.sites.bounded_update_since(stamp),
            (Some(mark), None) => {
                let step = self.sites.collect_step(stamp, mark);
                if !step.is_last {
                    return (None, step.update);
                }
                step.update
            }
        };
        if matches!(site, SiteUpdate::Part(_)) {
            return (None, site);
        }
        let (update, site) = self.update_since(revision, stamp, site);
        (Some(update), site)
    }

    /// Returns the update for a copy of the state at a revision, which has a configuration, with that of
    /// the configuration.
    fn update_since(
        &self,
        revision: Option<ids::Revision>,
        stamp: Option<SiteStamp>,
        site: SiteUpdate,
    ) -> (FleetUpdate, SiteUpdate) {
        let changes = revision.and_then(|revision| self.changes.update_since(revision));
        let is_unknown = stamp.is_some() && site == SiteUpdate::Whole;
        let update = match changes {
            // The change log has the configuration only where it changed after the revision.
            Some(update) if !is_unknown || has_site(&update) => update,
            _ => FleetUpdate::Whole(Box::new(FleetView::of(&self.state))),
        };
        match site {
            SiteUpdate::Whole => (update, site),
            SiteUpdate::Current(_) | SiteUpdate::Deltas(_) | SiteUpdate::Part(_) => {
                (without_site(update), site)
            }
        }
    }
}

/// Sets the configuration in force of a history to that of a state.
fn set_site(sites: &mut SiteHistory, state: &FleetState) {
    if let Some(record) = state.site() {
        sites.set(SiteCopy {
            version: record.version,
            site: record.site.clone(),
            access: state.access().clone(),
        });
    }
}

/// Returns whether an update holds a configuration.
fn has_site(update: &FleetUpdate) -> bool {
    match update {
        FleetUpdate::Current => false,
        FleetUpdate::Changes { changes, .. } => changes
            .iter()
            .any(|change| matches!(change, FleetChange::Site { .. })),
        FleetUpdate::Whole(_) => true,
    }
}

/// Removes the configuration from an update.
fn without_site(update: FleetUpdate) -> FleetUpdate {
    match update {
        FleetUpdate::Current => update,
        FleetUpdate::Changes {
            revision,
            mut changes,
        } => {
            changes.retain(|change| !matches!(change, FleetChange::Site { .. }));
            FleetUpdate::Changes { revision, changes }
        }
        FleetUpdate::Whole(mut view) => {
            (view.site, view.access) = Default::default();
            FleetUpdate::Whole(view)
        }
    }
}

/// Decodes the state of a snapshot; the empty state for the snapshot at index 0, which has no data.
fn decode_state(snapshot: &LogSnapshot) -> Result<FleetState, postcard::Error> {
    if snapshot.index == 0 {
        return Ok(FleetState::new());
    }
    decode_padded(&snapshot.data)
}

/// Decodes a command or a state. Those of earlier versions end before the fields that were added since.
fn decode_padded<T: DeserializeOwned>(data: &[u8]) -> Result<T, postcard::Error> {
    match postcard::from_bytes(data) {
        Err(postcard::Error::DeserializeUnexpectedEnd) => {
            postcard::from_bytes(&[data, &LATER_FIELDS].concat())
        }
        decoded => decoded,
    }
}
