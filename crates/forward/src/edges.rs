//! What the process around this crate provides.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::claimed::{ClaimEnd, ClaimOutcome, ClaimRequest};

/// Address of the caller, found among the extensions of a request to [`OtherRoutes`].
#[derive(Debug, Clone, Copy)]
pub struct CallerAddress(pub SocketAddr);

/// Answers every request that is not to be forwarded.
pub trait OtherRoutes: Send + Sync {
    /// Answers a request whose body is held whole.
    fn answer(&self, request: http::Request<Bytes>) -> BoxFuture<'_, http::Response<Bytes>>;
}

/// Keeps track of idempotency keys across entry hosts.
pub trait ClaimEdge: Send + Sync {
    /// Claims a key before the first byte of its request goes to a backend server.
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, ClaimOutcome>;

    /// Says how a granted run ended.
    fn complete(&self, request: ClaimRequest, attempt: u64, end: ClaimEnd) -> BoxFuture<'_, ()>;
}
