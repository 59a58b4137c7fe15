//! Reports interrupted items that are at no engine, and what the engines do meanwhile.

use super::{OpenBatch, ServiceOwner};
use crate::events::{self, Event};
use crate::owner::engine::{Engine, ModelRequirement};
use crate::telemetry;
use sloetrail_batch::{BatchId, ItemIndex};
use sloetrail_clock::BootInstant;
use sloetrail_types::whole_millis;
use std::time::Duration;

/// Time between two log lines, and for which an item is interrupted before it is logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// An interrupted item that is at no engine.
struct UnplacedItem<'a> {
    id: &'a BatchId,
    open: &'a OpenBatch,
    index: ItemIndex,
    interrupted_for: Duration,
}

impl ServiceOwner {
    /// Sets the gauges of unplaced items, and logs the one that has been interrupted for longest.
    pub(super) fn report_unplaced_items(&mut self, now: BootInstant) {
        let unplaced: Vec<UnplacedItem<'_>> = self.unplaced_items(now).collect();
        let longest = unplaced.iter().max_by_key(|item| item.interrupted_for);
        let longest_time = longest.map_or(Duration::ZERO, |item| item.interrupted_for);
        telemetry::items_unplaced(self.term.resource.name(), unplaced.len(), longest_time);
        let is_due = now.saturating_duration_since(self.unplaced_reported_at) >= REPORT_INTERVAL;
        let Some(longest) = longest.filter(|_| is_due && longest_time >= REPORT_INTERVAL) else {
            return;
        };
        self.log_unplaced_item(longest, unplaced.len(), now);
        self.unplaced_reported_at = now;
    }

    fn unplaced_items(&self, now: BootInstant) -> impl Iterator<Item = UnplacedItem<'_>> {
        self.batches.iter().flat_map(move |(id, open)| {
            let timelines = open.timelines.iter();
            timelines.filter_map(move |(index, timeline)| {
                Some(UnplacedItem {
                    id,
                    open,
                    index: *index,
                    interrupted_for: timeline.interrupted_for(now)?,
                })
            })
        })
    }

    fn log_unplaced_item(&self, unplaced: &UnplacedItem<'_>, items: usize, now: BootInstant) {
        let UnplacedItem {
            id, open, index, ..
        } = unplaced;
        let requirement = ModelRequirement {
            model: open.batch.model.as_deref(),
            oldest_version: open.batch.oldest_version,
        };
        let count = |is_counted: &dyn Fn(&Engine) -> bool| {
            let engines = self.engines.iter().map(|(_, engine)| engine);
            let counted = engines.filter(|engine| engine.takes_work() && is_counted(engine));
            counted.count()
        };
        let timeline = open.timelines.get(index);
        let model = open.batch.model.as_deref().unwrap_or_default();
        events::emit(&Event::ItemUnplaced {
            item: &open.batch.item(*index).submitted.id,
            batch: id,
            interrupted_ms: whole_millis(unplaced.interrupted_for),
            runs: timeline.map_or(0, |timeline| timeline.runs),
            items,
            engines: count(&|_| true),
            backing_off: count(&|engine| !engine.is_usable(now)),
            full: count(&|engine| engine.free_slots(now) == 0),
            changing: count(&|engine| engine.is_changing_to(model)),
            outdated: count(&|engine| engine.version(model) < open.batch.oldest_version),
            able: count(&|engine| engine.can_take(requirement, now)),
        });
    }
}
