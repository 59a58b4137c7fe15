//! What callers and trainers see: live requests, batches, results.
//!
//! A request comes in by [`call_handler::CallHandler`], which knows the product's own paths and
//! otherwise asks the configuration in force for a route. A live request goes
//! through [`live::LiveCall`]; a batch is accepted by [`submit`] and read by
//! [`read`]. The types that they share are in [`response`].

pub(crate) mod attempt;
mod batch_call;
pub(crate) mod body_budget;
pub(crate) mod call_handler;
pub(crate) mod call_log;
pub(crate) mod caller;
pub(crate) mod claims;
pub(crate) mod headers;
mod known_batch;
pub(crate) mod live;
pub(crate) mod read;
mod regions;
mod request_id;
pub(crate) mod response;
mod result_wait;
pub(crate) mod slot_wait;
pub(crate) mod stream;
pub(crate) mod submit;
