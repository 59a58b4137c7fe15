//! News that still has to ride on datagrams.

use crate::MemberUpdate;
use sloetrail_types::NodeId;
use std::collections::BTreeMap;

const SENDS_PER_DOUBLING: u32 = 3;
const UPDATES_PER_DATAGRAM: usize = 6;

/// Each piece of news rides a number of times that grows with the logarithm of
/// the zone's size; the least sent goes first.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    entries: BTreeMap<NodeId, (MemberUpdate, u32)>,
}

impl GossipQueue {
    pub(crate) fn push(&mut self, update: MemberUpdate) {
        self.entries.insert(update.node.clone(), (update, 0));
    }

    pub(crate) fn take(&mut self, member_count: usize) -> Vec<MemberUpdate> {
        let doublings = usize::BITS - member_count.leading_zeros();
        let sends = SENDS_PER_DOUBLING * doublings.max(1);
        let mut order: Vec<(u32, NodeId)> = self
            .entries
            .iter()
            .map(|(node, (_, sent))| (*sent, node.clone()))
            .collect();
        order.sort();
        let mut taken = Vec::new();
        for (_, node) in order.into_iter().take(UPDATES_PER_DATAGRAM) {
            if let Some((update, sent)) = self.entries.get_mut(&node) {
                taken.push(update.clone());
                *sent += 1;
            }
        }
        self.entries.retain(|_, (_, sent)| *sent < sends);
        taken
    }
}
