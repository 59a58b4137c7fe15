//! The body of an answer while it is collected, within a budget of bytes for all answers of a pool.
//!
//! Peers may send bodies without end, and each is collected up to the size limit of an answer. The
//! budget has a part for the first bytes of each answer, so that a few large ones do not keep the
//! others from being collected.

use super::exchange::SendFailure;
use crate::byte_budget::{ByteBudget, ByteReservation};
use bytes::Bytes;
use sloetrail_clock::BootInstant;
use std::time::Duration;

/// The first bytes of each answer, which are taken from a part of the budget of their own.
const FIRST_BYTES: usize = 64 * 1024;
/// The share of the budget for the first bytes.
const FIRST_BYTES_DIVISOR: usize = 4;
const MIN_CAPACITY: usize = 1024;
/// How long an answer waits for bytes of the budget. Answers usually end within this time.
const MAX_BUDGET_WAIT: Duration = Duration::from_millis(250);
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A limit on the bytes of the answers that are collected or held at the same time.
#[derive(Clone, Debug)]
pub(crate) struct AnswerBudget {
    first_bytes: ByteBudget,
    further_bytes: ByteBudget,
}

impl AnswerBudget {
    pub(crate) fn new(limit: usize) -> Self {
        let first_bytes = limit / FIRST_BYTES_DIVISOR;
        Self {
            first_bytes: ByteBudget::new(first_bytes),
            further_bytes: ByteBudget::new(limit - first_bytes),
        }
    }

    pub(super) fn unlimited() -> Self {
        Self {
            first_bytes: ByteBudget::new(usize::MAX),
            further_bytes: ByteBudget::new(usize::MAX),
        }
    }

    pub(super) fn new_buffer(&self) -> AnswerBuffer {
        AnswerBuffer {
            bytes: Vec::new(),
            first_bytes: self.first_bytes.new_reservation(),
            further_bytes: self.further_bytes.new_reservation(),
        }
    }
}

/// A body whose bytes are reserved in a budget until the last reference to them is dropped.
pub(super) struct AnswerBuffer {
    bytes: Vec<u8>,
    first_bytes: ByteReservation,
    further_bytes: ByteReservation,
}

impl AnswerBuffer {
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends a piece, waiting briefly if the budget has no bytes for it.
    ///
    /// # Errors
    ///
    /// If the budget still has none after the wait or at the deadline.
    pub(super) async fn push(
        &mut self,
        piece: &[u8],
        limit: usize,
        deadline: BootInstant,
    ) -> Result<(), SendFailure> {
        let needed = self.bytes.len() + piece.len();
        let give_up_at = deadline.min(BootInstant::now() + MAX_BUDGET_WAIT);
        while !self.try_reserve(needed, limit) {
            if BootInstant::now() >= give_up_at {
                return Err(SendFailure::OutOfMemoryBudget);
            }
            tokio::time::sleep(BUDGET_CHECK_INTERVAL).await;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Makes room for `needed` bytes. The capacity doubles, up to the size limit of the answer.
    fn try_reserve(&mut self, needed: usize, limit: usize) -> bool {
        let reserved = self.first_bytes.bytes() + self.further_bytes.bytes();
        if needed <= reserved {
            return true;
        }
        let doubled = reserved.saturating_mul(2).max(MIN_CAPACITY);
        let capacity = doubled.min(limit).max(needed);
        let first_bytes = capacity.min(FIRST_BYTES) - self.first_bytes.bytes();
        if !self.first_bytes.try_grow(first_bytes) {
            return false;
        }
        let further_bytes = capacity.saturating_sub(FIRST_BYTES) - self.further_bytes.bytes();
        if !self.further_bytes.try_grow(further_bytes) {
            return false;
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }

    pub(super) fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for AnswerBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
