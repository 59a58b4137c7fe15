//! Progress of the groups of a batch, and the choice of the required groups.

use crate::item::{Item, ItemIndex};
use crate::submission::ItemId;
use std::collections::{BTreeMap, BTreeSet};

/// The index of a group in its batch, in order of submission.
pub type GroupIndex = usize;

/// Progress of the groups of a batch. A group is complete once all its items are listed.
/// A trainer waits for a number of complete groups, and for each group carried over from an
/// earlier batch.
#[derive(Clone, Debug)]
pub struct GroupProgress {
    /// The index into `groups` of each item's group.
    group_of_item: Vec<GroupIndex>,
    groups: Vec<Group>,
    required: usize,
    completed: usize,
    /// The number of incomplete groups carried over from an earlier batch.
    carried_remaining: usize,
    /// The maximum number of events of an item in a complete group.
    max_events: usize,
}

#[derive(Clone, Debug, Default)]
struct Group {
    /// True if the group is carried over from an earlier batch.
    is_carried: bool,
    /// The number of items that are not listed.
    remaining: usize,
    /// The maximum number of events of a listed item.
    max_events: usize,
}

impl GroupProgress {
    pub(crate) fn new(items: &[Item], required: Option<usize>, carried: &BTreeSet<ItemId>) -> Self {
        let mut indexes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut groups: Vec<Group> = Vec::new();
        let mut group_of_item = Vec::with_capacity(items.len());
        for item in items {
            let group_index = *indexes.entry(group_of(item)).or_insert_with(|| {
                groups.push(Group::default());
                groups.len() - 1
            });
            groups[group_index].remaining += 1;
            groups[group_index].is_carried |= carried.contains(&item.submitted.id);
            group_of_item.push(group_index);
        }
        Self {
            required: required.unwrap_or(groups.len()),
            group_of_item,
            carried_remaining: groups.iter().filter(|group| group.is_carried).count(),
            groups,
            completed: 0,
            max_events: 0,
        }
    }

    /// Records a listed item with this number of events. Returns true if it completes the
    /// required groups.
    pub(crate) fn record_listed(&mut self, index: ItemIndex, events: usize) -> bool {
        let was_complete = self.is_complete();
        let group = &mut self.groups[self.group_of_item[index]];
        group.remaining = group.remaining.saturating_sub(1);
        group.max_events = group.max_events.max(events);
        if group.remaining > 0 {
            return false;
        }
        self.completed += 1;
        self.carried_remaining -= usize::from(group.is_carried);
        self.max_events = self.max_events.max(group.max_events);
        !was_complete && self.is_complete()
    }

    /// Returns true if all required groups are complete.
    pub fn is_complete(&self) -> bool {
        self.completed >= self.required && self.carried_remaining == 0
    }

    /// The group of an item.
    pub fn group_of(&self, index: ItemIndex) -> GroupIndex {
        self.group_of_item[index]
    }

    /// The number of groups, complete or not.
    pub(crate) fn count(&self) -> usize {
        self.groups.len()
    }

    /// Returns true if the item's group is carried over from an earlier batch.
    pub(crate) fn is_carried(&self, index: ItemIndex) -> bool {
        self.groups[self.group_of(index)].is_carried
    }

    /// The number of groups that the trainer waits for.
    pub fn required(&self) -> usize {
        self.required
    }

    /// The number of groups that are required beyond the complete ones.
    pub(crate) fn required_remaining(&self) -> usize {
        self.required.saturating_sub(self.completed)
    }

    /// The indexes of the incomplete groups, and whether each is carried over from an earlier
    /// batch.
    pub(crate) fn incomplete(&self) -> impl Iterator<Item = (usize, bool)> {
        let groups = self.groups.iter().enumerate();
        groups
            .filter(|(_, group)| group.remaining > 0)
            .map(|(index, group)| (index, group.is_carried))
    }

    /// The number of complete groups.
    pub fn completed(&self) -> usize {
        self.completed
    }

    /// The maximum number of events of an item in a complete group.
    pub fn max_events(&self) -> usize {
        self.max_events
    }
}

/// Returns for each item whether its group is required. Groups carried over from an earlier
/// batch are chosen first, then groups in ascending order of their longest item.
pub(crate) fn required_items(
    items: &[Item],
    required_groups: Option<usize>,
    carried: &BTreeSet<ItemId>,
) -> Vec<bool> {
    let Some(required_groups) = required_groups else {
        return vec![true; items.len()];
    };
    let mut groups: BTreeMap<&str, (bool, u64)> = BTreeMap::new();
    for item in items {
        let (is_carried, longest) = groups.entry(group_of(item)).or_insert((false, 0));
        *is_carried |= carried.contains(&item.submitted.id);
        *longest = (*longest).max(item.expected_length);
    }
    let mut ranked: Vec<(&str, (bool, u64))> = groups.into_iter().collect();
    ranked.sort_by_key(|(_, (is_carried, longest))| (!is_carried, *longest));
    let required: BTreeSet<&str> = ranked
        .into_iter()
        .take(required_groups)
        .map(|(group, _)| group)
        .collect();
    items
        .iter()
        .map(|item| required.contains(group_of(item)))
        .collect()
}

/// Returns the item's group. An item without a group forms a group of its own.
fn group_of(item: &Item) -> &str {
    let submitted = &item.submitted;
    submitted.group.as_deref().unwrap_or(&submitted.id)
}
