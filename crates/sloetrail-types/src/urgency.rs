//! Which kind of work goes first.

/// The rank of work: that of its tenant, where it has one, goes before that of its route.
/// Zero is the most urgent, and the most urgent work is the least in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    rank: u8,
    route: u8,
}

impl Urgency {
    /// The rank of work of a route for a tenant, which may have a rank of its own.
    pub fn new(tenant: Option<u8>, route: u8) -> Self {
        Self {
            rank: tenant.unwrap_or(route),
            route,
        }
    }
}
