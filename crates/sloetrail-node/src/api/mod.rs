//! The node's HTTP surface: callers, trainers, operators and peers.

mod callers;
pub mod messages;
mod operators;
mod peers;
mod router;
mod run_calls;
mod trainers;

pub(crate) use callers::refusal_of_phase;
pub(crate) use router::build_router;
