//! Distribution of an engine count over zones.

use sloetrail_types::ZoneName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Limits and costs of engine orders.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    pub min_per_zone: usize,
    pub max_per_zone: usize,
    /// Time that an engine takes to start.
    pub boot_time: Duration,
    /// Price of an engine in each zone, in any common unit. Zones without an entry cost 1.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

impl ScalingBounds {
    fn price(&self, zone: &ZoneName) -> f64 {
        self.zone_prices.get(zone).copied().unwrap_or(1.0)
    }
}

/// Distributes engines evenly over the zones, so that losing a zone costs no more than its
/// share. The remainder goes to the cheapest zones.
///
/// Each zone gets at least its entry in `minimums`, even if their sum exceeds `total`, and
/// always between `min_per_zone` and `max_per_zone` of the bounds.
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
