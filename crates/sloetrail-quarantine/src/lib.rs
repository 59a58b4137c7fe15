//! Requests under which back ends crash.
//!
//! A request that ends each process that runs it (a "query of death") comes again under a new
//! id, at any node. What it is known by is its [`RequestDigest`]. Each node writes a
//! [`CrashReport`] for each back end that crashed while requests of its own were there; what
//! all reports together say of a request is its [`RequestStatus`], which every node works out by
//! itself, from the same rows, with [`assess`].
//!
//! Invariant: a request under which [`MIN_CRASHES_TO_QUARANTINE`] back ends of a service have crashed,
//! and that no other request explains, stands as held or on trial until its time is over, it
//! has been answered, or an operator releases it.

mod assessment;
mod digest;
mod report;

pub use assessment::{
    CrashAssessment, MIN_CRASHES_TO_QUARANTINE, QuarantinedRequest, RequestStatus, TRIAL_DELAY,
    assess,
};
pub use digest::{RequestDigest, RequestParts};
pub use report::{Clearance, CrashReport, Suspect};

#[cfg(test)]
mod tests;
