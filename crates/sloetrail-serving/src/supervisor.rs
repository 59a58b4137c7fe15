//! Supervisor of lease managers: one for each task that a single node at a time may run.

use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::leases::{BatchSet, LeaseManager, LeaseResource, LeaseTask};
use crate::owner::BatchOwnerTask;
use crate::tasks;
use crate::telemetry;
use crate::usage::UsageReportTask;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The running lease managers.
///
/// Invariant: at most one manager for each resource, also after the supervisor was started again.
pub(crate) type LeaseManagers = HashMap<LeaseResource, JoinHandle<()>>;

/// Runs a lease manager for each required lease until the node stops, then waits until all of
/// them have released their leases. `usage` is None if usage is not reported.
pub(crate) async fn supervise(
    context: Arc<NodeContext>,
    usage: Option<Arc<UsageReportTask>>,
    managers: Arc<Mutex<LeaseManagers>>,
    stopping: CancellationToken,
) {
    let mut managers = managers.lock().await;
    let start = |resource: LeaseResource, task: Arc<dyn LeaseTask>| {
        let (context, stopping) = (Arc::clone(&context), stopping.clone());
        tasks::spawn_part("lease manager", move || {
            let (context, task) = (Arc::clone(&context), Arc::clone(&task));
            LeaseManager::new(context, resource.clone(), task).run(stopping.clone())
        })
    };
    if let Some(usage) = usage {
        let resource = LeaseResource::UsageReports;
        let manager = managers.entry(resource.clone());
        manager.or_insert_with(|| {
            report_started(&context, &resource, "settings");
            start(resource, usage)
        });
    }
    let mut in_force = context.in_force.clone();
    let mut recorded_sets = context.recorded_sets.clone();
    let mut reported_sets = 0;
    loop {
        let configuration = in_force.borrow_and_update().configuration.clone();
        let configured = configuration.map(|configuration| BatchSet::configured(&configuration));
        let configured = configured.unwrap_or_default();
        let recorded = Arc::clone(&recorded_sets.borrow_and_update());
        let own_region = context.settings.topology.own_region();
        let sets = configured.iter().chain(recorded.iter()).cloned();
        let sets: BTreeSet<BatchSet> = sets.collect();
        report_unknown_region(&context, &sets, &mut reported_sets);
        for set in sets {
            if !set.regions().allows(own_region) {
                continue;
            }
            let resource = LeaseResource::Batches(set.clone());
            managers.entry(resource.clone()).or_insert_with(|| {
                let is_configured = configured.contains(&set);
                let cause = if is_configured {
                    "configuration"
                } else {
                    "table"
                };
                report_started(&context, &resource, cause);
                let context = Arc::clone(&context);
                start(resource, Arc::new(BatchOwnerTask { context, set }))
            });
        }
        telemetry::lease_managers(managers.len());
        tokio::select! {
            Ok(()) = in_force.changed() => {}
            Ok(()) = recorded_sets.changed() => {}
            () = stopping.cancelled() => break,
        }
    }
    for (_, manager) in managers.drain() {
        // Fails only if the runtime shuts down.
        let _ = manager.await;
    }
}

fn report_started(context: &NodeContext, resource: &LeaseResource, cause: &str) {
    let configuration = context.configuration();
    events::emit(&Event::LeaseManagerStarted {
        service: resource.name(),
        cause,
        revision: configuration.map_or(0, |configuration| configuration.revision.0),
    });
}

/// Logs that the region of this node is unknown, so that it competes for no bound batches.
/// Repeats the event only when the number of sets has changed.
fn report_unknown_region(context: &NodeContext, sets: &BTreeSet<BatchSet>, reported: &mut usize) {
    let topology = &context.settings.topology;
    let bound = sets.iter().filter(|set| !set.regions().is_everywhere());
    let count = bound.count();
    if topology.own_region().is_none() && count != *reported {
        *reported = count;
        events::emit(&Event::OwnRegionUnknown {
            zone: topology.zone().as_str(),
            sets: count,
        });
    }
}
