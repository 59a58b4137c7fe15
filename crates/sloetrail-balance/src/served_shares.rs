//! Tracks the share of recent requests served at each urgency.
//!
//! Strict priority would starve less urgent requests while urgent ones take every slot. The
//! slot queue uses these shares to serve an underserved urgency first.

use sloetrail_types::Urgency;
use std::collections::BTreeMap;

/// An urgency is underserved if its served share is below the overall share divided by this. With
/// as many requests of two urgencies, five times as many of the more urgent ones are served.
const UNDERSERVED_DIVISOR: u64 = 3;
/// An urgency with fewer recent requests is never underserved.
const MIN_REQUESTS: u64 = 8;
/// After this many requests all counts are halved, so that older requests lose weight.
const WINDOW_REQUESTS: u64 = 512;

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u64,
    served: u64,
}

/// Counts of recent and of served requests by urgency.
///
/// Invariant: `total` is the sum over all urgencies.
#[derive(Debug, Default)]
pub(crate) struct ServedShares {
    by_urgency: BTreeMap<Urgency, Tally>,
    total: Tally,
}

impl ServedShares {
    /// Counts a request that got its first slot, or ended without one.
    pub(crate) fn record(&mut self, urgency: Urgency, is_served: bool) {
        if self.total.requests >= WINDOW_REQUESTS {
            self.halve();
        }
        let tally = self.by_urgency.entry(urgency).or_default();
        for tally in [tally, &mut self.total] {
            tally.requests += 1;
            tally.served += u64::from(is_served);
        }
    }

    /// True if the served share of an urgency is far below the overall share.
    pub(crate) fn is_underserved(&self, urgency: Urgency) -> bool {
        let own = self.by_urgency.get(&urgency).copied().unwrap_or_default();
        // Compares own.served / own.requests with a fraction of the overall share.
        let is_below = own.served * self.total.requests * UNDERSERVED_DIVISOR
            < self.total.served * own.requests;
        own.requests >= MIN_REQUESTS && is_below
    }

    fn halve(&mut self) {
        self.total = Tally::default();
        for tally in self.by_urgency.values_mut() {
            tally.requests /= 2;
            tally.served /= 2;
            self.total.requests += tally.requests;
            self.total.served += tally.served;
        }
        self.by_urgency.retain(|_, tally| tally.requests > 0);
    }
}
