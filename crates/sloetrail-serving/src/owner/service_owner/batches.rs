//! Discovery, loading, closing and expiry of batches.

use super::{OpenBatch, ServiceOwner};
use crate::batch_rows::decode_header;
use crate::events::{self, Event};
use crate::follow::ViewReceiver;
use crate::owner::committer::CommitRequest;
use crate::owner::event::OwnerEvent;
use crate::owner::loading::{BatchOrigin, BatchToLoad, LoadedBatch, load};
use crate::tasks;
use sloetrail_batch::{Batch, BatchEstimate, BatchHeader, BatchId, DeathCause, ItemId, ItemIndex};
use sloetrail_clock::BootInstant;
use sloetrail_types::{Timestamp, whole_millis};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Delay between the end of an item's retention and its expiry.
const RETENTION_MARGIN: Duration = Duration::from_secs(2);
/// Leftover texts are discarded when a batch ends while there are more than this.
const MAX_LEFTOVER_TEXTS: usize = 20_000;

impl ServiceOwner {
    /// Applies new batch headers and end marks.
    pub(super) fn apply_batches(&mut self, batches: &mut ViewReceiver, ends: &mut ViewReceiver) {
        let batches = batches.borrow_and_update().clone();
        let ends = ends.borrow_and_update().clone();
        if batches.confirmed_at.is_none() || ends.confirmed_at.is_none() {
            return;
        }
        let ended: Vec<BatchId> = self
            .batches
            .keys()
            .filter(|id| ends.rows.contains_key(*id))
            .cloned()
            .collect();
        for id in ended {
            self.close_batch(&id);
        }
        let mut stored = self.stored_batches.take().unwrap_or_default();
        stored.retain(|id| batches.rows.contains_key(id));
        for (id, row) in &batches.rows {
            if self.known_batches.contains(id) {
                continue;
            }
            let header = decode_header(&row.value);
            let Some(header) = header.filter(|header| header.service == self.service) else {
                continue;
            };
            self.known_batches.insert(id.clone());
            if self.set.holds(&header) {
                stored.insert(id.clone());
            }
            if ends.rows.contains_key(id) {
                continue;
            }
            let origin = match row.version > self.term.fence {
                true => BatchOrigin::ThisTerm,
                false => BatchOrigin::EarlierTerm,
            };
            match self.set.holds(&header) {
                true => self.start_loading(BatchToLoad {
                    id: id.clone(),
                    header,
                    origin,
                }),
                false => self.record_other_batch(id.clone(), header),
            }
        }
        self.stored_batches = Some(stored);
        self.other_batches
            .retain(|id| batches.rows.contains_key(id) && !ends.rows.contains_key(id));
    }

    /// Records a batch of another owner, since its version demand counts for weight orders.
    fn record_other_batch(&mut self, id: BatchId, header: BatchHeader) {
        if !self.set.controls_engine_count() {
            return;
        }
        if let Some(model) = &header.model {
            self.record_version_demand(model, header.oldest_version, &header);
        }
        self.other_batches.insert(id, header);
    }

    fn start_loading(&self, to_load: BatchToLoad) {
        let context = Arc::clone(&self.context);
        let leftover_ids: BTreeSet<ItemId> = self.leftover_texts.keys().cloned().collect();
        let ended = self.term.ended.clone();
        let sender = self.sender.clone();
        tasks::spawn("batch loading", async move {
            let loading = load(&context, &to_load, &leftover_ids, &ended);
            // A batch that was not loaded is loaded again with the next change.
            let loaded = tasks::catch("batch loading", loading).await.unwrap_or(None);
            // The receiver is gone if the term has ended.
            let _ = sender.send(OwnerEvent::BatchLoaded(to_load.id, Box::new(loaded)));
        });
    }

