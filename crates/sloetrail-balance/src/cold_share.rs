//! How much of what a cold back end bears each sender may use.
//!
//! All senders together keep the bound by counting alone: no sender asks another one.

use crate::SendBound;
use sloetrail_types::rendezvous_weight;

/// What a cold back end of a service may get in any second, and how many ways lead to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBudget {
    /// Requests a second that it bears.
    pub sustained_per_second: f64,
    /// The most that may reach it in any second.
    pub max_per_second: f64,
    /// Kinds of senders that share it: live requests, and each owner of batches.
    pub senders: usize,
}

impl ColdBudget {
    /// What one way may send to a cold back end: what it bears, and no more than half of
    /// the most, since two owners may send around a takeover and two nodes may count
    /// different senders.
    fn cold_rate(&self) -> f64 {
        self.sustained_per_second.min(self.max_per_second / 2.0) / self.senders.max(1) as f64
    }

    /// What an owner may send to a cold engine.
    pub fn owner_bound(&self) -> SendBound {
        SendBound::per_second(self.cold_rate())
    }

    /// What an owner may send to an engine that does not count as cold but may have turned
    /// so unnoticed: the rest of the most, beside a second owner that sends as to a cold one.
    pub fn possibly_cold_bound(&self) -> SendBound {
        let cold = self.owner_bound();
        let most = (self.max_per_second / self.senders.max(1) as f64).floor() as usize;
        SendBound {
            most: most.saturating_sub(cold.most).max(cold.most),
            span: cold.span,
        }
    }

    /// What one node's live requests may send to a cold back end. Whole requests a second
    /// are dealt to the nodes that rendezvous hashing draws for the back end.
    pub fn live_bound<'a>(
        &self,
        back_end: &str,
        own: &str,
        senders: impl Iterator<Item = &'a str>,
    ) -> SendBound {
        let rate = self.cold_rate();
        let drawn = rate.floor().max(1.0) as usize;
        let own_weight = rendezvous_weight(own, back_end);
        let mut others = 0;
        // Those of the others that are drawn sooner than this node.
        let mut before = 0;
        for sender in senders.filter(|sender| *sender != own) {
            others += 1;
            before += usize::from(rendezvous_weight(sender, back_end) > own_weight);
        }
        if before >= drawn {
            return SendBound::NONE;
        }
        let sharing = drawn.min(others + 1);
        SendBound::per_second(rate / sharing as f64)
    }
}
