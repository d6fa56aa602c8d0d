//! Bootstrap of a cluster whose replicas are all blank.
//!
//! The replica with the lowest id is the founder. Each blank replica binds itself to the founder's
//! incarnation and reports that in its greetings. Once all are bound, the founder writes their
//! incarnations as the first log entry, notifies the others that they are admitted, and can be
//! elected.
//!
//! A replica binds itself only on a greeting that echoes its latest nonce, and draws a new nonce
//! when it does. A delayed greeting therefore can't bind it to a former incarnation of the founder
//! again. It accepts entries from the founder only under the incarnation that it is bound to, so
//! two founders can't both succeed. If any replica already has state, the founder never sees all
//! replicas bound; a blank replica in such a cluster has lost its disk.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::entry::{EntryPayload, LogEntry};
use crate::ids;
use crate::machine::QuorumMachine;
use crate::message::{Message, MessageBody};
use crate::writes::SyncRequirement;

/// Bootstrap state of a replica.
#[derive(Debug)]
pub(crate) struct BootstrapState {
    next_greeting_at: Instant,
    /// Incarnation of the founder that this replica is bound to.
    founder: Option<ids::Incarnation>,
    /// Nonce that a founder must echo to bind this replica.
    nonce: u64,
    /// Latest nonce of each other replica.
    peer_nonces: BTreeMap<ids::ReplicaId, u64>,
    /// On the founder: incarnation of each replica that is bound to this founder.
    bound_replicas: BTreeMap<ids::ReplicaId, ids::Incarnation>,
    /// Voters as reported by other replicas.
    discovered_voters: Vec<ids::ReplicaId>,
    /// Highest term seen in a greeting. The cluster starts in it, as a former incarnation of the
    /// founder may have led earlier terms.
    highest_term: ids::Term,
}

impl BootstrapState {
    /// Creates the initial state; the first greeting is due at once.
    pub(crate) fn new(now: Instant, nonce: u64) -> Self {
        Self {
            next_greeting_at: now,
            founder: None,
            nonce,
            peer_nonces: BTreeMap::new(),
            bound_replicas: BTreeMap::new(),
            discovered_voters: Vec::new(),
            highest_term: 0,
        }
    }

    /// Returns the voters that other replicas reported.
    pub(crate) fn discovered_voters(&self) -> impl Iterator<Item = ids::ReplicaId> + '_ {
        self.discovered_voters.iter().copied()
    }

    /// Returns when the next greeting is due.
    pub(crate) fn next_greeting_at(&self) -> Instant {
        self.next_greeting_at
    }
}

impl QuorumMachine {
    /// Term of the bootstrap entry.
    const FIRST_TERM: ids::Term = 1;
    /// Index of the bootstrap entry.
    const FIRST_INDEX: ids::LogIndex = 1;

    fn is_founder(&self, replica: ids::ReplicaId) -> bool {
        self.config.replicas.iter().min() == Some(&replica)
    }

    /// Returns whether this replica sends greetings: it is blank, or it isn't admitted and knows no
    /// leader.
    pub(crate) fn sends_greetings(&self) -> bool {
        self.is_blank() || (!self.is_member() && self.leader.is_none())
    }

    /// Sends greetings to the other replicas when they are due.
    pub(crate) fn tick_bootstrap(&mut self) {
        if self.now < self.bootstrap.next_greeting_at {
            return;
        }
        self.bootstrap.next_greeting_at = self.now + self.config.heartbeat_interval;
        for peer in self.greeting_targets() {
            self.send_greeting(peer);
        }
        self.try_bootstrap();
    }

