//! Why a configuration is refused.

use snafu::Snafu;

/// A configuration that cannot be put in force.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    /// It is not the JSON that is expected.
    #[snafu(display("the configuration cannot be read: {source}"))]
    Unreadable {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A route has an unknown kind.
    #[snafu(display("route {route}: unknown kind {kind:?}"))]
    UnknownKind {
        /// The route.
        route: String,
        /// The kind as written.
        kind: String,
    },
    /// A route leads nowhere.
    #[snafu(display("route {route}: it names no service"))]
    NoService {
        /// The route.
        route: String,
    },
    /// A route's weight is not a number above or equal to zero, or all are zero.
    #[snafu(display("route {route}: the weights of its services are not usable"))]
    BadWeights {
        /// The route.
        route: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[snafu(display("route {route}: the prefix {prefix:?} must begin and end with a slash"))]
    BadPrefix {
        /// The route.
        route: String,
        /// The prefix as written.
        prefix: String,
    },
}
