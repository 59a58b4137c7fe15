//! The counts, without I/O and without a clock.

use sloetrail_clock::BootInstant;
use sloetrail_types::ZoneName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What runs at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkKind {
    /// A live request, or a reward call.
    Live,
    /// An item of a batch.
    Item,
}

/// What runs in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ZoneCounts {
    /// Live requests and reward calls.
    pub(crate) live: usize,
    /// Items of batches.
    pub(crate) items: usize,
    /// How long its evacuation has been in force here; nothing if it is not.
    pub(crate) evacuated_for: Option<Duration>,
}

/// Nothing that this node sent to an evacuated zone runs there any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DrainedZone {
    pub(super) zone: ZoneName,
    /// How long after the evacuation was in force here.
    pub(super) after: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneState {
    live: usize,
    items: usize,
    evacuated_since: Option<BootInstant>,
    /// It was told that nothing runs there any more since it was evacuated. What begins
    /// after that is held back before it is sent.
    is_drained: bool,
    was_evacuated: bool,
}

impl ZoneState {
    fn count(&mut self, kind: WorkKind) -> &mut usize {
        match kind {
            WorkKind::Live => &mut self.live,
            WorkKind::Item => &mut self.items,
        }
    }

    /// What is to be told if the zone is evacuated and the last has just ended there.
    fn check_drained(&mut self, zone: &ZoneName, now: BootInstant) -> Option<DrainedZone> {
        let since = self.evacuated_since?;
        let is_empty = self.live == 0 && self.items == 0;
        if self.is_drained || !is_empty {
            return None;
        }
        self.is_drained = true;
        Some(DrainedZone {
            zone: zone.clone(),
            after: now.saturating_duration_since(since),
        })
    }
}

/// What runs by zone, and which zones are evacuated.
#[derive(Debug, Default)]
pub(super) struct ZoneWorkTracker {
    zones: BTreeMap<ZoneName, ZoneState>,
}

impl ZoneWorkTracker {
    /// Something begins to run.
    pub(super) fn begin(&mut self, zone: &ZoneName, kind: WorkKind) {
        match self.zones.get_mut(zone) {
            Some(state) => *state.count(kind) += 1,
            None => {
                let state = self.zones.entry(zone.clone()).or_default();
                *state.count(kind) += 1;
            }
        }
    }

    /// Something that was begun has ended.
    pub(super) fn end(
        &mut self,
        zone: &ZoneName,
        kind: WorkKind,
        now: BootInstant,
    ) -> Option<DrainedZone> {
        let state = self.zones.get_mut(zone)?;
        let count = state.count(kind);
        *count = count.saturating_sub(1);
        state.check_drained(zone, now)
    }

    /// Takes in which zones are evacuated; those of the new ones in which nothing runs.
    pub(super) fn set_evacuated<'a>(
        &mut self,
        evacuated_zones: impl Iterator<Item = &'a ZoneName>,
        now: BootInstant,
    ) -> Vec<DrainedZone> {
        let evacuated_zones: BTreeSet<&ZoneName> = evacuated_zones.collect();
        for (zone, state) in &mut self.zones {
            if !evacuated_zones.contains(zone) {
                state.evacuated_since = None;
            }
        }
        let mut drained = Vec::new();
        for zone in evacuated_zones {
            let state = self.zones.entry(zone.clone()).or_default();
            if state.evacuated_since.is_some() {
                continue;
            }
            state.evacuated_since = Some(now);
            state.is_drained = false;
            state.was_evacuated = true;
            drained.extend(state.check_drained(zone, now));
        }
        drained
    }

    /// The zones that are evacuated now, or were before.
    pub(super) fn evacuated_zones(&self, now: BootInstant) -> Vec<(ZoneName, ZoneCounts)> {
        let known = self.zones.iter();
        let evacuated_zones = known.filter(|(_, state)| state.was_evacuated);
        let counts = |state: &ZoneState| ZoneCounts {
            live: state.live,
            items: state.items,
            evacuated_for: state
                .evacuated_since
                .map(|since| now.saturating_duration_since(since)),
        };
        evacuated_zones
            .map(|(zone, state)| (zone.clone(), counts(state)))
            .collect()
    }
}

#[cfg(test)]
mod tests;
