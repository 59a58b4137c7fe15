//! Which leases this node keeps: one for each kind of work that one node at a time does.

use crate::context::NodeContext;
use crate::follow::TableView;
use crate::leases::{BatchSet, LeaseKeeper, LeaseSubject, TermWork};
use crate::owner::BatchesWork;
use crate::rows;
use crate::usage::UsageWork;
use sloetrail_routing::ServingConfiguration;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// How often the leases are looked at for some that this node does not compete for yet. A
/// batch that waits for that has lost its owner and all other nodes of its regions before.
const LEASES_PERIOD: Duration = Duration::from_secs(1);

/// Runs a keeper for each lease that is needed, until the node stops; then gives every
/// lease up. `usage` is present where usage is to be reported.
pub(crate) async fn supervise(
    context: Arc<NodeContext>,
    usage: Option<UsageWork>,
    stopping: CancellationToken,
) {
    let mut keepers: HashMap<LeaseSubject, JoinHandle<()>> = HashMap::new();
    let start = |subject: LeaseSubject, work: Arc<dyn TermWork>| {
        let keeper = LeaseKeeper::new(Arc::clone(&context), subject, work);
        tokio::spawn(keeper.run(stopping.clone()))
    };
    if let Some(usage) = usage {
        let subject = LeaseSubject::UsageReports;
        keepers.insert(subject.clone(), start(subject, Arc::new(usage)));
    }
    let mut in_force = context.in_force.clone();
    loop {
        let configuration = in_force.borrow_and_update().configuration.clone();
        let configured = configuration.map(|configuration| configured_sets(&configuration));
        let sets = configured.into_iter().flatten();
        let own_region = context.settings.topology.own_region();
        for set in sets.chain(leased_sets(&context.leases.borrow())) {
            if !set.regions().allows(own_region) {
                continue;
            }
            let subject = LeaseSubject::Batches(set.clone());
            keepers.entry(subject.clone()).or_insert_with(|| {
                let context = Arc::clone(&context);
                start(subject, Arc::new(BatchesWork { context, set }))
            });
        }
        tokio::select! {
            Ok(()) = in_force.changed() => {}
            () = tokio::time::sleep(LEASES_PERIOD) => {}
            () = stopping.cancelled() => break,
        }
    }
    for (_, keeper) in keepers {
        // A keeper that panicked has nothing left to give up.
        let _ = keeper.await;
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

/// Bound batches that had an owner before. Some may be open that were accepted under a
/// configuration which this node has not seen.
fn leased_sets(leases: &TableView) -> Vec<BatchSet> {
    let subjects = leases.rows.keys();
    let subjects = subjects.filter_map(|key| rows::subject_of_lease(key));
    subjects.filter_map(BatchSet::of_bound_lease).collect()
}
