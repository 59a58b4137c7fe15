//! The state of an open batch at the owner of its service.

mod queue;

use self::queue::GroupRank;
use crate::groups::{GroupProgress, required_items};
use crate::item::{DeathCause, Item, ItemIndex, ItemState, MAX_IMPOSSIBLE_ANSWERS, RunFailure};
use crate::{
    BatchHeader, BatchId, DispatchClass, ItemId, ListedResult, ResultState, Submission,
    SubmittedItem, Transcript,
};
use sloetrail_types::{WeightVersion, bounded};
use std::collections::BTreeSet;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub struct Batch {
    pub id: BatchId,
    pub header: BatchHeader,
    /// The model that generates the samples.
    pub model: Option<String>,
    /// The oldest weight version that may generate a token.
    pub oldest_version: WeightVersion,
    items: Vec<Item>,
    /// Waiting items in reverse dispatch order: the next item is the last element.
    queue: Vec<ItemIndex>,
    /// Whether the group of each item is required.
    required: Vec<bool>,
    groups: GroupProgress,
    /// Group progress that also counts results whose commit is pending.
    groups_with_pending: GroupProgress,
    order: DispatchOrder,
    /// The rank of each group. None without triage.
    triage: Option<Vec<GroupRank>>,
}

/// The order in which the items of a batch are dispatched to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Dispatches items of required groups before the others. Saves work when slots are
    /// scarce. Otherwise it costs time, because lengths are only estimated.
    pub required_first: bool,
    /// Dispatches the longest required items first, because they determine when the step
    /// is complete. If false, the order of submission applies.
    pub longest_first: bool,
}

impl Default for DispatchOrder {
    fn default() -> Self {
        Self {
            required_first: false,
            longest_first: true,
        }
    }
}

impl Batch {
    /// Sets the dispatch order and reorders the waiting items.
    pub fn set_dispatch_order(&mut self, order: DispatchOrder) {
        if self.order != order {
            self.order = order;
            self.sort_queue();
        }
    }

    /// Creates a batch with all items waiting. `expected_length` returns the length of an
    /// item in the unit of the trainer's hint. `carried` holds the items that an earlier
    /// batch did not complete.
    pub fn new(
        id: BatchId,
        header: BatchHeader,
        submission: Submission,
        expected_length: impl Fn(&SubmittedItem) -> u64,
        carried: &BTreeSet<ItemId>,
    ) -> Self {
        let oldest_version = submission.oldest_version();
        let required_groups = submission.desired_groups;
        let items: Vec<Item> = submission
            .items
            .into_iter()
            .map(|submitted| Item {
                expected_length: expected_length(&submitted).min(bounded::MAX_LENGTH),
                submitted: Arc::new(submitted),
                state: ItemState::Waiting,
                transcript: Transcript::default(),
                generation: 0,
                failed_runs: 0,
                impossible_answers: 0,
            })
            .collect();
        let required = required_items(&items, required_groups, carried);
        let groups = GroupProgress::new(&items, required_groups, carried);
        let mut batch = Self {
            id,
            header,
            model: submission.model,
            oldest_version,
            queue: (0..items.len()).collect(),
            items,
            required,
            groups_with_pending: groups.clone(),
            groups,
            order: DispatchOrder::default(),
            triage: None,
        };
        batch.sort_queue();
        batch
    }

    pub fn items(&self) -> &[Item] {
        &self.items
    }

    pub fn item(&self, index: ItemIndex) -> &Item {
        &self.items[index]
    }

    pub fn index_of(&self, id: &str) -> Option<ItemIndex> {
        self.items.iter().position(|item| item.submitted.id == id)
    }

    /// Returns true if the item's group is required, or if the dispatch order does not
    /// prefer required groups.
    pub fn is_required(&self, index: ItemIndex) -> bool {
        self.class_of(index) != DispatchClass::NotRequired
    }

    /// Returns true if the item's group is required, whatever the dispatch order.
    pub fn is_in_required_group(&self, index: ItemIndex) -> bool {
        self.required[index]
    }

    /// Returns the item to dispatch next, or None if no item waits.
    pub fn peek(&self) -> Option<ItemIndex> {
        self.queue.last().copied()
    }

    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Removes the next item from the queue and marks it as running.
    pub fn start_next(&mut self) -> Option<ItemIndex> {
        let index = self.peek()?;
        self.start(index).then_some(index)
    }

    /// Removes an item from the queue and marks it as running. Returns false if the item
    /// is not waiting.
    pub fn start(&mut self, index: ItemIndex) -> bool {
        let is_waiting = self.items[index].state == ItemState::Waiting;
        if is_waiting {
            self.queue.retain(|waiting| *waiting != index);
            self.items[index].state = ItemState::Running;
        }
        is_waiting
    }

    /// Stores the partial text of an item.
    pub fn set_transcript(&mut self, index: ItemIndex, transcript: Transcript) {
        self.items[index].transcript = transcript;
    }

