//! Identifiers and value types shared by every sloetrail crate.
//!
//! Names are newtypes over opaque strings and counters are newtypes over `u64`,
//! so that a weight version cannot be passed as a configuration revision.

pub mod bounded;
mod counters;
mod digest;
mod names;
mod regions;
mod segment;
mod time;
mod urgency;

pub use counters::{Epoch, Revision, RowVersion, SequenceNumber, StepNumber, WeightVersion};
pub use digest::{digest, digest_of_parts, rendezvous_weight};
pub use names::{
    ApplyId, EngineId, NodeId, RegionName, RequestId, RunName, SampleId, ServiceName, TenantName,
    TransactionId, ZoneName,
};
pub use regions::{AllowedRegions, Distance, Topology};
pub use segment::{Segment, oldest_version, segments_cover};
pub use time::{TimeSpan, Timestamp, whole_millis};
pub use urgency::Urgency;

#[cfg(test)]
mod tests;
