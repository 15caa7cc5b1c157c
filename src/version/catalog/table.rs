//! Index for looking up the route and the workspace of a request.
//!
//! The table is built once for each catalog version and is then read-only. Looking
//! up a request takes one hash look-up each for host and key, and a scan of the
//! prefixes of the host.

use std::{collections, sync};

use super::{Catalog, KeyDigest, Route, Service, Workspace, key_digest};

/// A catalog with indices on it. The values of the maps are positions in the lists
/// of the catalog.
#[derive(Clone, Debug, Default)]
pub struct Table {
    catalog: sync::Arc<Catalog>,
    /// Routes of each lower-case host, longest prefix first.
    routes_by_host: collections::HashMap<String, Vec<usize>>,
    workspaces_by_key: collections::HashMap<KeyDigest, usize>,
    services_by_name: collections::HashMap<String, usize>,
}

/// The sender of a request, as far as its key tells.
#[derive(Clone, Copy, Debug)]
pub enum Caller<'t> {
    /// The key is missing or unknown, but not needed: the route is public, or the
    /// catalog has no workspaces.
    Anonymous,
    /// A caller of this workspace.
    Workspace(&'t Workspace),
    /// The key is missing or unknown, and the request must be refused.
    Unauthenticated,
}

impl Table {
    /// Builds the indices.
    #[must_use]
    pub fn new(catalog: sync::Arc<Catalog>) -> Self {
        let mut routes_by_host = collections::HashMap::<String, Vec<usize>>::new();
        for (index, route) in catalog.routes.iter().enumerate() {
            routes_by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indices in routes_by_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(catalog.routes[*index].prefix.len()));
        }
        let mut workspaces_by_key = collections::HashMap::new();
        for (index, workspace) in catalog.workspaces.iter().enumerate() {
            workspaces_by_key.extend(workspace.keys.iter().map(|key| (*key, index)));
        }
        let services_by_name =
            catalog.services.iter().enumerate().map(|(index, s)| (s.name.clone(), index)).collect();
        Self { catalog, routes_by_host, workspaces_by_key, services_by_name }
    }

    /// Returns the catalog that the table was built from.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns true if the catalog has the same content as the one that the table was built from.
    /// The version alone does not tell: later fields of a catalog may arrive after it.
    #[must_use]
    pub fn is_of(&self, catalog: &sync::Arc<Catalog>) -> bool {
        sync::Arc::ptr_eq(&self.catalog, catalog) || self.catalog == *catalog
    }

    /// Returns the route with the longest prefix that matches. The host may contain
    /// a port, which is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let indices = self.routes_by_host.get(&name)?;
        let routes = indices.iter().map(|index| &self.catalog.routes[*index]);
        routes.into_iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the caller of a request on `route` with this key, if any.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&[u8]>) -> Caller<'_> {
        let known = key.and_then(|k| self.workspaces_by_key.get(&key_digest(k)));
        match known {
            Some(index) => Caller::Workspace(&self.catalog.workspaces[*index]),
            None if route.public || self.catalog.workspaces.is_empty() => Caller::Anonymous,
            None => Caller::Unauthenticated,
        }
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services_by_name.get(name).map(|index| &self.catalog.services[*index])
    }
}

/// Picks a service of a route by weight, or returns `None` if the weights add up to
/// zero. `draw` is a uniformly random number.
#[must_use]
pub fn pick_service(route: &Route, draw: u64) -> Option<&str> {
    let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
    let mut left = draw.checked_rem(total)?;
    for service in &route.split {
        let weight = u64::from(service.weight);
        if left < weight {
            return Some(&service.service);
        }
        left -= weight;
    }
    None
}
