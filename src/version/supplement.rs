//! The parts of the view that were added after its encoding was fixed.
//!
//! A gateway gets them beside the changes of the view, whole, whenever they have changed. They
//! are small: the evacuated failure domains, and a few fields of the catalog.

use std::sync;

use serde::{Deserialize, Serialize};

use super::{
    catalog::{self, attributes::Attributes},
    evacuation::Evacuations,
    raft,
    view::View,
};

/// The later parts of a view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Supplement {
    /// Log index of their latest change; 0 if there was none.
    pub changed_at: raft::Index,
    /// Failure domains being evacuated.
    pub evacuations: Evacuations,
    /// Later fields of the catalog.
    pub attributes: Attributes,
}

impl Supplement {
    /// Returns the later parts of a view, which changed last with the log entry at `changed_at`.
    #[must_use]
    pub fn of(view: &View, changed_at: raft::Index) -> Self {
        let attributes = view.catalog().map(|c| Attributes::of(c)).unwrap_or_default();
        Self { changed_at, evacuations: view.evacuations().clone(), attributes }
    }

    /// Puts these parts into a view.
    pub fn apply(&self, view: &mut View) {
        *view.evacuations_mut() = self.evacuations.clone();
        let Some(catalog) = view.catalog() else {
            return;
        };
        if Attributes::of(catalog) != self.attributes {
            let mut changed = catalog::Catalog::clone(catalog);
            self.attributes.apply(&mut changed);
            view.set_catalog(sync::Arc::new(changed));
        }
    }
}
