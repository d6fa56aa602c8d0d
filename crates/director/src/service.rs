//! Server for calls from other processes of the deployment.

use std::net::SocketAddr;

use async_std::task;
use bytes::Bytes;
use quorum::ids::ReplicaId;
use tonic::transport::server::TcpIncoming;
use tonic::transport::Server;
use tonic::{Request, Response, Status};
use wire::v1::mesh_server::{Mesh, MeshServer};
use wire::{dial, v1};

use crate::call::CoreCall;
use crate::handle::DirectorHandle;
use crate::message::{MeshReply, MeshRequest, ProposeOutcome, ReadOutcome};

/// Most concurrent calls on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 128;

/// Passes calls of other processes to the core and returns its answers.
#[derive(Debug)]
pub struct MeshService {
    handle: DirectorHandle,
}

impl MeshService {
    /// Creates the service of a replica.
    pub fn new(handle: DirectorHandle) -> Self {
        Self { handle }
    }

    /// Binds an address and serves calls in a new task.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be bound.
    pub fn serve(self, address: SocketAddr) -> std::io::Result<()> {
        let incoming = TcpIncoming::bind(address)?.with_nodelay(Some(true));
        let service = MeshServer::new(self)
            .max_decoding_message_size(dial::MAX_SNAPSHOT_BYTES)
            .max_encoding_message_size(dial::MAX_SNAPSHOT_BYTES);
        let server = Server::builder()
            .http2_keepalive_interval(Some(dial::PING_INTERVAL * 4))
            .http2_keepalive_timeout(Some(dial::PING_TIMEOUT))
            .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
            .add_service(service)
            .serve_with_incoming(incoming);
        task::spawn(async move {
            if let Err(e) = server.await {
                log::error!(target: "mesh", "mesh server failed; calls from other processes are refused until a restart: {e}");
            }
        });
        Ok(())
    }

    async fn answer(&self, from: ReplicaId, request: MeshRequest) -> Option<MeshReply> {
        let core = self.handle.core();
        match request {
            MeshRequest::Quorum(message) => {
                core.offer(CoreCall::Receive { from, message });
                Some(MeshReply::Received)
            }
            MeshRequest::Gossip(report) => {
                core.offer(CoreCall::Gossip { from, report });
                Some(MeshReply::Received)
            }
            MeshRequest::Propose(command) => {
                let outcome = core.ask(|reply| CoreCall::Propose { command, reply }).await;
                Some(MeshReply::Proposed(
                    outcome.unwrap_or(ProposeOutcome::Unknown),
                ))
            }
            MeshRequest::ReadSite => {
                let outcome = core.ask(CoreCall::ReadSite).await;
                Some(MeshReply::Site(outcome.unwrap_or(ReadOutcome::Unknown)))
            }
            MeshRequest::Follow(request) => {
                let reply = core
                    .ask(|reply| CoreCall::Follow { request, reply })
                    .await?;
                Some(MeshReply::Followed(Box::new(reply)))
            }
        }
    }
}

#[tonic::async_trait]
impl Mesh for MeshService {
    async fn exchange(
        &self,
        request: Request<v1::MeshCall>,
    ) -> Result<Response<v1::MeshAnswer>, Status> {
        let call = request.into_inner();
        let request = MeshRequest::decode(&call.payload)
            .map_err(|e| Status::invalid_argument(format!("no call: {e}")))?;
        let reply = self
            .answer(call.from, request)
            .await
            .ok_or_else(|| Status::unavailable("the replica is stopping"))?;
        let payload = postcard::to_allocvec(&reply).map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(v1::MeshAnswer {
            payload: Bytes::from(payload),
        }))
    }
}
