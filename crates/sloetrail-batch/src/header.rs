//! The stored header of a batch.

use serde::{Deserialize, Serialize};
use sloetrail_types::{AllowedRegions, ServiceName, TenantName, Urgency, WeightVersion};

const MAX_ID_BYTES: usize = 100;

/// The id of a batch, chosen by the trainer.
pub type BatchId = String;

/// The header row of a batch. A batch is accepted if and only if this row exists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchHeader {
    pub service: ServiceName,
    /// The `Host` header sent with each item.
    pub host: String,
    pub total: usize,
    /// The number of rows that store the submission.
    pub body_rows: usize,
    /// The time of acceptance on the table's clock.
    pub accepted_at_ms: u64,
    /// The number of failed runs after which an item is dead.
    pub max_attempts: usize,
    /// The time after acceptance at which unfinished items expire.
    pub retention_ms: u64,
    /// True if all tokens of a sample must come from one weight version.
    pub single_version: bool,
    /// The target time from acceptance to a complete batch. Zero if unknown.
    #[serde(default)]
    pub run_target_ms: u64,
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
    pub fn urgency(&self) -> (Urgency, u64) {
        let urgency = Urgency::new(self.tenant_priority, self.priority);
        (urgency, self.accepted_at_ms)
    }
}

/// Returns true if an id is valid for a batch or an item. Ids become part of row keys.
pub fn is_usable_id(id: &str) -> bool {
    let usable = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(usable)
}
