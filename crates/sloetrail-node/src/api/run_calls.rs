//! Trainers' calls on a run, here or on the node that owns it.

use super::messages::{PullRequest, PullResponse, SubmitRequest, SubmitResponse};
use crate::leases::Resource;
use crate::peer::{PeerRequest, PeerResponse, ask_peer};
use crate::state::NodeState;
use crate::sync::rows::value_of;
use sloetrail_clients::{CallError, OrderCommand};
use sloetrail_lease::LeaseRecord;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{EngineId, NodeId, RunName, ServiceName};
use std::time::Duration;

const PEER_TIMEOUT: Duration = Duration::from_millis(4_000);
const HOLDER_TRUSTED: Duration = Duration::from_millis(2_000);

/// Submits to the owner of a run.
pub(crate) async fn submit(
    state: &NodeState,
    run: RunName,
    request: SubmitRequest,
) -> Result<SubmitResponse, Problem> {
    if let Some(handle) = owned_run(state, &run) {
        return handle.submit(request).await;
    }
    let resource = Resource::Run(run.clone());
    match ask_owner(state, &resource, PeerRequest::Submit { run, request }).await? {
        PeerResponse::Submitted(response) => Ok(response),
        _ => Err(unexpected()),
    }
}

/// Pulls from the owner of a run.
pub(crate) async fn pull(
    state: &NodeState,
    run: RunName,
    request: PullRequest,
) -> Result<PullResponse, Problem> {
    if let Some(handle) = owned_run(state, &run) {
        return handle.pull(state, request).await;
    }
    let resource = Resource::Run(run.clone());
    match ask_owner(state, &resource, PeerRequest::Pull { run, request }).await? {
        PeerResponse::Pulled(response) => Ok(response),
        _ => Err(unexpected()),
    }
}

/// Has the owner of a service give an engine an order.
pub(crate) async fn order_engine(
    state: &NodeState,
    service: ServiceName,
    engine: EngineId,
    command: OrderCommand,
) -> Result<(), Problem> {
    let owned = state.weights().get(&service).cloned();
    if let Some(handle) = owned {
        return handle.order(engine, command).await;
    }
    let resource = Resource::Service(service.clone());
    let request = PeerRequest::EngineOrder {
        service,
        engine,
        command,
    };
    match ask_owner(state, &resource, request).await? {
        PeerResponse::OrderDone => Ok(()),
        _ => Err(unexpected()),
    }
}

pub(crate) fn owned_run(state: &NodeState, run: &RunName) -> Option<crate::owner::RunHandle> {
    state.runs().get(run).cloned()
}

async fn ask_owner(
    state: &NodeState,
    resource: &Resource,
    request: PeerRequest,
) -> Result<PeerResponse, Problem> {
    let name = resource.name();
    let Some(owner) = find_owner(state, &name).await else {
        return Err(no_owner(&name));
    };
    if owner == state.settings.node {
        // The lease is held, but its work has not started or has just ended.
        return Err(no_owner(&name));
    }
    match ask_peer(state, &owner, &request, PEER_TIMEOUT).await {
        Ok(PeerResponse::Refused(problem)) => Err(problem),
        Ok(PeerResponse::NotOwner) => {
            state.forget_holder(&name);
            Err(no_owner(&name))
        }
        Ok(response) => Ok(response),
        Err(CallError::NotExecuted { .. }) => {
            state.forget_holder(&name);
            Err(no_owner(&name))
        }
        Err(CallError::Unknown { reason }) => {
            state.forget_holder(&name);
            Err(Problem::new(ResultCode::OwnerLost, reason))
        }
    }
}

/// The holder of a lease: as known, or read from the table.
async fn find_owner(state: &NodeState, resource: &str) -> Option<NodeId> {
    let known = state.known_holder(resource);
    if let Some(known) = &known
        && state.now().since(known.read_at) < HOLDER_TRUSTED
    {
        return known.holder.clone();
    }
    let key = format!("lease/{resource}");
    match state.clients.table.read(&key).await {
        Ok(row) => {
            let record: Option<LeaseRecord> = row.and_then(|row| value_of(&row).ok());
            let holder = record.and_then(|record| record.holder);
            state.remember_holder(resource, holder.clone());
            holder
        }
        // The table is away; the last known holder has most likely not changed.
        Err(_) => known.and_then(|known| known.holder),
    }
}

fn no_owner(resource: &str) -> Problem {
    Problem::new(ResultCode::NoOwner, format!("{resource} has no owner now"))
}

fn unexpected() -> Problem {
    Problem::new(
        ResultCode::InternalError,
        "the owner answered another question",
    )
}
