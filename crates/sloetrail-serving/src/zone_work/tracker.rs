//! Running work by zone, without I/O and without a clock.

use sloetrail_clock::BootInstant;
use sloetrail_types::ZoneName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkKind {
    /// A live request or a reward call.
    Live,
    Item,
}

/// The running work in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ZoneCounts {
    /// Live requests and reward calls.
    pub(crate) live: usize,
    pub(crate) items: usize,
    /// Time since this node applied the evacuation. None if the zone is not evacuated.
    pub(crate) evacuated_for: Option<Duration>,
}

/// An evacuated zone in which no work of this node is running any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DrainedZone {
    pub(super) zone: ZoneName,
    /// Time since this node applied the evacuation.
    pub(super) after: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneState {
    live: usize,
    items: usize,
    evacuated_since: Option<BootInstant>,
    /// True once the zone was reported as drained in this evacuation. Later work is withheld
    /// before it is sent, so it must not be reported again.
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

    /// Returns the zone if it is evacuated and its last work has just ended.
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

/// The running work and the evacuation state of each zone.
#[derive(Debug, Default)]
pub(super) struct ZoneWorkTracker {
    zones: BTreeMap<ZoneName, ZoneState>,
}

impl ZoneWorkTracker {
    pub(super) fn begin(&mut self, zone: &ZoneName, kind: WorkKind) {
        match self.zones.get_mut(zone) {
            Some(state) => *state.count(kind) += 1,
            None => {
                let state = self.zones.entry(zone.clone()).or_default();
                *state.count(kind) += 1;
            }
        }
    }

    /// Returns the zone if this was the last work of an evacuated zone.
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

    /// Sets the evacuated zones. Returns the newly evacuated zones in which no work is
    /// running.
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

    /// Returns the zones that are evacuated or were before.
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
