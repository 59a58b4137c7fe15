//! How large a share of its requests each kind of work has had served lately.
//!
//! The more urgent kind goes first, and where it alone takes all places the others would get
//! none. A kind that is served much less than all are is told apart, so that it gets a place.

use sloetrail_types::Urgency;
use std::collections::BTreeMap;

/// A kind is short if its share lies below the share of all divided by this. Callers of a kind
/// that can wait so still get a third of what all get, and those of the urgent kind the
/// rest: with as many requests of two kinds, five times as much.
const SHORT_DIVISOR: u64 = 3;
/// Fewer requests of a kind say nothing of its share.
const REQUESTS_LEAST: u64 = 8;
/// Requests after which what was before counts half: some seconds of a busy node.
const WINDOW_REQUESTS: u64 = 512;

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u64,
    served: u64,
}

/// Requests of late and how many were served, by kind.
#[derive(Debug, Default)]
pub(crate) struct ServedShares {
    kinds: BTreeMap<Urgency, Tally>,
    all: Tally,
}

impl ServedShares {
    /// A request has got a place, or has ended without one.
    pub(crate) fn record(&mut self, kind: Urgency, is_served: bool) {
        if self.all.asked >= WINDOW_REQUESTS {
            self.halve();
        }
        let tally = self.kinds.entry(kind).or_default();
        for tally in [tally, &mut self.all] {
            tally.asked += 1;
            tally.served += u64::from(is_served);
        }
    }

    /// True if a kind is served much less than all are.
    pub(crate) fn is_short(&self, kind: Urgency) -> bool {
        let own = self.kinds.get(&kind).copied().unwrap_or_default();
        let is_below = own.served * self.all.asked * SHORT_DIVISOR < self.all.served * own.asked;
        own.asked >= REQUESTS_LEAST && is_below
    }

    fn halve(&mut self) {
        self.all = Tally::default();
        for tally in self.kinds.values_mut() {
            tally.asked /= 2;
            tally.served /= 2;
            self.all.asked += tally.asked;
            self.all.served += tally.served;
        }
        self.kinds.retain(|_, tally| tally.asked > 0);
    }
}
