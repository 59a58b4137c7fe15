//! The owner of a service's batches: one node at a time for each set of regions to which
//! batches are bound.
//!
//! The holder of the lease of such a [`BatchSet`] ([`crate::leases`]) runs a
//! [`service_owner::ServiceOwner`]: it loads the open batches from the table, sends items
//! to engines ([`run`]), has whole texts scored ([`reward_queue`], [`reward`]), commits results in groups
//! ([`committer`]) and brings the engines to the published versions ([`weight_update_plan`],
//! [`weights`]). Only the owner of the batches that may be anywhere gives orders to engines; the
//! others tell it what their batches take ([`slot_demand`]).

mod assignment;
mod batch_turns;
mod committer;
mod engine;
mod engine_sends;
mod engines;
mod event;
mod item_story;
mod loading;
mod pace;
mod publications;
mod reward;
mod reward_queue;
mod run;
mod service_owner;
mod slot_demand;
mod slot_usage;
mod sweeper;
mod weight_update_plan;
mod weights;

use self::service_owner::ServiceOwner;
use crate::context::NodeContext;
use crate::leases::{BatchSet, Term, TermWork};
use futures_util::future::BoxFuture;
use std::sync::Arc;

/// What the holder of the lease of batches does: it owns them.
pub(crate) struct BatchesWork {
    /// The node's parts.
    pub(crate) context: Arc<NodeContext>,
    /// The batches.
    pub(crate) set: BatchSet,
}

impl TermWork for BatchesWork {
    fn run(&self, term: Term) -> BoxFuture<'static, ()> {
        let owner = ServiceOwner::new(Arc::clone(&self.context), self.set.clone(), term);
        Box::pin(owner.run())
    }

    fn waits_for_back_ends(&self) -> bool {
        true
    }
}
