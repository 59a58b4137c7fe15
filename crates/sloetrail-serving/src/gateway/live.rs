//! Live requests: retries and hedging until there is an answer to forward.
//!
//! An idempotent request goes to another back end when the first is slow or fails, up to the
//! route's number of attempts. The first complete answer is returned and the other attempts are
//! closed. Other requests are sent again only if they certainly did not run. A request that
//! fails is answered immediately, without waiting for its deadline.

use super::attempt::{AttemptResult, OutgoingRequest, run_attempt};
use super::claims::Claim;
use super::slot_wait::{self, SlotWait, SlotWaitEstimate, WaitBounds};
use super::stop::{self, CallProgress};
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::http::{CompleteAnswer, Reuse};
use crate::quarantine::{QuarantinePermit, RequestIdentity, RequestOrigin};
use crate::service_pools::SlotPermit;
use crate::slot_waiter::SlotWaiter;
use crate::tasks;
use crate::telemetry;
use crate::usage::CountedRequest;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use sloetrail_balance::SlotRequest;
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, RouteKind};
use sloetrail_types::{AllowedRegions, EngineId, ServiceName, TenantName, Urgency, whole_millis};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Fraction of the latency target after which a hedged attempt starts.
const HEDGE_FRACTION: f64 = 0.35;
/// Maximum of this fraction while answers are slow: a hedged answer can still meet the target.
const MAX_HEDGE_FRACTION: f64 = 0.8;
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);
/// No attempt starts with less time than this until the deadline.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);
/// Limits all sends, including those that did not run and don't count as attempts.
pub(super) const MAX_SENDS: usize = 8;

pub(crate) struct LiveCall {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) regions: AllowedRegions,
    pub(crate) outgoing: OutgoingRequest,
    /// The tenant whose usage includes it; `None` for calls without a tenant.
    pub(crate) tenant: Option<TenantName>,
    pub(crate) urgency: Urgency,
    /// The claim of its idempotency key, if it has one.
    pub(crate) claim: Option<Arc<Claim>>,
    pub(crate) deadline: BootInstant,
    pub(crate) origin: RequestOrigin,
    pub(crate) progress: Arc<CallProgress>,
}

pub(crate) struct LiveOutcome {
    /// The answer to forward, or the node's own error.
    pub(crate) answer: Result<CompleteAnswer, Problem>,
    /// The back end that answered.
    pub(crate) back_end: Option<EngineId>,
    /// The number of sends.
    pub(crate) attempts: usize,
    /// Answers with status 500: the request itself failed. Other errors are not counted.
    pub(crate) failed_answers: usize,
}

struct EndedAttempt {
    /// The number of the send, starting at 1.
    send: usize,
    slot: SlotPermit,
    result: AttemptResult,
    took: Duration,
}

struct Run<'a> {
    call: &'a LiveCall,
    waiter: SlotWaiter,
    wait: SlotWait,
    pending: FuturesUnordered<BoxFuture<'static, EndedAttempt>>,
    tried: BTreeSet<EngineId>,
    /// The connections that the next attempt may reuse.
    reuse: Reuse,
    has_timed_out: bool,
    sends: usize,
    /// Ended attempts that may have run.
    possible_runs: usize,
    failed_answers: usize,
    last_failure: Option<(CompleteAnswer, EngineId)>,
    last_result: Option<&'static str>,
    /// The request's entry in the tenant's usage.
    counted: Option<CountedRequest>,
    quarantine_permit: QuarantinePermit,
}

impl LiveCall {
    /// Runs the request until its final answer.
    pub(crate) async fn run(&self) -> LiveOutcome {
        let mut quarantine_permit = self.quarantine_permit();
        quarantine_permit.acquire_trial(self.deadline).await;
        let run = Run {
            quarantine_permit,
            call: self,
            waiter: self.new_slot_waiter(),
            wait: SlotWait::default(),
            pending: FuturesUnordered::new(),
            tried: BTreeSet::new(),
            reuse: self.reuse(),
            has_timed_out: false,
            sends: 0,
            possible_runs: 0,
            failed_answers: 0,
            last_failure: None,
            last_result: None,
            counted: self.counted_request(),
        };
        run.run_to_end().await
    }

