//! The stored header of a batch.

use serde::{Deserialize, Serialize};
use sloetrail_types::{
    AllowedRegions, ServiceName, TenantName, TimeSpan, Timestamp, Urgency, WeightVersion, bounded,
};

const MAX_ID_BYTES: usize = 100;
/// A complete batch is of use until this part of its run target after its due time.
const LATENESS_DIVISOR: u32 = 2;

/// The id of a batch, chosen by the trainer.
pub type BatchId = String;

/// The header row of a batch. A batch is accepted if and only if this row exists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchHeader {
    pub service: ServiceName,
    /// The `Host` header sent with each item.
    pub host: String,
    #[serde(deserialize_with = "bounded::count")]
    pub total: usize,
    /// The number of rows that store the submission.
    #[serde(deserialize_with = "bounded::count")]
    pub body_rows: usize,
    /// The time of acceptance on the table's clock. Zero if unknown.
    #[serde(rename = "accepted_at_ms")]
    pub accepted_at: Timestamp,
    /// The number of failed runs after which an item is dead.
    #[serde(deserialize_with = "bounded::count")]
    pub max_attempts: usize,
    /// The time after acceptance at which unfinished items expire.
    #[serde(rename = "retention_ms")]
    pub retention: TimeSpan,
    /// True if all tokens of a sample must come from one weight version.
    pub single_version: bool,
    /// The target time from acceptance to a complete batch. Zero if unknown.
    #[serde(default, rename = "run_target_ms")]
    pub run_target: TimeSpan,
    /// The priority of the route. Zero is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// The tenant of the batch. None if the configuration has no tenants.
    #[serde(default)]
    pub tenant: Option<TenantName>,
    /// The priority of the tenant, which overrides the priority of the route.
    #[serde(default)]
    pub tenant_priority: Option<u8>,
    /// The regions in which the batch may be stored and run, fixed at acceptance.
    #[serde(default)]
    pub allowed_regions: AllowedRegions,
    /// The model that generates the samples.
    #[serde(default)]
    pub model: Option<String>,
    /// The oldest weight version that may generate a token.
    #[serde(default)]
    pub oldest_version: WeightVersion,
}

impl BatchHeader {
    /// Returns the sort key among batches: the urgency, then the time of acceptance.
    pub fn urgency(&self) -> (Urgency, Timestamp) {
        let urgency = Urgency::new(self.tenant_priority, self.priority);
        (urgency, self.accepted_at)
    }

    /// Returns when unfinished items expire, on the table's clock.
    pub fn expires_at(&self) -> Timestamp {
        self.accepted_at.after(self.retention.duration())
    }

    /// Returns when the batch should be complete, on the table's clock.
    pub fn due_at(&self) -> Timestamp {
        self.accepted_at.after(self.run_target.duration())
    }

    /// Returns true if the batch has a due time: its route has a run target and the time of
    /// acceptance is known.
    pub fn has_due_time(&self) -> bool {
        !self.run_target.is_zero() && self.accepted_at > Timestamp::default()
    }

    /// Returns until when a complete batch is of use to its trainer. Trainers wait for a step that
    /// is late, but not much longer than they had planned.
    pub fn useful_until(&self) -> Timestamp {
        let lateness = self.run_target.duration() / LATENESS_DIVISOR;
        self.ends_by().after(lateness)
    }

    /// Returns when the batch has to end: its due time or, without one, its expiry.
    pub fn ends_by(&self) -> Timestamp {
        match self.has_due_time() {
            true => self.due_at(),
            false => self.expires_at(),
        }
    }
}

/// Returns true if an id is valid for a batch or an item. Ids become part of row keys.
pub fn is_usable_id(id: &str) -> bool {
    let usable = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(usable)
}
