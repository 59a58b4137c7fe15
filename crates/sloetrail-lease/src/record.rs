//! The stored form of a lease.

use serde::{Deserialize, Serialize};
use sloetrail_types::{Epoch, NodeId};

/// The value of a lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// None after a release.
    pub holder: Option<NodeId>,
    /// Increases with each new holder.
    pub epoch: Epoch,
    /// Increases with each renewal within an epoch.
    pub renewal: u64,
}

impl LeaseRecord {
    /// Returns the record with which `holder` takes the lease over from `previous`.
    pub fn taken_by(holder: &NodeId, previous: Option<&LeaseRecord>) -> Self {
        let epoch = previous.map_or(Epoch(0), |record| record.epoch);
        Self {
            holder: Some(holder.clone()),
            epoch: epoch.next(),
            renewal: 0,
        }
    }

    /// Returns this record with its renewal counter advanced.
    pub fn renewed(&self) -> Self {
        Self {
            renewal: self.renewal.saturating_add(1),
            ..self.clone()
        }
    }

    /// Returns this record without a holder, under the same epoch.
    pub fn released(&self) -> Self {
        Self {
            holder: None,
            ..self.clone()
        }
    }
}
