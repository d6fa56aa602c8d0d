//! Indexes of the backend servers in the list of all, ordered by id.
//!
//! Messages refer to a backend server by its index at a revision, which takes fewer bytes than its id.
//! The list follows the committed state change by change, so that no call has to walk all servers.

use fleet::change::FleetChange;
use fleet::hint::ServerIncarnation;
use fleet::ids;
use fleet::state::FleetState;

/// How the indexes of other servers move with a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IndexShift {
    /// A server was inserted at an index.
    Inserted(usize),
    /// The server at an index was removed.
    Removed(usize),
}

/// Ids of all backend servers, in order.
#[derive(Debug, Clone, Default)]
pub struct ServerIndex {
    ids: Vec<ids::ServerId>,
}

impl ServerIndex {
    /// Creates the list of the servers in a state.
    pub fn new(state: &FleetState) -> Self {
        state.servers().map(|server| server.id.clone()).collect()
    }

    /// Applies a change of the state. Returns how the indexes move; `None` where they stay.
    pub fn apply(&mut self, change: &FleetChange) -> Option<IndexShift> {
        match change {
            FleetChange::Server(record) => {
                let index = self.ids.binary_search(&record.id).err()?;
                self.ids.insert(index, record.id.clone());
                Some(IndexShift::Inserted(index))
            }
            FleetChange::ServerGone(id) => {
                let index = self.ids.binary_search(id).ok()?;
                self.ids.remove(index);
                Some(IndexShift::Removed(index))
            }
            FleetChange::Site { .. }
            | FleetChange::Evacuated(_)
            | FleetChange::Readmitted(_)
            | FleetChange::Quarantined { .. }
            | FleetChange::Released(_) => None,
        }
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns the id of the server at an index of a message.
    pub fn id(&self, index: u32) -> Option<&ids::ServerId> {
        self.ids.get(index as usize)
    }

    /// Returns the index of a server for messages.
    pub fn position(&self, id: &str) -> Option<u32> {
        let index = self.ids.binary_search_by(|known| known.as_str().cmp(id));
        index.ok().map(|index| index as u32)
    }

    /// Returns the incarnation of the server at an index of a message.
    pub fn incarnation(&self, state: &FleetState, index: u32) -> Option<ServerIncarnation> {
        let record = state.server(self.id(index)?)?;
        Some(record.incarnation())
    }
}

impl FromIterator<ids::ServerId> for ServerIndex {
    /// Creates a list from ids in order.
    fn from_iter<T: IntoIterator<Item = ids::ServerId>>(ids: T) -> Self {
        Self {
            ids: ids.into_iter().collect(),
        }
    }
}