    /// Restores the text and generation of an item from the table.
    pub fn restore(&mut self, index: ItemIndex, generation: u32, transcript: Transcript) {
        let item = &mut self.items[index];
        item.generation = generation;
        item.transcript = transcript;
    }

    /// Restores the count of failed runs from earlier owners. The attempt limit of the route
    /// applies across owners.
    pub fn restore_failed_runs(&mut self, index: ItemIndex, failed_runs: usize) {
        // An item at the limit would be listed already, so the count stays below it.
        let max_failed_runs = self.header.max_attempts.saturating_sub(1);
        self.items[index].failed_runs = failed_runs.min(max_failed_runs);
    }

    pub fn failed_runs(&self, index: ItemIndex) -> usize {
        self.items[index].failed_runs
    }

    /// Discards the text of an item, so that the next run starts from the prompt.
    pub fn restart_text(&mut self, index: ItemIndex) {
        let item = &mut self.items[index];
        item.generation += 1;
        item.transcript = Transcript::default();
    }

    /// Records a run that ended without a complete text. Returns the cause if the item is
    /// dead, or None if it is queued again or was not running.
    pub fn record_run_failure(
        &mut self,
        index: ItemIndex,
        failure: RunFailure,
    ) -> Option<DeathCause> {
        let item = &mut self.items[index];
        if item.state != ItemState::Running {
            return None;
        }
        match failure {
            RunFailure::Failed => {
                item.failed_runs += 1;
                item.generation += 1;
                item.transcript = Transcript::default();
            }
            RunFailure::Impossible => item.impossible_answers += 1,
            RunFailure::Interrupted => {}
        }
        if item.impossible_answers >= MAX_IMPOSSIBLE_ANSWERS {
            return Some(DeathCause::Impossible);
        }
        if item.failed_runs >= self.header.max_attempts {
            return Some(DeathCause::RunsFailed);
        }
        item.state = ItemState::Waiting;
        self.queue.push(index);
        self.sort_queue();
        None
    }

    /// Records the complete text of a running item, which is scored next.
    pub fn record_complete_text(&mut self, index: ItemIndex, transcript: Transcript) {
        let item = &mut self.items[index];
        if item.state == ItemState::Running {
            item.transcript = transcript;
            item.state = ItemState::Rewarding;
        }
    }

    /// Returns the result of an item with a complete text, and its score if it has a reward
    /// call. The item is then committing.
    pub fn succeed(&mut self, index: ItemIndex, score: Option<String>) -> ListedResult {
        let groups_are_whole = self.mark_committing(index);
        let item = &self.items[index];
        ListedResult {
            id: item.submitted.id.clone(),
            state: ResultState::Succeeded,
            text: item.transcript.text(),
            versions: item.transcript.versions(),
            score,
            groups_are_whole,
            segments: item.transcript.segments(),
        }
    }

    /// Returns the result of an item that failed permanently. The item is then committing.
    pub fn mark_dead(&mut self, index: ItemIndex) -> ListedResult {
        self.queue.retain(|waiting| *waiting != index);
        let groups_are_whole = self.mark_committing(index);
        ListedResult {
            groups_are_whole,
            ..ListedResult::dead(self.items[index].submitted.id.clone())
        }
    }

    /// Marks an item as committing. Returns true if all required groups are complete once
    /// this result and the pending ones are committed.
    fn mark_committing(&mut self, index: ItemIndex) -> bool {
        let item = &mut self.items[index];
        item.state = ItemState::Committing;
        self.groups_with_pending
            .record_listed(index, item.transcript.len());
        self.groups_with_pending.is_complete()
    }

    /// Records that an item's result is committed to the list. Returns true if it completes
    /// the required groups.
    pub fn record_listed(&mut self, index: ItemIndex) -> bool {
        self.queue.retain(|waiting| *waiting != index);
        let item = &mut self.items[index];
        if item.state == ItemState::Listed {
            return false;
        }
        let was_committing = item.state == ItemState::Committing;
        item.state = ItemState::Listed;
        let transcript = std::mem::take(&mut item.transcript);
        if !was_committing {
            self.groups_with_pending
                .record_listed(index, transcript.len());
        }
        self.groups.record_listed(index, transcript.len())
    }

    pub fn groups(&self) -> &GroupProgress {
        &self.groups
    }

    /// Returns the items that are neither committing nor listed.
    pub fn unfinished(&self) -> Vec<ItemIndex> {
        let is_unfinished =
            |state: ItemState| !matches!(state, ItemState::Committing | ItemState::Listed);
        let indexes = 0..self.items.len();
        indexes
            .filter(|index| is_unfinished(self.items[*index].state))
            .collect()
    }

    /// Returns true if every item is listed.
    pub fn is_complete(&self) -> bool {
        self.items
            .iter()
            .all(|item| item.state == ItemState::Listed)
    }
}
