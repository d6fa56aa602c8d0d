//! Calls of other entry hosts.

use std::pin::Pin;
use std::sync::Arc;

use futures_util::stream::Stream;
use tonic::{Request, Response, Status};
use wire::v1;
use wire::v1::peer_server::Peer;

use crate::context::EntryContext;
use crate::exchange;

/// Answers the calls of other entry hosts.
#[derive(Debug, Clone)]
pub struct PeerService {
    context: Arc<EntryContext>,
}

impl PeerService {
    /// Creates the service of a process.
    pub fn new(context: Arc<EntryContext>) -> Self {
        Self { context }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    type RecoverStream = Pin<Box<dyn Stream<Item = Result<v1::ClaimRecord, Status>> + Send>>;

    async fn exchange(
        &self,
        request: Request<v1::ExchangeRequest>,
    ) -> Result<Response<v1::ExchangeReply>, Status> {
        exchange::answer(&self.context, request)
    }

    async fn claim(
        &self,
        _: Request<v1::ClaimRequest>,
    ) -> Result<Response<v1::ClaimReply>, Status> {
        Err(Status::unimplemented("claims"))
    }

    async fn complete(
        &self,
        _: Request<v1::CompleteRequest>,
    ) -> Result<Response<v1::CompleteReply>, Status> {
        Err(Status::unimplemented("claims"))
    }

    async fn recover(
        &self,
        _: Request<v1::RecoverRequest>,
    ) -> Result<Response<Self::RecoverStream>, Status> {
        Err(Status::unimplemented("claims"))
    }
}
