//! Sharing a route's requests among its services.

use crate::WeightedService;

/// The fractional part of the golden ratio: its multiples fill the unit interval
/// more evenly than random numbers, so that shares are met after few requests.
const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// Gives one request after another to a service, by weight.
#[derive(Clone, Debug)]
pub struct WeightedChoice {
    position: f64,
}

impl WeightedChoice {
    /// A choice that starts at `offset` (between zero and one), which differs from
    /// node to node so that all together meet the shares as well.
    pub fn new(offset: f64) -> Self {
        Self {
            position: offset.fract().abs(),
        }
    }

    /// The service of the next request; nothing if there is none.
    pub fn next<'a>(&mut self, services: &'a [WeightedService]) -> Option<&'a WeightedService> {
        self.position = (self.position + GOLDEN_STEP).fract();
        let total: f64 = services.iter().map(|part| part.weight).sum();
        let mut remaining = self.position * total;
        for part in services.iter().filter(|part| part.weight > 0.0) {
            if remaining < part.weight {
                return Some(part);
            }
            remaining -= part.weight;
        }
        services.iter().rev().find(|part| part.weight > 0.0)
    }
}
