//! Supervisor of lease managers: one for each task that a single node at a time may run.

mod lease_managers;

pub(crate) use self::lease_managers::LeaseManagers;

use self::lease_managers::LeaseNeed;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::leases::{BatchSet, LeaseResource};
use crate::owner::BatchOwnerTask;
use crate::telemetry;
use crate::usage::UsageReportTask;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;

/// Runs a lease manager for each needed lease until the node stops, then waits until all of
/// them have released their leases. `usage` is None if usage is not reported.
pub(crate) async fn supervise(
    context: Arc<NodeContext>,
    usage: Option<Arc<UsageReportTask>>,
    managers: Arc<Mutex<LeaseManagers>>,
    stopping: CancellationToken,
) {
    let mut managers = managers.lock().await;
    if let Some(usage) = usage {
        let lease = (LeaseResource::UsageReports, LeaseNeed::Enabled);
        managers.ensure(&context, lease, &stopping, || usage);
    }
    let mut in_force = context.in_force.clone();
    let mut recorded_sets = context.recorded_sets.clone();
    let mut reported_sets = 0;
    loop {
        in_force.mark_unchanged();
        recorded_sets.mark_unchanged();
        let mut sets = needed_sets(&context);
        report_unknown_region(&context, &sets, &mut reported_sets);
        let own_region = context.settings.topology.own_region();
        sets.retain(|set, _| set.regions().allows(own_region));
        managers.stop_unneeded(|resource| match resource {
            LeaseResource::Batches(set) => sets.contains_key(set),
            LeaseResource::UsageReports => true,
        });
        for (set, need) in sets {
            let lease = (LeaseResource::Batches(set.clone()), need);
            managers.ensure(&context, lease, &stopping, || {
                let context = Arc::clone(&context);
                Arc::new(BatchOwnerTask { context, set })
            });
        }
        telemetry::lease_managers(managers.len());
        tokio::select! {
            Ok(()) = in_force.changed() => {}
            Ok(()) = recorded_sets.changed() => {}
            () = managers.next_end() => {}
            () = stopping.cancelled() => break,
        }
    }
    managers.join().await;
}

/// Returns the batch sets that need an owner, each with the reason.
fn needed_sets(context: &NodeContext) -> BTreeMap<BatchSet, LeaseNeed> {
    let recorded = context.recorded_sets.borrow().needing_an_owner();
    let recorded = recorded.into_iter().map(|set| (set, LeaseNeed::Recorded));
    let mut sets: BTreeMap<BatchSet, LeaseNeed> = recorded.collect();
    if let Some(configuration) = context.configuration() {
        let configured = BatchSet::configured(&configuration).into_iter();
        sets.extend(configured.map(|set| (set, LeaseNeed::Configured)));
    }
    sets
}

/// Logs that the region of this node is unknown, so that it competes for no bound batches.
/// Repeats the event only when the number of sets has changed.
fn report_unknown_region(
    context: &NodeContext,
    sets: &BTreeMap<BatchSet, LeaseNeed>,
    reported: &mut usize,
) {
    let topology = &context.settings.topology;
    let bound = sets.keys().filter(|set| !set.regions().is_everywhere());
    let count = bound.count();
    if topology.own_region().is_none() && count != *reported {
        *reported = count;
        events::emit(&Event::OwnRegionUnknown {
            zone: topology.zone().as_str(),
            sets: count,
        });
    }
}
