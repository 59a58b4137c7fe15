//! The batch whose item goes to an engine next.
//!
//! The most urgent batches go first; among those of one rank tenants take turns by what they
//! have under way, and within a tenant the batch that was accepted first goes first. A tenant
//! that submits much so does not delay the others by its queue.

use sloetrail_balance::{TenantShares, WorkOwner};
use sloetrail_batch::{BatchHeader, BatchId};
use sloetrail_types::Urgency;
use std::collections::{BTreeMap, VecDeque};

/// A batch with items that may be started. The least was accepted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    accepted_at_ms: u64,
    id: BatchId,
}

/// The batches of one rank, those of each tenant in the order of their acceptance. No tenant
/// is held that has none.
type Rank = BTreeMap<WorkOwner, VecDeque<Candidate>>;

/// The batches that have not been found to have nothing to start.
pub(super) struct BatchScheduler<'a> {
    shares: &'a mut TenantShares,
    ranks: BTreeMap<Urgency, Rank>,
}

impl<'a> BatchScheduler<'a> {
    /// Turns among these batches; `shares` says what their tenants have under way.
    pub(super) fn new<'b>(
        shares: &'a mut TenantShares,
        batches: impl Iterator<Item = (&'b BatchId, &'b BatchHeader)>,
    ) -> Self {
        let mut ranks: BTreeMap<Urgency, Rank> = BTreeMap::new();
        for (id, header) in batches {
            let (urgency, accepted_at_ms) = header.urgency();
            let rank = ranks.entry(urgency).or_default();
            let of_tenant = rank.entry(header.tenant.clone()).or_default();
            let id = id.clone();
            of_tenant.push_back(Candidate { accepted_at_ms, id });
        }
        for of_tenant in ranks.values_mut().flat_map(Rank::values_mut) {
            of_tenant.make_contiguous().sort();
        }
        Self { shares, ranks }
    }

    /// Calls `start` for the batch whose turn it is, until none has an item to start. `start`
    /// says whether it started one; a batch that has none is not asked again.
    pub(super) fn run(self, mut start: impl FnMut(&BatchId) -> bool) {
        let Self { shares, ranks } = self;
        for mut rank in ranks.into_values() {
            while let Some((tenant, id)) = next(shares, &rank) {
                if start(id) {
                    shares.began(tenant);
                    continue;
                }
                let tenant = tenant.clone();
                remove_first(&mut rank, &tenant);
            }
        }
    }
}

/// The batch whose turn it is in a rank, with its tenant. Of tenants whose turn it is alike,
/// the one whose batch was accepted first.
fn next<'b>(shares: &TenantShares, rank: &'b Rank) -> Option<(&'b WorkOwner, &'b BatchId)> {
    let firsts = rank
        .iter()
        .filter_map(|(tenant, of_tenant)| Some((tenant, of_tenant.front()?)));
    let next = firsts.min_by_key(|(tenant, first)| (shares.turn(tenant), *first));
    next.map(|(tenant, first)| (tenant, &first.id))
}

fn remove_first(rank: &mut Rank, tenant: &WorkOwner) {
    let Some(of_tenant) = rank.get_mut(tenant) else {
        return;
    };
    of_tenant.pop_front();
    if of_tenant.is_empty() {
        rank.remove(tenant);
    }
}

#[cfg(test)]
mod tests;
