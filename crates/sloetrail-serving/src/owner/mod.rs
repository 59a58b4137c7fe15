//! The owner of a service's batches. There is one owner at a time for each set of regions to
//! which batches are bound.
//!
//! The node that holds the lease of a [`BatchSet`] ([`crate::leases`]) runs a
//! [`service_owner::ServiceOwner`]. It loads open batches from the table, sends items to engines
//! ([`run`]), has complete texts scored ([`reward_queue`], [`reward`]), commits results in
//! groups ([`committer`]) and brings engines to the published weight versions
//! ([`weight_update_plan`], [`order_task`]). Only the owner of unbound batches sends orders to
//! engines; the other owners report their slot demand to it ([`slot_demand`]).
//! While open work is long, an owner reports it to the nodes that accept batches
//! ([`backlog_report`]).

mod assignment;
mod backlog_assignment;
pub(crate) mod backlog_report;
mod batch_scheduler;
mod bound_demand;
mod capacity_plan;
mod committer;
mod engine;
mod engine_sends;
mod engines;
mod event;
mod event_interval;
mod item_timeline;
mod loading;
mod model_backlog;
mod order_task;
mod publications;
mod retirement;
mod reward;
mod reward_queue;
mod run;
mod scarce_move;
mod scarce_slowness;
mod service_owner;
mod shared_engines;
mod slot_demand;
mod slot_usage;
mod speed_match;
mod sweeper;
mod weight_update_plan;

use self::service_owner::ServiceOwner;
use crate::context::NodeContext;
use crate::follow::TableView;
use crate::leases::{BatchSet, LeaseTask, RecordedSets, Term};
use futures_util::future::BoxFuture;
use std::sync::Arc;

/// The task of the node that holds the lease of a batch set.
pub(crate) struct BatchOwnerTask {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) set: BatchSet,
}

impl LeaseTask for BatchOwnerTask {
    fn run(&self, term: Term) -> BoxFuture<'static, ()> {
        let owner = ServiceOwner::new(Arc::clone(&self.context), self.set.clone(), term);
        Box::pin(owner.run())
    }

    /// A lease that was deleted together with its set is not created again.
    fn needs_lease(&self, leases: &TableView) -> bool {
        let configuration = self.context.configuration();
        let is_configured = configuration
            .is_some_and(|configuration| BatchSet::configured(&configuration).contains(&self.set));
        is_configured || RecordedSets::from_view(leases).has_batches_for(&self.set)
    }

    fn uses_min_poll_interval(&self) -> bool {
        true
    }
}
