//! The ledger of accelerator memory: which items are, or may be, resident on
//! which targets.
//!
//! Every order to load or unload is committed to the log before it is sent. Its
//! effect on the ledger is decided when the log entry is applied, identically on
//! every replica. Memory is charged from that moment until a confirmed unload
//! proves that the item is gone, or until the target's incarnation changes.
//!
//! An order that was sent may arrive at any later time, and two orders may be
//! carried out in either sequence. A confirmed unload is therefore proof only if
//! no other order for the item was pending when it was issued, or if the target
//! rejects orders with an old fencing token. Otherwise the item is *stranded*: it
//! may be resident, so it stays charged until a later order settles its state.
//!
//! This trades capacity for safety: on a target that does not check fencing
//! tokens, a lost answer can leave memory reserved until the target restarts. The
//! memory remains usable for the item that it is reserved for.

use std::{collections, fmt};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{persistent, raft};

/// An object that can be resident on a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Item {
    /// A model, by name.
    Model(String),
    /// An adapter, by name.
    Adapter(String),
}

impl Item {
    /// Returns the name without the kind of the item.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Model(name) | Self::Adapter(name) => name,
        }
    }
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(name) => write!(f, "model/{name}"),
            Self::Adapter(name) => write!(f, "adapter/{name}"),
        }
    }
}

/// The state of an item on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// A load was ordered and is not yet confirmed.
    Loading,
    /// The load was confirmed; requests may be routed to the item.
    Resident,
    /// Still resident, but gateways stop routing requests to it.
    Draining,
    /// An unload was ordered and is not yet confirmed.
    Unloading,
    /// The item may or may not be resident.
    Stranded,
}

/// Memory that is charged for one item on one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// Memory charged, in MiB.
    pub memory: u64,
    /// State of the item.
    pub phase: Phase,
    /// Orders whose outcome is unknown, by fencing token.
    pub pending: collections::BTreeMap<raft::Index, Verb>,
    /// Latest order, if no other was pending when it was issued.
    sole_order: Option<raft::Index>,
    /// Order that created the allocation, or zero if the target announced the item
    /// as resident. Before this order the item was not resident.
    first_order: raft::Index,
}

impl Allocation {
    fn new(memory: u64, phase: Phase, first_order: raft::Index) -> Self {
        Self { memory, phase, pending: collections::BTreeMap::new(), sole_order: None, first_order }
    }

    fn add_order(&mut self, verb: Verb, fence: raft::Index) {
        self.sole_order = self.pending.is_empty().then_some(fence);
        self.pending.insert(fence, verb);
    }

    /// Settles a pending order and returns the phase that follows, or `None` if
    /// the item is proved to be gone.
    fn settle(&mut self, fence: raft::Index, ack: Ack, fencing: bool) -> Option<Phase> {
        let Some(verb) = self.pending.remove(&fence) else {
            return Some(self.phase);
        };
        let newest = self.pending.keys().all(|f| *f < fence);
        if fencing && ack == Ack::Done {
            self.pending.retain(|f, _| *f > fence);
        }
        let none_pending = self.pending.is_empty();
        // A rejection by a target that checks fencing tokens proves nothing: it
        // may answer a duplicate of an order that was carried out.
        let conclusive = if fencing { ack == Ack::Done } else { self.sole_order == Some(fence) };
        let certain = none_pending && conclusive;
        match (self.phase, verb, ack) {
            (Phase::Loading, Verb::Load, Ack::Done) => Some(Phase::Resident),
            (Phase::Loading, Verb::Load, Ack::Refused) if certain && self.first_order == fence => {
                None
            }
            (Phase::Unloading, Verb::Unload, Ack::Done) if certain => None,
            (Phase::Unloading, Verb::Unload, Ack::Done) if newest => Some(Phase::Stranded),
            (Phase::Unloading, Verb::Unload, Ack::Refused) if certain => Some(Phase::Resident),
            (Phase::Loading, Verb::Load, Ack::Refused)
            | (Phase::Unloading, Verb::Unload, Ack::Refused)
                if none_pending =>
            {
                Some(Phase::Stranded)
            }
            (phase, _, _) => Some(phase),
        }
    }
}

