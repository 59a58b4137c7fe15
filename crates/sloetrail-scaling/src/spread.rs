//! A number of engines, spread over zones.

use sloetrail_types::ZoneName;
use std::collections::BTreeMap;
use std::time::Duration;

/// What may be ordered, and what it costs.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    /// The least engines of a zone.
    pub least: usize,
    /// The most engines of a zone.
    pub most: usize,
    /// How long an engine takes to start.
    pub boot_time: Duration,
    /// What an engine costs in each zone, in any unit that they have in common. A zone
    /// that is not named costs one.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

impl ScalingBounds {
    fn price(&self, zone: &ZoneName) -> f64 {
        self.zone_prices.get(zone).copied().unwrap_or(1.0)
    }
}

/// Spreads engines evenly, so that the loss of a zone costs no more than its share; what
/// cannot be divided goes to the cheapest zones. No zone gets fewer than the least or more
/// than the most.
pub fn spread(
    total: usize,
    zones: &[ZoneName],
    bounds: &ScalingBounds,
) -> BTreeMap<ZoneName, usize> {
    let mut cheapest_first: Vec<&ZoneName> = zones.iter().collect();
    cheapest_first.sort_by(|left, right| bounds.price(left).total_cmp(&bounds.price(right)));
    let mut left = total;
    let mut shares = BTreeMap::new();
    for (index, zone) in cheapest_first.iter().enumerate() {
        let share = left.div_ceil(cheapest_first.len() - index);
        let share = share.min(bounds.most).max(bounds.least);
        left = left.saturating_sub(share);
        shares.insert((*zone).clone(), share);
    }
    shares
}
