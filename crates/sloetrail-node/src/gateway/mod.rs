//! From a caller's request to an engine's whole answer.
//!
//! Flow of [`forward`]: the service is looked up, a request that may not repeat
//! settles its claim ([`claims`]), then attempts are made ([`attempt`]) on engines
//! that the service's pool ([`pool`]) chooses in the node's zone ([`own_zone`]). A request that was certainly not
//! run may go to another engine within the retry budget; one whose outcome is
//! unknown only if it may be repeated. When the zone has no engine for it, the
//! request goes to a node of another zone ([`other_zone`]).

mod attempt;
mod claims;
mod forward;
mod message;
mod other_zone;
mod own_zone;
mod pool;
mod throughput;

pub(crate) use forward::forward;
pub(crate) use message::CallerRequest;
pub(crate) use other_zone::serve_forwarded;
pub(crate) use pool::{ServicePool, Slot};

#[cfg(test)]
mod tests;
