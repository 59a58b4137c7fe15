//! The order in which the waiting items of a batch are dispatched: by class, and within a class.

use super::Batch;
use crate::item::ItemIndex;
use crate::{DispatchClass, TriagedGroups};
use std::cmp::Reverse;

/// The place of a group in the dispatch order under triage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GroupRank {
    class: DispatchClass,
    /// The position of a set of groups in time or of a late group in its class.
    position: usize,
}

impl Batch {
    /// Sets the classes of the required groups and reorders the waiting items if an item's place
    /// changes. Items of groups that are in neither class are not required. With None, the
    /// dispatch order alone applies.
    pub fn set_triage(&mut self, triaged: Option<&TriagedGroups>) {
        let ranks = triaged.map(|triaged| self.group_ranks(triaged));
        if self.triage != ranks {
            self.triage = ranks;
            self.sort_queue();
        }
    }

    fn group_ranks(&self, triaged: &TriagedGroups) -> Vec<GroupRank> {
        let not_required = GroupRank {
            class: DispatchClass::NotRequired,
            position: 0,
        };
        let mut ranks = vec![not_required; self.groups.count()];
        for (position, set) in triaged.in_time.iter().enumerate() {
            for group in set {
                ranks[*group] = GroupRank {
                    class: DispatchClass::InTime,
                    position,
                };
            }
        }
        for (position, group) in triaged.late.iter().enumerate() {
            ranks[*group] = GroupRank {
                class: DispatchClass::Late,
                position,
            };
        }
        ranks
    }

    /// Returns the class of an item in the dispatch order. If neither triage nor the dispatch
    /// order distinguishes required groups, all items are in time.
    pub fn class_of(&self, index: ItemIndex) -> DispatchClass {
        self.rank_of(index).class
    }

    fn rank_of(&self, index: ItemIndex) -> GroupRank {
        if let Some(ranks) = &self.triage {
            return ranks[self.groups.group_of(index)];
        }
        let is_required = self.required[index] || !self.order.required_first;
        GroupRank {
            class: match is_required {
                true => DispatchClass::InTime,
                false => DispatchClass::NotRequired,
            },
            position: 0,
        }
    }

    /// Returns true if the trainer still waits for the item's group: the required groups are not
    /// all complete, and the group is one of them or carried over from an earlier batch.
    pub fn is_awaited(&self, index: ItemIndex) -> bool {
        let is_required = self.required[index] || self.groups.is_carried(index);
        is_required && !self.groups.is_complete()
    }

    /// Returns the class of the item to dispatch next.
    pub fn next_class(&self) -> Option<DispatchClass> {
        self.peek().map(|index| self.class_of(index))
    }

    /// Returns the waiting items of a class, in reverse dispatch order: the next is the last.
    pub fn waiting_of_class(&self, class: DispatchClass) -> &[ItemIndex] {
        let queue = &self.queue;
        let start = queue.partition_point(|index| self.class_of(*index) > class);
        let end = queue.partition_point(|index| self.class_of(*index) >= class);
        &queue[start..end]
    }

    /// Returns the waiting items of the set of groups, or of the late group, that is next in a
    /// class. Any of them may go first without breaking the order of sets and late groups.
    pub fn next_set_of_class(&self, class: DispatchClass) -> &[ItemIndex] {
        let waiting = self.waiting_of_class(class);
        let position = |index: &ItemIndex| self.rank_of(*index).position;
        let next = waiting.last().map(position);
        let start = waiting.partition_point(|index| Some(position(index)) > next);
        &waiting[start..]
    }

    /// Returns the item of a class to dispatch next, or None if none waits.
    pub fn next_of_class(&self, class: DispatchClass) -> Option<ItemIndex> {
        self.waiting_of_class(class).last().copied()
    }

    /// Sorts the queue in reverse dispatch order: by class, then sets of groups in time or late
    /// groups one after another, then by the dispatch order. Items that are not required have the opposite ranking.
    pub(super) fn sort_queue(&mut self) {
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_key(|index| {
            let GroupRank { class, position } = self.rank_of(*index);
            let rank = match self.order.longest_first {
                true => self.items[*index].expected_length as i64,
                false => -(*index as i64),
            };
            let rank = match class {
                DispatchClass::InTime | DispatchClass::Late => rank,
                DispatchClass::NotRequired => -rank,
            };
            (Reverse(class), Reverse(position), rank)
        });
        self.queue = queue;
    }
}
