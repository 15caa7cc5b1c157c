//! Why a catalog contradicts itself.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Why a catalog can't be in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum Error {
    /// Two services have one name.
    #[snafu(display("service {service} is named twice"))]
    DuplicateService {
        /// The service.
        service: String,
    },
    /// Two routes have one host and prefix.
    #[snafu(display("route {route}: another route has its host and prefix"))]
    DuplicateRoute {
        /// The later of the two.
        route: String,
    },
    /// A route may keep callers waiting for no time at all.
    #[snafu(display("route {route}: the timeout is zero"))]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A prefix has no slash at one of its ends.
    #[snafu(display("route {route}: expected a prefix with a slash at both ends"))]
    InvalidPrefix {
        /// The route.
        route: String,
    },
    /// The weights of a route add up to nothing.
    #[snafu(display("route {route}: the weights add up to zero"))]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// A route goes to a service that the catalog lacks.
    #[snafu(display("route {route}: there is no service {service}"))]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two workspaces have one name.
    #[snafu(display("workspace {workspace} is named twice"))]
    DuplicateWorkspace {
        /// The workspace.
        workspace: String,
    },
    /// A key belongs to two workspaces.
    #[snafu(display("workspace {workspace}: another workspace has one of its keys"))]
    SharedKey {
        /// The later of the two.
        workspace: String,
    },
}
