//! gRPC service for the calls of other entry hosts.

use std::pin::Pin;
use std::sync::Arc;

use futures_util::stream::{self, Stream};
use tonic::{Request, Response, Status};
use wire::v1;
use wire::v1::peer_server::Peer;

use crate::claim_wire;
use crate::context::EntryContext;
use crate::exchange;

/// Maximum length of a claim key in bytes: service name, slash and idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// gRPC service for the calls of other entry hosts.
#[derive(Debug, Clone)]
pub struct PeerService {
    context: Arc<EntryContext>,
}

impl PeerService {
    /// Creates the service of an entry host.
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
        exchange::handle_request(&self.context, request)
    }

    async fn claim(
        &self,
        request: Request<v1::ClaimRequest>,
    ) -> Result<Response<v1::ClaimReply>, Status> {
        let request = request.into_inner();
        check_key(&request.key)?;
        let attempt = claim_wire::decode_attempt(request.attempt)?;
        let now = self.context.now();
        let mut keeper = self.context.keepers.keeper();
        let answer = keeper.claim(now, &request.key, request.request, &attempt);
        Ok(Response::new(claim_wire::encode_reply(answer)))
    }

    async fn complete(
        &self,
        request: Request<v1::CompleteRequest>,
    ) -> Result<Response<v1::CompleteReply>, Status> {
        let record = request.into_inner().record;
        let record = record.ok_or_else(|| Status::invalid_argument("record: it is missing"))?;
        check_key(&record.key)?;
        let attempt = claim_wire::decode_attempt(record.holders.first().cloned())?;
        let outcome = claim_wire::decode_outcome(&record)?;
        let now = self.context.now();
        let mut keeper = self.context.keepers.keeper();
        keeper.complete(now, &record.key, record.request, &attempt, outcome);
        Ok(Response::new(v1::CompleteReply {}))
    }

    async fn keeper_lists(
        &self,
        _: Request<v1::KeeperListsRequest>,
    ) -> Result<Response<v1::KeeperListsReply>, Status> {
        let lists = self.context.keepers.lists(self.context.now());
        let known = lists.is_some();
        let lists = lists.into_iter().flatten().map(claim_wire::encode_list);
        Ok(Response::new(v1::KeeperListsReply {
            known,
            lists: lists.collect(),
        }))
    }

    async fn recover(
        &self,
        _: Request<v1::RecoverRequest>,
    ) -> Result<Response<Self::RecoverStream>, Status> {
        let now = self.context.now();
        let records = self.context.keepers.keeper().dump(now);
        let records = records.ok_or_else(|| Status::unavailable("it is recovering too"))?;
        let messages = records.into_iter().map(claim_wire::encode_record).map(Ok);
        Ok(Response::new(Box::pin(stream::iter(messages))))
    }
}

/// Checks the length of a claim key.
///
/// # Errors
///
/// Fails if the key is empty or longer than [`MAX_KEY_BYTES`].
fn check_key(key: &str) -> Result<(), Status> {
    if !key.is_empty() && key.len() <= MAX_KEY_BYTES {
        return Ok(());
    }
    Err(Status::invalid_argument(format!(
        "key: {} bytes are not allowed: 1 to {MAX_KEY_BYTES}",
        key.len()
    )))
}
