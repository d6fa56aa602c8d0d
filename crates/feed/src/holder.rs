//! The current view of the state, which only newer state replaces.

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

use crate::view::{LeaderHeartbeat, StateView};

quick_error! {
    /// Error of applying a change, a snapshot or a heartbeat.
    #[derive(Debug)]
    pub enum HolderError {
        /// Changes between the state and the received change are missing.
        Gap(have: ids::Revision, got: ids::Revision) {
            display("changes are missing between revision {have} and the received change {got}")
        }
        /// The state at a revision has a different digest than expected, and is not to be trusted.
        DigestMismatch(revision: ids::Revision) {
            display("state digest mismatch at revision {revision}")
        }
        /// The ticket in a change is invalid.
        InvalidTicket(faults: Vec<InputFault>) {
            display("invalid ticket in a change: {faults:?}")
        }
        /// The snapshot is not valid JSON of a state.
        InvalidSnapshot(err: serde_json::Error) {
            from()
            source(err)
            display("invalid state snapshot: {err}")
        }
    }
}

/// An accepted ticket, with the revision and digest of the state after it.
#[derive(Debug, Clone, PartialEq)]
pub struct StateChange {
    /// Revision of the state after the change.
    pub revision: ids::Revision,
    /// Digest of the state after the change.
    pub digest: ids::Digest,
    /// The ticket as JSON.
    pub ticket: Bytes,
}

/// Holds the current view; readers never block.
///
/// The revision and the heartbeat stamp never decrease, in whatever order updates arrive; only
/// [`Self::reset`] goes back to the empty state.
#[derive(Debug)]
pub struct StateHolder {
    view: ArcSwap<StateView>,
    /// Latest changes that led to the current state, oldest first.
    recent: Mutex<VecDeque<StateChange>>,
    /// Number of views published so far, which notifies the subscribers.
    view_count: watch::Sender<u64>,
}

impl StateHolder {
    /// Maximum number of changes kept for watchers that lag; a watcher that lags further gets a
    /// snapshot.
    pub const MAX_RECENT_CHANGES: usize = 1_024;

    /// Maximum bytes of tickets kept for watchers that lag.
    pub const MAX_RECENT_BYTES: usize = 8 << 20;

    /// Creates a holder without state.
    pub fn new() -> Self {
        Self {
            view: ArcSwap::from_pointee(StateView::empty()),
            recent: Mutex::default(),
            view_count: watch::Sender::new(0),
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<StateView> {
        self.view.load_full()
    }

    /// Returns a receiver that is notified of each new view; its value is the number of views
    /// published so far.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.view_count.subscribe()
    }

    /// Returns the changes after a revision, or `None` if some of them are no longer kept.
    pub fn changes_after(&self, revision: ids::Revision) -> Option<Vec<StateChange>> {
        let recent = self.lock_recent();
        let first = recent.front()?.revision;
        if revision + 1 < first {
            return None;
        }
        let after = recent.iter().filter(|change| change.revision > revision);
        Some(after.cloned().collect())
    }

    /// Replaces the state with a newer one.
    ///
    /// Returns whether the state was replaced; a state that isn't newer is ignored.
    ///
    /// # Errors
    ///
    /// Fails if both states have the same revision but different digests.
    pub fn publish_snapshot(&self, state: ForceState) -> Result<bool, HolderError> {
        let mut recent = self.lock_recent();
        let view = self.view();
        if state.revision == view.state.revision && state.digest != view.state.digest {
            return Err(HolderError::DigestMismatch(state.revision));
        }
        if state.revision <= view.state.revision {
            return Ok(false);
        }
        recent.clear();
        self.replace_state(&view, Arc::new(state));
        Ok(true)
    }

    /// Replaces the state with a newer one in JSON, like [`Self::publish_snapshot`].
    ///
    /// # Errors
    ///
    /// Fails if the JSON is not a state, or if both states have the same revision but different
    /// digests.
    pub fn publish_snapshot_json(&self, json: &[u8]) -> Result<bool, HolderError> {
        self.publish_snapshot(serde_json::from_slice(json)?)
    }

    /// Applies the next change to the state.
    ///
    /// Returns whether the change was applied; one that the state already includes is ignored.
    ///
    /// # Errors
    ///
    /// Fails if earlier changes are missing, if the ticket is invalid or if the state after the
    /// change has a different digest than the change says. The state then stays unchanged.
    pub fn publish_change(&self, change: StateChange) -> Result<bool, HolderError> {
        let mut recent = self.lock_recent();
        let view = self.view();
        let have = view.state.revision;
        if change.revision <= have {
            return Ok(false);
        }
        if change.revision != have + 1 {
            return Err(HolderError::Gap(have, change.revision));
        }
        let mut state = ForceState::clone(&view.state);
        state.apply(&parse_ticket(&change.ticket)?);
        if state.digest != change.digest {
            return Err(HolderError::DigestMismatch(change.revision));
        }
        recent.push_back(change);
        let mut bytes: usize = recent.iter().map(|change| change.ticket.len()).sum();
        while recent.len() > Self::MAX_RECENT_CHANGES || bytes > Self::MAX_RECENT_BYTES {
            if let Some(oldest) = recent.pop_front() {
                bytes -= oldest.ticket.len();
            }
        }
        self.replace_state(&view, Arc::new(state));
        Ok(true)
    }

    /// Records a heartbeat of the leader that arrived at `now`.
    ///
    /// Returns whether it is newer than the latest one; a heartbeat that isn't is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the heartbeat has the revision of the state but a different digest.
    pub fn publish_heartbeat(
        &self,
        now: Instant,
        heartbeat: LeaderHeartbeat,
    ) -> Result<bool, HolderError> {
        let _recent = self.lock_recent();
        let view = self.view();
        if view.stamp().is_some_and(|latest| latest >= heartbeat.stamp) {
            return Ok(false);
        }
        if view.state.revision == heartbeat.revision && view.state.digest != heartbeat.digest {
            return Err(HolderError::DigestMismatch(heartbeat.revision));
        }
        let mut next = StateView::clone(&view);
        next.heartbeat = Some((heartbeat, now));
        next.confirmed |= next.is_current();
        self.store(next);
        Ok(true)
    }

    /// Discards the state after a digest mismatch; the view is unconfirmed again.
    ///
    /// The latest heartbeat stays, so that no older one confirms the next state.
    pub fn reset(&self) {
        let mut recent = self.lock_recent();
        recent.clear();
        let mut next = StateView::empty();
        next.heartbeat.clone_from(&self.view().heartbeat);
        self.store(next);
    }

    /// Publishes a view with another state.
    fn replace_state(&self, view: &StateView, state: Arc<ForceState>) {
        let mut next = StateView {
            state,
            ..view.clone()
        };
        next.confirmed |= next.is_current();
        self.store(next);
    }

    /// Publishes a view and notifies the subscribers.
    fn store(&self, view: StateView) {
        self.view.store(Arc::new(view));
        self.view_count.send_modify(|count| *count += 1);
    }

    /// Locks the recent changes.
    ///
    /// Every method that replaces the view holds this lock, which serializes the updates.
    fn lock_recent(&self) -> MutexGuard<'_, VecDeque<StateChange>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for StateHolder {
    fn default() -> Self {
        Self::new()
    }
}

fn parse_ticket(json: &[u8]) -> Result<ChangeTicket, HolderError> {
    let raw =
        RawTicket::from_json(json).map_err(|fault| HolderError::InvalidTicket(vec![fault]))?;
    ChangeTicket::try_from(raw).map_err(HolderError::InvalidTicket)
}
