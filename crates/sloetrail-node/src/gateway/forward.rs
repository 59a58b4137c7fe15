//! A caller's request, from admission to its one final answer.

use super::attempt::{Answer, AttemptEnd, attempt};
use super::claims::{Claim, ClaimOutcome, claim, release, store_answer};
use super::other_zone::run_in_other_zone;
use super::pool::{ServicePool, Slot};
use crate::lifecycle::InFlight;
use crate::state::NodeState;
use bytes::Bytes;
use http::{HeaderMap, Method};
use sloetrail_balance::{AttemptOutcome, WorkClass};
use sloetrail_config::Service;
use sloetrail_result::{Kind, Problem, ResultCode};
use sloetrail_types::{EngineId, ServiceName, digest};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

const KEY_HEADER: &str = "idempotency-key";
const KEY_LENGTH_LIMIT: usize = 200;

/// A caller's request with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CallerRequest {
    /// True if running it twice does what running it once does.
    fn may_repeat(&self, service: &Service) -> bool {
        let idempotent = matches!(
            self.method,
            Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
        );
        idempotent || (self.method == Method::POST && service.repeatable_posts)
    }

    fn key(&self) -> Result<Option<String>, Problem> {
        let Some(value) = self.headers.get(KEY_HEADER) else {
            return Ok(None);
        };
        let key = value.to_str().unwrap_or_default();
        let sound = !key.is_empty()
            && key.len() <= KEY_LENGTH_LIMIT
            && key.bytes().all(|byte| byte.is_ascii_graphic());
        if sound {
            return Ok(Some(key.to_owned()));
        }
        Err(Problem::new(
            ResultCode::InvalidKey,
            "the key must be 1 to 200 visible ASCII characters",
        ))
    }

    fn digest(&self) -> u64 {
        let mut bytes = format!("{} {}\n", self.method, self.path_and_query).into_bytes();
        bytes.extend_from_slice(&self.body);
        digest(&bytes)
    }
}

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
