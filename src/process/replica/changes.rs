//! The most recent changes of the view, kept for gateways that poll them.
//!
//! The catalog is by far the largest part of a view. A gateway that missed several
//! catalogs gets only the newest one, as a patch on the catalog that it holds, and
//! never the operator's document. The catalogs that patches start from are kept for
//! a while; a gateway that holds an older one gets the whole catalog.

use std::{collections, sync};

use crate::{
    connection::peer,
    version::{
        catalog::{self, patch},
        raft, view,
    },
};

/// Maximum number of changes kept.
const MAX_CHANGES: usize = 4_096;

/// Maximum number of catalogs kept as bases of patches.
const MAX_CATALOGS: usize = 16;

/// A catalog without the operator's document, and the index that put it in force.
type IndexedCatalog = (raft::Index, sync::Arc<catalog::Catalog>);

/// The most recent changes of the view.
#[derive(Debug, Default)]
pub(super) struct RecentChanges {
    /// Index of the view that the changes start from.
    start_index: raft::Index,
    changes: collections::VecDeque<peer::Change>,
    /// Recent catalogs; the last one is in force.
    catalogs: collections::VecDeque<IndexedCatalog>,
    /// Patch returned last, with the indices of its base and its result.
    last_patch: Option<(raft::Index, raft::Index, sync::Arc<patch::Patch>)>,
}

impl RecentChanges {
    /// Starts without changes from the view at `start_index`.
    pub(super) fn new(start_index: raft::Index, view: &view::View) -> Self {
        let catalog = view.catalog().map(|c| (start_index, sync::Arc::new(c.without_document())));
        Self { start_index, catalogs: catalog.into_iter().collect(), ..Self::default() }
    }

    /// Adds a change that was applied. `catalog` is the catalog that the change put
    /// in force, if any.
    pub(super) fn push(
        &mut self,
        change: peer::Change,
        catalog: Option<&sync::Arc<catalog::Catalog>>,
    ) {
        let change = match (&change.command, catalog) {
            (view::Command::PutCatalog(_), None) => return,
            (view::Command::PutCatalog(_), Some(catalog)) => {
                let stripped = sync::Arc::new(catalog.without_document());
                self.changes.retain(|c| !matches!(c.command, view::Command::PutCatalog(_)));
                if self.catalogs.len() == MAX_CATALOGS {
                    self.catalogs.pop_front();
                }
                self.catalogs.push_back((change.index, stripped.clone()));
                peer::Change { command: view::Command::PutCatalog(stripped), ..change }
            }
            _ => change,
        };
        if self.changes.len() == MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.start_index = oldest.index;
        }
        self.changes.push_back(change);
    }

    /// Returns the update that turns the view at `from` into `view`, which is the
    /// one at `index`. If the changes do not reach back to `from`, this is the
    /// whole view.
    pub(super) fn update(
        &mut self,
        from: raft::Index,
        index: raft::Index,
        view: &view::View,
    ) -> peer::Update {
        if from < self.start_index {
            let stripped = self.catalogs.back().map(|(_, catalog)| catalog.clone());
            return peer::Update::Full { index, view: Box::new(view.with_catalog(stripped)) };
        }
        let first = self.changes.partition_point(|c| c.index <= from);
        let mut changes: Vec<_> = self.changes.range(first..).cloned().collect();
        for change in &mut changes {
            if matches!(change.command, view::Command::PutCatalog(_))
                && let Some(patch) = self.patch(from, change.index)
            {
                change.command = view::Command::PatchCatalog(patch);
            }
        }
        peer::Update::Delta { index, changes }
    }

    /// Returns the patch from the catalog of the view at `from` to the catalog that
    /// was put in force at `index`, or `None` if one of them is no longer kept.
    fn patch(&mut self, from: raft::Index, index: raft::Index) -> Option<sync::Arc<patch::Patch>> {
        let (base, old) = self.catalogs.iter().rfind(|(at, _)| *at <= from)?;
        if let Some((patch_from, patch_to, patch)) = &self.last_patch
            && (patch_from, patch_to) == (base, &index)
        {
            return Some(patch.clone());
        }
        let (_, new) = self.catalogs.iter().rfind(|(at, _)| *at == index)?;
        let patch = sync::Arc::new(patch::Patch::between(old, new));
        self.last_patch = Some((*base, index, patch.clone()));
        Some(patch)
    }
}
