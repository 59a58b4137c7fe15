//! Counts this node's running work by zone, and logs when the last of it has ended in an
//! evacuated zone.

mod tracker;

use self::tracker::{DrainedZone, ZoneWorkTracker};
pub(crate) use self::tracker::{WorkKind, ZoneCounts};
use crate::events::{self, Event};
use crate::operator::InForce;
use sloetrail_clock::BootInstant;
use sloetrail_types::{ZoneName, whole_millis};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// The running work of this node, shared between tasks.
#[derive(Debug, Default)]
pub(crate) struct ZoneWork {
    tracker: Mutex<ZoneWorkTracker>,
}

impl ZoneWork {
    /// Starts to track evacuations until the sender of `in_force` is dropped.
    pub(crate) fn start(mut in_force: watch::Receiver<Arc<InForce>>) -> Arc<Self> {
        let work = Arc::new(Self::default());
        let followed = Arc::downgrade(&work);
        tokio::spawn(async move {
            while in_force.changed().await.is_ok() {
                let Some(work) = followed.upgrade() else {
                    return;
                };
                let evacuations = Arc::clone(&in_force.borrow_and_update().evacuations);
                let now = BootInstant::now();
                let drained = work.tracker().set_evacuated(evacuations.zones(), now);
                drained.iter().for_each(emit_drained);
            }
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
        self.tracker.lock().expect("not poisoned")
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
