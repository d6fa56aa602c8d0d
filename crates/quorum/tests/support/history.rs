//! History of the whole cluster and the invariants that it must satisfy.

use std::collections::BTreeMap;

use quorum::entry::{EntryPayload, LogEntry, LogSnapshot};
use quorum::ids;

/// State of the test application: the applied commands in order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TestApplication {
    pub applied: ids::LogIndex,
    pub commands: Vec<Vec<u8>>,
}

impl TestApplication {
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), String> {
        if entry.index != self.applied + 1 {
            return Err(format!(
                "applied entry {} after entry {}",
                entry.index, self.applied
            ));
        }
        self.applied = entry.index;
        if let EntryPayload::Command(command) = &entry.payload {
            self.commands.push(command.clone());
        }
        Ok(())
    }

    pub fn data(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.commands).unwrap()
    }

    pub fn restore(&mut self, snapshot: &LogSnapshot) -> Result<(), String> {
        if snapshot.index <= self.applied {
            return Err(format!(
                "restored snapshot {}, which is not newer than the applied state",
                snapshot.index
            ));
        }
        self.applied = snapshot.index;
        self.commands = postcard::from_bytes(&snapshot.data).unwrap();
        Ok(())
    }
}

/// All entries that were ever committed, all leaders, and the highest answered entry.
#[derive(Debug, Default)]
pub struct ClusterHistory {
    pub committed: BTreeMap<ids::LogIndex, LogEntry>,
    pub leaders: BTreeMap<ids::Term, (ids::ReplicaId, ids::Incarnation)>,
    /// Index of the highest entry that was reported to a client as committed.
    pub answered: ids::LogIndex,
}

impl ClusterHistory {
    pub fn record_applied(&mut self, entry: &LogEntry) -> Result<(), String> {
        let first = self.committed.entry(entry.index).or_insert(entry.clone());
        if first != entry {
            return Err(format!(
                "two committed entries at one index: {first:?} and {entry:?}"
            ));
        }
        Ok(())
    }

    pub fn record_leader(
        &mut self,
        term: ids::Term,
        id: ids::ReplicaId,
        incarnation: ids::Incarnation,
    ) -> Result<(), String> {
        let first = *self.leaders.entry(term).or_insert((id, incarnation));
        if first != (id, incarnation) {
            return Err(format!("two leaders in term {term}: {first:?} and {id}"));
        }
        Ok(())
    }

    /// Checks that the command of an answered proposal is the committed one at its index.
    pub fn record_answered(&mut self, index: ids::LogIndex, command: &[u8]) -> Result<(), String> {
        let payload = self.committed.get(&index).map(|entry| &entry.payload);
        if payload != Some(&EntryPayload::Command(command.to_vec())) {
            return Err(format!(
                "entry {index} was answered, but {payload:?} is committed there"
            ));
        }
        self.answered = self.answered.max(index);
        Ok(())
    }

    /// Checks that an application's state consists of exactly the committed commands.
    pub fn check_application(&self, application: &TestApplication) -> Result<(), String> {
        let expected: Vec<&Vec<u8>> = self
            .committed
            .range(..=application.applied)
            .filter_map(|(_, entry)| match &entry.payload {
                EntryPayload::Command(command) => Some(command),
                _ => None,
            })
            .collect();
        let agrees = expected.into_iter().eq(application.commands.iter());
        agrees.then_some(()).ok_or_else(|| {
            format!(
                "application state differs from the committed commands at entry {}",
                application.applied
            )
        })
    }
}
