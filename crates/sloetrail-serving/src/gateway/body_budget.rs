//! A limit on the total bytes of request bodies in a node's memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A byte budget shared by all reservations.
#[derive(Clone, Debug)]
pub(crate) struct BodyBudget {
    limit: usize,
    reserved: Arc<AtomicUsize>,
}

/// The bytes reserved for one body; released on drop.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            reserved: Arc::default(),
        }
    }

    /// Returns an empty reservation.
    pub(crate) fn new_reservation(&self) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyReservation {
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

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

#[cfg(test)]
mod tests;
