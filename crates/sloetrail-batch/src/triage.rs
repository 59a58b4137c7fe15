//! Classifies the required groups of a batch when more work is open than fits before it is due.
//!
//! A group is useful only once it is complete, and much less so after the due time. Running all
//! groups concurrently would end them late together. The groups with the least remaining work are
//! therefore chosen to be in time, up to the capacity, and run one set after another, so that an
//! error of the estimates delays the last set only. The others are late and follow one by one.

use crate::groups::GroupIndex;
use crate::{Batch, ItemIndex, ItemState, LengthModel};
use std::collections::BTreeMap;

/// The class of an item, in dispatch order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DispatchClass {
    /// The item's group is required and can be complete by the due time. Without triage, the
    /// items of all required groups have this class.
    InTime,
    /// The item's group is required and is not expected to be complete by the due time.
    Late,
    /// The item's group is not required.
    NotRequired,
}

/// The remaining work of an incomplete required group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupWork {
    pub group: GroupIndex,
    /// The remaining events of its waiting items.
    pub waiting_events: f64,
    /// The remaining events of its running items.
    pub running_events: f64,
    /// The remaining events of its longest text.
    pub longest_text: f64,
    /// The number of its waiting and running items.
    pub items: usize,
}

impl GroupWork {
    /// The remaining events of all texts.
    fn events(&self) -> f64 {
        self.waiting_events + self.running_events
    }
}

/// The remaining work of a batch, in events.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BatchWork {
    /// The incomplete required groups that have texts to generate.
    pub groups: Vec<GroupWork>,
    /// The remaining events of each running text, whether its group is required or not.
    pub running_texts: Vec<f64>,
    /// The number of waiting items of required groups.
    pub waiting_items: usize,
}

impl BatchWork {
    /// The remaining events of the waiting items of required groups.
    pub fn waiting_events(&self) -> f64 {
        self.groups.iter().map(|group| group.waiting_events).sum()
    }
}

/// What engines can generate for a batch before its due time, in events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventBudget {
    /// The maximum for one text.
    pub per_text: f64,
    /// The maximum for the waiting items of the batch. Running texts are not counted against it.
    pub waiting: f64,
    /// The number of texts that the engines generate at a time.
    pub slots: f64,
}

/// The required groups of a batch by class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TriagedGroups {
    /// Sets that run one after another, each just large enough to use all slots. Ordered by
    /// remaining work, least first.
    pub in_time: Vec<Vec<GroupIndex>>,
    /// Ordered by remaining work, least first.
    pub late: Vec<GroupIndex>,
    /// The remaining events of the waiting items of groups in time.
    pub in_time_waiting_events: f64,
}

impl TriagedGroups {
    pub fn in_time_count(&self) -> usize {
        self.in_time.iter().map(Vec::len).sum()
    }
}

/// Classifies groups. A group whose longest text cannot end within the budget is late. Of the
/// others, those with the least remaining work are in time until the budget is used up. Groups
/// that have begun have less work left, so they keep their class.
pub fn triage(groups: &[GroupWork], budget: EventBudget) -> TriagedGroups {
    let mut by_work: Vec<&GroupWork> = groups.iter().collect();
    by_work.sort_by(|left, right| {
        let by_events = left.events().total_cmp(&right.events());
        by_events.then(left.group.cmp(&right.group))
    });
    let mut triaged = TriagedGroups::default();
    let mut in_time = Vec::new();
    for work in by_work {
        let used = triaged.in_time_waiting_events + work.waiting_events;
        // A group without waiting items takes nothing from the budget.
        let has_budget = work.waiting_events <= 0.0 || used <= budget.waiting;
        if work.longest_text <= budget.per_text && has_budget {
            triaged.in_time_waiting_events = used;
            in_time.push(work);
        } else {
            triaged.late.push(work.group);
        }
    }
    triaged.in_time = sets(&in_time, budget.slots);
    triaged
}

/// Splits groups into consecutive sets, each just large enough to use all slots.
fn sets(groups: &[&GroupWork], slots: f64) -> Vec<Vec<GroupIndex>> {
    let mut sets = Vec::new();
    let (mut set, mut items) = (Vec::new(), 0);
    for work in groups {
        set.push(work.group);
        items += work.items;
        if items as f64 >= slots {
            sets.push(std::mem::take(&mut set));
            items = 0;
        }
    }
    sets.extend((!set.is_empty()).then_some(set));
    sets
}

impl Batch {
    /// Returns the remaining work of the required groups. `generated_events` returns the number of
    /// events of a running item. None until lengths can be estimated.
    pub fn remaining_work(
        &self,
        lengths: &LengthModel,
        generated_events: impl Fn(ItemIndex) -> usize,
    ) -> Option<BatchWork> {
        let mut groups: BTreeMap<GroupIndex, GroupWork> = BTreeMap::new();
        let mut work = BatchWork::default();
        for (index, item) in self.items().iter().enumerate() {
            let (is_running, events) = match item.state {
                ItemState::Waiting => (false, item.transcript.len()),
                ItemState::Running => (true, generated_events(index)),
                ItemState::Rewarding | ItemState::Committing | ItemState::Listed => continue,
            };
            let remaining = lengths.remaining_events(item.expected_length, events)?;
            if is_running {
                work.running_texts.push(remaining);
            }
            if !self.is_awaited(index) {
                continue;
            }
            let group = self.groups().group_of(index);
            let group_work = groups.entry(group).or_insert(GroupWork {
                group,
                waiting_events: 0.0,
                running_events: 0.0,
                longest_text: 0.0,
                items: 0,
            });
            group_work.items += 1;
            group_work.longest_text = group_work.longest_text.max(remaining);
            if is_running {
                group_work.running_events += remaining;
            } else {
                group_work.waiting_events += remaining;
                work.waiting_items += 1;
            }
        }
        work.groups = groups.into_values().collect();
        Some(work)
    }
}

#[cfg(test)]
mod tests;
