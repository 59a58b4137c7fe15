//! Splits the load limit of a cold back end among its senders.
//!
//! Each sender computes its part locally. The senders do not communicate.

use crate::SendBound;
use sloetrail_types::rendezvous_weight;

/// Load limits of a cold back end, and the number of senders that share them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBudget {
    /// Requests per second that the back end sustains.
    pub sustained_per_second: f64,
    /// Upper bound of requests in any second.
    pub max_per_second: f64,
    /// Senders that share the budget: live requests count as one, each owner of batches as one.
    pub senders: usize,
}

impl ColdBudget {
    /// Rate of one sender in requests per second. It is at most half of the sender's part of
    /// `max_per_second`, since two owners may send during a takeover and two nodes may disagree
    /// on the set of senders.
    fn cold_rate(&self) -> f64 {
        self.sustained_per_second.min(self.max_per_second / 2.0) / self.senders.max(1) as f64
    }

    /// What an owner may send to a cold engine.
    pub fn owner_bound(&self) -> SendBound {
        SendBound::per_second(self.cold_rate())
    }

    /// What an owner may send to an engine that is believed to be warm but may have become cold
    /// since. Leaves room for a second owner that sends within [`ColdBudget::owner_bound`].
    pub fn possibly_cold_bound(&self) -> SendBound {
        let cold = self.owner_bound();
        let max_sends = (self.max_per_second / self.senders.max(1) as f64).floor() as usize;
        SendBound {
            max_sends: max_sends.saturating_sub(cold.max_sends).max(cold.max_sends),
            window: cold.window,
        }
    }

    /// What the live requests of node `own` may send to a cold back end. The rate is shared
    /// evenly by the nodes with the highest rendezvous weights for the back end, so that each
    /// of them may send at least one request per second if the rate allows it.
    pub fn live_bound<'a>(
        &self,
        back_end: &str,
        own: &str,
        senders: impl Iterator<Item = &'a str>,
    ) -> SendBound {
        let rate = self.cold_rate();
        let max_nodes = rate.floor().max(1.0) as usize;
        let own_weight = rendezvous_weight(own, back_end);
        let mut others = 0;
        let mut ranked_higher = 0;
        for sender in senders.filter(|sender| *sender != own) {
            others += 1;
            ranked_higher += usize::from(rendezvous_weight(sender, back_end) > own_weight);
        }
        if ranked_higher >= max_nodes {
            return SendBound::NONE;
        }
        let sharing = max_nodes.min(others + 1);
        SendBound::per_second(rate / sharing as f64)
    }
}
