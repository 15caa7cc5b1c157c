//! The JSON by which targets announce themselves.

use std::net;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::version::{announce, memory::Item, view};

use super::order::ItemKindV1;

/// Longest name in an announcement, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Most items in an announcement.
const MAX_ITEMS: usize = 10_000;

/// Why an announcement was not taken in.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It does not decode.
    #[snafu(display("{path}: {expected}"))]
    InvalidField {
        /// Path of the field.
        path: String,
        /// What was expected.
        expected: String,
    },
    /// A name is empty or too long.
    #[snafu(display("{path}: expected 1 to {MAX_NAME_BYTES} bytes"))]
    NameLength {
        /// Path of the field.
        path: &'static str,
    },
    /// It lists too many items.
    #[snafu(display("expected at most {MAX_ITEMS} items"))]
    TooManyItems,
}

/// An item as targets write it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemV1 {
    /// `model` or `adapter`.
    pub kind: ItemKindV1,
    /// Its name.
    pub name: String,
    /// Memory that it takes, in MiB.
    #[serde(default)]
    pub memory_mib: u64,
}

/// An announcement as targets write it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementV1 {
    /// Name of the target.
    pub name: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its class.
    #[serde(default)]
    pub class: String,
    /// Plain service that it is an instance of; absent for an engine.
    pub service: Option<String>,
    /// Failure domain.
    pub domain: String,
    /// Accelerator memory, in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Grows with every start.
    pub incarnation: u64,
    /// Requests that it runs at once.
    pub width: u32,
    /// What it holds.
    #[serde(default)]
    pub resident: Vec<ItemV1>,
    /// Items with requests in flight.
    #[serde(default)]
    pub busy: Vec<ItemV1>,
    /// Requests that it runs.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait there.
    #[serde(default)]
    pub queued: u32,
    /// Whether it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

impl From<ItemV1> for Item {
    fn from(item: ItemV1) -> Self {
        match item.kind {
            ItemKindV1::Model => Self::Model(item.name),
            ItemKindV1::Adapter => Self::Adapter(item.name),
        }
    }
}

impl TryFrom<AnnouncementV1> for announce::Announcement {
    type Error = Error;

    fn try_from(wire: AnnouncementV1) -> Result<Self, Error> {
        check_name("name", &wire.name)?;
        check_name("domain", &wire.domain)?;
        if wire.resident.len() > MAX_ITEMS || wire.busy.len() > MAX_ITEMS {
            return Err(Error::TooManyItems);
        }
        let state = if wire.leaving { view::Presence::Leaving } else { view::Presence::Up };
        let target = view::Target {
            address: wire.address,
            class: wire.class,
            service: wire.service,
            domain: wire.domain,
            memory: wire.memory_mib,
            incarnation: wire.incarnation,
            width: wire.width,
            state,
        };
        let resident = wire.resident.into_iter().map(|i| (i.memory_mib, i));
        Ok(Self {
            name: wire.name,
            target,
            resident: resident.map(|(memory, item)| (item.into(), memory)).collect(),
            load: wire.running.saturating_add(wire.queued),
            busy: wire.busy.into_iter().map(Item::from).collect(),
        })
    }
}

/// Reads an announcement.
///
/// # Errors
///
/// Returns an error that names the offending field.
pub fn parse(bytes: &[u8]) -> Result<announce::Announcement, Error> {
    let mut decoder = serde_json::Deserializer::from_slice(bytes);
    let wire: AnnouncementV1 = serde_path_to_error::deserialize(&mut decoder).map_err(|e| {
        Error::InvalidField { path: e.path().to_string(), expected: e.into_inner().to_string() }
    })?;
    wire.try_into()
}

fn check_name(path: &'static str, name: &str) -> Result<(), Error> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        Err(Error::NameLength { path })
    } else {
        Ok(())
    }
}
