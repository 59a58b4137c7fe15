//! A caller's request, from admission to its one final answer.

use super::claims::{Claim, ClaimOutcome, claim, release, store_answer};
use super::message::{Answer, CallerRequest};
use super::other_zone::run_in_other_zone;
use super::own_zone::run_in_zone;
use super::pool::ServicePool;
use crate::lifecycle::InFlight;
use crate::state::NodeState;
use sloetrail_result::{Kind, Problem, ResultCode};
use sloetrail_types::ServiceName;
use std::sync::Arc;
use tokio::time::Instant;

/// Carries a request to an engine of a service and back.
pub(crate) async fn forward(
    state: &Arc<NodeState>,
    service: &ServiceName,
    request: CallerRequest,
    in_flight: InFlight,
) -> Result<Answer, Problem> {
    let Some(pool) = state.pool(service) else {
        let detail = format!("no service is named {service}");
        return Err(Problem::new(ResultCode::UnknownService, detail));
    };
    let settings = pool.service();
    let deadline = Instant::now() + settings.request_timeout;
    let key = request.key()?;
    if request.may_repeat(&settings) {
        return run(state, &pool, &request, deadline).await;
    }
    let Some(key) = key else {
        return run(state, &pool, &request, deadline).await;
    };
    // A claimed request goes on even if its caller hangs up: its outcome is kept,
    // and a stopping node waits for it.
    let state = Arc::clone(state);
    let keyed = tokio::spawn(async move {
        let _in_flight = in_flight;
        run_keyed(&state, &pool, &request, &key, deadline).await
    });
    keyed
        .await
        .unwrap_or_else(|error| Err(Problem::new(ResultCode::InternalError, error.to_string())))
}

async fn run_keyed(
    state: &Arc<NodeState>,
    pool: &Arc<ServicePool>,
    request: &CallerRequest,
    key: &str,
    deadline: Instant,
) -> Result<Answer, Problem> {
    let settings = pool.service();
    let claimed = claim(state, &settings.name, key, request.digest(), deadline).await?;
    let claim = match claimed {
        ClaimOutcome::Answered(answer) => return Ok(answer),
        ClaimOutcome::Claimed(claim) => claim,
    };
    let result = run(state, pool, request, deadline).await;
    end_claim(state, claim, &result);
    result
}

fn end_claim(state: &Arc<NodeState>, claim: Claim, result: &Result<Answer, Problem>) {
    match result {
        Ok(answer) => store_answer(state, claim, answer),
        Err(problem) if problem.kind == Kind::NotRun => release(state, claim),
        // The claim stays: the request may have run.
        Err(_) => {}
    }
}

/// Runs a request in this zone or, if it has no engine for it, in another one.
async fn run(
    state: &Arc<NodeState>,
    pool: &Arc<ServicePool>,
    request: &CallerRequest,
    deadline: Instant,
) -> Result<Answer, Problem> {
    let refusal = match run_in_zone(state, pool, request, deadline).await {
        Err(problem) if problem.is(ResultCode::NoEngine) => problem,
        settled => return settled,
    };
    run_in_other_zone(state, &pool.name(), request, deadline, refusal).await
}
