//! What the cold back ends of a service may get, by the region that they lie in.

use sloetrail_balance::ColdBudget;
use sloetrail_types::{AllowedRegions, RegionName};
use std::collections::BTreeSet;

/// What the cold back ends of a service may get, and who shares it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ColdBudgets {
    /// Requests a second that one bears.
    pub(crate) bears: f64,
    /// The most that may reach one in any second.
    pub(crate) most: f64,
    /// The regions of the batches of each owner.
    pub(crate) owners: BTreeSet<AllowedRegions>,
    /// True if live requests go to the service.
    pub(crate) has_live_requests: bool,
}

impl ColdBudgets {
    /// What a back end of a region may get, shared by those who may send there.
    pub(crate) fn for_region(&self, region: Option<&RegionName>) -> ColdBudget {
        let owners = self.owners.iter().filter(|owner| owner.allows(region));
        ColdBudget {
            bears: self.bears,
            most: self.most,
            ways: owners.count() + usize::from(self.has_live_requests),
        }
    }
}

#[cfg(test)]
mod tests;