    fn send_greeting(&mut self, to: ids::ReplicaId) {
        let bootstrap = &self.bootstrap;
        let body = MessageBody::Greeting {
            founder: bootstrap.founder,
            nonce: bootstrap.nonce,
            echo: bootstrap.peer_nonces.get(&to).copied().unwrap_or_default(),
        };
        self.send(SyncRequirement::Nothing, to, body);
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
        self.bootstrap.peer_nonces.insert(from, nonce);
        if !self.is_blank() {
            self.send_admitted(from, message.incarnation);
            self.send_members(from);
            if self.is_founder(self.config.id) {
                self.send_greeting(from);
            }
            return;
        }
        self.bootstrap.highest_term = self.bootstrap.highest_term.max(message.term);
        if self.is_founder(from) && echo == self.bootstrap.nonce {
            self.bind_to_founder(message.incarnation);
        }
        if !self.config.replicas.contains(&from) {
            return;
        }
        if founder == Some(self.incarnation) {
            self.bootstrap
                .bound_replicas
                .insert(from, message.incarnation);
        } else {
            self.bootstrap.bound_replicas.remove(&from);
        }
        self.try_bootstrap();
    }

    /// Binds this blank replica to the current incarnation of the founder.
    fn bind_to_founder(&mut self, founder: ids::Incarnation) {
        if self.bootstrap.founder != Some(founder) {
            self.bootstrap.founder = Some(founder);
            self.bootstrap.nonce = self.draw_nonce();
        }
    }

    /// Bootstraps the cluster by writing the first entry, once all other replicas are bound to this
    /// founder.
    fn try_bootstrap(&mut self) {
        let all_bound = self.bootstrap.bound_replicas.len() + 1 == self.config.replicas.len();
        let may_bootstrap = self.config.may_bootstrap && self.is_founder(self.config.id);
        if !self.is_blank() || !all_bound || !may_bootstrap {
            return;
        }
        let mut members = self.bootstrap.bound_replicas.clone();
        members.insert(self.config.id, self.incarnation);
        let members = members.into_iter().collect();
        self.append(LogEntry {
            term: Self::FIRST_TERM,
            index: Self::FIRST_INDEX,
            payload: EntryPayload::Found { members },
        });
        let term = self.bootstrap.highest_term.max(Self::FIRST_TERM);
        self.become_follower(term, None);
        self.become_member();
        self.reset_election_timer();
        for (peer, incarnation) in self.bootstrap.bound_replicas.clone() {
            self.send_admitted(peer, incarnation);
        }
    }

    /// Notifies a replica that its incarnation is admitted, if a committed entry or the bootstrap
    /// entry admits it.
    fn send_admitted(&mut self, to: ids::ReplicaId, incarnation: ids::Incarnation) {
        let committed = self.members_at(self.commit).get(&to) == Some(&incarnation);
        if committed || self.is_first_member(to, incarnation) {
            let body = MessageBody::Admitted { incarnation };
            self.send(SyncRequirement::AllWrites, to, body);
        }
    }

    /// Returns whether the bootstrap entry admits an incarnation; false if the log no longer holds
    /// that entry.
    fn is_first_member(&self, replica: ids::ReplicaId, incarnation: ids::Incarnation) -> bool {
        let first = self.log.get(Self::FIRST_INDEX);
        first.is_some_and(|entry| {
            let admissions = entry.payload.admissions();
            admissions.contains(&(replica, incarnation))
        })
    }

    /// Sends the list of voters to a replica that isn't a voter. A leader sends it entries instead.
    fn send_members(&mut self, to: ids::ReplicaId) {
        if self.leadership.is_some() || self.members.contains_key(&to) {
            return;
        }
        let members = self.members.keys().copied().collect();
        self.send(
            SyncRequirement::Nothing,
            to,
            MessageBody::Members { members },
        );
    }

    pub(crate) fn on_members(&mut self, members: &[ids::ReplicaId]) {
        self.bootstrap.discovered_voters = members.to_vec();
    }

    pub(crate) fn on_admitted(&mut self, incarnation: ids::Incarnation) {
        if incarnation == self.incarnation {
            self.become_member();
        }
    }

    /// Returns whether a leader's message comes from a founder incarnation that this blank replica
    /// isn't bound to.
    pub(crate) fn is_unbound_founder(
        &self,
        from: ids::ReplicaId,
        incarnation: ids::Incarnation,
    ) -> bool {
        let is_bound = self.bootstrap.founder == Some(incarnation);
        self.config.may_bootstrap && self.is_blank() && self.is_founder(from) && !is_bound
    }
}
