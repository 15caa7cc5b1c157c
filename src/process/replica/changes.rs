//! The latest changes of the view, for those who follow it.
//!
//! A catalog is by far the largest part of a view. Whoever missed several gets
//! the newest one only, as a patch on the one that it holds, and nobody gets the
//! operator's text. The catalogs that patches start from are kept for a while;
//! the whole catalog goes to whoever holds an older one.

use std::{collections, sync};

use crate::{
    connection::peer,
    version::{
        catalog::{self, patch},
        raft, view,
    },
};

/// Changes kept.
const CHANGES: usize = 4_096;

/// Catalogs kept as a base of patches.
const BASES: usize = 16;

/// A catalog as followers get it, and the index that put it in force.
type Base = (raft::Index, sync::Arc<catalog::Catalog>);

/// The latest changes, and the index before the first of them.
#[derive(Debug, Default)]
pub(super) struct Changes {
    floor: raft::Index,
    recent: collections::VecDeque<peer::Change>,
    /// The latest catalogs, the one in force last.
    bases: collections::VecDeque<Base>,
    /// The latest patch, with the indices of its base and its result.
    patch: Option<(raft::Index, raft::Index, sync::Arc<patch::Patch>)>,
}

impl Changes {
    /// Starts with none after a view at `floor`.
    pub(super) fn new(floor: raft::Index, view: &view::View) -> Self {
        let catalog = view.catalog().map(|c| (floor, sync::Arc::new(c.lean())));
        Self { floor, bases: catalog.into_iter().collect(), ..Self::default() }
    }

    /// Keeps a change that was applied. `catalog` is the one that it put in force,
    /// if it did.
    pub(super) fn keep(
        &mut self,
        change: peer::Change,
        catalog: Option<&sync::Arc<catalog::Catalog>>,
    ) {
        let change = match (&change.command, catalog) {
            (view::Command::Configure(_), None) => return,
            (view::Command::Configure(_), Some(catalog)) => {
                let lean = sync::Arc::new(catalog.lean());
                self.recent.retain(|c| !matches!(c.command, view::Command::Configure(_)));
                if self.bases.len() == BASES {
                    self.bases.pop_front();
                }
                self.bases.push_back((change.index, lean.clone()));
                peer::Change { command: view::Command::Configure(lean), ..change }
            }
            _ => change,
        };
        if self.recent.len() == CHANGES
            && let Some(oldest) = self.recent.pop_front()
        {
            self.floor = oldest.index;
        }
        self.recent.push_back(change);
    }

    /// Returns what leads from the view at `from` to the one at `index`.
    pub(super) fn update(
        &mut self,
        from: raft::Index,
        index: raft::Index,
        view: &view::View,
    ) -> peer::Update {
        if from < self.floor {
            let lean = self.bases.back().map(|(_, catalog)| catalog.clone());
            return peer::Update::Full { index, view: Box::new(view.with_catalog(lean)) };
        }
        let first = self.recent.partition_point(|c| c.index <= from);
        let mut changes: Vec<_> = self.recent.range(first..).cloned().collect();
        for change in &mut changes {
            if matches!(change.command, view::Command::Configure(_))
                && let Some(patch) = self.patch(from, change.index)
            {
                change.command = view::Command::Amend(patch);
            }
        }
        peer::Update::Delta { index, changes }
    }

    /// Returns the patch from the catalog of a view at `from` to the one that was
    /// put in force at `index`.
    fn patch(&mut self, from: raft::Index, index: raft::Index) -> Option<sync::Arc<patch::Patch>> {
        let (base, old) = self.bases.iter().rfind(|(at, _)| *at <= from)?;
        if let Some((old, new, patch)) = &self.patch
            && (old, new) == (base, &index)
        {
            return Some(patch.clone());
        }
        let (_, new) = self.bases.iter().rfind(|(at, _)| *at == index)?;
        let patch = sync::Arc::new(patch::Patch::between(old, new));
        self.patch = Some((*base, index, patch.clone()));
        Some(patch)
    }
}
