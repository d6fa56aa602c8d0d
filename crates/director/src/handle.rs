//! What the process's own listeners may ask of the replica.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use async_std::{future, task};
use fleet::command::{CommandOutcome, FleetCommand};
use fleet::server::ServerRecord;
use quick_error::quick_error;
use quorum::ids::ReplicaId;
use tokio::sync::{mpsc, oneshot};

use crate::address;
use crate::call::{AnnounceStep, CoreCall, DirectorDump};
use crate::mesh::MeshLinks;
use crate::message::{HostStatus, MeshReply, MeshRequest, ProposeOutcome, SiteReading};

/// Calls that wait for the core.
const MAX_QUEUE: usize = 1_024;

/// Pause before another try where no leader is known.
const LEADER_PAUSE: Duration = Duration::from_millis(40);

/// Longest wait for one answer of the leader.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);

/// Hands calls to the core.
#[derive(Debug, Clone)]
pub struct CoreQueue {
    calls: mpsc::Sender<CoreCall>,
}

impl CoreQueue {
    /// Creates a queue and its receiving end.
    pub fn new() -> (Self, mpsc::Receiver<CoreCall>) {
        let (calls, queue) = mpsc::channel(MAX_QUEUE);
        (Self { calls }, queue)
    }

    /// Queues a call, or drops it where too many wait.
    pub fn offer(&self, call: CoreCall) {
        // A dropped message counts as lost on the network; the log and the reports bear that.
        let _ = self.calls.try_send(call);
    }

    /// Queues a call from a thread, waiting for room.
    pub fn send_blocking(&self, call: CoreCall) {
        let _ = self.calls.blocking_send(call);
    }

    /// Queues a call and waits for its answer; none where the core has ended.
    pub async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> CoreCall) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).await.ok()?;
        answer.await.ok()
    }
}

/// How an order of an operator or a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is in the log for good.
    Done(CommandOutcome),
    /// Not known: the same order may be sent again, to any replica.
    Unknown,
}

/// Asks this replica, and through it the leader.
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

    /// Returns the queue of the core.
    pub fn core(&self) -> &CoreQueue {
        &self.core
    }

    /// Brings a command into the log, wherever the leader is. A command may be repeated: the state
    /// recognises it and gives the first outcome again.
    pub async fn order(&self, command: FleetCommand, limit: Duration) -> OrderOutcome {
        let until = Instant::now() + limit;
        loop {
            let local = self.order_here(&command).await;
            let outcome = match local {
                ProposeOutcome::NotLeader(Some(leader)) if leader != self.own => {
                    self.order_at(leader, &command, until).await
                }
                outcome => outcome,
            };
            if let ProposeOutcome::Done(outcome) = outcome {
                return OrderOutcome::Done(outcome);
            }
            if Instant::now() + LEADER_PAUSE >= until {
                return OrderOutcome::Unknown;
            }
            task::sleep(LEADER_PAUSE).await;
        }
    }

    async fn order_here(&self, command: &FleetCommand) -> ProposeOutcome {
        let command = Box::new(command.clone());
        let call = |reply| CoreCall::Propose { command, reply };
        let outcome = future::timeout(LEADER_TIMEOUT, self.core.ask(call)).await;
        outcome.ok().flatten().unwrap_or(ProposeOutcome::Unknown)
    }

    async fn order_at(
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

    async fn call_leader(
        &self,
        leader: ReplicaId,
        request: &MeshRequest,
        until: Instant,
    ) -> Option<MeshReply> {
        let left = until.saturating_duration_since(Instant::now());
        let limit = left.min(LEADER_TIMEOUT);
        let reply = self
            .mesh
            .call(address::address_of(leader), request, limit)
            .await;
        reply
            .inspect_err(|e| log::info!(target: "mesh", "leader not reached; error={e}"))
            .ok()
    }

    /// Returns the configuration in force as it was sent; none before the first.
    ///
    /// # Errors
    ///
    /// Fails where no quorum confirms it within the limit.
    pub async fn read_site(&self, limit: Duration) -> Result<Option<Vec<u8>>, ReadError> {
        let until = Instant::now() + limit;
        loop {
            let here = future::timeout(LEADER_TIMEOUT, self.core.ask(CoreCall::ReadSite)).await;
            let mut reading = here.ok().flatten().unwrap_or(SiteReading::Unknown);
            if let SiteReading::NotLeader(Some(leader)) = reading {
                reading = match self
                    .call_leader(leader, &MeshRequest::ReadSite, until)
                    .await
                {
                    Some(MeshReply::Site(reading)) => reading,
                    _ => SiteReading::Unknown,
                };
            }
            if let SiteReading::Current(document) = reading {
                return Ok(document);
            }
            if Instant::now() + LEADER_PAUSE >= until {
                return Err(ReadError::Unconfirmed);
            }
            task::sleep(LEADER_PAUSE).await;
        }
    }

    /// Takes the announcement of a backend server; the answer binds once it is given.
    pub async fn announce(&self, record: ServerRecord, limit: Duration) -> OrderOutcome {
        let call = |reply| CoreCall::Announce {
            record: Box::new(record.clone()),
            reply,
        };
        match self.core.ask(call).await {
            Some(AnnounceStep::Known) => OrderOutcome::Done(CommandOutcome::Unchanged),
            Some(AnnounceStep::Propose) => self.order(FleetCommand::Announce(record), limit).await,
            Some(AnnounceStep::Unsure) | None => OrderOutcome::Unknown,
        }
    }

    /// Tells the replica of other seeds.
    pub fn set_seeds(&self, seeds: &[SocketAddrV4]) {
        let seeds = seeds.iter().map(|seed| address::replica_at(*seed));
        self.core.offer(CoreCall::Seeds(seeds.collect()));
    }

    /// Returns the entry hosts that are alive.
    pub async fn hosts(&self) -> Vec<HostStatus> {
        self.core.ask(CoreCall::Hosts).await.unwrap_or_default()
    }

    /// Returns the state for a dump; none where the core has ended.
    pub async fn dump(&self) -> Option<DirectorDump> {
        self.core.ask(CoreCall::Dump).await
    }
}

quick_error! {
    /// Why the configuration could not be read.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ReadError {
        /// No quorum confirmed which one is in force.
        Unconfirmed {
            display("no quorum confirms which configuration is in force")
        }
    }
}
