//! Decides when the owner of region-bound batches reports their demand.

use super::{MIN_REPORT_INTERVAL, REFRESH_INTERVAL, SlotDemand, StoredDemand};
use sloetrail_clock::BootInstant;

/// Aggregates the demand of an owner's batches over reporting periods.
#[derive(Debug)]
pub(in crate::owner) struct DemandReporter {
    busy_sum: usize,
    samples: usize,
    wanted: usize,
    step_percent: Option<u32>,
    period_start: BootInstant,
    /// Demand whose write has not completed.
    in_flight: Option<SlotDemand>,
}

impl DemandReporter {
    /// Creates the reporter of a new owner. The first report is due after one period: until
    /// then the owner loads its batches, and the previous owner's row stays in force.
    pub(in crate::owner) fn new(now: BootInstant) -> Self {
        Self {
            busy_sum: 0,
            samples: 0,
            wanted: 0,
            step_percent: None,
            period_start: now,
            in_flight: None,
        }
    }

    /// Records how many items run, and how many would if enough slots were free. Must be called
    /// at regular intervals, as samples have equal weight.
    pub(in crate::owner) fn record(&mut self, running: usize, wanted: usize) {
        self.busy_sum += running;
        self.samples += 1;
        self.wanted = wanted;
    }

    /// Records a completed step. `share` is its duration divided by its target duration.
    pub(in crate::owner) fn record_step(&mut self, share: f64) {
        let percent = (share * 100.0).ceil().clamp(0.0, f64::from(u32::MAX)) as u32;
        self.step_percent = self.step_percent.max(Some(percent));
    }

    /// True if the period is over and no write is in flight.
    pub(in crate::owner) fn is_due(&self, now: BootInstant) -> bool {
        let period = now.saturating_duration_since(self.period_start);
        self.in_flight.is_none() && period >= MIN_REPORT_INTERVAL
    }

    /// Ends a period. Returns the demand to write if it differs from the stored one, reports a
    /// step, or must refresh the stored row.
    pub(in crate::owner) fn end_period(
        &mut self,
        now: BootInstant,
        now_ms: u64,
        stored: StoredDemand,
    ) -> Option<SlotDemand> {
        let demand = SlotDemand {
            busy: self.busy_sum.div_ceil(self.samples.max(1)),
            wanted: self.wanted,
            step_percent: self.step_percent,
        };
        self.period_start = now;
        self.busy_sum = 0;
        self.samples = 0;
        // Each step is reported, even if the demand is unchanged.
        if demand.step_percent.is_none() && is_current(demand, stored, now_ms) {
            return None;
        }
        self.step_percent = None;
        self.in_flight = Some(demand);
        Some(demand)
    }

    /// Records the outcome of a write. Steps of a failed write are reported again.
    pub(in crate::owner) fn record_write(&mut self, is_committed: bool) {
        let Some(demand) = self.in_flight.take() else {
            return;
        };
        if !is_committed {
            self.step_percent = self.step_percent.max(demand.step_percent);
        }
    }
}

/// True if the stored row equals `demand` and needs no refresh.
fn is_current(demand: SlotDemand, stored: StoredDemand, now_ms: u64) -> bool {
    match stored {
        StoredDemand::Absent => demand.is_idle(),
        StoredDemand::Unreadable => false,
        StoredDemand::Row(row) => {
            let age_ms = u128::from(now_ms.saturating_sub(row.at_ms));
            let is_young = age_ms < REFRESH_INTERVAL.as_millis();
            row.demand == demand && (demand.is_idle() || is_young)
        }
    }
}
