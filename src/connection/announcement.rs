//! The JSON by which targets announce themselves.

use std::net;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::version::{announce, memory::Item, view};

use super::order::ItemKindV1;

/// Longest name in an announcement, in bytes.
const NAME_BYTES: usize = 128;

/// Most items in an announcement.
const ITEMS: usize = 10_000;

/// Why an announcement was not taken in.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It does not decode.
    #[snafu(display("{path}: {expected}"))]
    Field {
        /// Path of the field.
        path: String,
        /// What was expected.
        expected: String,
    },
    /// A name is empty or too long.
    #[snafu(display("{path}: expected 1 to {NAME_BYTES} bytes"))]
    Name {
        /// Path of the field.
        path: &'static str,
    },
    /// It lists too many items.
    #[snafu(display("expected at most {ITEMS} items"))]
    Items,
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

    fn try_from(w: AnnouncementV1) -> Result<Self, Error> {
        check_name("name", &w.name)?;
        check_name("domain", &w.domain)?;
        if w.resident.len() > ITEMS || w.busy.len() > ITEMS {
            return Err(Error::Items);
        }
        let presence = if w.leaving { view::Presence::Leaving } else { view::Presence::Up };
        let target = view::Target {
            address: w.address,
            class: w.class,
            service: w.service,
            domain: w.domain,
            memory: w.memory_mib,
            incarnation: w.incarnation,
            slots: w.width,
            presence,
        };
        let resident = w.resident.into_iter().map(|i| (i.memory_mib, i));
        Ok(Self {
            name: w.name,
            target,
            resident: resident.map(|(memory, item)| (item.into(), memory)).collect(),
            load: w.running.saturating_add(w.queued),
            busy: w.busy.into_iter().map(Item::from).collect(),
        })
    }
}

/// Reads an announcement.
///
/// # Errors
///
/// Returns an error that names the offending field.
pub fn read(bytes: &[u8]) -> Result<announce::Announcement, Error> {
    let mut decoder = serde_json::Deserializer::from_slice(bytes);
    let wire: AnnouncementV1 = serde_path_to_error::deserialize(&mut decoder).map_err(|e| {
        Error::Field { path: e.path().to_string(), expected: e.into_inner().to_string() }
    })?;
    wire.try_into()
}

fn check_name(path: &'static str, name: &str) -> Result<(), Error> {
    if name.is_empty() || name.len() > NAME_BYTES { Err(Error::Name { path }) } else { Ok(()) }
}
