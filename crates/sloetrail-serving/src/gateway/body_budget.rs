//! A bound on the bytes of all request bodies that a node holds at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The bytes that request bodies may take together.
#[derive(Clone, Debug)]
pub(crate) struct BodyBudget {
    limit: usize,
    held: Arc<AtomicUsize>,
}

/// Bytes of one body; given back when dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// A budget of so many bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            held: Arc::default(),
        }
    }

    /// Begins to hold a body of which nothing has come.
    pub(crate) fn new_reservation(&self) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Holds more bytes; false if they do not fit.
    pub(crate) fn try_grow(&mut self, more: usize) -> bool {
        let limit = self.budget.limit;
        let fits = |held: usize| held.checked_add(more).filter(|held| *held <= limit);
        let held = &self.budget.held;
        let grown = held.fetch_update(Ordering::SeqCst, Ordering::SeqCst, fits);
        if grown.is_ok() {
            self.bytes += more;
        }
        grown.is_ok()
    }

    /// The bytes of this body.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}

#[cfg(test)]
mod tests;
