//! Outgoing gRPC connections to other processes of the system.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::codegen::InterceptedService;
use tonic::transport::{Channel, Endpoint, Error};

use crate::token::{AccessToken, TokenSender};

/// Timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two HTTP/2 keep-alive pings on a connection.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a keep-alive ping, after which the connection is closed.
pub const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of a message that carries a snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 256 << 20;

/// Maximum size of any other message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// A connection that adds the access token to each call.
pub type TokenChannel = InterceptedService<Channel, TokenSender>;

/// Connects to a process, and adds the access token to each call on the connection.
///
/// A ping is sent each [`PING_INTERVAL`], also while no call is running. The connection is closed
/// if a ping is not answered within [`PING_TIMEOUT`].
///
/// # Errors
///
/// Returns an error if the connection attempt fails or exceeds [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr, token: &AccessToken) -> Result<TokenChannel, Error> {
    let channel = connect_without_token(address).await?;
    Ok(InterceptedService::new(channel, token.sender()))
}

/// Connects to a process like [`connect`], but sends no access token.
///
/// Use it only on a network that no hosts other than the system's own can reach.
///
/// # Errors
///
/// Returns an error if the connection attempt fails or exceeds [`CONNECT_TIMEOUT`].
pub async fn connect_without_token(address: SocketAddr) -> Result<Channel, Error> {
    Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .connect()
        .await
}
