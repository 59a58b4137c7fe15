//! The durable head of a batch.

use serde::{Deserialize, Serialize};
use sloetrail_types::{AllowedRegions, ServiceName, TenantName, Urgency, WeightVersion};

const ID_LENGTH_LIMIT: usize = 100;

/// A batch's id, chosen by the trainer.
pub type BatchId = String;

/// The row whose presence means that a batch is accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchHeader {
    /// The service that runs the items.
    pub service: ServiceName,
    /// The `Host` of the route, which goes with each item.
    pub host: String,
    /// How many items there are.
    pub total: usize,
    /// How many rows hold the submission.
    pub body_rows: usize,
    /// When it was accepted, in milliseconds of the table's clock.
    pub accepted_at_ms: u64,
    /// Answers of failure after which an item is given up.
    pub max_attempts: usize,
    /// How long after acceptance an item may be given up, in milliseconds.
    pub retention_ms: u64,
    /// Whether a sample must come from one version of the weights.
    pub single_version: bool,
    /// How long after its acceptance the batch is wanted whole, in milliseconds; zero if
    /// that is not known.
    #[serde(default)]
    pub run_target_ms: u64,
    /// The rank of the route; zero is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Whose batch it is; absent where the configuration named no tenants.
    #[serde(default)]
    pub tenant: Option<TenantName>,
    /// The rank of the tenant, which goes before that of the route.
    #[serde(default)]
    pub tenant_priority: Option<u8>,
    /// The regions in which it may be kept and run, as they were when it was accepted.
    #[serde(default)]
    pub allowed_regions: AllowedRegions,
    /// The model whose weights make the samples.
    #[serde(default)]
    pub model: Option<String>,
    /// The oldest version that may make a token.
    #[serde(default)]
    pub oldest_version: WeightVersion,
}

impl BatchHeader {
    /// The order among batches: the rank of the tenant, where it has one, goes before
    /// that of the route; then the batch that was accepted first.
    pub fn urgency(&self) -> (Urgency, u64) {
        let urgency = Urgency::new(self.tenant_priority, self.priority);
        (urgency, self.accepted_at_ms)
    }
}

/// True if an id may name a batch or an item: it becomes part of a key.
pub fn is_usable_id(id: &str) -> bool {
    let usable = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !id.is_empty() && id.len() <= ID_LENGTH_LIMIT && id.bytes().all(usable)
}
