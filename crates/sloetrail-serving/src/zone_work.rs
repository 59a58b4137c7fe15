//! What this node has running at back ends, by zone, and when the last of it ended in a zone
//! that is evacuated.

mod tracker;

use self::tracker::{DrainedZone, ZoneWorkTracker};
pub(crate) use self::tracker::{WorkKind, ZoneCounts};
use crate::events::{self, Event};
use crate::operator::InForce;
use sloetrail_clock::BootInstant;
use sloetrail_types::ZoneName;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// Counts what runs, and tells once an evacuated zone has nothing left.
#[derive(Debug, Default)]
pub(crate) struct ZoneWork {
    tracker: Mutex<ZoneWorkTracker>,
}

impl ZoneWork {
    /// Counts for a node until what is in force is told no more.
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

    /// Something begins to run at a back end of a zone; it runs until this is dropped.
    pub(crate) fn begin(self: &Arc<Self>, zone: &ZoneName, kind: WorkKind) -> ZoneWorkGuard {
        self.tracker().begin(zone, kind);
        ZoneWorkGuard {
            work: Arc::clone(self),
            zone: zone.clone(),
            kind,
        }
    }

    /// The zones that are evacuated now, or were in this life of the node.
    pub(crate) fn evacuated_zones(&self) -> Vec<(ZoneName, ZoneCounts)> {
        self.tracker().evacuated_zones(BootInstant::now())
    }

    fn tracker(&self) -> MutexGuard<'_, ZoneWorkTracker> {
        self.tracker.lock().expect("not poisoned")
    }
}

/// Something that runs at a back end of a zone.
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
        after_ms: drained.after.as_millis() as u64,
    });
}