    /// Returns the request's entry in the tenant's usage, if it has a tenant and usage is counted.
    pub(crate) fn counted_request(&self) -> Option<CountedRequest> {
        let usage = self.context.usage.as_ref()?;
        Some(CountedRequest::new(usage, self.tenant.as_ref()?))
    }

    /// True while the node starts requests.
    pub(crate) fn may_begin(&self) -> bool {
        self.context.shutdown.starts_requests()
    }

    /// Records that the request is about to be sent.
    pub(crate) fn record_send(&self) {
        self.progress.record_start();
        if let Some(claim) = &self.claim {
            claim.record_send();
        }
    }

    /// Records in the claim that a send certainly did not run.
    pub(crate) fn record_not_run(&self) {
        if let Some(claim) = &self.claim {
            claim.record_not_run();
        }
    }

    /// Logs an attempt that ended without an answer to forward.
    pub(crate) fn log_failed_attempt(
        &self,
        quarantine_permit: &QuarantinePermit,
        slot: &SlotPermit,
        result: &AttemptResult,
        took: Duration,
    ) {
        let may_have_run = !result.is_proved_not_run();
        let digest = may_have_run.then(|| quarantine_permit.digest());
        events::emit(&Event::AttemptFailed {
            request: &self.outgoing.request_id,
            back_end: slot.back_end().id.as_str(),
            outcome: result.as_str(),
            took_ms: whole_millis(took),
            directory_version: slot.directory_version().0,
            digest: &digest.map_or_else(|| "-".to_owned(), |digest| digest.to_string()),
        });
    }

    /// Returns the permit that the quarantine checks before each send.
    pub(crate) fn quarantine_permit(&self) -> QuarantinePermit {
        let names = self.context.dialect.headers();
        let identity = RequestIdentity::of(self.origin, &self.outgoing, names);
        QuarantinePermit::new(&self.context.quarantine, &self.service, identity)
    }

    /// Waits until a hedged attempt is due, and then until back ends may be chosen: the directory
    /// may be outdated if the process was suspended in between.
    async fn wait_for_hedge(&self, due_at: BootInstant) {
        sloetrail_clock::sleep_until(due_at).await;
        self.context.suspension_guard.wait_settled().await;
    }

    pub(crate) fn new_slot_waiter(&self) -> SlotWaiter {
        let request = SlotRequest {
            urgency: self.urgency,
            tenant: self.tenant.clone(),
            regions: self.regions.clone(),
        };
        SlotWaiter::new(&self.context.pools, &self.service, request)
    }

    /// Waits for a slot offer or until the next check. Returns false without waiting if the
    /// request should be refused.
    pub(crate) async fn wait_for_slot(&self, waiter: &mut SlotWaiter, wait: &mut SlotWait) -> bool {
        let estimate = self.slot_wait_estimate(waiter);
        let is_above_share = estimate.is_some_and(|estimate| estimate.requests_ahead > 0);
        let now = BootInstant::now();
        let bounds = WaitBounds {
            latency_target: self.route.latency_target,
            remaining: self.deadline.saturating_duration_since(now),
        };
        let next_check = wait.next_check(now, estimate, bounds);
        if is_above_share {
            telemetry::tenant_deferred(self.service.as_str(), next_check.is_some());
        }
        let Some(next_check) = next_check else {
            return false;
        };
        waiter.wait_until(next_check).await;
        true
    }

    /// Returns the retry delay if the request is refused.
    pub(crate) fn retry_after(&self, waiter: &SlotWaiter) -> Duration {
        let remaining = self.deadline.saturating_duration_since(BootInstant::now());
        slot_wait::retry_after(self.slot_wait_estimate(waiter), remaining, rand::random())
    }

