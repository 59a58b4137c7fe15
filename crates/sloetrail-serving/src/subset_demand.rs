//! How many rows of the directory a node needs.
//!
//! A node starts with enough rows for its own requests. It demands more when a service has too
//! few back ends among them or no free slot, or when it owns batches with more work than the known
//! engines can run. It demands all rows if it decides how many engines there are. The demand never
//! shrinks, since unneeded rows cost only memory.
//!
//! An owner scans all engines that it knows in each step of its work, so it must know only as many
//! as its batches need, whatever the size of the fleet.

use crate::directory::Directory;
use crate::operator::InForce;
use crate::tasks;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::{ServiceName, Topology};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

/// Where a fifth of the rows are applications, spread over five zones, this covers two dozen
/// applications in the node's zone.
const INITIAL_ROWS: usize = 600;
const ALL_ROWS: usize = usize::MAX;

/// Back ends of a service in the node's zone that suffice: with an eighth of them lost, seven are
/// left.
const MIN_IN_ZONE: usize = 8;
/// Back ends of a service in all zones that suffice if its own zone has too few.
const MIN_IN_ALL_ZONES: usize = 64;

/// The number of directory rows that a node demands.
#[derive(Debug)]
pub(crate) struct SubsetDemand {
    target_rows: watch::Sender<usize>,
    /// The target at the last read of the directory; zero before it, or if all rows were read.
    last_read_target: AtomicUsize,
}

impl Default for SubsetDemand {
    fn default() -> Self {
        let (target_rows, _) = watch::channel(INITIAL_ROWS);
        Self {
            target_rows,
            last_read_target: AtomicUsize::new(0),
        }
    }
}

impl SubsetDemand {
    /// Subscribes to the number of demanded rows.
    pub(crate) fn target_rows(&self) -> watch::Receiver<usize> {
        self.target_rows.subscribe()
    }

    pub(crate) fn demand_all(&self) {
        self.target_rows
            .send_if_modified(|target| std::mem::replace(target, ALL_ROWS) != ALL_ROWS);
    }

    /// Doubles the demand, at most once for each read of the directory. Has no effect if the last
    /// read covered the whole directory.
    pub(crate) fn demand_more(&self) {
        let last_read_target = self.last_read_target.load(Ordering::Relaxed);
        self.target_rows.send_if_modified(|target| {
            let was_read = last_read_target >= *target && *target != ALL_ROWS;
            if was_read {
                *target = target.saturating_mul(2);
            }
            was_read
        });
    }

    /// Records a read of the directory for `target` rows. `covers_all` is true if it left out none.
    pub(crate) fn record_read(&self, target: usize, covers_all: bool) {
        let last_read_target = if covers_all { 0 } else { target };
        self.last_read_target
            .store(last_read_target, Ordering::Relaxed);
    }
}

/// Spawns a task that demands more rows while a service has too few back ends among the known rows.
pub(crate) fn watch_subset_coverage(
    demand: Arc<SubsetDemand>,
    topology: Topology,
    directory: watch::Receiver<Arc<Directory>>,
    in_force: watch::Receiver<Arc<InForce>>,
) {
    tasks::spawn_part("directory coverage", move || {
        let (demand, topology) = (Arc::clone(&demand), topology.clone());
        demand_until_covered(demand, topology, directory.clone(), in_force.clone())
    });
}

async fn demand_until_covered(
    demand: Arc<SubsetDemand>,
    topology: Topology,
    mut directory: watch::Receiver<Arc<Directory>>,
    mut in_force: watch::Receiver<Arc<InForce>>,
) {
    loop {
        let changed = tokio::select! {
            changed = directory.changed() => changed,
            changed = in_force.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        let known = directory.borrow_and_update().clone();
        let configuration = in_force.borrow_and_update().configuration.clone();
        let has_enough = known.covers_all
            || configuration
                .is_none_or(|configuration| has_enough(&known, &configuration, &topology));
        if !has_enough {
            demand.demand_more();
        }
    }
}

fn has_enough(
    directory: &Directory,
    configuration: &ServingConfiguration,
    topology: &Topology,
) -> bool {
    let mut services = configuration.services.keys();
    services.all(|service| has_enough_of(directory, service, topology))
}

fn has_enough_of(directory: &Directory, service: &ServiceName, topology: &Topology) -> bool {
    let (mut in_zone, mut in_all_zones) = (0, 0);
    let active = directory
        .of_service(service)
        .filter(|back_end| !back_end.draining);
    for back_end in active {
        in_all_zones += 1;
        in_zone += usize::from(back_end.zone == *topology.zone());
    }
    in_zone >= MIN_IN_ZONE || in_all_zones >= MIN_IN_ALL_ZONES
}

#[cfg(test)]
mod tests;
