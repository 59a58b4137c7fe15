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
    /// Returns the record with which `holder` takes the lease over after `last_epoch`.
    pub fn taken_by(holder: &NodeId, last_epoch: Epoch) -> Self {
        Self {
            holder: Some(holder.clone()),
            epoch: last_epoch.next(),
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
