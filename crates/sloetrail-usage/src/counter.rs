//! Request counts of one node that are not in the table yet.

use crate::window::WindowNumber;
use serde::{Deserialize, Serialize};
use sloetrail_types::TenantName;
use std::collections::BTreeMap;

/// Number of requests by tenant.
pub type TenantCounts = BTreeMap<TenantName, u64>;

/// The requests that a node counted in a window since its previous piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsagePiece {
    pub window: WindowNumber,
    /// Unique among the pieces of one node incarnation.
    pub sequence: u64,
    pub counts: TenantCounts,
}

/// Counts the requests of one node incarnation.
///
/// Invariant: each counted request is in exactly one piece, and pieces are immutable. Writing a
/// piece twice under its sequence number is therefore idempotent.
#[derive(Debug, Default)]
pub struct UsageCounter {
    open: BTreeMap<WindowNumber, TenantCounts>,
    next_sequence: u64,
}

impl UsageCounter {
    /// Counts a request that started in this window.
    pub fn count(&mut self, window: WindowNumber, tenant: &TenantName) {
        let counts = self.open.entry(window).or_default();
        *counts.entry(tenant.clone()).or_default() += 1;
    }

    /// Removes all counts and returns them as one piece per window.
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
