//! One open batch, as the owner of its service holds it.

use crate::groups::{GroupProgress, required_items};
use crate::item::{DeathCause, IMPOSSIBLE_ANSWERS_LIMIT, Item, ItemIndex, ItemState, RunFailure};
use crate::{
    BatchHeader, BatchId, ItemId, ListedResult, ResultState, Submission, SubmittedItem, Transcript,
};
use sloetrail_types::WeightVersion;
use std::collections::BTreeSet;
use std::sync::Arc;

/// One open batch.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Its id.
    pub id: BatchId,
    /// Its durable head.
    pub header: BatchHeader,
    /// The model whose weights make the samples.
    pub model: Option<String>,
    /// The oldest version that may make a token.
    pub oldest_version: WeightVersion,
    items: Vec<Item>,
    /// Waiting items, the next one last.
    queue: Vec<ItemIndex>,
    /// For each item whether its group is among those waited for.
    wanted: Vec<bool>,
    groups: GroupProgress,
    /// The same, with the results that are on their way into the list.
    groups_queued: GroupProgress,
    order: DispatchOrder,
}

/// In which order the items of a batch go to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Items of the groups that are waited for go before the others. That saves work
    /// where places are scarce; where they are not, it costs time, since which groups
    /// are whole first is known only roughly.
    pub required_first: bool,
    /// Of the items that are waited for, those that are expected to be longest go
    /// first, since they decide when the step is whole; otherwise those submitted first.
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
    /// From now on the items go to engines in this order.
    pub fn set_dispatch_order(&mut self, order: DispatchOrder) {
        if self.order != order {
            self.order = order;
            self.sort_queue();
        }
    }

    /// A batch of which nothing has run. `expected_length` gives an item's length
    /// by the trainer's hint; `carried` are items that an earlier batch left over.
    pub fn new(
        id: BatchId,
        header: BatchHeader,
        submission: Submission,
        expected_length: impl Fn(&SubmittedItem) -> u64,
        carried: &BTreeSet<ItemId>,
    ) -> Self {
        let oldest_version = submission.oldest_version();
        let groups_wanted = submission.desired_groups;
        let items: Vec<Item> = submission
            .items
            .into_iter()
            .map(|submitted| Item {
                expected_length: expected_length(&submitted),
                submitted: Arc::new(submitted),
                state: ItemState::Waiting,
                transcript: Transcript::default(),
                generation: 0,
                failed_runs: 0,
                impossible_answers: 0,
            })
            .collect();
        let wanted = required_items(&items, groups_wanted, carried);
        let groups = GroupProgress::new(&items, groups_wanted, carried);
        let mut batch = Self {
            id,
            header,
            model: submission.model,
            oldest_version,
            queue: (0..items.len()).collect(),
            items,
            wanted,
            groups_queued: groups.clone(),
            groups,
            order: DispatchOrder::default(),
        };
        batch.sort_queue();
        batch
    }

    /// The items in the order of the submission.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// One item.
    pub fn item(&self, index: ItemIndex) -> &Item {
        &self.items[index]
    }

    /// The index of an item.
    pub fn index_of(&self, id: &str) -> Option<ItemIndex> {
        self.items.iter().position(|item| item.submitted.id == id)
    }

    /// True if the item's group is among those that the trainer waits for first, or if
    /// that makes no difference.
    pub fn is_required(&self, index: ItemIndex) -> bool {
        self.wanted[index] || !self.order.required_first
    }

    /// True if the item's group is among those that the trainer waits for first.
    pub fn is_in_required_group(&self, index: ItemIndex) -> bool {
        self.wanted[index]
    }

    /// The item to run next, if one waits.
    pub fn peek(&self) -> Option<ItemIndex> {
        self.queue.last().copied()
    }

    /// How many items wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes the next item out of the queue to run it.
    pub fn start_next(&mut self) -> Option<ItemIndex> {
        let index = self.peek()?;
        self.start(index).then_some(index)
    }

    /// Takes an item out of the queue to run it; false if it does not wait.
    pub fn start(&mut self, index: ItemIndex) -> bool {
        let is_waiting = self.items[index].state == ItemState::Waiting;
        if is_waiting {
            self.queue.retain(|waiting| *waiting != index);
            self.items[index].state = ItemState::Running;
        }
        is_waiting
    }

    /// Takes a waiting item out of the queue until it is put back.
    pub fn remove_from_queue(&mut self, index: ItemIndex) {
        self.queue.retain(|waiting| *waiting != index);
    }

    /// Puts an item that was set aside back into the queue, if it still waits.
    pub fn requeue(&mut self, index: ItemIndex) {
        let waits = self.items[index].state == ItemState::Waiting;
        if waits && !self.queue.contains(&index) {
            self.queue.push(index);
            self.sort_queue();
        }
    }

    /// Keeps what there is of an item's text.
    pub fn set_transcript(&mut self, index: ItemIndex, transcript: Transcript) {
        self.items[index].transcript = transcript;
    }

    /// Keeps a text that the table held, with its generation.
    pub fn restore(&mut self, index: ItemIndex, generation: u32, transcript: Transcript) {
        let item = &mut self.items[index];
        item.generation = generation;
        item.transcript = transcript;
    }

    /// Counts the runs of an item that failed at earlier owners: the number that its route
    /// allows is of all owners together.
    pub fn restore_failed_runs(&mut self, index: ItemIndex, failed_runs: usize) {
        // One less than allowed: the last failure would have listed it.
        let most = self.header.max_attempts.saturating_sub(1);
        self.items[index].failed_runs = failed_runs.min(most);
    }

    /// How many runs of an item have failed.
    pub fn failed_runs(&self, index: ItemIndex) -> usize {
        self.items[index].failed_runs
    }

    /// Drops an item's text: the next run begins anew.
    pub fn restart_text(&mut self, index: ItemIndex) {
        let item = &mut self.items[index];
        item.generation += 1;
        item.transcript = Transcript::default();
    }

    /// A run ended without a whole text. Returns why the item is given up, or
    /// nothing if it waits again.
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
        if item.impossible_answers >= IMPOSSIBLE_ANSWERS_LIMIT {
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

    /// A run ended with the whole text.
    pub fn record_complete_text(&mut self, index: ItemIndex, transcript: Transcript) {
        let item = &mut self.items[index];
        if item.state == ItemState::Running {
            item.transcript = transcript;
            item.state = ItemState::Rewarding;
        }
    }

    /// The result of an item whose text is whole, with its score if it has a reward
    /// call; the item then waits for the commit.
    pub fn succeed(&mut self, index: ItemIndex, score: Option<String>) -> ListedResult {
        let groups_are_whole = self.queue_for_list(index);
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

    /// The result of an item that is given up; it then waits for the commit.
    pub fn mark_dead(&mut self, index: ItemIndex) -> ListedResult {
        self.queue.retain(|waiting| *waiting != index);
        let groups_are_whole = self.queue_for_list(index);
        ListedResult {
            groups_are_whole,
            ..ListedResult::dead(self.items[index].submitted.id.clone())
        }
    }

    /// An item's result gets its position. True if with those before it the groups that
    /// the trainer waits for are whole.
    fn queue_for_list(&mut self, index: ItemIndex) -> bool {
        let item = &mut self.items[index];
        item.state = ItemState::Committing;
        self.groups_queued
            .record_listed(index, item.transcript.len());
        self.groups_queued.are_complete()
    }

    /// An item's result is in the list. True if it completes the groups that the trainer
    /// waits for.
    pub fn record_listed(&mut self, index: ItemIndex) -> bool {
        self.queue.retain(|waiting| *waiting != index);
        let item = &mut self.items[index];
        if item.state == ItemState::Listed {
            return false;
        }
        let was_queued = item.state == ItemState::Committing;
        item.state = ItemState::Listed;
        let transcript = std::mem::take(&mut item.transcript);
        if !was_queued {
            self.groups_queued.record_listed(index, transcript.len());
        }
        self.groups.record_listed(index, transcript.len())
    }

    /// How far the groups of the batch have come.
    pub fn groups(&self) -> &GroupProgress {
        &self.groups
    }

    /// Items that are not listed and not being committed.
    pub fn unfinished(&self) -> Vec<ItemIndex> {
        let open = |state: ItemState| !matches!(state, ItemState::Committing | ItemState::Listed);
        let indexes = 0..self.items.len();
        indexes
            .filter(|index| open(self.items[*index].state))
            .collect()
    }

    /// True if every item is listed.
    pub fn is_complete(&self) -> bool {
        self.items
            .iter()
            .all(|item| item.state == ItemState::Listed)
    }

    /// Wanted items first, of these the longest first, since they decide when the
    /// step is whole; of the others the shortest first. The next one stands last.
    fn sort_queue(&mut self) {
        let (items, wanted, order) = (&self.items, &self.wanted, self.order);
        self.queue.sort_by_key(|index| {
            let rank = match order.longest_first {
                true => items[*index].expected_length as i64,
                false => -(*index as i64),
            };
            match wanted[*index] || !order.required_first {
                true => (1, rank),
                false => (0, -rank),
            }
        });
    }
}
