//! Scheduling policies that the settings can disable one by one, to measure the effect of each.
//!
//! All are enabled by default. Mechanisms that correctness depends on can't be disabled.

use serde::Deserialize;
use sloetrail_batch::DispatchOrder;

/// The enabled policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// Dispatches items of the groups that a trainer requires first while slots are scarce.
    pub wanted_groups_first: bool,
    /// Dispatches the items of a batch with the longest expected output first.
    pub longest_first: bool,
    /// Runs only as many items of a batch concurrently as are needed for all to finish with its
    /// longest text.
    pub bounded_batch_width: bool,
    /// Resumes partial texts of ended batches when their items are submitted again.
    pub reuse_texts: bool,
    /// Sends much slower engines only the work needed to detect that they have recovered.
    pub slow_engines_apart: bool,
    /// Dispatches items to the fastest engine with a free slot instead of the least loaded one.
    pub prefer_fast_engines: bool,
    /// Moves long texts to a faster engine with a free slot if that saves time.
    pub move_long_texts: bool,
    /// Relays table calls through another node while the table doesn't answer this one.
    pub relay_table_calls: bool,
    /// Lets a few nodes probe the owner of a service and compete for its lease once it stops
    /// answering, instead of waiting for the lease to expire.
    pub watch_owners: bool,
    /// Delays hedged requests while the answers of a service take longer than usual.
    pub hedge_by_answer_times: bool,
    /// Lets the owner of a service order more engines while steps are late or slots are busy,
    /// and release them later.
    pub order_engines: bool,
    /// Answers a long poll for results once the groups that its trainer requires are complete,
    /// instead of on the first result.
    pub gather_results: bool,
    /// While slots are scarce, assigns engines to models by capacity and backlog, and gives each
    /// version only to the engines that the next batch of its model needs.
    pub assign_by_backlog: bool,
    /// Chooses which required groups to complete by the due time while not all of them fit, and
    /// runs the others after them, one after another.
    pub triage_groups: bool,
    /// While slots are scarce and engines differ clearly in speed, matches texts to engines by lasting speed: slower engines run the
    /// shortest texts, and a text is moved only if it would be late.
    pub match_engine_speed: bool,
    /// Refuses a batch at once if the open work of its model takes longer than until it is due.
    pub refuse_unservable: bool,
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
            assign_by_backlog: true,
            triage_groups: true,
            match_engine_speed: true,
            refuse_unservable: true,
        }
    }
}

impl Policies {
    /// The order in which items of a batch are dispatched.
    pub(crate) fn dispatch_order(&self, slots_are_scarce: bool) -> DispatchOrder {
        DispatchOrder {
            required_first: self.wanted_groups_first && slots_are_scarce,
            longest_first: self.longest_first,
        }
    }
}
