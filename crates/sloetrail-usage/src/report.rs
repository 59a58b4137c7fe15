//! What is reported of a window.

use crate::counter::{TenantCounts, UsagePiece};
use crate::window::WindowNumber;
use serde::{Deserialize, Serialize};

/// The requests of each tenant that began in a window. Tenants without one are left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: WindowNumber,
    /// The requests.
    pub counts: TenantCounts,
}

impl UsageReport {
    /// Adds up the pieces of a window; pieces of others are left out.
    pub fn from_pieces<'a>(
        window: WindowNumber,
        pieces: impl IntoIterator<Item = &'a UsagePiece>,
    ) -> Self {
        let mut counts = TenantCounts::new();
        for piece in pieces.into_iter().filter(|piece| piece.window == window) {
            for (tenant, count) in &piece.counts {
                *counts.entry(tenant.clone()).or_default() += count;
            }
        }
        Self { window, counts }
    }

    /// All requests together.
    pub fn total_requests(&self) -> u64 {
        self.counts.values().sum()
    }
}
