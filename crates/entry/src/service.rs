//! Calls of other entry hosts.

use std::pin::Pin;
use std::sync::Arc;

use futures_util::stream::{self, Stream};
use tonic::{Request, Response, Status};
use wire::v1;
use wire::v1::peer_server::Peer;

use crate::claim_wire;
use crate::context::EntryContext;
use crate::exchange;

/// Greatest length of a service's name with a caller's key, in bytes.
const MAX_KEY_BYTES: usize = 256;

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
        request: Request<v1::ClaimRequest>,
    ) -> Result<Response<v1::ClaimReply>, Status> {
        let request = request.into_inner();
        check_key(&request.key)?;
        let attempt = claim_wire::attempt_from(request.attempt)?;
        let now = self.context.now();
        let mut keeper = self.context.keepers.keeper();
        let answer = keeper.claim(now, &request.key, request.request, &attempt);
        Ok(Response::new(claim_wire::reply_to(answer)))
    }

    async fn complete(
        &self,
        request: Request<v1::CompleteRequest>,
    ) -> Result<Response<v1::CompleteReply>, Status> {
        let record = request.into_inner().record;
        let record = record.ok_or_else(|| Status::invalid_argument("record: it is missing"))?;
        check_key(&record.key)?;
        let attempt = claim_wire::attempt_from(record.holders.first().cloned())?;
        let end = claim_wire::end_from(&record)?;
        let now = self.context.now();
        let mut keeper = self.context.keepers.keeper();
        keeper.complete(now, &record.key, record.request, &attempt, end);
        Ok(Response::new(v1::CompleteReply {}))
    }

    async fn recover(
        &self,
        _: Request<v1::RecoverRequest>,
    ) -> Result<Response<Self::RecoverStream>, Status> {
        let now = self.context.now();
        let records = self.context.keepers.keeper().dump(now);
        let records = records.ok_or_else(|| Status::unavailable("it is recovering too"))?;
        let messages = records.into_iter().map(claim_wire::record_to).map(Ok);
        Ok(Response::new(Box::pin(stream::iter(messages))))
    }
}

/// Refuses a key that no request can have.
fn check_key(key: &str) -> Result<(), Status> {
    if !key.is_empty() && key.len() <= MAX_KEY_BYTES {
        return Ok(());
    }
    Err(Status::invalid_argument(format!(
        "key: {} bytes are not allowed: 1 to {MAX_KEY_BYTES}",
        key.len()
    )))
}