    /// Describes why the request got no slot.
    pub(crate) fn no_slot_detail(&self, waiter: &SlotWaiter) -> String {
        let (service, regions) = (&self.service, &self.regions);
        match self
            .slot_wait_estimate(waiter)
            .map(|estimate| estimate.requests_ahead)
        {
            None => format!("service {service}: no back end takes work in regions {regions}"),
            Some(0) => format!("service {service}: no back end has a free slot"),
            Some(ahead) => format!(
                "service {service}: no back end has a free slot; the tenant is above its share, \
                 and {ahead} requests are ahead"
            ),
        }
    }

    /// Returns the code of a request without a slot: `NoAllowedEngine` if its regions are
    /// restricted and no back end there takes work.
    pub(crate) fn no_engine_code(&self, waiter: &SlotWaiter) -> ResultCode {
        match self.slot_wait_estimate(waiter) {
            None if !self.regions.is_everywhere() => ResultCode::NoAllowedEngine,
            _ => ResultCode::NoEngine,
        }
    }

    fn slot_wait_estimate(&self, waiter: &SlotWaiter) -> Option<SlotWaitEstimate> {
        self.context.pools.slot_wait_estimate(waiter)
    }

    fn reuse(&self) -> Reuse {
        match self.is_idempotent() {
            true => Reuse::Any,
            false => Reuse::Never,
        }
    }

    fn is_idempotent(&self) -> bool {
        self.route.kind == RouteKind::Idempotent
    }

    fn fraction_of_target(&self, fraction: f64) -> Duration {
        self.route.latency_target.mul_f64(fraction)
    }
}

/// Runs the attempt of a trial, which goes on if its caller leaves: only its end tells whether the
/// request crashes the back end.
async fn run_detached(
    attempt: impl Future<Output = EndedAttempt> + Send + 'static,
) -> EndedAttempt {
    match tasks::spawn("trial", attempt).await {
        Ok(Ok(ended)) => ended,
        // The request ends at its deadline.
        Ok(Err(_)) | Err(_) => std::future::pending().await,
    }
}

