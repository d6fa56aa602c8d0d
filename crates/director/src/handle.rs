//! Handle through which the process's own listeners call the replica.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use async_std::{future, task};
use fleet::command::{CommandOutcome, FleetCommand, ZoneOrder};
use fleet::ids;
use fleet::server::ServerAnnouncement;
use identity::key::KeySalt;
use quick_error::quick_error;
use quorum::ids::ReplicaId;
use tokio::sync::{mpsc, oneshot};

use crate::address;
use crate::call::{AnnounceDecision, CoreCall, DirectorDump};
use crate::claims;
use crate::hosts::HostList;
use crate::mesh::MeshLinks;
use crate::message::{MeshReply, MeshRequest, ProposeOutcome, ReadOutcome};

/// Maximum number of calls that wait for the core.
const MAX_QUEUED_CALLS: usize = 1_024;

/// Delay before a command or read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Timeout of one attempt, at this replica or at the leader.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);

/// Sending end of the core's bounded call queue.
#[derive(Debug, Clone)]
pub struct CoreQueue {
    calls: mpsc::Sender<CoreCall>,
}

impl CoreQueue {
    /// Creates a queue and returns its sending and receiving ends.
    pub fn new() -> (Self, mpsc::Receiver<CoreCall>) {
        let (calls, queue) = mpsc::channel(MAX_QUEUED_CALLS);
        (Self { calls }, queue)
    }

    /// Queues a call, or drops it where the queue is full.
    pub fn offer(&self, call: CoreCall) {
        // A dropped message is like one lost on the network, which the consensus protocol and the
        // reports between replicas tolerate.
        let _ = self.calls.try_send(call);
    }

    /// Queues a call from a thread outside the async runtime, and blocks while the queue is full.
    pub fn send_blocking(&self, call: CoreCall) {
        let _ = self.calls.blocking_send(call);
    }

    /// Queues a call and waits for its answer; `None` where the core dropped the call or has
    /// stopped.
    pub async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> CoreCall) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).await.ok()?;
        answer.await.ok()
    }
}

/// Outcome of a command that was submitted to the replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The command was committed and applied, or it changes nothing.
    Done(CommandOutcome),
    /// The command may or may not have been applied. It can be submitted again, to any replica.
    Unknown,
}

/// Calls this replica, and through it the leader.
#[derive(Debug, Clone)]
pub struct DirectorHandle {
    own: ReplicaId,
    core: CoreQueue,
    mesh: MeshLinks,
}

impl DirectorHandle {
    /// Creates the handle of a replica.
    pub fn new(own: ReplicaId, core: CoreQueue, mesh: MeshLinks) -> Self {
        Self { own, core, mesh }
    }

    /// Returns the call queue of the core.
    pub fn core(&self) -> &CoreQueue {
        &self.core
    }

    /// Submits a command to the leader, with retries until `limit` has passed. A retry is safe: the
    /// state recognises a repeated command and returns its first outcome again.
    pub async fn submit(&self, command: FleetCommand, limit: Duration) -> SubmitOutcome {
        let until = Instant::now() + limit;
        loop {
            let local = self.propose_locally(&command).await;
            let outcome = match local {
                ProposeOutcome::NotLeader(Some(leader)) if leader != self.own => {
                    self.propose_to(leader, &command, until).await
                }
                outcome => outcome,
            };
            if let ProposeOutcome::Done(outcome) = outcome {
                return SubmitOutcome::Done(outcome);
            }
            if Instant::now() + RETRY_DELAY >= until {
                return SubmitOutcome::Unknown;
            }
            task::sleep(RETRY_DELAY).await;
        }
    }

    async fn propose_locally(&self, command: &FleetCommand) -> ProposeOutcome {
        let command = Box::new(command.clone());
        let call = |reply| CoreCall::Propose { command, reply };
        let outcome = future::timeout(ATTEMPT_TIMEOUT, self.core.ask(call)).await;
        outcome.ok().flatten().unwrap_or(ProposeOutcome::Unknown)
    }

    async fn propose_to(
        &self,
        leader: ReplicaId,
        command: &FleetCommand,
        until: Instant,
    ) -> ProposeOutcome {
        let request = MeshRequest::Propose(Box::new(command.clone()));
        match self.call_leader(leader, &request, until).await {
            Some(MeshReply::Proposed(outcome)) => outcome,
            _ => ProposeOutcome::Unknown,
        }
    }

    /// Calls the leader once, for at most [`ATTEMPT_TIMEOUT`]; `None` where the call fails.
    async fn call_leader(
        &self,
        leader: ReplicaId,
        request: &MeshRequest,
        until: Instant,
    ) -> Option<MeshReply> {
        let left = until.saturating_duration_since(Instant::now());
        let limit = left.min(ATTEMPT_TIMEOUT);
        let reply = self
            .mesh
            .call(address::address_of(leader), request, limit)
            .await;
        reply
            .inspect_err(|e| log::info!(target: "mesh", "call to the leader failed; error={e}"))
            .ok()
    }

