//! JSON of the announcements that targets send about themselves.

use std::net;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::version::{announce, memory::Item, view};

use super::order::ItemKindV1;

/// Maximum length of a target name or failure domain, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maximum number of items in each list of an announcement.
const MAX_ITEMS: usize = 10_000;

/// Largest amount of memory, in MiB.
const MAX_MEMORY_MIB: u64 = 1 << 40;

/// Largest incarnation. Larger numbers are not exact in all JSON.
const MAX_INCARNATION: u64 = 1 << 53;

/// Largest number of requests that run concurrently.
const MAX_WIDTH: u64 = 1 << 20;

/// Why an announcement was rejected.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The JSON is malformed or a field has the wrong type.
    #[snafu(display("{path}: {expected}"))]
    InvalidField {
        /// Path of the field.
        path: String,
        /// Message of the JSON decoder.
        expected: String,
    },
    /// A name is empty or too long.
    #[snafu(display("{path}: expected 1 to {MAX_NAME_BYTES} bytes"))]
    NameLength {
        /// Path of the field.
        path: &'static str,
    },
    /// A number is too large.
    #[snafu(display("{path}: expected at most {most}"))]
    TooLarge {
        /// Path of the field.
        path: &'static str,
        /// Largest accepted number.
        most: u64,
    },
    /// The address has no port.
    #[snafu(display("address: expected a port"))]
    NoPort,
    /// A list has too many items.
    #[snafu(display("expected at most {MAX_ITEMS} items"))]
    TooManyItems,
}

/// A model or adapter in an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemV1 {
    /// `model` or `adapter`.
    pub kind: ItemKindV1,
    /// Name of the model or adapter.
    pub name: String,
    /// Memory that the item uses, in MiB. Ignored for busy items.
    #[serde(default)]
    pub memory_mib: u64,
}

/// An announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementV1 {
    /// Name of the target.
    pub name: String,
    /// Address at which the target accepts requests.
    pub address: net::SocketAddr,
    /// Name of the target's class.
    #[serde(default)]
    pub class: String,
    /// Service that the target is an instance of; absent for a model engine.
    pub service: Option<String>,
    /// Failure domain.
    pub domain: String,
    /// Accelerator memory, in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Identifies one start of the target; increases with every start.
    pub incarnation: u64,
    /// Number of requests that the target runs concurrently.
    pub width: u32,
    /// Models and adapters in accelerator memory.
    #[serde(default)]
    pub resident: Vec<ItemV1>,
    /// Items with requests in flight.
    #[serde(default)]
    pub busy: Vec<ItemV1>,
    /// Number of requests that are running.
    #[serde(default)]
    pub running: u32,
    /// Number of requests that are queued at the target.
    #[serde(default)]
    pub queued: u32,
    /// Whether the target is about to stop.
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
        if wire.address.port() == 0 {
            return Err(Error::NoPort);
        }
        check_number("incarnation", wire.incarnation, MAX_INCARNATION)?;
        check_number("width", wire.width.into(), MAX_WIDTH)?;
        check_number("memory_mib", wire.memory_mib, MAX_MEMORY_MIB)?;
        for item in &wire.resident {
            check_number("resident.memory_mib", item.memory_mib, MAX_MEMORY_MIB)?;
        }
        let presence = if wire.leaving { view::Presence::Leaving } else { view::Presence::Up };
        let target = view::Target {
            address: wire.address,
            class: wire.class,
            service: wire.service,
            domain: wire.domain,
            memory: wire.memory_mib,
            incarnation: wire.incarnation,
            slots: wire.width,
            presence,
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

/// Parses an announcement.
///
/// # Errors
///
/// Returns an error that names the field that is invalid, or the limit on items
/// that a list exceeds.
pub fn parse(bytes: &[u8]) -> Result<announce::Announcement, Error> {
    let mut decoder = serde_json::Deserializer::from_slice(bytes);
    let wire: AnnouncementV1 = serde_path_to_error::deserialize(&mut decoder).map_err(|e| {
        Error::InvalidField { path: e.path().to_string(), expected: e.into_inner().to_string() }
    })?;
    wire.try_into()
}

fn check_number(path: &'static str, number: u64, most: u64) -> Result<(), Error> {
    if number > most { Err(Error::TooLarge { path, most }) } else { Ok(()) }
}

fn check_name(path: &'static str, name: &str) -> Result<(), Error> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        Err(Error::NameLength { path })
    } else {
        Ok(())
    }
}
