//! Leader transfer before a planned stop.

use crate::ids;
use crate::leadership::TransferAttempt;
use crate::machine::QuorumMachine;
use crate::message::MessageBody;
use crate::writes::SyncRequirement;

impl QuorumMachine {
    /// Starts to transfer the leadership to the peer with the longest synced log. From then on,
    /// this replica rejects proposals and reads and starts no elections.
    pub(crate) fn transfer_leadership(&mut self) {
        self.stopping = true;
        let deadline = self.now + self.config.min_election_timeout;
        let Some(leadership) = &self.leadership else {
            return;
        };
        if leadership.transfer.is_some() {
            return;
        }
        let target = leadership
            .peers
            .iter()
            .filter(|(peer, progress)| self.counts_toward_quorum(**peer, progress))
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(peer, _)| *peer);
        let Some(target) = target else {
            return self.become_follower(self.hard.term, None);
        };
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.transfer = Some(TransferAttempt { target, deadline });
        }
        self.send_transfer_request();
    }

    /// Asks the transfer target to start an election once it has synced the whole log.
    pub(crate) fn send_transfer_request(&mut self) {
        if let Some(target) = self.caught_up_target() {
            self.send(SyncRequirement::HardState, target, MessageBody::HandOver);
        }
    }

    fn caught_up_target(&self) -> Option<ids::ReplicaId> {
        let leadership = self.leadership.as_ref()?;
        let target = leadership.transfer?.target;
        let progress = leadership.peers.get(&target)?;
        (progress.match_index == self.log.last_index()).then_some(target)
    }
}
