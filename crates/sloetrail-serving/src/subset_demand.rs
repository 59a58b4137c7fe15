//! How much of the directory a node wants to hold.
//!
//! A node begins with enough rows for what it sends itself. It wants more when a service has
//! too few back ends among them, or none has a place for a request, or when it owns a service's
//! batches and these are more work than the engines that it holds bear; and all of them if it
//! decides how many engines there are. It never wants less: what is held costs memory alone.
//!
//! An owner so works with as many engines as its batches need, whatever the fleet has: each
//! step of its work looks at all engines that it holds. With all 7,777 of a fleet of 985
//! machines an owner sent 1,816 items in 11 s of a day, and no batch was done.

use crate::directory::Directory;
use crate::operator::InForce;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::{ServiceName, Topology};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

/// Rows that a node holds at first. Where services share the rows as the users' do, a fifth
/// of them of applications, spread over five zones, these are two dozen applications in the
/// node's zone.
const ROWS_AT_FIRST: usize = 600;
/// Every row.
const ALL: usize = usize::MAX;

/// Back ends of a service in the node's zone with which it has enough: with an eighth of them
/// lost, as users' days have it, seven are left.
const ENOUGH_IN_ZONE: usize = 8;
/// Back ends of a service anywhere with which it has enough, if there are fewer in its zone.
const ENOUGH_ANYWHERE: usize = 64;

/// How many rows of the directory a node wants.
#[derive(Debug)]
pub(crate) struct SubsetDemand {
    wanted: watch::Sender<usize>,
    /// How many were wanted when the directory was read last.
    granted: AtomicUsize,
}

impl Default for SubsetDemand {
    fn default() -> Self {
        let (wanted, _) = watch::channel(ROWS_AT_FIRST);
        Self {
            wanted,
            granted: AtomicUsize::new(0),
        }
    }
}

impl SubsetDemand {
    /// How many rows are wanted, whenever that changes.
    pub(crate) fn wanted(&self) -> watch::Receiver<usize> {
        self.wanted.subscribe()
    }

    /// Every back end is wanted from now on.
    pub(crate) fn demand_all(&self) {
        self.wanted
            .send_if_modified(|wanted| std::mem::replace(wanted, ALL) != ALL);
    }

    /// More are wanted than there are. Asked again before the directory has been read, it
    /// changes nothing.
    pub(crate) fn demand_more(&self) {
        let granted = self.granted.load(Ordering::Relaxed);
        self.wanted.send_if_modified(|wanted| {
            let was_read = granted >= *wanted && *wanted != ALL;
            if was_read {
                *wanted = wanted.saturating_mul(2);
            }
            was_read
        });
    }

    /// The directory was read when so many rows were wanted; all of them if `covers_all`.
    pub(crate) fn grant(&self, wanted: usize, covers_all: bool) {
        let granted = if covers_all { 0 } else { wanted };
        self.granted.store(granted, Ordering::Relaxed);
    }
}

/// Wants more of the directory while a service has too few back ends in the part that is held.
pub(crate) fn watch_subset_coverage(
    interest: Arc<SubsetDemand>,
    topology: Topology,
    mut directory: watch::Receiver<Arc<Directory>>,
    mut in_force: watch::Receiver<Arc<InForce>>,
) {
    tokio::spawn(async move {
        loop {
            let changed = tokio::select! {
                changed = directory.changed() => changed,
                changed = in_force.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
            let held = directory.borrow_and_update().clone();
            let configuration = in_force.borrow_and_update().configuration.clone();
            let has_enough = held.covers_all
                || configuration.is_none_or(|known| has_enough(&held, &known, &topology));
            if !has_enough {
                interest.demand_more();
            }
        }
    });
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
    let (mut in_zone, mut anywhere) = (0, 0);
    let ready = directory
        .of_service(service)
        .filter(|back_end| !back_end.draining);
    for back_end in ready {
        anywhere += 1;
        in_zone += usize::from(back_end.zone == *topology.zone());
    }
    in_zone >= ENOUGH_IN_ZONE || anywhere >= ENOUGH_ANYWHERE
}

#[cfg(test)]
mod tests;
