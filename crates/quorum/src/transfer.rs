//! Handing the leadership over before a planned stop.

use crate::ids;
use crate::leadership::TransferAttempt;
use crate::machine::QuorumMachine;
use crate::message::MessageBody;
use crate::writes::SyncNeed;

impl QuorumMachine {
    /// Accepts nothing more, and hands the leadership to the replica that lacks least.
    pub(crate) fn hand_over(&mut self) {
        self.stopping = true;
        let until = self.now + self.config.election;
        let Some(leadership) = &self.leadership else {
            return;
        };
        if leadership.transfer.is_some() {
            return;
        }
        let target = leadership
            .peers
            .iter()
            .filter(|(peer, progress)| self.is_counted(**peer, progress))
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(peer, _)| *peer);
        let Some(target) = target else {
            return self.follow(self.hard.term, None);
        };
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.transfer = Some(TransferAttempt { target, until });
        }
        self.urge_transfer();
    }

    /// Asks the chosen replica to stand for election once it has the whole log.
    pub(crate) fn urge_transfer(&mut self) {
        if let Some(target) = self.ready_target() {
            self.send(SyncNeed::HardState, target, MessageBody::HandOver);
        }
    }

    fn ready_target(&self) -> Option<ids::ReplicaId> {
        let leadership = self.leadership.as_ref()?;
        let target = leadership.transfer?.target;
        let progress = leadership.peers.get(&target)?;
        (progress.matched == self.log.last_index()).then_some(target)
    }
}
