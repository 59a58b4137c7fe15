//! What one node has counted and not yet handed over.

use crate::window::WindowNumber;
use serde::{Deserialize, Serialize};
use sloetrail_types::TenantName;
use std::collections::BTreeMap;

/// Requests by tenant.
pub type TenantCounts = BTreeMap<TenantName, u64>;

/// What a node hands over at once: what it has counted in a window since the last piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsagePiece {
    /// The window.
    pub window: WindowNumber,
    /// Tells the pieces of one life of a node apart.
    pub sequence: u64,
    /// What was counted.
    pub counts: TenantCounts,
}

/// Counts requests of one life of a node.
///
/// Invariant: each counted request is in one piece, and a piece never changes, so that a
/// piece that is handed over twice is found again under its number.
#[derive(Debug, Default)]
pub struct UsageCounter {
    open: BTreeMap<WindowNumber, TenantCounts>,
    next_sequence: u64,
}

impl UsageCounter {
    /// Counts a request that began in a window.
    pub fn count(&mut self, window: WindowNumber, tenant: &TenantName) {
        let counts = self.open.entry(window).or_default();
        *counts.entry(tenant.clone()).or_default() += 1;
    }

    /// Takes out all that was counted, as one piece a window.
    pub fn take_pieces(&mut self) -> Vec<UsagePiece> {
        let open = std::mem::take(&mut self.open).into_iter();
        let pieces = open.map(|(window, counts)| {
            let sequence = self.next_sequence;
            self.next_sequence += 1;
            UsagePiece {
                window,
                sequence,
                counts,
            }
        });
        pieces.collect()
    }
}
