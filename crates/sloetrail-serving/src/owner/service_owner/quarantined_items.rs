//! Quarantined items: items that are not sent to engines because engines crashed while running
//! them.
//!
//! A quarantined item is set aside from the queue of its batch, so that it does not block the
//! items behind it. It returns to the queue when it is released or when a trial is granted.

use super::{OpenBatch, ServiceOwner};
use crate::owner::event::OwnerEvent;
use crate::quarantine::{Permission, QuarantinePermit, RequestIdentity};
use sloetrail_batch::{BatchId, DispatchClass, ItemIndex};
use sloetrail_clock::BootInstant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Ordinary texts take one to three seconds.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

type ItemKey = (BatchId, ItemIndex);

#[derive(Default)]
pub(super) struct QuarantinedItems {
    items: BTreeMap<ItemKey, QuarantinePermit>,
    /// Items in the queue that may run once, as a trial.
    on_trial: BTreeMap<ItemKey, QuarantinePermit>,
    /// True while a request for a trial is in flight.
    is_trial_pending: bool,
}

impl ServiceOwner {
    /// Returns the permit that decides whether an item may be sent to engines. None if its batch
    /// is not open.
    pub(super) fn quarantine_permit(
        &mut self,
        id: &BatchId,
        index: ItemIndex,
    ) -> Option<QuarantinePermit> {
        let key = (id.clone(), index);
        if let Some(on_trial) = self.quarantined.on_trial.remove(&key) {
            return Some(on_trial);
        }
        let open = self.batches.get(id)?;
        let (header, item) = (&open.batch.header, &open.batch.item(index).submitted);
        let identity = RequestIdentity::of_item(header.tenant.as_ref(), &header.host, item);
        let quarantine = &self.context.quarantine;
        Some(QuarantinePermit::new(quarantine, &self.service, identity))
    }

    /// Sets the quarantined items aside that are next of their class in a batch's queue.
    pub(super) fn set_aside_quarantined(&mut self, id: &BatchId, class: DispatchClass) {
        let next = |batches: &BTreeMap<BatchId, OpenBatch>| {
            let open = batches.get(id)?;
            open.batch.next_of_class(class)
        };
        while let Some(index) = next(&self.batches) {
            if !self.set_aside_if_quarantined(id, index) {
                return;
            }
        }
    }

    /// Sets a waiting item aside if it is quarantined. Returns true if it was set aside.
    pub(super) fn set_aside_if_quarantined(&mut self, id: &BatchId, index: ItemIndex) -> bool {
        if self.context.quarantine.assessment().is_empty(&self.service) {
            return false;
        }
        let Some(permit) = self.quarantine_permit(id, index) else {
            return false;
        };
        let key = (id.clone(), index);
        if permit.is_on_trial() {
            self.quarantined.on_trial.insert(key, permit);
            return false;
        }
        if permit.is_open() {
            return false;
        }
        self.quarantined.items.insert(key, permit);
        if let Some(open) = self.batches.get_mut(id) {
            open.batch.remove_from_queue(index);
        }
        true
    }

    /// Returns released items to their queues and requests a trial for one item that is eligible.
    pub(super) fn release_quarantined_items(&mut self) {
        let batches = &self.batches;
        self.quarantined
            .items
            .retain(|(id, _), _| batches.contains_key(id));
        let released = self.quarantined.items.iter();
        let released = released.filter(|(_, permit)| permit.is_open());
        let released: Vec<ItemKey> = released.map(|(key, _)| key.clone()).collect();
        for key in released {
            self.quarantined.items.remove(&key);
            self.put_back(&key);
        }
        if !self.quarantined.is_trial_pending {
            self.request_trial();
        }
    }

    fn request_trial(&mut self) {
        let mut items = self.quarantined.items.iter();
        let to_try = items.find(|(_, permit)| permit.permission() == Permission::OnTrial);
        let Some((key, permit)) = to_try else {
            return;
        };
        self.quarantined.is_trial_pending = true;
        let (key, mut permit) = (key.clone(), permit.clone());
        let sender = self.sender.clone();
        self.term.spawn("trial", async move {
            permit
                .acquire_trial(BootInstant::now() + TRIAL_TIMEOUT)
                .await;
            // The receiver is gone if the term has ended.
            let _ = sender.send(OwnerEvent::TrialDecided(key, Box::new(permit)));
        });
    }

    pub(super) fn trial_decided(&mut self, key: ItemKey, permit: QuarantinePermit) {
        self.quarantined.is_trial_pending = false;
        if permit.is_on_trial() && self.quarantined.items.remove(&key).is_some() {
            self.quarantined.on_trial.insert(key.clone(), permit);
            self.put_back(&key);
        }
    }

    fn put_back(&mut self, (id, index): &ItemKey) {
        if let Some(open) = self.batches.get_mut(id) {
            open.batch.requeue(*index);
        }
    }
}
