//! The work of each model, by which engines are shared while slots are scarce.
//!
//! Shares by the usual size of batches leave engines with a model whose steps are nearly complete,
//! while another model's batches wait. The work is therefore the events still to run for the open
//! batches, and those of the next batch if it comes before they are done.

use sloetrail_batch::{Batch, ItemIndex, ItemState, LengthModel};
use sloetrail_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new batch in the moving averages of its model.
const SMOOTHING: f64 = 0.3;
/// A trainer whose next batch is late by more than this many of its intervals has stopped: a step
/// that takes twice the usual time is still expected.
const MAX_MISSED_INTERVALS: u32 = 2;
/// How long a model with a single batch so far is expected to get another one.
const UNKNOWN_INTERVAL: Duration = Duration::from_secs(30);
/// Least work of a model whose next batch is expected, as a share of its usual batch. Its engines
/// can then start the batch at once, and only part of them changes to and fro.
const EXPECTED_BATCH_SHARE: f64 = 0.5;

/// The events that the engines of a model still have to make.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ExpectedModelWork {
    pub(super) model: String,
    pub(super) events: f64,
}

impl ExpectedModelWork {
    /// Seconds until the work is done at this capacity, in events per second. Infinite if there is
    /// work and no capacity.
    pub(super) fn seconds_to_finish(&self, capacity: f64) -> f64 {
        match self.events > 0.0 {
            true => self.events / capacity.max(0.0),
            false => 0.0,
        }
    }
}

/// The open work of a model and the capacity of its engines.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ModelOpenEvents {
    pub(super) model: String,
    /// Events still to run for the required items of open batches.
    pub(super) events: f64,
    /// Events per second that the model's engines make.
    pub(super) capacity: f64,
}

/// The usual batches of a model.
#[derive(Clone, Copy, Debug)]
struct BatchArrivals {
    /// When the newest batch was accepted, by the table's clock.
    accepted_at: Timestamp,
    /// Moving average of the time between batches; None before the second one.
    interval: Option<Duration>,
    /// Moving average of the length of the required items, in the unit of the hints.
    batch_units: f64,
    /// Moving average of the length of an item, in the unit of the hints.
    item_units: f64,
}

impl BatchArrivals {
    /// When the next batch is expected. None if it is long overdue.
    fn next_expected_at(&self, now: Timestamp) -> Option<Timestamp> {
        let interval = self.interval.unwrap_or(UNKNOWN_INTERVAL);
        let expected_at = self.accepted_at.after(interval);
        let given_up_at = expected_at.after(interval.saturating_mul(MAX_MISSED_INTERVALS));
        (now <= given_up_at).then_some(expected_at)
    }
}

/// The arrivals and size of the batches of each model.
#[derive(Debug, Default)]
pub(super) struct ArrivalsByModel {
    models: BTreeMap<String, BatchArrivals>,
}

impl ArrivalsByModel {
    /// Records a new batch. A batch that is older than the newest one, as when an owner loads
    /// open batches, or whose time of acceptance is unknown, does not change the interval.
    pub(super) fn record(&mut self, batch: &Batch) {
        let Some(model) = &batch.model else {
            return;
        };
        let accepted_at = batch.header.accepted_at;
        // Trainers choose the names of models, so those that stopped are forgotten.
        self.models.retain(|known, arrivals| {
            known == model || arrivals.next_expected_at(accepted_at).is_some()
        });
        let (batch_units, item_units) = sizes(batch);
        let arrivals = self.models.entry(model.clone()).or_insert(BatchArrivals {
            accepted_at,
            interval: None,
            batch_units,
            item_units,
        });
        arrivals.batch_units += (batch_units - arrivals.batch_units) * SMOOTHING;
        arrivals.item_units += (item_units - arrivals.item_units) * SMOOTHING;
        let is_known = arrivals.accepted_at > Timestamp::default();
        if is_known && accepted_at > arrivals.accepted_at {
            let new = accepted_at.since(arrivals.accepted_at);
            let known = arrivals.interval.unwrap_or(new);
            arrivals.interval = Some(known.mul_f64(1.0 - SMOOTHING) + new.mul_f64(SMOOTHING));
        }
        arrivals.accepted_at = arrivals.accepted_at.max(accepted_at);
    }

    /// Expected events of a number of items of a model of which only the number is known.
    pub(super) fn events_of_items(&self, model: &str, items: usize, lengths: &LengthModel) -> f64 {
        let arrivals = self.models.get(model);
        let units = arrivals.map_or(0.0, |arrivals| arrivals.item_units);
        events_of(units, lengths) * items as f64
    }

    /// The work of each model at this time, by the table's clock.
    pub(super) fn backlogs(
        &self,
        open: &[ModelOpenEvents],
        lengths: &LengthModel,
        now: Timestamp,
    ) -> Vec<ExpectedModelWork> {
        let done_at = now.after(time_to_finish_all(open));
        let models = open.iter();
        models
            .map(|work| ExpectedModelWork {
                model: work.model.clone(),
                events: self.expected_events(work, lengths, now, done_at),
            })
            .collect()
    }

    fn expected_events(
        &self,
        work: &ModelOpenEvents,
        lengths: &LengthModel,
        now: Timestamp,
        done_at: Timestamp,
    ) -> f64 {
        let Some(arrivals) = self.models.get(&work.model) else {
            return work.events;
        };
        let next_batch = events_of(arrivals.batch_units, lengths);
        match arrivals.next_expected_at(now) {
            // Without an interval, the time of the next batch is not known well enough to count it.
            Some(at) if arrivals.interval.is_some() && at <= done_at => work.events + next_batch,
            Some(_) => work.events.max(next_batch * EXPECTED_BATCH_SHARE),
            None => work.events,
        }
    }
}

/// Time until all models' open work is done if the engines are shared perfectly. Zero if no
/// capacity is known.
fn time_to_finish_all(open: &[ModelOpenEvents]) -> Duration {
    let events: f64 = open.iter().map(|work| work.events).sum();
    let capacity: f64 = open.iter().map(|work| work.capacity).sum();
    Duration::try_from_secs_f64(events / capacity).unwrap_or_default()
}

/// Events still to run for the required items of a batch. `generated_events` returns the number of
/// events of a running item. None until enough texts have finished to know the hints' unit.
pub(super) fn open_events(
    batch: &Batch,
    lengths: &LengthModel,
    generated_events: impl Fn(ItemIndex) -> usize,
) -> Option<f64> {
    let mut events = 0.0;
    for (index, item) in batch.items().iter().enumerate() {
        let generated = match item.state {
            ItemState::Waiting => item.transcript.len(),
            ItemState::Running => generated_events(index),
            ItemState::Rewarding | ItemState::Committing | ItemState::Listed => continue,
        };
        if batch.is_in_required_group(index) {
            events += lengths.remaining_events(item.expected_length, generated)?;
        }
    }
    Some(events)
}

/// Length of the required items of a batch, and mean length of all its items.
fn sizes(batch: &Batch) -> (f64, f64) {
    let (mut required, mut all) = (0.0, 0.0);
    for (index, item) in batch.items().iter().enumerate() {
        let units = item.expected_length as f64;
        all += units;
        if batch.is_in_required_group(index) {
            required += units;
        }
    }
    (required, all / batch.items().len().max(1) as f64)
}

/// Events of a text or batch of this length; zero while the unit of the hints is unknown.
fn events_of(units: f64, lengths: &LengthModel) -> f64 {
    lengths
        .remaining_events(units as u64, 0)
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;
