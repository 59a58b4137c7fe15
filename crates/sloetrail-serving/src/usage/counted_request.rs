//! Counts a live request if a back end may have started it.

use super::NodeUsage;
use super::node_usage::OpenRequestId;
use sloetrail_clock::BootInstant;
use sloetrail_types::TenantName;
use std::sync::Arc;

/// A live request that is counted at most once, if a back end may have started it.
///
/// It is counted on drop, which includes callers that disconnect, or earlier if it runs long.
pub(crate) struct CountedRequest {
    usage: Arc<NodeUsage>,
    tenant: TenantName,
    /// Sends that may have reached a back end, by number, with their start times.
    sends: Vec<(usize, BootInstant)>,
    open: Option<OpenRequestId>,
}

impl CountedRequest {
    pub(crate) fn new(usage: &Arc<NodeUsage>, tenant: &TenantName) -> Self {
        Self {
            usage: Arc::clone(usage),
            tenant: tenant.clone(),
            sends: Vec::new(),
            open: None,
        }
    }

    /// Records that this send to a back end starts now. Idempotent per send.
    pub(crate) fn sent(&mut self, send: usize) {
        if self.sends.iter().all(|(number, _)| *number != send) {
            self.sends.push((send, BootInstant::now()));
            self.update_open();
        }
    }

    /// Records that this send provably did not run.
    pub(crate) fn not_run(&mut self, send: usize) {
        self.sends.retain(|(number, _)| *number != send);
        self.update_open();
    }

    fn update_open(&mut self) {
        if let Some(open) = self.open.take() {
            self.usage.remove(open);
        }
        let started_at = self.sends.iter().map(|(_, at)| *at).min();
        self.open = started_at.map(|started_at| self.usage.record_start(&self.tenant, started_at));
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        if let Some(open) = self.open.take() {
            self.usage.count(open);
        }
    }
}
