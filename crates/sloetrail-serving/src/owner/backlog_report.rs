//! Backlog ahead of a new batch. The owner of a batch set keeps it in a small row while open work
//! is long compared to the run targets, and nodes that accept batches read it.
//!
//! The row is in the lease table, which every node follows, so reading it needs no call. It is
//! written under the owner's term, so an earlier owner cannot overwrite a later owner's row. A
//! build that does not know the row ignores its key.

mod recent_capacity;
mod reporter;

pub(super) use recent_capacity::RecentCapacities;
pub(super) use reporter::{BacklogReporter, StoredBacklog};

use crate::events::{self, Event};
use crate::rows;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sloetrail_types::{TimeSpan, Timestamp, Urgency, whole_millis};
use std::collections::BTreeMap;
use std::time::Duration;

/// A row is used for this time after its writing. It covers several missed writes; a longer
/// validity would refuse batches for the backlog of an owner that is gone.
const REPORT_VALIDITY: Duration = Duration::from_secs(5);
/// Nodes estimate the table's clock with an error of up to the shortest time of a table call. A
/// row that is further ahead than this is from the future.
const MAX_CLOCK_ERROR: Duration = Duration::from_millis(250);
/// A model is reported while its open work takes longer than this share of the shortest run target
/// of its open batches.
pub(crate) const MIN_REPORTED_TARGET_SHARE: f64 = 0.5;
/// Batches of a model that are reported on their own. The work of further ones is left out, so
/// that the row stays small.
const MAX_REPORTED_BATCHES: usize = 64;

/// Backlog of the reported models; a model that is not reported has none that delays a batch.
pub(crate) type Backlog = BTreeMap<String, ReportedBacklog>;

/// The open required work of a model's batches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReportedBacklog {
    /// Capacity of the model's engines, in units of the length hints.
    pub(crate) units_per_second: f64,
    /// The open batches, the most urgent first and then by due time.
    pub(crate) batches: Vec<BatchBacklog>,
}

/// The open required work of one batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BatchBacklog {
    pub(crate) urgency: Urgency,
    /// When the batch is due, by the table's clock. The expiry of a batch without a run target.
    pub(crate) due_at: Timestamp,
    /// Time that all engines of the model take for the work.
    pub(crate) time_to_finish: TimeSpan,
}

/// Stored form of a [`Backlog`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct BacklogRow {
    #[serde(default)]
    pub(crate) models: Backlog,
    /// Epoch of the owner that wrote the row.
    pub(crate) epoch: u64,
    /// Write time by the table's clock.
    pub(crate) at: Timestamp,
}

/// An open batch of a model, as the owner knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenBatchWork {
    pub(super) urgency: Urgency,
    pub(super) due_at: Timestamp,
    /// None for a route without a run target.
    pub(super) run_target: Option<Duration>,
    /// Remaining events of the required groups.
    pub(super) events: f64,
}

impl ReportedBacklog {
    /// Returns the backlog to report; None if it is short or the capacity is unknown.
    pub(super) fn of_open_work(
        mut open: Vec<OpenBatchWork>,
        events_per_second: f64,
        units_per_event: f64,
    ) -> Option<Self> {
        if !is_positive(events_per_second) || !is_positive(units_per_event) {
            return None;
        }
        let shortest_target = open.iter().filter_map(|work| work.run_target).min()?;
        open.sort_by_key(|work| (work.urgency, work.due_at));
        let time_of =
            |work: &OpenBatchWork| TimeSpan::from_secs_f64(work.events / events_per_second);
        let batches = open.iter().filter_map(|work| {
            Some(BatchBacklog {
                urgency: work.urgency,
                due_at: work.due_at,
                time_to_finish: time_of(work)?,
            })
        });
        let backlog = Self {
            units_per_second: events_per_second * units_per_event,
            batches: batches
                .filter(|batch| !batch.time_to_finish.is_zero())
                .take(MAX_REPORTED_BATCHES)
                .collect(),
        };
        let min_reported = shortest_target.mul_f64(MIN_REPORTED_TARGET_SHARE);
        (backlog.time_to_finish() > min_reported).then_some(backlog)
    }

    /// Time that all engines of the model take for the work of all batches.
    pub(crate) fn time_to_finish(&self) -> Duration {
        total(self.batches.iter())
    }

    /// Time that all engines of the model take for the work that goes before a batch of this
    /// urgency and due time: that of more urgent batches, and of equally urgent ones due no later.
    pub(crate) fn time_ahead_of(&self, urgency: Urgency, due_at: Timestamp) -> Duration {
        let batches = self.batches.iter();
        total(batches.filter(|batch| (batch.urgency, batch.due_at) <= (urgency, due_at)))
    }

    /// Time that all engines of the model take for work in units of the length hints. Zero if
    /// the row has no usable capacity.
    pub(crate) fn time_for_units(&self, units: f64) -> Duration {
        if !is_positive(self.units_per_second) {
            return Duration::ZERO;
        }
        let time = TimeSpan::from_secs_f64(units / self.units_per_second);
        time.unwrap_or_default().duration()
    }
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

fn total<'a>(batches: impl Iterator<Item = &'a BatchBacklog>) -> Duration {
    batches.fold(Duration::ZERO, |sum, batch| {
        sum.saturating_add(batch.time_to_finish.duration())
    })
}

impl BacklogRow {
    pub(crate) fn encode(&self) -> Bytes {
        let mut encoded = Vec::new();
        ciborium::into_writer(self, &mut encoded).expect("writing to a Vec cannot fail");
        Bytes::from(encoded)
    }

    /// Decodes a stored row. Logs a row that cannot be decoded and returns None.
    pub(crate) fn decode(key: &str, stored: &[u8]) -> Option<Self> {
        match ciborium::from_reader(stored) {
            Ok(row) => Some(row),
            Err(error) => {
                events::emit(&Event::RowUnreadable {
                    table: rows::LEASES,
                    key,
                    detail: &error.to_string(),
                });
                None
            }
        }
    }

    /// Returns the age of the row; None if it has expired or is from the future.
    pub(crate) fn usable_age(&self, now: Timestamp) -> Option<Duration> {
        let age = now.since(self.at);
        let is_from_future = self.at > now.after(MAX_CLOCK_ERROR);
        (!is_from_future && age <= REPORT_VALIDITY).then_some(age)
    }

    /// The longest time to finish of a model, in milliseconds.
    pub(super) fn max_time_to_finish_ms(&self) -> u64 {
        let times = self.models.values().map(ReportedBacklog::time_to_finish);
        whole_millis(times.max().unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;
