//! Errors in the content of a catalog.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Why a catalog is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
pub enum Error {
    /// Two services have the same name.
    #[snafu(display("service {service} is named twice"))]
    DuplicateService {
        /// Name of the service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("route {route}: another route has its host and prefix"))]
    DuplicateRoute {
        /// Name of the second of them.
        route: String,
    },
    /// The timeout of a route is zero.
    #[snafu(display("route {route}: the timeout is zero"))]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A path prefix does not start or does not end with a slash.
    #[snafu(display("route {route}: expected a prefix with a slash at both ends"))]
    InvalidPrefix {
        /// Name of the route.
        route: String,
    },
    /// The weights of the services of a route add up to zero.
    #[snafu(display("route {route}: the weights add up to zero"))]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A route names a service that is not in the catalog.
    #[snafu(display("route {route}: there is no service {service}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two workspaces have the same name.
    #[snafu(display("workspace {workspace} is named twice"))]
    DuplicateWorkspace {
        /// Name of the workspace.
        workspace: String,
    },
    /// Two workspaces have the same key.
    #[snafu(display("workspace {workspace}: another workspace has one of its keys"))]
    SharedKey {
        /// Name of the second of them.
        workspace: String,
    },
}
