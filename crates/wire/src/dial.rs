//! Connections to other processes of the system.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::codegen::InterceptedService;
use tonic::transport::{Channel, Endpoint, Error};

use crate::token::{AccessToken, TokenSender};

/// Time in which a connection must stand.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two pings on a connection.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time in which a ping must be answered; then the connection is given up.
pub const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Greatest size of a message that carries a snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 256 << 20;

/// Greatest size of any other message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// A connection that adds the token to each call.
pub type TokenChannel = InterceptedService<Channel, TokenSender>;

/// Connects to a process; a connection that goes silent is given up after
/// [`PING_INTERVAL`] and [`PING_TIMEOUT`].
///
/// # Errors
///
/// Fails where the process doesn't answer within [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr, token: &AccessToken) -> Result<TokenChannel, Error> {
    let channel = connect_plain(address).await?;
    Ok(InterceptedService::new(channel, token.sender()))
}

/// Connects to a process on a network that only the system's own hosts reach; as [`connect`].
///
/// # Errors
///
/// Fails where the process doesn't answer within [`CONNECT_TIMEOUT`].
pub async fn connect_plain(address: SocketAddr) -> Result<Channel, Error> {
    Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .connect()
        .await
}