impl Run<'_> {
    async fn run_to_end(mut self) -> LiveOutcome {
        let call = self.call;
        let hedge_delay = self.hedge_delay();
        let mut next_hedge = BootInstant::now();
        loop {
            if self.pending.is_empty() {
                if !self.may_try_again() {
                    return self.finish_unanswered();
                }
                if !self.start_attempt_or_wait().await {
                    return self.finish_unanswered();
                }
                next_hedge = BootInstant::now() + hedge_delay;
            }
            let may_hedge =
                self.call.is_idempotent() && self.has_attempts_left() && self.call.may_begin();
            tokio::select! {
                Some(attempt) = self.pending.next() => {
                    if let Some(outcome) = self.handle_end(attempt) {
                        return outcome;
                    }
                }
                () = call.wait_for_hedge(next_hedge), if may_hedge => {
                    if self.call.may_begin() && self.quarantine_permit.allows_hedging() {
                        self.start_attempt();
                    }
                    next_hedge = BootInstant::now() + hedge_delay;
                }
                () = sloetrail_clock::sleep_until(self.call.deadline) => return self.finish_unanswered(),
            }
        }
    }

    /// Returns the time before a hedged attempt starts. It grows with the answer times, since
    /// hedging while all back ends are slow only adds load.
    fn hedge_delay(&self) -> Duration {
        let min_delay = self
            .call
            .fraction_of_target(HEDGE_FRACTION)
            .max(MIN_HEDGE_DELAY);
        let max_delay = self
            .call
            .fraction_of_target(MAX_HEDGE_FRACTION)
            .max(min_delay);
        if !self.call.context.settings.policies.hedge_by_answer_times {
            return min_delay;
        }
        let pools = &self.call.context.pools;
        pools
            .answer_time(&self.call.service)
            .clamp(min_delay, max_delay)
    }

    fn has_attempts_left(&self) -> bool {
        let max_possible_runs = self.possible_runs + self.pending.len();
        let max_attempts = match self.quarantine_permit.is_on_trial() {
            true => 1,
            false => self.call.route.max_attempts,
        };
        max_possible_runs < max_attempts && self.sends < MAX_SENDS
    }

    fn may_try_again(&self) -> bool {
        let remaining = self
            .call
            .deadline
            .saturating_duration_since(BootInstant::now());
        let is_safe = self.call.is_idempotent() || self.possible_runs == 0;
        let has_time = self.has_attempts_left() && remaining > MIN_ATTEMPT_TIME;
        let is_permitted = self.call.may_begin() && self.quarantine_permit.is_open();
        is_safe && has_time && is_permitted
    }

    /// Starts an attempt, waiting for a slot if that is likely to succeed. Returns false if the
    /// request got no slot or may not be tried again.
    async fn start_attempt_or_wait(&mut self) -> bool {
        loop {
            self.call.context.suspension_guard.wait_settled().await;
            if !self.may_try_again() {
                return false;
            }
            if self.start_attempt() {
                return true;
            }
            // Back ends that refused the request may have a free slot now.
            self.tried.clear();
            if self.start_attempt() {
                return true;
            }
            let Self {
                call, waiter, wait, ..
            } = self;
            if !call.wait_for_slot(waiter, wait).await {
                return false;
            }
        }
    }

    fn start_attempt(&mut self) -> bool {
        let context = Arc::clone(&self.call.context);
        let Some(slot) = self.waiter.acquire(&self.tried) else {
            return false;
        };
        self.tried.insert(slot.back_end().id.clone());
        self.call.record_send();
        self.sends += 1;
        let send = self.sends;
        if let Some(counted) = &mut self.counted {
            counted.sent(send);
        }
        let outgoing = self.call.outgoing.clone();
        let quarantine_permit = self.quarantine_permit.clone();
        let reuse = self.reuse;
        // While this attempt has no answer, its connection and older ones may be unresponsive.
        self.reuse = reuse.after_attempt_at(BootInstant::now());
        let deadline = self.call.deadline;
        let is_trial = quarantine_permit.is_on_trial();
        let running = async move {
            let started_at = BootInstant::now();
            let result = run_attempt(
                &context,
                &outgoing,
                &quarantine_permit,
                slot.shared_back_end(),
                reuse,
                deadline,
            )
            .await;
            EndedAttempt {
                send,
                slot,
                result,
                took: started_at.elapsed(),
            }
        };
        self.pending.push(match is_trial {
            true => Box::pin(run_detached(running)),
            false => Box::pin(running),
        });
        true
    }

    /// Handles the end of an attempt. Returns the outcome if the request has its final answer.
    fn handle_end(&mut self, attempt: EndedAttempt) -> Option<LiveOutcome> {
        let EndedAttempt {
            send,
            slot,
            result,
            took,
        } = attempt;
        let back_end = slot.back_end().id.clone();
        telemetry::attempt_ended(self.call.service.as_str(), result.as_str(), took);
        self.log_unless_answered(&slot, &result, took);
        if matches!(result, AttemptResult::WrongInstance) {
            self.call
                .context
                .connections
                .forget(slot.back_end().address);
        }
        slot.end(result.outcome());
        self.last_result = Some(result.as_str());
        self.has_timed_out |= result.is_timeout();
        if self.pending.is_empty() && !self.has_timed_out {
            // No attempt timed out and none is pending: no sign of unresponsive connections.
            self.reuse = self.call.reuse();
        }
        if let AttemptResult::Answered(_) = &result {
            let pools = &self.call.context.pools;
            pools.record_answer_time(&self.call.service, took);
        }
        self.count_attempt(&result, send);
        match result {
            AttemptResult::Answered(answer) => Some(self.outcome(Ok(answer), Some(back_end))),
            AttemptResult::RanAndFailed(answer) => {
                let is_request_failure = answer.status == StatusCode::INTERNAL_SERVER_ERROR;
                self.failed_answers += usize::from(is_request_failure);
                self.last_failure = Some((answer, back_end));
                None
            }
            _ => None,
        }
    }

    /// Counts an ended attempt by whether it may have run.
    fn count_attempt(&mut self, result: &AttemptResult, send: usize) {
        if !result.is_proved_not_run() {
            self.possible_runs += 1;
            return;
        }
        self.call.record_not_run();
        if let Some(counted) = &mut self.counted {
            counted.not_run(send);
        }
    }

    fn log_unless_answered(&self, slot: &SlotPermit, result: &AttemptResult, took: Duration) {
        if matches!(result, AttemptResult::Answered(_)) {
            return;
        }
        self.call
            .log_failed_attempt(&self.quarantine_permit, slot, result, took);
    }

    /// Returns the outcome of a request without a final answer: the last failure of a back end,
    /// or a problem document that states whether the request may have run.
    fn finish_unanswered(mut self) -> LiveOutcome {
        if let Some((answer, back_end)) = self.last_failure.take()
            && !implies_not_run(&answer)
        {
            return self.outcome(Ok(answer), Some(back_end));
        }
        let problem = self.problem();
        self.outcome(Err(problem), None)
    }

    fn problem(&self) -> Problem {
        let max_possible_runs = self.possible_runs + self.pending.len();
        if max_possible_runs == 0
            && let Some(refusal) = self.quarantine_permit.refusal()
        {
            return refusal;
        }
        let is_stopping = !self.call.may_begin();
        let is_late = BootInstant::now() + MIN_ATTEMPT_TIME >= self.call.deadline;
        let service = &self.call.service;
        let detail = match (self.pending.is_empty(), self.last_result) {
            (false, _) => format!(
                "service {service}: no answer in time from {}",
                self.tried_back_ends()
            ),
            (true, Some(result)) => {
                format!(
                    "service {service}: last attempt {result}; tried {}",
                    self.tried_back_ends()
                )
            }
            (true, None) => self.call.no_slot_detail(&self.waiter),
        };
        if max_possible_runs == 0 && is_stopping {
            return stop::leaving(detail);
        }
        let code = match (max_possible_runs > 0, is_late) {
            (true, true) => ResultCode::EngineTimeout,
            (true, false) => ResultCode::EngineLost,
            (false, true) => ResultCode::QueueDeadline,
            (false, false) if self.sends > 0 => ResultCode::EngineRefused,
            (false, false) => self.call.no_engine_code(&self.waiter),
        };
        let problem = Problem::new(code, detail);
        if max_possible_runs > 0 {
            return problem;
        }
        let retry_after = self.call.retry_after(&self.waiter);
        problem.with_retry_after_ms(whole_millis(retry_after))
    }

    /// Lists the back ends tried, for error messages.
    fn tried_back_ends(&self) -> String {
        let ids: Vec<&str> = self.tried.iter().map(EngineId::as_str).collect();
        ids.join(", ")
    }

    fn outcome(
        &self,
        answer: Result<CompleteAnswer, Problem>,
        back_end: Option<EngineId>,
    ) -> LiveOutcome {
        LiveOutcome {
            answer,
            back_end,
            attempts: self.sends,
            failed_answers: self.failed_answers,
        }
    }
}

/// Returns true if callers take this status as proof that the request did not run. Such an answer
/// is not forwarded if the request may have run.
fn implies_not_run(answer: &CompleteAnswer) -> bool {
    matches!(answer.status.as_u16(), 408 | 421 | 429 | 503)
}
