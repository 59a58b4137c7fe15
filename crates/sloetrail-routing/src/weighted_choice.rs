//! Weighted split of a route's requests among its services.

use crate::WeightedService;

/// Fractional part of the golden ratio. Its multiples cover the unit interval more evenly than
/// random numbers, so that the shares are met after few requests.
const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// Assigns successive requests to services in proportion to their weights.
#[derive(Clone, Debug)]
pub struct WeightedChoice {
    position: f64,
}

impl WeightedChoice {
    /// Starts at `offset`, between zero and one. Offsets should differ between nodes, so that
    /// the nodes also meet the shares in total.
    pub fn new(offset: f64) -> Self {
        Self {
            position: offset.fract().abs(),
        }
    }

    /// Returns the service of the next request. None if no service has a positive weight.
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
