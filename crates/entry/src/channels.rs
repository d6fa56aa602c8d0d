//! Cached connections to other entry hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use wire::dial::{self, TokenChannel};
use wire::token::AccessToken;

/// Cached connections to other entry hosts; after a failed call, the next call opens a new one.
#[derive(Debug)]
pub struct PeerChannels {
    token: AccessToken,
    open: Mutex<HashMap<SocketAddr, TokenChannel>>,
}

impl PeerChannels {
    /// Creates an empty cache whose connections authenticate with a token.
    pub fn new(token: AccessToken) -> Self {
        Self {
            token,
            open: Mutex::default(),
        }
    }

    /// Returns the cached connection to a host, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be established.
    pub async fn channel(
        &self,
        address: SocketAddr,
    ) -> Result<TokenChannel, tonic::transport::Error> {
        if let Some(channel) = self.open().get(&address).cloned() {
            return Ok(channel);
        }
        let channel = dial::connect(address, &self.token).await?;
        self.open().insert(address, channel.clone());
        Ok(channel)
    }

    /// Discards the connection to a host, after a failed call.
    pub fn discard(&self, address: SocketAddr) {
        self.open().remove(&address);
    }

    /// Discards the connections to all other addresses than the given ones.
    pub fn retain(&self, addresses: &[SocketAddr]) {
        self.open().retain(|address, _| addresses.contains(address));
    }

    fn open(&self) -> MutexGuard<'_, HashMap<SocketAddr, TokenChannel>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
