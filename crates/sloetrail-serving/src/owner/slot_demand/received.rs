//! Slot demands received from the owners of region-bound batches.

use super::{DEMAND_VALIDITY, DemandRow};
use crate::follow::TableView;
use crate::leases::BatchSet;
use crate::rows;
use sloetrail_scaling::{BoundWork, BoundWorkByRegions};
use sloetrail_types::{AllowedRegions, RowVersion, ServiceName};
use std::collections::BTreeMap;

/// A completed step of region-bound work, reported by its owner.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::owner) struct BoundStep {
    pub(in crate::owner) regions: AllowedRegions,
    /// Duration of the step divided by its target duration.
    pub(in crate::owner) share: f64,
}

/// Demand rows of a service, read from the view of the lease table.
#[derive(Debug, Default)]
pub(in crate::owner) struct ReceivedDemands {
    rows: BTreeMap<AllowedRegions, ReceivedRow>,
    /// Version of each row by key, including rows that cannot be decoded.
    versions: BTreeMap<String, RowVersion>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedRow {
    row: DemandRow,
    /// Start of the row's age: its write time, or the last known outage of the table while the
    /// row was current, as no owner could rewrite it during the outage.
    ages_from_ms: u64,
}

impl ReceivedRow {
    fn new(row: DemandRow) -> Self {
        Self {
            row,
            ages_from_ms: row.at_ms,
        }
    }

    /// A row without demand never expires.
    fn is_current(&self, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.ages_from_ms);
        self.row.demand.is_idle() || u128::from(age_ms) <= DEMAND_VALIDITY.as_millis()
    }
}

impl ReceivedDemands {
    /// Records that the table does not answer, so that current rows do not expire meanwhile.
    pub(in crate::owner) fn record_table_outage(&mut self, now_ms: u64) {
        let rows = self.rows.values_mut();
        for received in rows.filter(|received| received.is_current(now_ms)) {
            received.ages_from_ms = received.ages_from_ms.max(now_ms);
        }
    }

    /// Applies the rows of a service. Returns the steps reported in new rows that have not
    /// expired.
    pub(in crate::owner) fn apply_view(
        &mut self,
        view: &TableView,
        service: &ServiceName,
        now_ms: u64,
    ) -> Vec<BoundStep> {
        let mut steps = Vec::new();
        for (key, set) in demand_keys(view) {
            let Some(row) = view.rows.get(key) else {
                continue;
            };
            let is_known = self.versions.get(key) == Some(&row.version);
            if set.service() != service || is_known {
                continue;
            }
            self.versions.insert(key.clone(), row.version);
            let regions = set.regions().clone();
            match DemandRow::decode(key, &row.value) {
                Some(received) => steps.extend(self.apply_row(regions, received, now_ms)),
                None => drop(self.rows.remove(&regions)),
            }
        }
        steps
    }

    fn apply_row(
        &mut self,
        regions: AllowedRegions,
        row: DemandRow,
        now_ms: u64,
    ) -> Option<BoundStep> {
        let received = ReceivedRow::new(row);
        self.rows.insert(regions.clone(), received);
        let percent = row.demand.step_percent;
        let percent = percent.filter(|_| received.is_current(now_ms))?;
        Some(BoundStep {
            regions,
            share: f64::from(percent) / 100.0,
        })
    }

    /// Returns the region-bound work of all current rows.
    pub(in crate::owner) fn bound_work(&self, now_ms: u64) -> BoundWorkByRegions {
        let current = self.rows.iter();
        let current = current.filter(|(_, received)| received.is_current(now_ms));
        let work = |received: &ReceivedRow| BoundWork {
            busy_slots: received.row.demand.busy,
            requested_slots: received.row.demand.wanted,
        };
        current
            .map(|(regions, received)| (regions.clone(), work(received)))
            .collect()
    }

    /// True if the current row of a set includes batches that were accepted at `since_ms`.
    pub(in crate::owner) fn covers(
        &self,
        regions: &AllowedRegions,
        since_ms: u64,
        now_ms: u64,
    ) -> bool {
        let received = self.rows.get(regions);
        received
            .is_some_and(|received| received.row.at_ms >= since_ms && received.is_current(now_ms))
    }
}

/// Returns the keys of demand rows with their batch sets.
fn demand_keys(view: &TableView) -> impl Iterator<Item = (&String, BatchSet)> {
    let keys = view.rows.keys();
    keys.filter_map(|key| {
        let name = rows::subject_of_slot_demand(key)?;
        Some((key, BatchSet::from_lease_name(name)?))
    })
}
