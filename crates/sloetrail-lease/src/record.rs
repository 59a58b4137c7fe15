//! The durable form of a lease.

use serde::{Deserialize, Serialize};
use sloetrail_types::{Epoch, NodeId};

/// The value of a lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder, or nothing after a release.
    pub holder: Option<NodeId>,
    /// Grows with each new holder.
    pub epoch: Epoch,
    /// Grows with each renewal.
    pub renewal: u64,
}

impl LeaseRecord {
    /// The record of a new holder after `previous`.
    pub fn taken_by(holder: &NodeId, previous: Option<&LeaseRecord>) -> Self {
        let epoch = previous.map_or(Epoch(0), |record| record.epoch);
        Self {
            holder: Some(holder.clone()),
            epoch: epoch.next(),
            renewal: 0,
        }
    }

    /// The same term, renewed.
    pub fn renewed(&self) -> Self {
        Self {
            renewal: self.renewal + 1,
            ..self.clone()
        }
    }

    /// The same term, given up.
    pub fn released(&self) -> Self {
        Self {
            holder: None,
            ..self.clone()
        }
    }
}