/// Memory of one target and what is charged against it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Memory of the target, in MiB.
    pub capacity: u64,
    /// Memory charged, by item.
    pub allocations: collections::BTreeMap<Item, Allocation>,
}

impl Account {
    /// Returns the memory charged, in MiB.
    #[must_use]
    pub fn charged(&self) -> u64 {
        self.allocations.values().map(|a| a.memory).fold(0, u64::saturating_add)
    }

    /// Returns the memory available to new items, in MiB.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.charged())
    }
}

/// Operation that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verb {
    /// Make an item resident.
    Load,
    /// Remove an item.
    Unload,
}

/// A target's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ack {
    /// The order was carried out, now or earlier.
    Done,
    /// The order was rejected without effect.
    Refused,
}

/// Why the ledger rejected an order.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum Error {
    /// The target has no account.
    #[snafu(display("target {target} is not known"))]
    UnknownTarget {
        /// Name of the target.
        target: String,
    },
    /// The item does not fit into the free memory.
    #[snafu(display("{item} needs {needed} MiB, but {target} has {free} MiB left"))]
    Full {
        /// Name of the target.
        target: String,
        /// The item.
        item: Item,
        /// Memory needed, in MiB.
        needed: u64,
        /// Memory left, in MiB.
        free: u64,
    },
    /// The order is not allowed in the current phase of the item.
    #[snafu(display("{item} on {target} is {phase:?}"))]
    Phase {
        /// Name of the target.
        target: String,
        /// The item.
        item: Item,
        /// Its phase, or `None` if the item has no allocation there.
        phase: Option<Phase>,
    },
}

/// The memory accounts of all targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    #[serde(deserialize_with = "persistent::deserialize")]
    accounts: imbl::OrdMap<String, Account>,
}

impl Ledger {
    /// Returns the account of a target.
    #[must_use]
    pub fn account(&self, target: &str) -> Option<&Account> {
        self.accounts.get(target)
    }

    /// Returns all accounts with the names of their targets.
    pub fn accounts(&self) -> impl Iterator<Item = (&String, &Account)> {
        self.accounts.iter()
    }

    /// Returns the allocation of an item on a target.
    #[must_use]
    pub fn allocation(&self, target: &str, item: &Item) -> Option<&Allocation> {
        self.accounts.get(target)?.allocations.get(item)
    }

    /// Opens the account of a new incarnation of a target, with the items that
    /// are resident on it and their memory in MiB. Replaces an earlier account.
    pub fn add_target(&mut self, target: &str, capacity: u64, resident: &[(Item, u64)]) {
        let allocation = |memory| Allocation::new(memory, Phase::Resident, 0);
        let allocations =
            resident.iter().map(|(item, memory)| (item.clone(), allocation(*memory))).collect();
        self.accounts.insert(target.to_owned(), Account { capacity, allocations });
    }

    /// Removes the account of a target and returns true, or returns false if an
    /// order to the target is pending.
    pub fn remove_target(&mut self, target: &str) -> bool {
        let settled = self.accounts.get(target).is_none_or(|account| {
            account.allocations.values().all(|allocation| allocation.pending.is_empty())
        });
        if settled {
            self.accounts.remove(target);
        }
        settled
    }

