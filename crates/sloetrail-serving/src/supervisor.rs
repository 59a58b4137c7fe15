//! Which leases this node keeps: one for each kind of work that one node at a time does.

use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::leases::{BatchSet, LeaseManager, LeaseResource, LeaseTask};
use crate::owner::BatchOwnerTask;
use crate::usage::UsageReportTask;
use sloetrail_routing::ServingConfiguration;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Runs a keeper for each lease that is needed, until the node stops; then gives every
/// lease up. `usage` is present where usage is to be reported.
pub(crate) async fn supervise(
    context: Arc<NodeContext>,
    usage: Option<UsageReportTask>,
    stopping: CancellationToken,
) {
    let mut keepers: HashMap<LeaseResource, JoinHandle<()>> = HashMap::new();
    let start = |subject: LeaseResource, work: Arc<dyn LeaseTask>| {
        let keeper = LeaseManager::new(Arc::clone(&context), subject, work);
        tokio::spawn(keeper.run(stopping.clone()))
    };
    if let Some(usage) = usage {
        let subject = LeaseResource::UsageReports;
        keepers.insert(subject.clone(), start(subject, Arc::new(usage)));
    }
    let mut in_force = context.in_force.clone();
    let mut leased_sets = context.leased_sets.clone();
    let mut sets_told = 0;
    loop {
        let configuration = in_force.borrow_and_update().configuration.clone();
        let configured = configuration.map(|configuration| configured_sets(&configuration));
        let configured = configured.into_iter().flatten();
        let leased = Arc::clone(&leased_sets.borrow_and_update());
        let own_region = context.settings.topology.own_region();
        let sets: BTreeSet<BatchSet> = configured.chain(leased.iter().cloned()).collect();
        tell_unknown_region(&context, &sets, &mut sets_told);
        for set in sets {
            if !set.regions().allows(own_region) {
                continue;
            }
            let subject = LeaseResource::Batches(set.clone());
            keepers.entry(subject.clone()).or_insert_with(|| {
                let context = Arc::clone(&context);
                start(subject, Arc::new(BatchOwnerTask { context, set }))
            });
        }
        tokio::select! {
            Ok(()) = in_force.changed() => {}
            Ok(()) = leased_sets.changed() => {}
            () = stopping.cancelled() => break,
        }
    }
    for (_, keeper) in keepers {
        // A keeper that panicked has nothing left to give up.
        let _ = keeper.await;
    }
}

/// Tells that this node competes for no bound batches since its region is not known, once for
/// each number of them.
fn tell_unknown_region(context: &NodeContext, sets: &BTreeSet<BatchSet>, told: &mut usize) {
    let topology = &context.settings.topology;
    let bound = sets.iter().filter(|set| !set.regions().is_everywhere());
    let count = bound.count();
    if topology.own_region().is_none() && count != *told {
        *told = count;
        events::emit(&Event::OwnRegionUnknown {
            zone: topology.zone().as_str(),
            sets: count,
        });
    }
}

/// The batches that there may be under a configuration.
fn configured_sets(configuration: &ServingConfiguration) -> Vec<BatchSet> {
    let services = configuration.rollout_services().into_iter();
    let sets = services.flat_map(|service| {
        let regions = configuration.batch_regions(&service).into_iter();
        regions.map(move |regions| BatchSet::new(service.clone(), regions))
    });
    sets.collect()
}
