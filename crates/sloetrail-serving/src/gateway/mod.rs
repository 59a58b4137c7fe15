//! What callers and trainers see: live requests, batches, results.
//!
//! A request comes in by [`call_handler::CallHandler`], which knows the product's own paths and
//! otherwise asks the configuration in force for a route. A live request goes
//! through [`live::LiveCall`]; a batch is accepted by [`submit`] and read by
//! [`read`]. The types that they share are in [`message`].

pub(crate) mod attempt;
mod batch_call;
mod batch_lookup;
pub(crate) mod body_budget;
pub(crate) mod call_log;
pub(crate) mod caller;
pub(crate) mod claims;
pub(crate) mod call_handler;
pub(crate) mod headers;
mod batch_lookup;
pub(crate) mod live;
pub(crate) mod message;
pub(crate) mod slot_wait;
pub(crate) mod read;
mod result_wait;
mod regions;
mod request_id;
pub(crate) mod stream;
pub(crate) mod submit;
