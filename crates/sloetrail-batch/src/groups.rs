//! The groups of a batch: which of them are waited for, and which are whole.

use crate::item::{Item, ItemIndex};
use crate::submission::ItemId;
use std::collections::{BTreeMap, BTreeSet};

/// How far the groups of a batch have come. A group is whole once all its items are
/// listed. A trainer waits for as many whole groups as it wants, and for each group that an
/// earlier batch left over.
#[derive(Clone, Debug)]
pub struct GroupProgress {
    /// For each item the place of its group.
    group_of_item: Vec<usize>,
    groups: Vec<Group>,
    wanted: usize,
    whole: usize,
    /// Groups that an earlier batch left over and that are not whole.
    carried_left: usize,
    /// The most events of an item of a whole group.
    longest: usize,
}

#[derive(Clone, Debug, Default)]
struct Group {
    /// True if an earlier batch left it over.
    is_carried: bool,
    /// Items that are not listed.
    left: usize,
    /// The most events of a listed item.
    longest: usize,
}

impl GroupProgress {
    pub(crate) fn new(items: &[Item], wanted: Option<usize>, carried: &BTreeSet<ItemId>) -> Self {
        let mut places: BTreeMap<&str, usize> = BTreeMap::new();
        let mut groups: Vec<Group> = Vec::new();
        let mut group_of_item = Vec::with_capacity(items.len());
        for item in items {
            let place = *places.entry(group_of(item)).or_insert_with(|| {
                groups.push(Group::default());
                groups.len() - 1
            });
            groups[place].left += 1;
            groups[place].is_carried |= carried.contains(&item.submitted.id);
            group_of_item.push(place);
        }
        Self {
            wanted: wanted.unwrap_or(groups.len()),
            group_of_item,
            carried_left: groups.iter().filter(|group| group.is_carried).count(),
            groups,
            whole: 0,
            longest: 0,
        }
    }

    /// An item with so many events was listed. True if this completes the groups that
    /// are waited for.
    pub(crate) fn record_listed(&mut self, index: ItemIndex, events: usize) -> bool {
        let were_whole = self.are_complete();
        let group = &mut self.groups[self.group_of_item[index]];
        group.left = group.left.saturating_sub(1);
        group.longest = group.longest.max(events);
        if group.left > 0 {
            return false;
        }
        self.whole += 1;
        self.carried_left -= usize::from(group.is_carried);
        self.longest = self.longest.max(group.longest);
        !were_whole && self.are_complete()
    }

    /// True if all groups that the trainer waits for are whole.
    pub fn are_complete(&self) -> bool {
        self.whole >= self.wanted && self.carried_left == 0
    }

    /// How many groups the trainer waits for.
    pub fn required(&self) -> usize {
        self.wanted
    }

    /// How many groups are whole.
    pub fn completed(&self) -> usize {
        self.whole
    }

    /// The most events of an item of a whole group.
    pub fn longest(&self) -> usize {
        self.longest
    }
}

/// Marks the items of the groups that are waited for: those carried over from an
/// earlier batch, then those whose longest item is shortest.
pub(crate) fn required_items(
    items: &[Item],
    groups_wanted: Option<usize>,
    carried: &BTreeSet<ItemId>,
) -> Vec<bool> {
    let Some(groups_wanted) = groups_wanted else {
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
    let wanted: BTreeSet<&str> = ranked
        .into_iter()
        .take(groups_wanted)
        .map(|(group, _)| group)
        .collect();
    items
        .iter()
        .map(|item| wanted.contains(group_of(item)))
        .collect()
}

/// An item without a group is a group of its own.
fn group_of(item: &Item) -> &str {
    let submitted = &item.submitted;
    submitted.group.as_deref().unwrap_or(&submitted.id)
}
