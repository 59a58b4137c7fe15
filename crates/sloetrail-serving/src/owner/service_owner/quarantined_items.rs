//! Quarantined items: items that are not sent to engines because engines crashed while running
//! them.
//!
//! A quarantined item is set aside from the queue of its batch, so that it does not block the
//! items behind it. It returns to the queue when it is released or when a trial is granted.

use super::{OpenBatch, ServiceOwner};
use crate::events::{self, Event};
use crate::owner::event::OwnerEvent;
use crate::quarantine::{Permission, QuarantinePermit, RequestIdentity, TrialDelays};
use crate::telemetry;
use sloetrail_batch::{BatchId, DispatchClass, ItemIndex};
use sloetrail_clock::BootInstant;
use sloetrail_types::whole_millis;
use std::collections::BTreeMap;
use std::time::Duration;

/// Ordinary texts take one to three seconds.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

type ItemKey = (BatchId, ItemIndex);

/// An item that was set aside from the queue of its batch.
struct HeldItem {
    permit: QuarantinePermit,
    since: BootInstant,
}

#[derive(Default)]
pub(super) struct QuarantinedItems {
    items: BTreeMap<ItemKey, HeldItem>,
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
        let delays = TrialDelays::of_held_request(header.run_target.duration());
        let quarantine = &self.context.quarantine;
        let permit = QuarantinePermit::new(quarantine, &self.service, identity, delays);
        Some(permit)
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
        let Some(open) = self.batches.get_mut(id) else {
            return false;
        };
        open.batch.remove_from_queue(index);
        let permission = permit.permission();
        events::emit(&Event::ItemHeld {
            item: &open.batch.item(index).submitted.id,
            batch: id,
            digest: &permit.digest().to_string(),
            permission: permission.as_str(),
            wait_ms: whole_millis(permission.remaining()),
        });
        let since = BootInstant::now();
        self.quarantined
            .items
            .insert(key, HeldItem { permit, since });
        true
    }

    /// Returns released items to their queues and requests a trial for one item that is eligible.
    pub(super) fn release_quarantined_items(&mut self) {
        let batches = &self.batches;
        self.quarantined
            .items
            .retain(|(id, _), _| batches.contains_key(id));
        let released = self.quarantined.items.iter();
        let released = released.filter(|(_, held)| held.permit.is_open());
        let released: Vec<ItemKey> = released.map(|(key, _)| key.clone()).collect();
        for key in released {
            self.put_back(&key, "released");
        }
        if !self.quarantined.is_trial_pending {
            self.request_trial();
        }
    }

    fn request_trial(&mut self) {
        let mut items = self.quarantined.items.iter();
        let is_due =
            |permit: &QuarantinePermit| matches!(permit.permission(), Permission::OnTrial { .. });
        let to_try = items.find(|(_, held)| is_due(&held.permit));
        let Some((key, held)) = to_try else {
            return;
        };
        self.quarantined.is_trial_pending = true;
        let (key, mut permit) = (key.clone(), held.permit.clone());
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
        if permit.is_on_trial() && self.quarantined.items.contains_key(&key) {
            self.put_back(&key, "trial");
            self.quarantined.on_trial.insert(key, permit);
        }
    }

    /// Returns an item to the queue of its batch.
    fn put_back(&mut self, key: &ItemKey, cause: &str) {
        let Some(held) = self.quarantined.items.remove(key) else {
            return;
        };
        let (id, index) = key;
        let Some(open) = self.batches.get_mut(id) else {
            return;
        };
        open.batch.requeue(*index);
        let held_for = held.since.elapsed();
        telemetry::item_freed(self.service.as_str(), held_for);
        events::emit(&Event::ItemFreed {
            item: &open.batch.item(*index).submitted.id,
            batch: id,
            digest: &held.permit.digest().to_string(),
            cause,
            held_ms: whole_millis(held_for),
        });
    }

    pub(super) fn report_quarantined_items(&self) {
        let items = self.quarantined.items.values();
        let longest = items.map(|held| held.since.elapsed()).max();
        telemetry::items_quarantined(
            self.term.resource.name(),
            self.quarantined.items.len(),
            longest.unwrap_or_default(),
        );
    }
}
