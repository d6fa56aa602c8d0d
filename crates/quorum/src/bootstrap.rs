//! Bootstrap of a cluster whose replicas are all blank.
//!
//! The replica with the lowest id is the founder. Each blank replica binds itself to the founder's
//! incarnation and reports that in its greetings. Once all are bound, the founder writes their
//! incarnations as the first log entry and sends it to the others, whose logs start with it as well.
//! Each replica takes from its own log whether it is a voter.
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
    pub(crate) const FIRST_INDEX: ids::LogIndex = 1;

    fn is_founder(&self, replica: ids::ReplicaId) -> bool {
        self.config.replicas.iter().min() == Some(&replica)
    }

    /// Returns whether this replica sends greetings: it is blank, or it isn't a voter and knows no
    /// leader.
    pub(crate) fn sends_greetings(&self) -> bool {
        self.is_blank() || (!self.is_voter() && self.leader.is_none())
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
            self.send_bootstrap(from, message.incarnation);
            self.send_settled(from);
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
        self.start_log(LogEntry {
            term: Self::FIRST_TERM,
            index: Self::FIRST_INDEX,
            payload: EntryPayload::Found { members },
        });
        for (peer, incarnation) in self.bootstrap.bound_replicas.clone() {
            self.send_bootstrap(peer, incarnation);
        }
    }

    /// Starts the log of this blank replica with the bootstrap entry.
    fn start_log(&mut self, entry: LogEntry) {
        self.append(entry);
        self.settle_membership(Self::FIRST_INDEX);
        let term = self.bootstrap.highest_term.max(Self::FIRST_TERM);
        self.become_follower(term, None);
        self.reset_election_timer();
    }

    /// Sends the bootstrap entry to a replica if it names the replica's incarnation and the log
    /// still holds it.
    fn send_bootstrap(&mut self, to: ids::ReplicaId, incarnation: ids::Incarnation) {
        let Some(entry) = self.log.get(Self::FIRST_INDEX) else {
            return;
        };
        if entry.payload.admissions().contains(&(to, incarnation)) {
            let entry = entry.clone();
            self.send(
                SyncRequirement::AllWrites,
                to,
                MessageBody::Bootstrap { entry },
            );
        }
    }

    /// Starts the log of this replica with a bootstrap entry that names its incarnation. A replica
    /// that has a log takes later entries only from a leader.
    pub(crate) fn on_bootstrap(&mut self, from: ids::ReplicaId, message: Message) {
        let founder = message.incarnation;
        let MessageBody::Bootstrap { entry } = message.body else {
            return;
        };
        let own = (self.config.id, self.incarnation);
        let is_first = entry.index == Self::FIRST_INDEX && entry.term == Self::FIRST_TERM;
        let is_named = entry.payload.admissions().contains(&own);
        if self.is_blank() && is_first && is_named && !self.is_unbound_founder(from, founder) {
            self.bootstrap.highest_term = self.bootstrap.highest_term.max(message.term);
            self.start_log(entry);
        }
    }

    /// Notifies a replica of the settled membership entries. The bootstrap entry is left out: every
    /// log that holds it counts it as settled, also before a quorum has it.
    pub(crate) fn send_settled(&mut self, to: ids::ReplicaId) {
        for index in [self.hard.settled_membership, self.commit] {
            let term = self.log.term_at(index);
            if let Some(term) = term.filter(|_| index > Self::FIRST_INDEX) {
                let body = MessageBody::Settled { index, term };
                return self.send(SyncRequirement::Nothing, to, body);
            }
        }
    }

    /// Commits the entries up to one that another replica knows to be committed, if this replica's
    /// log holds that entry.
    pub(crate) fn on_settled(&mut self, index: ids::LogIndex, term: ids::Term) {
        if index > self.commit && self.log.term_at(index) == Some(term) {
            self.commit_to(index);
            self.check_votes();
        }
    }

    /// Sends the list of voters to a replica that isn't a voter. A leader sends it entries instead.
    pub(crate) fn send_members(&mut self, to: ids::ReplicaId) {
        if self.leadership.is_some() || self.voters.contains(to) {
            return;
        }
        let members = self.voters.ids().collect();
        self.send(
            SyncRequirement::Nothing,
            to,
            MessageBody::Members { members },
        );
    }

    pub(crate) fn on_members(&mut self, members: &[ids::ReplicaId]) {
        self.bootstrap.discovered_voters = members.to_vec();
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
