//! Counts this node's running work by zone, and logs when the last of it has ended in an
//! evacuated zone.

mod tracker;

use self::tracker::{DrainedZone, ZoneWorkTracker};
pub(crate) use self::tracker::{WorkKind, ZoneCounts};
use crate::events::{self, Event};
use crate::operator::InForce;
use crate::tasks;
use parking_lot::{Mutex, MutexGuard};
use sloetrail_clock::BootInstant;
use sloetrail_types::{ZoneName, whole_millis};
use std::sync::{Arc, Weak};
use tokio::sync::watch;

/// The running work of this node, shared between tasks.
#[derive(Debug, Default)]
pub(crate) struct ZoneWork {
    tracker: Mutex<ZoneWorkTracker>,
}

async fn track_evacuations(work: Weak<ZoneWork>, mut in_force: watch::Receiver<Arc<InForce>>) {
    while in_force.changed().await.is_ok() {
        let Some(work) = work.upgrade() else {
            return;
        };
        let evacuations = Arc::clone(&in_force.borrow_and_update().evacuations);
        let now = BootInstant::now();
        let drained = work.tracker().set_evacuated(evacuations.zones(), now);
        drained.iter().for_each(emit_drained);
    }
}

impl ZoneWork {
    /// Starts to track evacuations until the sender of `in_force` is dropped.
    pub(crate) fn start(in_force: watch::Receiver<Arc<InForce>>) -> Arc<Self> {
        let work = Arc::new(Self::default());
        let followed = Arc::downgrade(&work);
        tasks::spawn_part("zone work", move || {
            track_evacuations(Weak::clone(&followed), in_force.clone())
        });
        work
    }

    /// Counts a run at a back end of the zone until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>, zone: &ZoneName, kind: WorkKind) -> ZoneWorkGuard {
        self.tracker().begin(zone, kind);
        ZoneWorkGuard {
            work: Arc::clone(self),
            zone: zone.clone(),
            kind,
        }
    }

    /// Returns the zones that are evacuated, or were in this incarnation of the node.
    pub(crate) fn evacuated_zones(&self) -> Vec<(ZoneName, ZoneCounts)> {
        self.tracker().evacuated_zones(BootInstant::now())
    }

    fn tracker(&self) -> MutexGuard<'_, ZoneWorkTracker> {
        self.tracker.lock()
    }
}

/// Counts one run at a back end of a zone.
#[derive(Debug)]
pub(crate) struct ZoneWorkGuard {
    work: Arc<ZoneWork>,
    zone: ZoneName,
    kind: WorkKind,
}

impl Drop for ZoneWorkGuard {
    fn drop(&mut self) {
        let drained = self
            .work
            .tracker()
            .end(&self.zone, self.kind, BootInstant::now());
        drained.iter().for_each(emit_drained);
    }
}

fn emit_drained(drained: &DrainedZone) {
    events::emit(&Event::EvacuationSettled {
        zone: drained.zone.as_str(),
        after_ms: whole_millis(drained.after),
    });
}
