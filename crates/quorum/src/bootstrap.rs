//! The first set-up, when all replicas are blank.
//!
//! The lowest replica is the founder. Each blank replica binds itself to the founder's
//! incarnation and says so; once all are bound, the founder writes their incarnations as the
//! first entry, tells the others that they are admitted, and stands for election.
//!
//! A replica binds itself only on a greeting that repeats its latest number, and changes the
//! number when it does. So it never goes back to an incarnation that it left, whatever messages
//! are still on their way, and takes entries from the founder only under the one that it is
//! bound to: no two founders can both succeed. Where any replica has state already, the founder
//! never hears that all are bound, and a blank replica is one that lost its disk.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::entry::{EntryPayload, LogEntry};
use crate::ids;
use crate::machine::QuorumMachine;
use crate::message::{Message, MessageBody};
use crate::writes::SyncNeed;

/// What a blank replica knows of the first set-up.
#[derive(Debug)]
pub(crate) struct FormationState {
    greeting_at: Instant,
    /// Incarnation of the founder that this replica is bound to.
    founder: Option<ids::Incarnation>,
    /// Number that a founder must repeat to bind this replica.
    nonce: u64,
    /// Latest number of each other replica.
    heard: BTreeMap<ids::ReplicaId, u64>,
    /// What the founder heard: incarnation of each replica that is bound to it.
    bound: BTreeMap<ids::ReplicaId, ids::Incarnation>,
    /// Replicas that others named as voters.
    contacts: Vec<ids::ReplicaId>,
    /// Highest term of a greeting; a founder before this one may have led in it.
    term: ids::Term,
}

impl FormationState {
    /// Creates the state of a replica that greets the others at once.
    pub(crate) fn new(now: Instant, nonce: u64) -> Self {
        Self {
            greeting_at: now,
            founder: None,
            nonce,
            heard: BTreeMap::new(),
            bound: BTreeMap::new(),
            contacts: Vec::new(),
            term: 0,
        }
    }

    /// Returns the replicas that others named as voters.
    pub(crate) fn contacts(&self) -> impl Iterator<Item = ids::ReplicaId> + '_ {
        self.contacts.iter().copied()
    }

    /// Returns when the next greeting is due.
    pub(crate) fn greeting_at(&self) -> Instant {
        self.greeting_at
    }
}

impl QuorumMachine {
    /// Term of the first entry.
    const FIRST_TERM: ids::Term = 1;
    /// Place of the first entry.
    const FIRST_INDEX: ids::LogIndex = 1;

    fn is_founder(&self, replica: ids::ReplicaId) -> bool {
        self.config.replicas.iter().min() == Some(&replica)
    }

    /// Returns whether this replica has nothing, or doesn't know whether it is admitted.
    pub(crate) fn is_greeting(&self) -> bool {
        self.is_blank() || (!self.is_member() && self.leader.is_none())
    }

    /// Greets the others when it is due.
    pub(crate) fn tick_formation(&mut self) {
        if self.now < self.formation.greeting_at {
            return;
        }
        self.formation.greeting_at = self.now + self.config.heartbeat;
        for peer in self.contacts() {
            self.greet(peer);
        }
        self.found();
    }

    fn greet(&mut self, to: ids::ReplicaId) {
        let formation = &self.formation;
        let body = MessageBody::Greeting {
            founder: formation.founder,
            nonce: formation.nonce,
            echo: formation.heard.get(&to).copied().unwrap_or_default(),
        };
        self.send(SyncNeed::Nothing, to, body);
    }

    pub(crate) fn on_greeting(&mut self, from: ids::ReplicaId, message: &Message) {
        let MessageBody::Greeting {
            founder,
            nonce,
            echo,
        } = message.body
        else {
            return;
        };
        self.formation.heard.insert(from, nonce);
        if !self.is_blank() {
            self.tell_admitted(from, message.incarnation);
            self.tell_members(from);
            if self.is_founder(self.config.id) {
                self.greet(from);
            }
            return;
        }
        self.formation.term = self.formation.term.max(message.term);
        if self.is_founder(from) && echo == self.formation.nonce {
            self.bind(message.incarnation);
        }
        if !self.config.replicas.contains(&from) {
            return;
        }
        if founder == Some(self.incarnation) {
            self.formation.bound.insert(from, message.incarnation);
        } else {
            self.formation.bound.remove(&from);
        }
        self.found();
    }

    /// Binds this blank replica to an incarnation of the founder that is alive.
    fn bind(&mut self, founder: ids::Incarnation) {
        if self.formation.founder != Some(founder) {
            self.formation.founder = Some(founder);
            self.formation.nonce = self.draw_nonce();
        }
    }

    /// Writes the first entry once all others are bound to this founder.
    fn found(&mut self) {
        let all_bound = self.formation.bound.len() + 1 == self.config.replicas.len();
        let may_found = self.config.may_found && self.is_founder(self.config.id);
        if !self.is_blank() || !all_bound || !may_found {
            return;
        }
        let mut members = self.formation.bound.clone();
        members.insert(self.config.id, self.incarnation);
        let members = members.into_iter().collect();
        self.append(LogEntry {
            term: Self::FIRST_TERM,
            index: Self::FIRST_INDEX,
            payload: EntryPayload::Found { members },
        });
        let term = self.formation.term.max(Self::FIRST_TERM);
        self.follow(term, None);
        self.become_member();
        self.arm_election();
        for (peer, incarnation) in self.formation.bound.clone() {
            self.tell_admitted(peer, incarnation);
        }
    }

    /// Tells a replica that its incarnation is admitted, where that is sure.
    fn tell_admitted(&mut self, to: ids::ReplicaId, incarnation: ids::Incarnation) {
        let committed = self.members_at(self.commit).get(&to) == Some(&incarnation);
        if committed || self.is_first_member(to, incarnation) {
            let body = MessageBody::Admitted { incarnation };
            self.send(SyncNeed::Everything, to, body);
        }
    }

    /// Returns whether the first entry admits an incarnation, where the log still holds it.
    fn is_first_member(&self, replica: ids::ReplicaId, incarnation: ids::Incarnation) -> bool {
        let first = self.log.get(Self::FIRST_INDEX);
        first.is_some_and(|entry| {
            let admissions = entry.payload.admissions();
            admissions.contains(&(replica, incarnation))
        })
    }

    /// Tells a replica that joins which voters there are, where it can't know them.
    fn tell_members(&mut self, to: ids::ReplicaId) {
        if self.leadership.is_some() || self.members.contains_key(&to) {
            return;
        }
        let members = self.members.keys().copied().collect();
        self.send(SyncNeed::Nothing, to, MessageBody::Members { members });
    }

    pub(crate) fn on_members(&mut self, members: &[ids::ReplicaId]) {
        self.formation.contacts = members.to_vec();
    }

    pub(crate) fn on_admitted(&mut self, incarnation: ids::Incarnation) {
        if incarnation == self.incarnation {
            self.become_member();
        }
    }

    /// Returns whether a leader's message comes from a founder that this blank replica is not
    /// bound to.
    pub(crate) fn is_foreign_founder(
        &self,
        from: ids::ReplicaId,
        incarnation: ids::Incarnation,
    ) -> bool {
        let bound = self.formation.founder == Some(incarnation);
        self.config.may_found && self.is_blank() && self.is_founder(from) && !bound
    }
}
