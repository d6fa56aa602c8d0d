//! gRPC service for the other replicas.

use bytes::Bytes;
use model::raw::RawTicket;
use model::ticket::ChangeTicket;
use quorum::ids;
use quorum::message::Message;
use tonic::{Request, Response, Status};
use wire::dial;
use wire::v1;
use wire::v1::replica_server::{Replica, ReplicaServer};

use crate::call::{ConfirmOutcome, CoreCall, CoreHandle, SubmitOutcome};
use crate::leader_client::LeaderClient;

/// Receives messages of the replicated log, heartbeats, tickets and confirmations of reads from the
/// other replicas.
#[derive(Debug)]
pub struct ReplicaService {
    own: ids::ReplicaId,
    core: CoreHandle,
    leader_client: LeaderClient,
}

impl ReplicaService {
    /// Creates the service of a replica.
    pub fn new(own: ids::ReplicaId, core: CoreHandle, leader_client: LeaderClient) -> Self {
        Self {
            own,
            core,
            leader_client,
        }
    }

    /// Returns the gRPC server of the service.
    pub fn into_server(self) -> ReplicaServer<Self> {
        ReplicaServer::new(self).max_decoding_message_size(dial::MAX_SNAPSHOT_BYTES)
    }
}

#[tonic::async_trait]
impl Replica for ReplicaService {
    async fn deliver(
        &self,
        request: Request<v1::Envelope>,
    ) -> Result<Response<v1::DeliverReply>, Status> {
        let envelope = request.into_inner();
        if envelope.to != self.own {
            return Err(Status::invalid_argument(
                "the message is for another replica",
            ));
        }
        if let Some(heartbeat) = envelope.beat {
            self.core.offer(CoreCall::Heartbeat(heartbeat));
        }
        if !envelope.payload.is_empty() {
            let message: Message = postcard::from_bytes(&envelope.payload)
                .map_err(|e| Status::invalid_argument(format!("no message: {e}")))?;
            let from = envelope.from;
            self.core.offer(CoreCall::Receive { from, message });
        }
        Ok(Response::new(v1::DeliverReply {}))
    }

    async fn submit(
        &self,
        request: Request<v1::SubmitRequest>,
    ) -> Result<Response<v1::SubmitReply>, Status> {
        let raw = RawTicket::from_json(&request.into_inner().ticket)
            .map_err(|fault| Status::invalid_argument(fault.to_string()))?;
        let ticket = ChangeTicket::try_from(raw)
            .map_err(|_| Status::invalid_argument("the ticket has faults"))?;
        let verdict = match self.leader_client.submit_locally(ticket).await {
            SubmitOutcome::Verdict(verdict) => {
                Bytes::from(serde_json::to_vec(&verdict).unwrap_or_default())
            }
            SubmitOutcome::NotLeader(_) | SubmitOutcome::Unknown => Bytes::new(),
        };
        Ok(Response::new(v1::SubmitReply { verdict }))
    }

    async fn confirm(
        &self,
        _request: Request<v1::ConfirmRequest>,
    ) -> Result<Response<v1::ConfirmReply>, Status> {
        let reply = match self.leader_client.confirm_locally().await {
            ConfirmOutcome::Confirmed(index) => v1::ConfirmReply {
                confirmed: true,
                index,
            },
            ConfirmOutcome::NotLeader(_) | ConfirmOutcome::Unknown => v1::ConfirmReply::default(),
        };
        Ok(Response::new(reply))
    }
}
