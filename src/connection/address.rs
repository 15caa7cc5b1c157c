//! Addresses of control replicas.
//!
//! The settings may assign addresses to small node ids. Any other node id encodes
//! the replica's IPv4 address and port, so a process that knows the id can
//! connect without a shared list of addresses.

use std::{collections, net};

use crate::version::raft;

/// Low bits of a node id that encode the port; the bits above encode the IPv4 address.
const PORT_BITS: u32 = 16;

/// Returns the node id that encodes an address.
#[must_use]
pub fn id_of(address: net::SocketAddrV4) -> raft::NodeId {
    u64::from(address.ip().to_bits()) << PORT_BITS | u64::from(address.port())
}

/// Returns the address that a node id encodes, or `None` if it encodes none, as
/// with the small ids of the settings.
#[must_use]
pub fn address_of(id: raft::NodeId) -> Option<net::SocketAddr> {
    let ip = u32::try_from(id >> PORT_BITS).ok().filter(|ip| *ip != 0)?;
    let port = u16::try_from(id & u64::from(u16::MAX)).ok()?;
    Some((net::Ipv4Addr::from_bits(ip), port).into())
}

/// Resolves node ids to addresses. An address in the settings takes precedence
/// over the one that the id encodes.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    configured: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
}

impl AddressBook {
    /// Creates an address book with the addresses given in the settings.
    #[must_use]
    pub fn new(configured: collections::BTreeMap<raft::NodeId, net::SocketAddr>) -> Self {
        Self { configured }
    }

    /// Returns the ids of the replicas in the settings.
    pub fn configured(&self) -> impl Iterator<Item = raft::NodeId> + '_ {
        self.configured.keys().copied()
    }

    /// Returns the address of a replica, or `None` if the settings have none and
    /// the id encodes none.
    #[must_use]
    pub fn resolve(&self, id: raft::NodeId) -> Option<net::SocketAddr> {
        self.configured.get(&id).copied().or_else(|| address_of(id))
    }
}
