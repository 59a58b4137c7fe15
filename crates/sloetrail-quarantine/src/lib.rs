//! Detection of requests that crash the back ends that run them ("queries of death").
//!
//! Only a request of a caller can be one: items of batches and reward calls are owed, whatever
//! crashes under them. Such a request returns under a new id and at any node, so it is identified
//! by its [`RequestDigest`]. A node writes a [`CrashReport`] for each back end that crashed while
//! running requests of this node. Every node derives the [`RequestStatus`] of each request from
//! the same rows with [`assess`].
//!
//! Invariant: a request under which [`MIN_CRASHES_TO_QUARANTINE`] back ends of a service have
//! crashed, and whose crashes no other request explains, is quarantined or on trial until the
//! crash reports expire, a back end answers it, or an operator releases it.

mod assessment;
mod crashes;
mod digest;
mod explanation;
mod other_causes;
mod report;

pub use assessment::{
    CrashAssessment, HoldReason, MAX_CRASHES, MIN_CRASHES_TO_QUARANTINE, QuarantinedRequest,
    RequestStatus, TRIAL_DELAY, assess,
};
pub use crashes::MAX_EXCUSED_CRASHES;
pub use digest::{RequestDigest, RequestParts};
pub use report::{Clearance, CrashReport, Suspect};

#[cfg(test)]
mod tests;