    /// Charges an item whose load is ordered.
    ///
    /// # Errors
    ///
    /// Returns an error, and charges nothing, if the target is unknown, if the
    /// item does not fit into the free memory, or if it is resident, draining or
    /// unloading there.
    pub fn load(
        &mut self,
        target: &str,
        item: &Item,
        memory: u64,
        fence: raft::Index,
    ) -> Result<(), Error> {
        let account = self.account_mut(target)?;
        let free = account.free();
        match account.allocations.get_mut(item) {
            None if memory > free => {
                Err(Error::Full { target: target.into(), item: item.clone(), needed: memory, free })
            }
            None => {
                let mut allocation = Allocation::new(memory, Phase::Loading, fence);
                allocation.add_order(Verb::Load, fence);
                account.allocations.insert(item.clone(), allocation);
                Ok(())
            }
            Some(allocation) if matches!(allocation.phase, Phase::Loading | Phase::Stranded) => {
                allocation.phase = Phase::Loading;
                allocation.add_order(Verb::Load, fence);
                Ok(())
            }
            Some(allocation) => Err(phase_error(target, item, Some(allocation.phase))),
        }
    }

    /// Marks a resident item as draining, so that gateways stop routing to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the item is not resident there.
    pub fn drain(&mut self, target: &str, item: &Item) -> Result<(), Error> {
        self.change_phase(target, item, Phase::Resident, Phase::Draining)
    }

    /// Marks a draining item as resident again.
    ///
    /// # Errors
    ///
    /// Returns an error if the item is not draining there.
    pub fn resume(&mut self, target: &str, item: &Item) -> Result<(), Error> {
        self.change_phase(target, item, Phase::Draining, Phase::Resident)
    }

    /// Records an order to unload. The memory stays charged.
    ///
    /// # Errors
    ///
    /// Returns an error if the item is loading or resident, or has no allocation.
    pub fn unload(&mut self, target: &str, item: &Item, fence: raft::Index) -> Result<(), Error> {
        let account = self.account_mut(target)?;
        match account.allocations.get_mut(item) {
            Some(allocation) if !matches!(allocation.phase, Phase::Loading | Phase::Resident) => {
                allocation.phase = Phase::Unloading;
                allocation.add_order(Verb::Unload, fence);
                Ok(())
            }
            other => Err(phase_error(target, item, other.map(|a| a.phase))),
        }
    }

    /// Records a target's answer to an order.
    ///
    /// With `fencing` the target rejects orders that are older than one that it
    /// has carried out. An answer to an order that is not pending has no effect,
    /// so duplicate answers are harmless.
    pub fn acknowledge(
        &mut self,
        target: &str,
        item: &Item,
        fence: raft::Index,
        ack: Ack,
        fencing: bool,
    ) {
        let Some(account) = self.accounts.get_mut(target) else {
            return;
        };
        let Some(allocation) = account.allocations.get_mut(item) else {
            return;
        };
        match allocation.settle(fence, ack, fencing) {
            Some(phase) => allocation.phase = phase,
            None => {
                account.allocations.remove(item);
            }
        }
    }

    /// Marks a resident item as stranded, because its target reports that it is
    /// missing, so that it can be loaded again. The memory stays charged.
    pub fn mark_missing(&mut self, target: &str, item: &Item) {
        if let Some(account) = self.accounts.get_mut(target)
            && let Some(allocation) = account.allocations.get_mut(item)
            && allocation.phase == Phase::Resident
        {
            allocation.phase = Phase::Stranded;
        }
    }

    fn change_phase(
        &mut self,
        target: &str,
        item: &Item,
        from: Phase,
        to: Phase,
    ) -> Result<(), Error> {
        let account = self.account_mut(target)?;
        match account.allocations.get_mut(item) {
            Some(allocation) if allocation.phase == from => {
                allocation.phase = to;
                Ok(())
            }
            other => Err(phase_error(target, item, other.map(|a| a.phase))),
        }
    }

    fn account_mut(&mut self, target: &str) -> Result<&mut Account, Error> {
        self.accounts.get_mut(target).ok_or_else(|| Error::UnknownTarget { target: target.into() })
    }
}

fn phase_error(target: &str, item: &Item, phase: Option<Phase>) -> Error {
    Error::Phase { target: target.into(), item: item.clone(), phase }
}
