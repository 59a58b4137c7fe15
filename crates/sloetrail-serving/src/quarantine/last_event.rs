//! The number of the last event that a request has received.

use parking_lot::Mutex;
use std::sync::Arc;

/// The number of the last event of a streamed answer, shared between the run that receives the
/// events and the watch that reports where the run was lost. None before the first event.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastEvent(Arc<Mutex<Option<u64>>>);

impl LastEvent {
    /// The last event of a request that continues after `number`.
    pub(crate) fn after(number: Option<u64>) -> Self {
        Self(Arc::new(Mutex::new(number)))
    }

    pub(crate) fn set(&self, number: u64) {
        *self.0.lock() = Some(number);
    }

    pub(crate) fn get(&self) -> Option<u64> {
        *self.0.lock()
    }

    /// The number of the last event; zero before the first one.
    pub(super) fn number(&self) -> u64 {
        self.get().unwrap_or_default()
    }
}
