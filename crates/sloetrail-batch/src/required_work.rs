//! The work that a batch needs at least until its required groups are complete.

use crate::item::{Item, ItemIndex, ItemState};
use crate::{Batch, LengthModel, Submission, SubmittedItem};
use sloetrail_types::bounded;
use std::collections::BTreeMap;

impl Batch {
    /// Estimates the remaining events of the required groups. These are the incomplete groups that
    /// were carried over from an earlier batch, and of the others those with the least work, since
    /// any of them may become complete first. `generated_events` returns the number of events of
    /// a running item. None until the length model knows the unit of the hints.
    pub fn required_events(
        &self,
        lengths: &LengthModel,
        generated_events: impl Fn(ItemIndex) -> usize,
    ) -> Option<f64> {
        if self.groups().is_complete() {
            return Some(0.0);
        }
        let mut groups: BTreeMap<usize, RequiredGroup> = self
            .groups()
            .incomplete()
            .map(|(group, is_carried)| (group, RequiredGroup::new(is_carried)))
            .collect();
        for (index, item) in self.items().iter().enumerate() {
            let Some(events) = remaining_events(index, item, lengths, &generated_events) else {
                continue;
            };
            let events = events?;
            if let Some(group) = groups.get_mut(&self.groups().group_of(index)) {
                group.events += events;
            }
        }
        let remaining = self.groups().required_remaining();
        Some(least_work(groups.into_values().collect(), remaining))
    }
}

/// Returns the remaining events of an item, None if its text is complete. The inner value is None
/// if the length model does not know the unit of the hints.
fn remaining_events(
    index: ItemIndex,
    item: &Item,
    lengths: &LengthModel,
    generated_events: impl Fn(ItemIndex) -> usize,
) -> Option<Option<f64>> {
    let generated = match item.state {
        ItemState::Waiting => item.transcript.len(),
        ItemState::Running => generated_events(index),
        ItemState::Rewarding | ItemState::Committing | ItemState::Listed => return None,
    };
    Some(lengths.remaining_events(item.expected_length, generated))
}

struct RequiredGroup {
    is_carried: bool,
    events: f64,
}

impl RequiredGroup {
    fn new(is_carried: bool) -> Self {
        Self {
            is_carried,
            events: 0.0,
        }
    }
}

/// Returns the work of `required` groups: the carried ones first, then those with the least work.
/// All carried groups count, even if they are more.
fn least_work(mut groups: Vec<RequiredGroup>, required: usize) -> f64 {
    groups.sort_by(|a, b| {
        let carried_first = b.is_carried.cmp(&a.is_carried);
        carried_first.then(a.events.total_cmp(&b.events))
    });
    let carried = groups.iter().filter(|group| group.is_carried).count();
    let counted = groups.iter().take(required.max(carried));
    counted.map(|group| group.events).sum()
}

impl Submission {
    /// Returns the hinted length of the groups that the trainer waits for, the shortest ones if
    /// it does not wait for all. `expected_length` returns the hint of an item.
    pub fn required_units(&self, expected_length: impl Fn(&SubmittedItem) -> u64) -> f64 {
        let length = |item: &SubmittedItem| expected_length(item).min(bounded::MAX_LENGTH);
        let mut groups: BTreeMap<&str, f64> = BTreeMap::new();
        for item in &self.items {
            let group = item.group.as_deref().unwrap_or(&item.id);
            *groups.entry(group).or_default() += length(item) as f64;
        }
        let mut units: Vec<f64> = groups.into_values().collect();
        units.sort_by(f64::total_cmp);
        let required = self.desired_groups.unwrap_or(units.len());
        units.into_iter().take(required).sum()
    }
}

#[cfg(test)]
mod tests;
