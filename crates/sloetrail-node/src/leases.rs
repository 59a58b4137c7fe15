//! Which runs and services this node owns.
//!
//! Every run and every model service is a resource with a lease row. For each
//! resource one node of each zone is a candidate, by rendezvous hashing; zones
//! are ranked the same way, and later ones look less often and wait longer.

use crate::lifecycle::Phase;
use crate::owner::{start_run_owner, start_weights_owner};
use crate::state::NodeState;
use crate::sync::rows::{to_value, value_of};
use futures_util::future::join_all;
use sloetrail_clients::{Row, Settled, Transaction};
use sloetrail_config::ServiceKind;
use sloetrail_lease::{LeaseAction, LeaseRecord, LeaseWatcher, ObservedLease};
use sloetrail_types::{Epoch, NodeId, RunName, ServiceName, Timestamp, rendezvous_weight};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const LOOK_PERIOD: Duration = Duration::from_millis(400);
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that running samples get to end before a stopping owner hands over.
const HANDOVER_GRACE: Duration = Duration::from_millis(2_000);

/// Something with one owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Resource {
    /// A training run's ledger.
    Run(RunName),
    /// A model service's weights.
    Service(ServiceName),
}

impl Resource {
    /// The resource's name, as in its lease row.
    pub(crate) fn name(&self) -> String {
        match self {
            Resource::Run(run) => format!("run/{run}"),
            Resource::Service(service) => format!("service/{service}"),
        }
    }

    fn lease_key(&self) -> String {
        format!("lease/{}", self.name())
    }
}

struct Watched {
    watcher: LeaseWatcher,
    looked_at: Option<Timestamp>,
}

/// Watches and takes leases until the node ends.
pub(crate) async fn keep_leases(state: Arc<NodeState>) {
    let mut watched: BTreeMap<Resource, Watched> = BTreeMap::new();
    loop {
        follow_configuration(&state, &mut watched);
        // All at once: with a slow table, one after the other would outlast a lease.
        let looks = watched
            .iter_mut()
            .map(|(resource, entry)| look_after(&state, resource, entry));
        join_all(looks).await;
        tokio::select! {
            () = tokio::time::sleep(LOOK_PERIOD) => {}
            () = state.cancel.cancelled() => return,
        }
        if state.lifecycle.phase() == Phase::Leaving {
            hand_over(&state, &watched).await;
            return;
        }
    }
}

/// Watches what is configured, and lets go of what is not any more.
fn follow_configuration(state: &NodeState, watched: &mut BTreeMap<Resource, Watched>) {
    let resources = configured_resources(state);
    watched.retain(|resource, _| {
        let configured = resources.contains(resource);
        if !configured {
            stop_owner(state, resource);
        }
        configured
    });
    for resource in resources {
        watched.entry(resource).or_insert_with(|| Watched {
            watcher: LeaseWatcher::new(
                state.settings.node.clone(),
                state.settings.bounds.lease_duration,
            ),
            looked_at: None,
        });
    }
}

fn configured_resources(state: &NodeState) -> Vec<Resource> {
    let configuration = state.configuration().configuration;
    let runs = configuration.runs.keys().cloned().map(Resource::Run);
    let services = configuration
        .services
        .values()
        .filter(|service| service.kind == ServiceKind::Model)
        .map(|service| Resource::Service(service.name.clone()));
    runs.chain(services).collect()
}

async fn look_after(state: &Arc<NodeState>, resource: &Resource, entry: &mut Watched) {
    let holds = entry.watcher.held_epoch().is_some();
    let rank = candidate_rank(state, resource);
    let Some(rank) = rank.or(holds.then_some(0)) else {
        return;
    };
    let now = state.now();
    let period = LOOK_PERIOD * if holds { 1 } else { rank + 1 };
    if entry.looked_at.is_some_and(|at| now.since(at) < period) {
        return;
    }
    entry.looked_at = Some(now);
    let key = resource.lease_key();
    let Ok(row) = state.clients.table.read(&key).await else {
        return;
    };
    entry.watcher.observe(state.now(), observed(row));
    if let Some(action) = entry.watcher.next_action(state.now(), rank) {
        write(state, &key, entry, action).await;
    }
    state.remember_holder(&resource.name(), entry.watcher.holder().cloned());
    match entry.watcher.held_epoch() {
        Some(epoch) => start_owner(state, resource, epoch),
        None => stop_owner(state, resource),
    }
}

/// This node's place among the candidates: the rank of its zone, if it is the
/// zone's candidate.
fn candidate_rank(state: &NodeState, resource: &Resource) -> Option<u32> {
    let name = resource.name();
    let alive = state.membership().alive();
    let candidate: Option<&NodeId> = alive
        .iter()
        .max_by_key(|node| rendezvous_weight(&name, node.as_str()));
    if candidate != Some(&state.settings.node) {
        return None;
    }
    let configuration = state.configuration().configuration;
    let weight = |zone: &str| rendezvous_weight(&name, zone);
    let own = weight(state.settings.zone.as_str());
    let before = configuration
        .zones
        .iter()
        .filter(|zone| weight(zone.as_str()) > own)
        .count();
    Some(before as u32)
}

fn observed(row: Option<Row>) -> Option<ObservedLease> {
    let row = row?;
    let record: LeaseRecord = value_of(&row).ok()?;
    Some(ObservedLease {
        version: row.version,
        record,
    })
}

async fn write(state: &NodeState, key: &str, entry: &mut Watched, action: LeaseAction) {
    let transaction = Transaction::of_one_row(
        state.new_transaction_id(),
        key,
        action.expected,
        to_value(&action.record),
    );
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    let table = &state.clients.table;
    // On any other outcome the next look reads the row again.
    if let Settled::Committed(version) = table.commit_settled(&transaction, key, deadline).await {
        let lease = ObservedLease {
            version,
            record: action.record,
        };
        entry.watcher.observe(state.now(), Some(lease));
    }
}

fn start_owner(state: &Arc<NodeState>, resource: &Resource, epoch: Epoch) {
    match resource {
        Resource::Run(run) => start_run_owner(state, run, epoch),
        Resource::Service(service) => start_weights_owner(state, service, epoch),
    }
}

fn stop_owner(state: &NodeState, resource: &Resource) {
    match resource {
        Resource::Run(run) => {
            if let Some(handle) = state.runs().remove(run) {
                handle.cancel.cancel();
            }
        }
        Resource::Service(service) => {
            if let Some(handle) = state.weights().remove(service) {
                handle.cancel.cancel();
            }
        }
    }
}

/// Lets running samples end for a moment, then gives every lease up.
async fn hand_over(state: &Arc<NodeState>, watched: &BTreeMap<Resource, Watched>) {
    let deadline = Instant::now() + HANDOVER_GRACE;
    for handle in state.runs().values() {
        handle.stop_dispatch();
    }
    while Instant::now() < deadline && state.runs().values().any(|handle| handle.running() > 0) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for (resource, entry) in watched {
        stop_owner(state, resource);
        let Some(action) = entry.watcher.release() else {
            continue;
        };
        let key = resource.lease_key();
        let mut released = Watched {
            watcher: LeaseWatcher::new(state.settings.node.clone(), Duration::ZERO),
            looked_at: None,
        };
        write(state, &key, &mut released, action).await;
        log::info!(target: "lease", "Released {}.", resource.name());
    }
}
