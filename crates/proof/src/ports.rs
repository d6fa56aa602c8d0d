//! Unused loopback addresses.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

use crate::error::ProofError;

/// Addresses that [`free_address`] has returned in this process, so that it returns none twice.
static RETURNED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// Returns a loopback address on which no process listens.
///
/// # Errors
///
/// Fails if no socket can be bound.
pub fn free_address() -> Result<SocketAddr, ProofError> {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let mut returned = match RETURNED.lock() {
            Ok(returned) => returned,
            Err(poisoned) => poisoned.into_inner(),
        };
        if returned.insert(address) {
            return Ok(address);
        }
    }
}
