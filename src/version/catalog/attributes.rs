//! Fields of a catalog that were added after its encoding was fixed.
//!
//! Log entries, snapshots and messages hold a catalog in an encoding that earlier builds read, so
//! a field can't be added to it. These fields travel beside the catalog instead, and are put into
//! it again where they arrive. A catalog without any of them is stored and sent as before.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use super::{Catalog, Route, WarmUp};

/// The later fields of one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RouteFields {
    gap_objective: time::Duration,
    homes: Vec<String>,
}

/// The later fields of a catalog.
///
/// # Examples
///
/// ```
/// use hornbeamdock::version::catalog::{Catalog, attributes::Attributes};
///
/// assert!(Attributes::of(&Catalog::default()).is_empty());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attributes {
    /// By host and prefix of the route. Catalogs with the same routes in another order, as
    /// gateways have them, thus have equal fields.
    routes: collections::BTreeMap<(String, String), RouteFields>,
    /// By name of the service.
    warm_ups: collections::BTreeMap<String, WarmUp>,
    /// By name of the workspace.
    homes: collections::BTreeMap<String, Vec<String>>,
}

// The only floating-point number, `WarmUp::rate`, is finite, so equality is reflexive.
impl Eq for Attributes {}

impl Attributes {
    /// Returns the later fields of a catalog.
    #[must_use]
    pub fn of(catalog: &Catalog) -> Self {
        let has_fields = |r: &&Route| !r.gap_objective.is_zero() || !r.homes.is_empty();
        let routes = catalog.routes.iter().filter(has_fields).map(|r| {
            let fields = RouteFields { gap_objective: r.gap_objective, homes: r.homes.clone() };
            ((r.host.clone(), r.prefix.clone()), fields)
        });
        let services = catalog.services.iter();
        let workspaces = catalog.workspaces.iter().filter(|w| !w.homes.is_empty());
        Self {
            routes: routes.collect(),
            warm_ups: services.filter_map(|s| Some((s.name.clone(), s.warm_up?))).collect(),
            homes: workspaces.map(|w| (w.name.clone(), w.homes.clone())).collect(),
        }
    }

    /// Returns true if no field is set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Puts the fields into a catalog, in place of those in it. What the catalog does not have
    /// is left out.
    pub fn apply(&self, catalog: &mut Catalog) {
        for route in &mut catalog.routes {
            let fields = self.routes.get(&(route.host.clone(), route.prefix.clone()));
            route.gap_objective = fields.map_or(time::Duration::ZERO, |f| f.gap_objective);
            route.homes = fields.map_or_else(Vec::new, |f| f.homes.clone());
        }
        for service in &mut catalog.services {
            service.warm_up = self.warm_ups.get(&service.name).copied();
        }
        for workspace in &mut catalog.workspaces {
            workspace.homes = self.homes.get(&workspace.name).cloned().unwrap_or_default();
        }
    }
}
