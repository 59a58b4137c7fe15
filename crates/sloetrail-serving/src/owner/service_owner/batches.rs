//! The batches of an owner: taken in, loaded, ended, and items past their time.

use super::{OpenBatch, ServiceOwner};
use crate::batch_rows::decode_header;
use crate::events::{self, Event};
use crate::follow::ViewReceiver;
use crate::owner::committer::CommitRequest;
use crate::owner::event::OwnerEvent;
use crate::owner::loading::{BatchOrigin, BatchToLoad, LoadedBatch, load};
use sloetrail_batch::{Batch, BatchHeader, BatchId, BatchOutlook, DeathCause, ItemId, ItemIndex};
use sloetrail_clock::BootInstant;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// An item is given up only this much after its retention.
const RETENTION_MARGIN_MS: u64 = 2_000;
/// Items that ended batches left over and that may come again.
const CARRIED_LIMIT: usize = 20_000;

impl ServiceOwner {
    /// Takes in the heads of batches and the marks of ended ones.
    pub(super) fn take_batches(&mut self, batches: &mut ViewReceiver, ends: &mut ViewReceiver) {
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
            self.close(&id);
        }
        for (id, row) in &batches.rows {
            if self.known.contains(id) {
                continue;
            }
            let header = decode_header(&row.value);
            let Some(header) = header.filter(|header| header.service == self.service) else {
                continue;
            };
            self.known.insert(id.clone());
            if ends.rows.contains_key(id) {
                continue;
            }
            let origin = match row.version > self.term.fence {
                true => BatchOrigin::ThisTerm,
                false => BatchOrigin::EarlierTerm,
            };
            match self.set.holds(&header) {
                true => self.begin_loading(BatchToLoad {
                    id: id.clone(),
                    header,
                    origin,
                }),
                false => self.note_other(id.clone(), header),
            }
        }
        self.others
            .retain(|id| batches.rows.contains_key(id) && !ends.rows.contains_key(id));
    }

    /// A batch that another owner of the service runs counts for the engines' weights.
    fn note_other(&mut self, id: BatchId, header: BatchHeader) {
        if !self.set.is_in_charge_of_engines() {
            return;
        }
        if let Some(model) = &header.model {
            self.note_demand(model, header.oldest_version, &header);
        }
        self.others.insert(id, header);
    }

    fn begin_loading(&self, wanted: BatchToLoad) {
        let context = Arc::clone(&self.context);
        let carried: BTreeSet<ItemId> = self.carried.keys().cloned().collect();
        let ended = self.term.ended.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let loaded = load(&context, &wanted, &carried, &ended).await;
            // The owner may be gone; then nobody needs it.
            let _ = sender.send(OwnerEvent::Loaded(wanted.id, Box::new(loaded)));
        });
    }

    pub(super) fn open(&mut self, id: BatchId, loaded: Option<LoadedBatch>) {
        let Some(LoadedBatch { mut batch, listed }) = loaded else {
            // Its parts may still be on their way; the next change looks again.
            self.known.remove(&id);
            return;
        };
        let now_ms = self.context.table.now_ms().unwrap_or_default();
        let age_ms = now_ms.saturating_sub(batch.header.accepted_at_ms);
        events::emit(&Event::BatchOpened {
            batch: &id,
            items: batch.items().len(),
            listed,
            epoch: self.term.epoch.0,
            age_ms,
            regions: &self.set.regions().to_string(),
        });
        let is_scarce = self.usage.is_scarce(batch.model.as_deref());
        batch.set_order(self.context.settings.policies.dispatch_order(is_scarce));
        self.record_batch(&batch);
        let kept = kept_in_table(&batch);
        self.reuse_carried(&mut batch);
        let opened = CommitRequest::Open {
            batch: id.clone(),
            next_position: listed,
        };
        // The committer ends only with the term.
        let _ = self.commits.send(opened);
        let open = OpenBatch {
            batch,
            runs: HashMap::new(),
            outlook: BatchOutlook::default(),
            kept,
            cancel: CancellationToken::new(),
            opened_at: BootInstant::now(),
            opened_age: Duration::from_millis(age_ms),
            stories: HashMap::new(),
        };
        self.batches.insert(id, open);
        self.look_ahead();
    }

    /// Goes on with texts that an ended batch left over, if their versions fit and
    /// the table holds none for the item in this batch.
    fn reuse_carried(&mut self, batch: &mut Batch) {
        if !self.context.settings.policies.reuse_texts {
            return;
        }
        let oldest = batch.oldest_version;
        for index in batch.unfinished() {
            let item = batch.item(index);
            let Some(transcript) = self.carried.remove(&item.submitted.id) else {
                continue;
            };
            let mixes = batch.header.single_version && transcript.versions().len() > 1;
            let is_usable = transcript.is_fresh(oldest) && !mixes && item.transcript.is_empty();
            if is_usable {
                // The first piece that is kept holds the whole text, under offset zero.
                let generation = item.generation + 1;
                batch.restore(index, generation, transcript);
            }
        }
    }

    fn close(&mut self, id: &BatchId) {
        let Some(mut open) = self.batches.remove(id) else {
            return;
        };
        open.cancel.cancel();
        for (index, run) in &open.runs {
            open.batch.keep(*index, run.progress.transcript());
        }
        let unfinished = open.batch.unfinished();
        events::emit(&Event::BatchEnded {
            batch: id,
            unfinished: unfinished.len(),
        });
        if self.carried.len() > CARRIED_LIMIT {
            self.carried.clear();
        }
        for index in unfinished {
            let item = open.batch.item(index);
            let id = item.submitted.id.clone();
            self.carried.insert(id, item.transcript.clone());
        }
    }

    pub(super) fn expire_items(&mut self) {
        let Some(now_ms) = self.context.table.now_ms() else {
            return;
        };
        let is_expired = |open: &OpenBatch| {
            let header = &open.batch.header;
            let kept_until = header.accepted_at_ms + header.retention_ms + RETENTION_MARGIN_MS;
            header.accepted_at_ms > 0 && now_ms > kept_until
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
                self.give_up(&id, index, DeathCause::Expired);
            }
        }
    }
}

/// How many events of each unfinished item's text a batch was loaded with.
fn kept_in_table(batch: &Batch) -> HashMap<ItemIndex, usize> {
    let unfinished = batch.unfinished().into_iter();
    unfinished
        .map(|index| (index, batch.item(index).transcript.len()))
        .filter(|(_, events)| *events > 0)
        .collect()
}
