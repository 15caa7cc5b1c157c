//! The difference between two catalogs.
//!
//! Every gateway receives every change of the catalog, possibly over a link of low
//! bandwidth, and most changes affect one route or one workspace among many. A
//! patch contains the routes that differ, and the complete list of services or
//! workspaces if that list differs.

use std::collections;

use serde::{Deserialize, Serialize};

use super::{Bounds, Catalog, Route, Service, Workspace};

/// Host and prefix, which identify a route within its catalog.
type RouteKey = (String, String);

/// Changes that turn one catalog into another, except for its `document`.
///
/// # Examples
///
/// ```
/// use hornbeamdock::version::catalog::{Catalog, patch};
///
/// let old = Catalog { version: 1, ..Catalog::default() };
/// let new = Catalog { version: 2, ..Catalog::default() };
/// let patch = patch::Patch::between(&old, &new);
/// assert_eq!(patch.apply(&old), Some(new));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Version of the catalog that the patch applies to.
    base_version: u64,
    version: u64,
    removed_routes: Vec<RouteKey>,
    changed_routes: Vec<Route>,
    services: Option<Vec<Service>>,
    workspaces: Option<Vec<Workspace>>,
    bounds: Bounds,
}

// The floating-point numbers, `Engine::load_rate` and `WarmUp::rate`, are finite, so equality is
// reflexive.
impl Eq for Patch {}

impl Patch {
    /// Returns the patch that turns `old` into `new`.
    #[must_use]
    pub fn between(old: &Catalog, new: &Catalog) -> Self {
        let before: collections::HashMap<_, _> =
            old.routes.iter().map(|r| (route_key(r), r)).collect();
        let after: collections::HashSet<_> = new.routes.iter().map(route_key).collect();
        let removed = old.routes.iter().map(route_key).filter(|k| !after.contains(k));
        let changed = new.routes.iter().filter(|r| before.get(&route_key(r)) != Some(r));
        Self {
            base_version: old.version,
            version: new.version,
            removed_routes: removed
                .map(|(host, prefix)| (host.to_owned(), prefix.to_owned()))
                .collect(),
            changed_routes: changed.cloned().collect(),
            services: (old.services != new.services).then(|| new.services.clone()),
            workspaces: (old.workspaces != new.workspaces).then(|| new.workspaces.clone()),
            bounds: new.bounds,
        }
    }

    /// Returns the new catalog with an empty `document`, or `None` if `old` is not of
    /// the version that the patch applies to. Added routes come last.
    #[must_use]
    pub fn apply(&self, old: &Catalog) -> Option<Catalog> {
        if old.version != self.base_version {
            return None;
        }
        let removed: collections::HashSet<_> = self
            .removed_routes
            .iter()
            .map(|(host, prefix)| (host.as_str(), prefix.as_str()))
            .collect();
        let mut changed: collections::HashMap<_, _> =
            self.changed_routes.iter().map(|r| (route_key(r), r)).collect();
        let kept = old.routes.iter().filter(|r| !removed.contains(&route_key(r)));
        let mut routes: Vec<_> =
            kept.map(|r| changed.remove(&route_key(r)).unwrap_or(r).clone()).collect();
        routes.extend(
            self.changed_routes.iter().filter(|r| changed.contains_key(&route_key(r))).cloned(),
        );
        Some(Catalog {
            version: self.version,
            routes,
            services: self.services.clone().unwrap_or_else(|| old.services.clone()),
            workspaces: self.workspaces.clone().unwrap_or_else(|| old.workspaces.clone()),
            bounds: self.bounds,
            document: Vec::new(),
        })
    }
}

fn route_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}