    /// Returns the document of the configuration in force, as the operator sent it; `None` before
    /// the first configuration. The read is linearizable.
    ///
    /// # Errors
    ///
    /// Fails where no quorum confirms the read within the limit.
    pub async fn read_site(&self, limit: Duration) -> Result<Option<Vec<u8>>, ReadError> {
        let until = Instant::now() + limit;
        loop {
            let local = future::timeout(ATTEMPT_TIMEOUT, self.core.ask(CoreCall::ReadSite)).await;
            let mut outcome = local.ok().flatten().unwrap_or(ReadOutcome::Unknown);
            if let ReadOutcome::NotLeader(Some(leader)) = outcome {
                outcome = match self
                    .call_leader(leader, &MeshRequest::ReadSite, until)
                    .await
                {
                    Some(MeshReply::Site(outcome)) => outcome,
                    _ => ReadOutcome::Unknown,
                };
            }
            if let ReadOutcome::Current(document) = outcome {
                return Ok(document);
            }
            if Instant::now() + RETRY_DELAY >= until {
                return Err(ReadError::Unconfirmed);
            }
            task::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the salt for the digests of keys in a new configuration: that of the configuration in force,
    /// so that unchanged keys keep their digests, or a random one.
    pub async fn key_salt(&self) -> KeySalt {
        let salt = self.core.ask(CoreCall::KeySalt).await.flatten();
        salt.unwrap_or_else(|| KeySalt::from(rand::random::<[u8; KeySalt::BYTES]>()))
    }

    /// Records the announcement of a backend server, and submits it as a command where it changes
    /// the state. With [`SubmitOutcome::Done`], any change of the state is committed.
    pub async fn announce(
        &self,
        announcement: ServerAnnouncement,
        limit: Duration,
    ) -> SubmitOutcome {
        let call = |reply| CoreCall::Announce {
            announcement: Box::new(announcement),
            reply,
        };
        match self.core.ask(call).await {
            Some(AnnounceDecision::Unchanged) => SubmitOutcome::Done(CommandOutcome::Unchanged),
            Some(AnnounceDecision::Propose(announcement)) => {
                self.submit(FleetCommand::Announce(*announcement), limit)
                    .await
            }
            Some(AnnounceDecision::Stale | AnnounceDecision::Contested) | None => {
                SubmitOutcome::Unknown
            }
        }
    }

    /// Removes a backend server that leaves. `born` is the start time of its incarnation, or `None` for the
    /// current one; a start time that can't be is not acknowledged.
    pub async fn leave(
        &self,
        id: ids::ServerId,
        born: Option<ids::StartTime>,
        limit: Duration,
    ) -> SubmitOutcome {
        if born.is_some_and(|born| claims::is_ahead(SystemTime::now(), born)) {
            log::info!(target: "claims", "leave call not acknowledged, as its start time is ahead; server={id} born={born:?}");
            return SubmitOutcome::Unknown;
        }
        self.submit(FleetCommand::Leave { id, born }, limit).await
    }

    /// Begins or ends the evacuation of an availability zone. An order that arrives at the leader after a later
    /// one for the zone was accepted changes nothing, such as one that a partition held up.
    pub async fn set_evacuated(
        &self,
        zone: ids::ZoneName,
        is_evacuated: bool,
        limit: Duration,
    ) -> SubmitOutcome {
        let call = |reply| CoreCall::LatestOrder {
            zone: zone.clone(),
            reply,
        };
        let Some(follows) = self.core.ask(call).await else {
            return SubmitOutcome::Unknown;
        };
        let order = ZoneOrder {
            zone,
            follows: Some(follows),
        };
        let command = if is_evacuated {
            FleetCommand::Evacuate(order)
        } else {
            FleetCommand::Readmit(order)
        };
        self.submit(command, limit).await
    }

    /// Replaces the seeds of the replica.
    pub fn set_seeds(&self, seeds: &[SocketAddrV4]) {
        let seeds = seeds.iter().map(|seed| address::replica_at(*seed));
        self.core.offer(CoreCall::Seeds(seeds.collect()));
    }

    /// Returns the entry hosts that are alive.
    pub async fn hosts(&self) -> Arc<HostList> {
        self.core.ask(CoreCall::Hosts).await.unwrap_or_default()
    }

    /// Returns the state for a dump; `None` where the core dropped the call or has stopped.
    pub async fn dump(&self) -> Option<DirectorDump> {
        self.core.ask(CoreCall::Dump).await
    }
}

quick_error! {
    /// Reason why the configuration can't be read.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ReadError {
        /// No quorum confirmed the read within the limit.
        Unconfirmed {
            display("no quorum confirms which configuration is in force")
        }
    }
}
