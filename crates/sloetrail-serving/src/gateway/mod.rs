//! The API for callers and trainers: live requests, batches and results.
//!
//! [`call_handler::CallHandler`] receives every request. It serves the product's own paths
//! and routes all others by the configuration in force. Live requests run in
//! [`live::LiveCall`] or [`stream`]; [`submit`] accepts batches and [`read`] returns their
//! results. Response helpers are in [`response`].

pub(crate) mod attempt;
mod batch_call;
mod batch_lookup;
pub(crate) mod call_handler;
pub(crate) mod call_log;
pub(crate) mod caller;
pub(crate) mod claims;
pub(crate) mod headers;
pub(crate) mod live;
pub(crate) mod read;
mod regions;
mod request_body;
mod request_id;
pub(crate) mod response;
mod result_wait;
mod run_times;
pub(crate) mod slot_wait;
pub(crate) mod stop;
pub(crate) mod stream;
pub(crate) mod submit;
