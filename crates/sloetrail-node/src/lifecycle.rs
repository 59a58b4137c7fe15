//! Whether the node takes new work, and what is in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use tokio::sync::Notify;

const STARTING: u8 = 0;
const READY: u8 = 1;
const LEAVING: u8 = 2;

/// The phase of a node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It holds no configuration yet.
    Starting,
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// The node's phase and its requests in flight.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    phase: AtomicU8,
    in_flight: AtomicUsize,
    changed: Notify,
}

impl Lifecycle {
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            STARTING => Phase::Starting,
            READY => Phase::Ready,
            _ => Phase::Leaving,
        }
    }

    /// From starting to ready; a leaving node stays leaving.
    pub(crate) fn become_ready(&self) -> bool {
        self.phase
            .compare_exchange(STARTING, READY, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }

    pub(crate) fn leave(&self) {
        self.phase.store(LEAVING, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Counts a request in. The count is raised before the phase is read, so
    /// that a leaving node never overlooks a request that it admitted.
    pub(crate) fn enter(self: &Arc<Self>) -> Result<InFlight, Phase> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = InFlight {
            lifecycle: Arc::clone(self),
        };
        match self.phase() {
            Phase::Ready => Ok(guard),
            other => Err(other),
        }
    }

    /// Waits until nothing is in flight.
    pub(crate) async fn drained(&self) {
        loop {
            let changed = self.changed.notified();
            if self.in_flight.load(Ordering::SeqCst) == 0 {
                return;
            }
            changed.await;
        }
    }
}

/// A request in flight, until dropped.
pub(crate) struct InFlight {
    lifecycle: Arc<Lifecycle>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.lifecycle.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.lifecycle.changed.notify_waiters();
    }
}
