//! Mechanisms of decision that can be switched off one by one, so that a measurement
//! can tell what each is worth. All are on unless the settings say otherwise; what keeps
//! a promise is not among them.

use serde::Deserialize;

/// Which mechanisms are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// Items go to the fastest engine that has a place, not to the emptiest one.
    pub prefer_fast_engines: bool,
    /// Long texts move to a faster engine that has a place, if that saves time.
    pub move_long_texts: bool,
    /// A node that the table does not answer has its calls carried by another node.
    pub relay_table_calls: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            prefer_fast_engines: true,
            move_long_texts: true,
            relay_table_calls: true,
        }
    }
}
