//! The usage report of one window.

use crate::counter::{TenantCounts, UsagePiece};
use crate::window::WindowNumber;
use serde::{Deserialize, Serialize};

/// The number of requests per tenant that started in a window. Tenants without requests are
/// omitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    pub window: WindowNumber,
    pub counts: TenantCounts,
}

impl UsageReport {
    /// Sums the pieces of this window and ignores those of other windows.
    pub fn from_pieces<'a>(
        window: WindowNumber,
        pieces: impl IntoIterator<Item = &'a UsagePiece>,
    ) -> Self {
        let mut counts = TenantCounts::new();
        for piece in pieces.into_iter().filter(|piece| piece.window == window) {
            for (tenant, count) in &piece.counts {
                let total = counts.entry(tenant.clone()).or_default();
                *total = total.saturating_add(*count);
            }
        }
        Self { window, counts }
    }

    pub fn total_requests(&self) -> u64 {
        let counts = self.counts.values();
        counts.fold(0, |total, count| total.saturating_add(*count))
    }
}
