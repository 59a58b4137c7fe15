//! Whether a live request began at a back end, and when.

use super::NodeUsage;
use super::node_usage::OpenRequestId;
use sloetrail_clock::BootInstant;
use sloetrail_types::TenantName;
use std::sync::Arc;

/// Counts one live request, once, if a back end may have begun it: when it is dropped, or
/// before if it goes on for long. A caller that leaves early drops it too: what was begun
/// for it is counted.
pub(crate) struct CountedRequest {
    usage: Arc<NodeUsage>,
    tenant: TenantName,
    /// By number, when the sends began that may have reached a back end.
    sends: Vec<(usize, BootInstant)>,
    open: Option<OpenRequestId>,
}

impl CountedRequest {
    /// A request that has not been sent anywhere.
    pub(crate) fn new(usage: &Arc<NodeUsage>, tenant: &TenantName) -> Self {
        Self {
            usage: Arc::clone(usage),
            tenant: tenant.clone(),
            sends: Vec::new(),
            open: None,
        }
    }

    /// It goes to a back end now, with this send. Said again of the same send, it changes
    /// nothing.
    pub(crate) fn sent(&mut self, send: usize) {
        if self.sends.iter().all(|(number, _)| *number != send) {
            self.sends.push((send, BootInstant::now()));
            self.update_open();
        }
    }

    /// It is proved that this send was not run.
    pub(crate) fn not_run(&mut self, send: usize) {
        self.sends.retain(|(number, _)| *number != send);
        self.update_open();
    }

    fn update_open(&mut self) {
        if let Some(open) = self.open.take() {
            self.usage.forget(open);
        }
        let began = self.sends.iter().map(|(_, at)| *at).min();
        self.open = began.map(|began| self.usage.begin(&self.tenant, began));
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        if let Some(open) = self.open.take() {
            self.usage.count(open);
        }
    }
}
