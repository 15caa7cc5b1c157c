//! Where replicas are reached.
//!
//! Settings may name replicas by small numbers. Where they don't, the id itself
//! is the address, so that a replica can be reached by anyone who has heard of
//! it and no list of addresses has to be agreed on.

use std::{collections, net};

use crate::version::raft;

/// Bits of an id that hold the port.
const PORT_BITS: u32 = 16;

/// Returns the id of the replica that listens at an address.
#[must_use]
pub fn id_of(address: net::SocketAddrV4) -> raft::NodeId {
    u64::from(address.ip().to_bits()) << PORT_BITS | u64::from(address.port())
}

/// Returns the address that an id holds, if it holds one.
#[must_use]
pub fn address_of(id: raft::NodeId) -> Option<net::SocketAddr> {
    let ip = u32::try_from(id >> PORT_BITS).ok().filter(|ip| *ip != 0)?;
    let port = u16::try_from(id & u64::from(u16::MAX)).ok()?;
    Some((net::Ipv4Addr::from_bits(ip), port).into())
}

/// Addresses of replicas: those that settings name, and else the ids' own.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    configured: collections::BTreeMap<raft::NodeId, net::SocketAddr>,
}

impl AddressBook {
    /// Creates a book with the replicas that settings name.
    #[must_use]
    pub fn new(configured: collections::BTreeMap<raft::NodeId, net::SocketAddr>) -> Self {
        Self { configured }
    }

    /// Returns the replicas that settings name.
    pub fn configured(&self) -> impl Iterator<Item = raft::NodeId> + '_ {
        self.configured.keys().copied()
    }

    /// Returns the address of a replica.
    #[must_use]
    pub fn resolve(&self, id: raft::NodeId) -> Option<net::SocketAddr> {
        self.configured.get(&id).copied().or_else(|| address_of(id))
    }
}
