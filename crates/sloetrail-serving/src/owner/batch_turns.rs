//! The batch whose item goes to an engine next.
//!
//! The most urgent batches go first; among those of one rank tenants take turns by what they
//! have under way, and within a tenant the batch that was accepted first goes first. A tenant
//! that submits much so does not delay the others by its queue.

use sloetrail_balance::{TenantShares, WorkOwner};
use sloetrail_batch::{BatchHeader, BatchId};
use sloetrail_types::Urgency;

/// A batch with items that may be started.
struct Candidate {
    urgency: Urgency,
    accepted_at_ms: u64,
    tenant: WorkOwner,
    id: BatchId,
}

/// The batches that have not been found to have nothing to start.
pub(super) struct BatchTurns<'a> {
    shares: &'a mut TenantShares,
    candidates: Vec<Candidate>,
}

impl<'a> BatchTurns<'a> {
    /// Turns among these batches; `shares` says what their tenants have under way.
    pub(super) fn new<'b>(
        shares: &'a mut TenantShares,
        batches: impl Iterator<Item = (&'b BatchId, &'b BatchHeader)>,
    ) -> Self {
        let candidates = batches.map(|(id, header)| {
            let (urgency, accepted_at_ms) = header.urgency();
            Candidate {
                urgency,
                accepted_at_ms,
                tenant: header.tenant.clone(),
                id: id.clone(),
            }
        });
        let mut candidates: Vec<Candidate> = candidates.collect();
        candidates.sort_by(|left, right| {
            let key = |one: &Candidate| (one.urgency, one.accepted_at_ms);
            key(left).cmp(&key(right)).then(left.id.cmp(&right.id))
        });
        Self { shares, candidates }
    }

    /// Calls `start` for the batch whose turn it is, until none has an item to start. `start`
    /// says whether it started one; a batch that has none is not asked again.
    pub(super) fn run(mut self, mut start: impl FnMut(&BatchId) -> bool) {
        while let Some(next) = self.next() {
            let candidate = &self.candidates[next];
            match start(&candidate.id) {
                true => self.shares.began(&candidate.tenant),
                false => {
                    self.candidates.remove(next);
                }
            }
        }
    }

    /// Of equals the first in the list, which is the oldest.
    fn next(&self) -> Option<usize> {
        let turn = |one: &Candidate| (one.urgency, self.shares.turn(&one.tenant));
        let candidates = self.candidates.iter().enumerate();
        let next = candidates.min_by_key(|(_, candidate)| turn(candidate));
        next.map(|(index, _)| index)
    }
}

#[cfg(test)]
mod tests;
