//! What a node does for the runs and services that it owns.
//!
//! A run's owner is an actor ([`run_actor`]) that holds the ledger;
//! [`group_commit`] makes its changes durable and [`run_store`] maps them to rows;
//! [`sample_attempt`] generates, scores and stores one sample; [`pull`] reads
//! the bodies of what is handed over. A service's owner ([`weights`]) rolls
//! weight versions out and orders drains.

mod body_cache;
mod dispatcher;
mod group_commit;
mod pull;
mod run_actor;
mod run_handle;
mod run_store;
mod sample_attempt;
mod weights;
mod weights_handle;

pub(crate) use run_actor::start_run_owner;
pub(crate) use run_handle::RunHandle;
pub(crate) use weights::{WeightsRecord, start_weights_owner, weights_key};
pub(crate) use weights_handle::WeightsHandle;
