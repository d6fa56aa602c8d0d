//! What must hold over all replicas and all time.

use std::collections::BTreeMap;

use quorum::entry::{EntryPayload, LogEntry, LogSnapshot};
use quorum::ids;

/// State of the test application: the commands applied, in order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TestApplication {
    pub applied: ids::LogIndex,
    pub commands: Vec<Vec<u8>>,
}

impl TestApplication {
    pub fn apply(&mut self, entry: &LogEntry) -> Result<(), String> {
        if entry.index != self.applied + 1 {
            return Err(format!("applied {} after {}", entry.index, self.applied));
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
            return Err(format!("went back to snapshot {}", snapshot.index));
        }
        self.applied = snapshot.index;
        self.commands = postcard::from_bytes(&snapshot.data).unwrap();
        Ok(())
    }
}

/// All that was ever committed, answered and led.
#[derive(Debug, Default)]
pub struct GlobalLedger {
    pub committed: BTreeMap<ids::LogIndex, LogEntry>,
    pub leaders: BTreeMap<ids::Term, (ids::ReplicaId, ids::Incarnation)>,
    /// Highest entry that a proposer was told is committed.
    pub answered: ids::LogIndex,
}

impl GlobalLedger {
    pub fn note_applied(&mut self, entry: &LogEntry) -> Result<(), String> {
        let first = self.committed.entry(entry.index).or_insert(entry.clone());
        if first != entry {
            return Err(format!("committed {first:?} became {entry:?}"));
        }
        Ok(())
    }

    pub fn note_leader(
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

    /// Checks that an answered command is the committed one at its place.
    pub fn note_answered(&mut self, index: ids::LogIndex, command: &[u8]) -> Result<(), String> {
        let payload = self.committed.get(&index).map(|entry| &entry.payload);
        if payload != Some(&EntryPayload::Command(command.to_vec())) {
            return Err(format!("answered {index}, where {payload:?} is committed"));
        }
        self.answered = self.answered.max(index);
        Ok(())
    }

    /// Checks an application against the committed commands.
    pub fn check(&self, application: &TestApplication) -> Result<(), String> {
        let expected: Vec<&Vec<u8>> = self
            .committed
            .range(..=application.applied)
            .filter_map(|(_, entry)| match &entry.payload {
                EntryPayload::Command(command) => Some(command),
                _ => None,
            })
            .collect();
        let agrees = expected.into_iter().eq(application.commands.iter());
        agrees
            .then_some(())
            .ok_or_else(|| format!("state differs at {}", application.applied))
    }
}
