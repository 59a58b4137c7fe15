//! When the owner of bound batches reports what they take.

use super::{MIN_REPORT_INTERVAL, REFRESH_INTERVAL, SlotDemand, StoredDemand};
use sloetrail_clock::BootInstant;

/// Gathers what the batches of an owner take, and tells when a row is due.
#[derive(Debug)]
pub(in crate::owner) struct DemandReporter {
    busy_sum: usize,
    samples: usize,
    wanted: usize,
    step_percent: Option<u32>,
    period_start: BootInstant,
    /// The row that is being written.
    in_flight: Option<SlotDemand>,
}

impl DemandReporter {
    /// A reporter of a new owner. Its first row is due after a period: until then it loads
    /// batches, and the row of the owner before it holds.
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

    /// Takes in how many items run, and how many would if there were places; called at even
    /// times.
    pub(in crate::owner) fn record(&mut self, running: usize, wanted: usize) {
        self.busy_sum += running;
        self.samples += 1;
        self.wanted = wanted;
    }

    /// A step is whole, after this part of the time that it had.
    pub(in crate::owner) fn record_step(&mut self, share: f64) {
        let percent = (share * 100.0).ceil().clamp(0.0, f64::from(u32::MAX)) as u32;
        self.step_percent = self.step_percent.max(Some(percent));
    }

    /// True if it is time to look whether a row is to be written.
    pub(in crate::owner) fn is_due(&self, now: BootInstant) -> bool {
        let period = now.saturating_duration_since(self.period_start);
        self.in_flight.is_none() && period >= MIN_REPORT_INTERVAL
    }

    /// Ends a period; the demand to be written, if it is other than the one that is stored,
    /// or that one would age out.
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
        // Steps are told one by one, also if two took the same time.
        if demand.step_percent.is_none() && is_current(demand, stored, now_ms) {
            return None;
        }
        self.step_percent = None;
        self.in_flight = Some(demand);
        Some(demand)
    }

    /// The row was written, or was not. Steps that it told are told again in the latter case.
    pub(in crate::owner) fn record_write(&mut self, is_committed: bool) {
        let Some(demand) = self.in_flight.take() else {
            return;
        };
        if !is_committed {
            self.step_percent = self.step_percent.max(demand.step_percent);
        }
    }
}

/// True if what is stored tells the same, and will not age out before the next period ends.
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
