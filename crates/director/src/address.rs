//! Replica ids that encode the address at which the replica listens.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use quorum::ids::ReplicaId;

/// Number of low bits of a replica id that hold the port; the bits above hold the IPv4 address.
const PORT_BITS: u32 = 16;

/// Returns the id of the replica that listens at an address.
pub fn replica_at(address: SocketAddrV4) -> ReplicaId {
    (u64::from(address.ip().to_bits()) << PORT_BITS) | u64::from(address.port())
}

/// Returns the address at which a replica listens.
pub fn address_of(replica: ReplicaId) -> SocketAddr {
    let ip = u32::try_from(replica >> PORT_BITS).unwrap_or_default();
    let port = u16::try_from(replica & 0xffff).unwrap_or_default();
    SocketAddrV4::new(Ipv4Addr::from_bits(ip), port).into()
}
