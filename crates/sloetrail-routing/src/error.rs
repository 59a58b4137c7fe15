//! Why a configuration is refused.

use serde_json::error::Category;
use snafu::Snafu;

/// A configuration that cannot be put in force.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    /// It is not the JSON that is expected. The parser's own words may quote the text,
    /// which holds keys, and are left out.
    #[snafu(display("the configuration cannot be read at line {line}, column {column}: {kind}"))]
    Unreadable {
        /// Where, counted from one.
        line: usize,
        /// Where, counted from one.
        column: usize,
        /// Whether its form or its content is wrong.
        kind: &'static str,
    },
    /// Two tenants have one name.
    #[snafu(display("two tenants have the name {tenant:?}"))]
    DuplicateTenant {
        /// The name.
        tenant: String,
    },
    /// A tenant has no name.
    #[snafu(display("a tenant has an empty name"))]
    UnnamedTenant,
    /// A key is so short that it can be guessed.
    #[snafu(display("tenant {tenant:?} has a key of fewer than {least} bytes"))]
    ShortKey {
        /// The tenant.
        tenant: String,
        /// The least bytes of a key.
        least: usize,
    },
    /// A key of a tenant is also another one's.
    #[snafu(display("tenant {tenant:?} has a key that is another tenant's too"))]
    DuplicateKey {
        /// The second one of the two.
        tenant: String,
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

impl ConfigurationError {
    /// The error of a text that a parser refused.
    pub(crate) fn unreadable(error: &serde_json::Error) -> Self {
        Self::Unreadable {
            line: error.line(),
            column: error.column(),
            kind: match error.classify() {
                Category::Io | Category::Syntax | Category::Eof => "it is no JSON",
                Category::Data => "a field is missing or has the wrong type",
            },
        }
    }
}
