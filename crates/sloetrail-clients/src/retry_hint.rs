//! When a caller that was refused should ask again.

use std::time::Duration;

/// The standard header, in whole seconds.
pub const SECONDS_HEADER: &str = "retry-after";

/// A delay before the next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryHint(pub Duration);

impl RetryHint {
    /// The value of the `Retry-After` header: whole seconds, rounded up, at least one.
    pub fn header_value(self) -> String {
        let seconds = self.0.as_millis().div_ceil(1_000).max(1);
        seconds.to_string()
    }
}