    pub(super) fn open_batch(&mut self, id: BatchId, loaded: Option<LoadedBatch>) {
        let Some(LoadedBatch { mut batch, listed }) = loaded else {
            // Some rows may not have arrived yet. The next change of the view loads it again.
            self.known_batches.remove(&id);
            return;
        };
        let now = Timestamp(self.context.table.now_ms().unwrap_or_default());
        let age = now.since(batch.header.accepted_at);
        events::emit(&Event::BatchOpened {
            batch: &id,
            items: batch.items().len(),
            listed,
            epoch: self.term.epoch.0,
            age_ms: whole_millis(age),
            regions: &self.set.regions().to_string(),
        });
        let is_scarce = self.usage.is_scarce(batch.model.as_deref());
        batch.set_dispatch_order(self.context.settings.policies.dispatch_order(is_scarce));
        self.record_batch(&batch);
        let checkpointed_events = checkpointed_event_counts(&batch);
        self.reuse_leftover_texts(&mut batch);
        let opened = CommitRequest::OpenBatch {
            batch: id.clone(),
            next_position: listed,
        };
        // The committer stops only when the term ends.
        let _ = self.commits.send(opened);
        let open = OpenBatch {
            batch,
            runs: HashMap::new(),
            estimate: BatchEstimate::default(),
            checkpointed_events,
            cancel: CancellationToken::new(),
            opened_at: BootInstant::now(),
            age_at_open: age,
            timelines: HashMap::new(),
            waited_while_others_free: Duration::ZERO,
        };
        self.batches.insert(id, open);
        self.update_estimates();
        self.update_triage(BootInstant::now());
    }

    /// Continues leftover texts of an ended batch, if their versions are acceptable and the item
    /// has no checkpoint in this batch.
    fn reuse_leftover_texts(&mut self, batch: &mut Batch) {
        if !self.context.settings.policies.reuse_texts {
            return;
        }
        let oldest = batch.oldest_version;
        for index in batch.unfinished() {
            let item = batch.item(index);
            let Some(transcript) = self.leftover_texts.remove(&item.submitted.id) else {
                continue;
            };
            let mixes = batch.header.single_version && transcript.versions().len() > 1;
            let is_usable = transcript.is_fresh(oldest) && !mixes && item.transcript.is_empty();
            if is_usable {
                // A new generation, so that its first checkpoint stores the whole text at offset 0.
                let generation = item.generation + 1;
                batch.restore(index, generation, transcript);
            }
        }
    }

    fn close_batch(&mut self, id: &BatchId) {
        let Some(mut open) = self.batches.remove(id) else {
            return;
        };
        open.cancel.cancel();
        if !open.batch.groups().is_complete() {
            self.count_if_late(&open.batch.header, open.age());
        }
        for (index, run) in &open.runs {
            open.batch.set_transcript(*index, run.progress.transcript());
        }
        let unfinished = open.batch.unfinished();
        events::emit(&Event::BatchEnded {
            batch: id,
            unfinished: unfinished.len(),
        });
        if self.leftover_texts.len() > MAX_LEFTOVER_TEXTS {
            self.leftover_texts.clear();
        }
        for index in unfinished {
            let item = open.batch.item(index);
            let id = item.submitted.id.clone();
            self.leftover_texts.insert(id, item.transcript.clone());
        }
    }

    pub(super) fn expire_items(&mut self) {
        let Some(now) = self.context.table.now_ms().map(Timestamp) else {
            return;
        };
        let is_expired = |open: &OpenBatch| {
            let header = &open.batch.header;
            let is_known = header.accepted_at > Timestamp::default();
            is_known && now > header.expires_at().after(RETENTION_MARGIN)
        };
        let expired: Vec<BatchId> = self
            .batches
            .iter()
            .filter(|(_, open)| is_expired(open))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            let Some(open) = self.batches.get_mut(&id) else {
                continue;
            };
            open.cancel.cancel();
            open.cancel = CancellationToken::new();
            open.runs.clear();
            for index in open.batch.unfinished() {
                self.list_as_dead(&id, index, DeathCause::Expired);
            }
        }
    }
}

/// Number of events with which each unfinished item was loaded; items without any are absent.
fn checkpointed_event_counts(batch: &Batch) -> HashMap<ItemIndex, usize> {
    let unfinished = batch.unfinished().into_iter();
    unfinished
        .map(|index| (index, batch.item(index).transcript.len()))
        .filter(|(_, events)| *events > 0)
        .collect()
}
