//! Limits on the bytes that requests and answers take in a node's memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A byte budget shared by all reservations.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    limit: usize,
    reserved: Arc<AtomicUsize>,
}

/// The bytes reserved for one request or answer; released on drop.
#[derive(Debug)]
pub(crate) struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            reserved: Arc::default(),
        }
    }

    /// Returns an empty reservation.
    pub(crate) fn new_reservation(&self) -> ByteReservation {
        ByteReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl ByteReservation {
    /// Reserves more bytes. Returns false, with nothing reserved, if they exceed the budget.
    pub(crate) fn try_grow(&mut self, more: usize) -> bool {
        let limit = self.budget.limit;
        let fits = |reserved: usize| reserved.checked_add(more).filter(|sum| *sum <= limit);
        let reserved = &self.budget.reserved;
        let grown = reserved.fetch_update(Ordering::SeqCst, Ordering::SeqCst, fits);
        if grown.is_ok() {
            self.bytes += more;
        }
        grown.is_ok()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

#[cfg(test)]
mod tests;
