//! Request budgets of the cold back ends of a service, by region.

use sloetrail_balance::ColdBudget;
use sloetrail_types::{AllowedRegions, RegionName};
use std::collections::BTreeSet;

/// Request limits of a cold back end, and the senders that share them.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ColdBudgets {
    /// Requests per second that a cold back end sustains.
    pub(crate) sustained_per_second: f64,
    /// Maximum number of requests that may reach a back end in any second.
    pub(crate) max_per_second: f64,
    /// Allowed regions of the batches of each owner.
    pub(crate) owners: BTreeSet<AllowedRegions>,
    pub(crate) has_live_requests: bool,
}

impl ColdBudgets {
    /// Returns the budget of a back end in `region`, shared by all senders that may use it.
    pub(crate) fn for_region(&self, region: Option<&RegionName>) -> ColdBudget {
        let owners = self.owners.iter().filter(|owner| owner.allows(region));
        ColdBudget {
            sustained_per_second: self.sustained_per_second,
            max_per_second: self.max_per_second,
            senders: owners.count() + usize::from(self.has_live_requests),
        }
    }
}

#[cfg(test)]
mod tests;
