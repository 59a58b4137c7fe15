//! Mechanisms of decision that can be switched off one by one, so that a measurement
//! can tell what each is worth. All are on unless the settings say otherwise; what keeps
//! a promise is not among them.

use serde::Deserialize;
use sloetrail_batch::DispatchOrder;

/// Which mechanisms are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// While places are scarce, items of the groups that a trainer waits for go before
    /// the others.
    pub wanted_groups_first: bool,
    /// Of the items of a batch those that are expected to be longest go first.
    pub longest_first: bool,
    /// No more items of a batch run at a time than let the others end with its longest text.
    pub bounded_batch_width: bool,
    /// Texts that ended batches left over are gone on with when their items come again.
    pub reuse_texts: bool,
    /// Engines that are much slower than the others get no work but to see whether they
    /// still are.
    pub slow_engines_apart: bool,
    /// Items go to the fastest engine that has a place, not to the emptiest one.
    pub prefer_fast_engines: bool,
    /// Long texts move to a faster engine that has a place, if that saves time.
    pub move_long_texts: bool,
    /// A node that the table does not answer has its calls carried by another node.
    pub relay_table_calls: bool,
    /// A few nodes ask the owner of a service whether it lives, and compete for its lease
    /// when it does not; otherwise the lease has to run out.
    pub watch_owners: bool,
    /// While answers of a service take longer than usual, a second back end is asked later.
    pub hedge_by_answer_times: bool,
    /// The owner of a service orders more engines while steps are late or places are busy,
    /// and gives them back later.
    pub order_engines: bool,
    /// A reader that gives a waiting time is kept until the groups that its trainer waits for
    /// are whole; otherwise until there is any result.
    pub gather_results: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            wanted_groups_first: true,
            longest_first: true,
            bounded_batch_width: true,
            reuse_texts: true,
            slow_engines_apart: true,
            prefer_fast_engines: true,
            move_long_texts: true,
            relay_table_calls: true,
            watch_owners: true,
            hedge_by_answer_times: true,
            order_engines: true,
            gather_results: true,
        }
    }
}

impl Policies {
    /// In which order the items of a batch go to engines.
    pub(crate) fn dispatch_order(&self, places_are_scarce: bool) -> DispatchOrder {
        DispatchOrder {
            wanted_first: self.wanted_groups_first && places_are_scarce,
            longest_first: self.longest_first,
        }
    }
}
