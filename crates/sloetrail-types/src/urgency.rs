//! The priority order of work.

use serde::{Deserialize, Serialize};

/// The priority of work. The tenant's priority, if set, overrides the route's, which then
/// breaks ties. Zero is the most urgent, and more urgent work compares as less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    priority: u8,
    route: u8,
}

impl Urgency {
    /// Creates the urgency from the priorities of the tenant, if set, and of the route.
    pub fn new(tenant: Option<u8>, route: u8) -> Self {
        Self {
            priority: tenant.unwrap_or(route),
            route,
        }
    }
}
