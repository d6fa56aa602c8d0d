//! Traits that the process which embeds this crate implements.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::idempotency::{ClaimCompletion, ClaimOutcome, ClaimRequest};

/// Socket address of the caller, stored in the extensions of each request that is passed to a
/// [`FallbackHandler`].
#[derive(Debug, Clone, Copy)]
pub struct CallerAddress(pub SocketAddr);

/// Handles the requests whose path is not below [`SERVICE_PREFIX`](crate::head::SERVICE_PREFIX);
/// they are not forwarded.
pub trait FallbackHandler: Send + Sync {
    /// Returns the response to a request whose body was read in full.
    fn handle(&self, request: http::Request<Bytes>) -> BoxFuture<'_, http::Response<Bytes>>;
}

/// Store of idempotency keys that all entry hosts share.
pub trait ClaimStore: Send + Sync {
    /// Claims a key. The forwarder calls this before it sends the first byte of the request to a
    /// backend server.
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, ClaimOutcome>;

    /// Records how the run that was granted to `request` under the number `attempt` ended.
    fn complete(
        &self,
        request: ClaimRequest,
        attempt: u64,
        completion: ClaimCompletion,
    ) -> BoxFuture<'_, ()>;
}
