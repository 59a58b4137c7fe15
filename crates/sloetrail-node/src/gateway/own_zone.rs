//! A request at the engines of the node's own zone.

use super::attempt::{AttemptEnd, attempt};
use super::message::{Answer, CallerRequest};
use super::pool::{ServicePool, Slot};
use crate::state::NodeState;
use sloetrail_balance::{AttemptOutcome, WorkClass};
use sloetrail_result::{Kind, Problem, ResultCode};
use sloetrail_types::EngineId;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Makes attempts until one brings an answer or no further one is allowed.
pub(super) async fn run_in_zone(
    state: &Arc<NodeState>,
    pool: &Arc<ServicePool>,
    request: &CallerRequest,
    deadline: Instant,
) -> Result<Answer, Problem> {
    let settings = &*pool.service();
    pool.earn_retry();
    let may_repeat = request.may_repeat(settings);
    let mut excluded = BTreeSet::new();
    let mut unknown_before = None;
    loop {
        let slot = match pool.acquire(WorkClass::Live, &excluded, deadline).await {
            Ok(slot) => slot,
            // An attempt that may have run goes before a refusal to try again.
            Err(refusal) => return Err(unknown_before.unwrap_or(refusal)),
        };
        let engine = slot.engine().clone();
        let Some(address) = engine_address(state, &engine) else {
            slot.end(AttemptOutcome::Lost);
            excluded.insert(engine);
            continue;
        };
        let end = attempt(state, settings.kind, request, &engine, address, deadline).await;
        end_slot(slot, &end);
        let problem = match end {
            AttemptEnd::Whole(answer) => return Ok(answer),
            AttemptEnd::Failed(code, reason) => return Err(Problem::new(code, reason)),
            AttemptEnd::NotRun(reason) => Problem::new(ResultCode::EngineRefused, reason),
            AttemptEnd::Unknown(code, reason) => Problem::new(code, reason),
        };
        if problem.kind == Kind::OutcomeUnknown {
            unknown_before = Some(problem.clone());
        }
        let allowed = may_repeat || problem.kind == Kind::NotRun;
        if !allowed || Instant::now() >= deadline {
            return Err(unknown_before.unwrap_or(problem));
        }
        if !pool.take_retry() {
            let spent = Problem::new(ResultCode::RetryBudgetSpent, problem.detail);
            return Err(unknown_before.unwrap_or(spent));
        }
        metrics::counter!("sloetrail_retries_total").increment(1);
        excluded.insert(engine);
    }
}

fn end_slot(slot: Slot, end: &AttemptEnd) {
    slot.end(match end {
        AttemptEnd::Whole(_) | AttemptEnd::Failed(..) => AttemptOutcome::Answered,
        AttemptEnd::NotRun(_) => AttemptOutcome::Refused,
        AttemptEnd::Unknown(ResultCode::EngineTimeout, _) => AttemptOutcome::Lost,
        AttemptEnd::Unknown(..) => AttemptOutcome::Failed,
    });
}

fn engine_address(state: &NodeState, engine: &EngineId) -> Option<SocketAddr> {
    let directory = state.directory();
    directory
        .engine(engine.as_str())
        .map(|machine| machine.address)
}
