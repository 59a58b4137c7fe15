//! A number of engines, spread over zones.

use sloetrail_types::ZoneName;
use std::collections::BTreeMap;
use std::time::Duration;

/// What may be ordered, and what it costs.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    /// The least engines of a zone.
    pub min_per_zone: usize,
    /// The most engines of a zone.
    pub max_per_zone: usize,
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
/// cannot be divided goes to the cheapest zones. A zone gets at least what `least` names for
/// it, also if these are more than the total; no zone gets fewer than the least or more than
/// the most of the bounds.
pub fn spread(
    total: usize,
    zones: &[ZoneName],
    bounds: &ScalingBounds,
    minimums: &BTreeMap<ZoneName, usize>,
) -> BTreeMap<ZoneName, usize> {
    let mut cheapest_first: Vec<&ZoneName> = zones.iter().collect();
    cheapest_first.sort_by(|left, right| bounds.price(left).total_cmp(&bounds.price(right)));
    let first = |zone: &ZoneName| {
        let minimum = minimums.get(zone).copied().unwrap_or_default();
        minimum.min(bounds.max_per_zone).max(bounds.min_per_zone)
    };
    let mut shares: Vec<(&ZoneName, usize)> = cheapest_first
        .into_iter()
        .map(|zone| (zone, first(zone)))
        .collect();
    let given: usize = shares.iter().map(|(_, share)| share).sum();
    for _ in given..total {
        let open = shares
            .iter_mut()
            .filter(|(_, share)| *share < bounds.max_per_zone);
        let Some((_, share)) = open.min_by_key(|(_, share)| *share) else {
            break;
        };
        *share += 1;
    }
    let shares = shares.into_iter();
    shares.map(|(zone, share)| (zone.clone(), share)).collect()
}
