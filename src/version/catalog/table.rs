//! Look-up of requests in a catalog.
//!
//! The table is built once for each version and then only read, so a look-up
//! costs two hashes and a scan of the host's prefixes.

use std::{collections, sync};

use super::{Catalog, KeyDigest, Route, Service, Workspace, digest};

/// A catalog with its indices.
#[derive(Clone, Debug, Default)]
pub struct Table {
    catalog: sync::Arc<Catalog>,
    /// Routes by host, those with the longest prefix first.
    hosts: collections::HashMap<String, Vec<usize>>,
    /// Workspaces by the digests of their keys.
    keys: collections::HashMap<KeyDigest, usize>,
    services: collections::HashMap<String, usize>,
}

/// Who a request is for.
#[derive(Clone, Copy, Debug)]
pub enum Caller<'t> {
    /// Nobody in particular: the route is open, or the catalog has no
    /// workspaces.
    Anyone,
    /// A workspace.
    Workspace(&'t Workspace),
    /// The key is missing or unknown.
    Unknown,
}

impl Table {
    /// Builds the indices of a catalog.
    #[must_use]
    pub fn new(catalog: sync::Arc<Catalog>) -> Self {
        let mut hosts = collections::HashMap::<String, Vec<usize>>::new();
        for (at, route) in catalog.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(at);
        }
        for places in hosts.values_mut() {
            places.sort_by_key(|at| std::cmp::Reverse(catalog.routes[*at].prefix.len()));
        }
        let mut keys = collections::HashMap::new();
        for (at, workspace) in catalog.workspaces.iter().enumerate() {
            keys.extend(workspace.keys.iter().map(|key| (*key, at)));
        }
        let services =
            catalog.services.iter().enumerate().map(|(at, s)| (s.name.clone(), at)).collect();
        Self { catalog, hosts, keys, services }
    }

    /// Returns the catalog.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the route for a host (with or without a port) and path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let places = self.hosts.get(&name)?;
        let routes = places.iter().map(|at| &self.catalog.routes[*at]);
        routes.into_iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns who a request with this key is for on a route.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&[u8]>) -> Caller<'_> {
        let known = key.and_then(|k| self.keys.get(&digest(k)));
        match known {
            Some(at) => Caller::Workspace(&self.catalog.workspaces[*at]),
            None if route.open || self.catalog.workspaces.is_empty() => Caller::Anyone,
            None => Caller::Unknown,
        }
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|at| &self.catalog.services[*at])
    }
}

/// Chooses a service of a route; `draw` is a random number.
#[must_use]
pub fn share(route: &Route, draw: u64) -> Option<&str> {
    let total: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
    let mut left = draw.checked_rem(total)?;
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if left < weight {
            return Some(&share.service);
        }
        left -= weight;
    }
    None
}
