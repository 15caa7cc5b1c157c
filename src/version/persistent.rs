//! Deserialization of persistent (immutable, structurally shared) maps.
//!
//! `imbl::OrdMap` allocates for the length stated in the input before it reads
//! any entry, so a corrupt length could exhaust memory. Deserializing a
//! `BTreeMap` first bounds the allocation by the entries that are there.

use std::collections;

use serde::Deserialize;

/// Deserializes a persistent map, for `#[serde(deserialize_with)]`.
pub(crate) fn deserialize<'de, D, K, V>(decoder: D) -> Result<imbl::OrdMap<K, V>, D::Error>
where
    D: serde::Deserializer<'de>,
    K: Deserialize<'de> + Ord + Clone,
    V: Deserialize<'de> + Clone,
{
    collections::BTreeMap::<K, V>::deserialize(decoder).map(|map| map.into_iter().collect())
}
