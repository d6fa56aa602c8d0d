//! The present view, only ever replaced by a newer one.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use bytes::Bytes;
use model::fault::InputFault;
use model::ids;
use model::raw::RawTicket;
use model::state::ForceState;
use model::ticket::ChangeTicket;
use quick_error::quick_error;
use tokio::sync::watch;

use crate::view::{ForceBeat, ForceView};

quick_error! {
    /// Why a change or snapshot was not taken.
    #[derive(Debug)]
    pub enum HolderError {
        /// Changes are missing between the state and this one.
        Gap(have: ids::Revision, got: ids::Revision) {
            display("change {got} doesn't follow revision {have}")
        }
        /// The same revision has another digest; the state is not to be trusted.
        Digest(revision: ids::Revision) {
            display("the digest differs at revision {revision}")
        }
        /// The ticket in a change can't be read.
        Ticket(faults: Vec<InputFault>) {
            display("the change holds no ticket: {faults:?}")
        }
        /// The state in a snapshot can't be read.
        Snapshot(err: serde_json::Error) {
            from()
            source(err)
            display("the snapshot can't be read: {err}")
        }
    }
}

/// An accepted ticket and the revision that it made.
#[derive(Debug, Clone, PartialEq)]
pub struct ForceChange {
    /// Revision after the change.
    pub revision: ids::Revision,
    /// Digest after the change.
    pub digest: ids::Digest,
    /// The ticket in JSON.
    pub ticket: Bytes,
}

/// Holds the present view; readers never wait.
///
/// The revision and the stamp only grow, whatever arrives in whatever order.
#[derive(Debug)]
pub struct StateHolder {
    view: ArcSwap<ForceView>,
    recent: Mutex<VecDeque<ForceChange>>,
    version: watch::Sender<u64>,
}

impl StateHolder {
    /// Most changes that are kept for watchers which lag.
    pub const MAX_RECENT: usize = 1_024;

    /// Creates a holder without state.
    pub fn new() -> Self {
        Self {
            view: ArcSwap::from_pointee(ForceView::empty()),
            recent: Mutex::default(),
            version: watch::Sender::new(0),
        }
    }

    /// Returns the present view.
    pub fn view(&self) -> Arc<ForceView> {
        self.view.load_full()
    }

    /// Returns a receiver that is told of each new view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Returns the changes after a revision, or nothing where some are no longer kept.
    pub fn changes_after(&self, revision: ids::Revision) -> Option<Vec<ForceChange>> {
        let recent = self.recent();
        let first = recent.front()?.revision;
        if revision + 1 < first {
            return None;
        }
        let after = recent.iter().filter(|change| change.revision > revision);
        Some(after.cloned().collect())
    }

    /// Takes a whole state where it is newer than the present one.
    ///
    /// Returns whether it was taken.
    ///
    /// # Errors
    ///
    /// Fails where the same revision has another digest.
    pub fn publish_snapshot(&self, state: ForceState) -> Result<bool, HolderError> {
        let mut recent = self.recent();
        let view = self.view();
        if state.revision == view.state.revision && state.digest != view.state.digest {
            return Err(HolderError::Digest(state.revision));
        }
        if state.revision <= view.state.revision {
            return Ok(false);
        }
        recent.clear();
        self.replace(&view, Arc::new(state));
        Ok(true)
    }

    /// Takes a state in JSON, as [`Self::publish_snapshot`] does.
    ///
    /// # Errors
    ///
    /// Fails where the JSON is no state, or the same revision has another digest.
    pub fn publish_snapshot_json(&self, json: &[u8]) -> Result<bool, HolderError> {
        self.publish_snapshot(serde_json::from_slice(json)?)
    }

    /// Takes the next change.
    ///
    /// Returns whether it was taken; one that is in force already is passed over.
    ///
    /// # Errors
    ///
    /// Fails where changes before it are missing, where its ticket can't be read or where the
    /// digest after it differs.
    pub fn publish_change(&self, change: ForceChange) -> Result<bool, HolderError> {
        let mut recent = self.recent();
        let view = self.view();
        let have = view.state.revision;
        if change.revision <= have {
            return Ok(false);
        }
        if change.revision != have + 1 {
            return Err(HolderError::Gap(have, change.revision));
        }
        let mut state = ForceState::clone(&view.state);
        state.apply(&read_ticket(&change.ticket)?);
        if state.digest != change.digest {
            return Err(HolderError::Digest(change.revision));
        }
        recent.push_back(change);
        if recent.len() > Self::MAX_RECENT {
            recent.pop_front();
        }
        self.replace(&view, Arc::new(state));
        Ok(true)
    }

    /// Takes a freshness stamp where it is newer than the latest one.
    ///
    /// Returns whether it was taken.
    ///
    /// # Errors
    ///
    /// Fails where the stamp names the present revision with another digest.
    pub fn publish_beat(&self, now: Instant, beat: ForceBeat) -> Result<bool, HolderError> {
        let _recent = self.recent();
        let view = self.view();
        if view.stamp().is_some_and(|latest| latest >= beat.stamp) {
            return Ok(false);
        }
        if view.state.revision == beat.revision && view.state.digest != beat.digest {
            return Err(HolderError::Digest(beat.revision));
        }
        let mut next = ForceView::clone(&view);
        next.beat = Some((beat, now));
        next.confirmed |= next.is_current();
        self.store(next);
        Ok(true)
    }

    /// Forgets the state, after its digest proved wrong; the holder is unconfirmed again.
    ///
    /// The latest stamp stays, so that no older one confirms what comes next.
    pub fn reset(&self) {
        let mut recent = self.recent();
        recent.clear();
        let mut next = ForceView::empty();
        next.beat.clone_from(&self.view().beat);
        self.store(next);
    }

    fn replace(&self, view: &ForceView, state: Arc<ForceState>) {
        let mut next = ForceView {
            state,
            ..view.clone()
        };
        next.confirmed |= next.is_current();
        self.store(next);
    }

    fn store(&self, view: ForceView) {
        self.view.store(Arc::new(view));
        self.version.send_modify(|version| *version += 1);
    }

    /// Locks the recent changes; whoever replaces the view holds this lock.
    fn recent(&self) -> MutexGuard<'_, VecDeque<ForceChange>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for StateHolder {
    fn default() -> Self {
        Self::new()
    }
}

fn read_ticket(json: &[u8]) -> Result<ChangeTicket, HolderError> {
    let raw = RawTicket::from_json(json).map_err(|fault| HolderError::Ticket(vec![fault]))?;
    ChangeTicket::try_from(raw).map_err(HolderError::Ticket)
}
