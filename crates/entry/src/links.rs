//! Connections to other entry hosts, kept open between calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use wire::dial::{self, TokenChannel};
use wire::token::AccessToken;

/// Connections to other entry hosts; one that failed a call is replaced by the next call.
#[derive(Debug)]
pub struct PeerLinks {
    token: AccessToken,
    open: Mutex<HashMap<SocketAddr, TokenChannel>>,
}

impl PeerLinks {
    /// Creates links that show a token.
    pub fn new(token: AccessToken) -> Self {
        Self {
            token,
            open: Mutex::default(),
        }
    }

    /// Returns a connection to a host, an open one where there is one.
    ///
    /// # Errors
    ///
    /// Fails where the host can't be reached.
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

    /// Forgets the connection to a host, after a call on it failed.
    pub fn forget(&self, address: SocketAddr) {
        self.open().remove(&address);
    }

    /// Forgets connections to all but the given hosts.
    pub fn retain(&self, known: &[SocketAddr]) {
        self.open().retain(|address, _| known.contains(address));
    }

    fn open(&self) -> MutexGuard<'_, HashMap<SocketAddr, TokenChannel>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
