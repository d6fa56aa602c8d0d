//! Free loopback addresses.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

use crate::error::ProofError;

/// Addresses that this process has given out, so that it gives none twice.
static TAKEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// Returns a loopback address that nobody listens on.
///
/// # Errors
///
/// Fails where no socket can be bound.
pub fn free_address() -> Result<SocketAddr, ProofError> {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let mut taken = match TAKEN.lock() {
            Ok(taken) => taken,
            Err(poisoned) => poisoned.into_inner(),
        };
        if taken.insert(address) {
            return Ok(address);
        }
    }
}
