//! Validation errors of a serving configuration.

use serde_json::error::Category;
use snafu::Snafu;

/// Reason for which a configuration is rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigurationError {
    /// Does not include the parser's message, which may quote API keys.
    #[snafu(display(
        "invalid configuration at line {line}, column {column}, field {field}: {reason}"
    ))]
    Unreadable {
        /// The path of the field; a dot stands for the whole configuration.
        field: String,
        /// Counted from one.
        line: usize,
        /// Counted from one.
        column: usize,
        reason: &'static str,
    },
    #[snafu(display("tenant name {tenant:?} is used more than once"))]
    DuplicateTenant { tenant: String },
    #[snafu(display("a tenant has an empty name"))]
    UnnamedTenant,
    #[snafu(display("tenant {tenant:?} has an API key of fewer than {min_bytes} bytes"))]
    ShortKey { tenant: String, min_bytes: usize },
    #[snafu(display("tenant {tenant:?} has an API key that also belongs to another tenant"))]
    DuplicateKey {
        /// The later of the two tenants.
        tenant: String,
    },
    #[snafu(display(
        "route {route}: unknown kind {kind:?}; expected idempotent, non_idempotent, stream or rollout"
    ))]
    UnknownKind { route: String, kind: String },
    #[snafu(display("route {route}: neither service nor weighted_backends is set"))]
    NoService { route: String },
    #[snafu(display(
        "route {route}: weights in weighted_backends must be finite, not negative and not all zero"
    ))]
    InvalidWeights { route: String },
    #[snafu(display("route {route}: path_prefix {prefix:?} must begin and end with a slash"))]
    InvalidPrefix { route: String, prefix: String },
}

impl ConfigurationError {
    pub(crate) fn unreadable(error: &serde_path_to_error::Error<serde_json::Error>) -> Self {
        Self::at_field(error.path().to_string(), error.inner())
    }

    /// The error of JSON that continues after its end.
    pub(crate) fn malformed(error: &serde_json::Error) -> Self {
        Self::at_field(".".to_owned(), error)
    }

    fn at_field(field: String, error: &serde_json::Error) -> Self {
        Self::Unreadable {
            field,
            line: error.line(),
            column: error.column(),
            reason: match error.classify() {
                Category::Io | Category::Syntax | Category::Eof => "invalid JSON",
                Category::Data => "a field is missing or has the wrong type",
            },
        }
    }
}
