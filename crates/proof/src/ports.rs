//! Unused loopback addresses.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

use crate::error::ProofError;

/// First port that tests use.
pub const FIRST_PORT: u16 = 10_000;

/// Port after the last that tests use. From it on, the system gives out ports itself, to outgoing connections
/// and to listeners that ask for any port. Such a port may be taken before the process of a test binds it.
pub const PORT_LIMIT: u16 = 32_768;

/// Sockets that keep ports for this process. Processes of tests listen for TCP alone, so that a UDP socket
/// at the same port is in no one's way, and shows other tests that the port is taken.
static RESERVATIONS: Mutex<Option<HashMap<u16, UdpSocket>>> = Mutex::new(None);

/// Returns a loopback address on which no process listens, and which no other test gets while this process
/// runs.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> Result<SocketAddr, ProofError> {
    let count = PORT_LIMIT - FIRST_PORT;
    let mut reservations = RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    let reservations = reservations.get_or_insert_default();
    // Processes that run one after another begin at different ports.
    let first = std::process::id() * 64 + reservations.len() as u32;
    for offset in 0..u32::from(count) {
        let port = FIRST_PORT + (first.wrapping_add(offset) % u32::from(count)) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let Ok(reservation) = UdpSocket::bind(address) else {
            continue;
        };
        if TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok() {
            reservations.insert(port, reservation);
            return Ok(address);
        }
    }
    Err(ProofError::NoPort)
}
