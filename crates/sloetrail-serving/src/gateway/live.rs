//! A live request: attempts at back ends until there is an answer to pass on.
//!
//! A request that may be repeated is sent to a second back end when the first one
//! is slow or fails, up to the route's number of attempts; the first whole answer
//! wins and the others are closed. A request that may not be repeated is sent again
//! only after proof that it has not run. What is given up is answered at once.

use super::attempt::{AttemptResult, Outgoing, attempt};
use super::claims::Claim;
use super::place_wait::{self, PlaceOutlook, PlaceWait, WaitBounds};
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::http::{Reuse, WholeAnswer};
use crate::place_turns::PlaceSeeker;
use crate::quarantine::{Passage, RequestIdentity};
use crate::service_pools::SlotPermit;
use crate::telemetry;
use crate::usage::BegunRequest;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use sloetrail_balance::PlaceRequest;
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, RouteKind};
use sloetrail_types::{AllowedRegions, EngineId, ServiceName, TenantName, Urgency};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Part of the latency target after which a second back end is asked.
const HEDGE_SHARE: f64 = 0.35;
/// The same while most answers take longer: a second answer still comes about in time.
const HEDGE_SHARE_MOST: f64 = 0.8;
const HEDGE_LEAST: Duration = Duration::from_millis(20);
/// With less time than this an attempt is not worth beginning.
const TIME_LEAST: Duration = Duration::from_millis(5);
/// Attempts that were proved not to run are not counted, but they are bounded.
pub(super) const SENDS_LIMIT: usize = 8;

/// A live request with its route.
pub(crate) struct LiveCall {
    pub(crate) context: Arc<NodeContext>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// The regions in which it may be served.
    pub(crate) regions: AllowedRegions,
    pub(crate) outgoing: Outgoing,
    /// Whose use it counts as; nothing for calls of the node itself.
    pub(crate) tenant: Option<TenantName>,
    /// How urgent it is among those that wait for a place.
    pub(crate) urgency: Urgency,
    /// The claim of its key, if it runs under one.
    pub(crate) claim: Option<Arc<Claim>>,
    /// When its final answer is due.
    pub(crate) deadline: BootInstant,
}

/// What became of a live request.
pub(crate) struct LiveOutcome {
    /// The answer to pass on, or why there is none.
    pub(crate) answer: Result<WholeAnswer, Problem>,
    /// The back end whose answer it is.
    pub(crate) back_end: Option<EngineId>,
    /// Back ends that may have run the request.
    pub(crate) attempts: usize,
    /// Answers that say that the request itself failed; one that ran out of time, or
    /// that a broken back end gave, says nothing of the request.
    pub(crate) failed_answers: usize,
}

struct Attempted {
    /// The number of the send.
    send: usize,
    place: SlotPermit,
    result: AttemptResult,
    took: Duration,
}

struct Run<'a> {
    call: &'a LiveCall,
    seeker: PlaceSeeker,
    wait: PlaceWait,
    pending: FuturesUnordered<BoxFuture<'static, Attempted>>,
    tried: BTreeSet<EngineId>,
    /// The connections that the next attempt may use.
    reuse: Reuse,
    /// True once an attempt has ended in silence.
    has_met_silence: bool,
    sends: usize,
    may_have_run: usize,
    failed_answers: usize,
    last_failure: Option<(WholeAnswer, EngineId)>,
    last_result: Option<&'static str>,
    begun: Option<BegunRequest>,
    passage: Passage,
}

impl LiveCall {
    /// Runs the request to its final answer.
    pub(crate) async fn run(&self) -> LiveOutcome {
        let mut passage = self.passage();
        passage.ask_for_trial(self.deadline).await;
        let run = Run {
            passage,
            call: self,
            seeker: self.place_seeker(),
            wait: PlaceWait::default(),
            pending: FuturesUnordered::new(),
            tried: BTreeSet::new(),
            reuse: self.reuse(),
            has_met_silence: false,
            sends: 0,
            may_have_run: 0,
            failed_answers: 0,
            last_failure: None,
            last_result: None,
            begun: self.begun_request(),
        };
        run.run_to_end().await
    }

    /// What counts the request, if it is counted.
    pub(crate) fn begun_request(&self) -> Option<BegunRequest> {
        let usage = self.context.usage.as_ref()?;
        Some(BegunRequest::new(usage, self.tenant.as_ref()?))
    }

    /// The request is being sent to a back end.
    pub(crate) fn note_send(&self) {
        if let Some(claim) = &self.claim {
            claim.note_send();
        }
    }

    /// A sending to a back end is proved not to have run.
    pub(crate) fn note_not_run(&self) {
        if let Some(claim) = &self.claim {
            claim.note_not_run();
        }
    }

    /// An attempt at a back end ended without an answer to pass on.
    pub(crate) fn note_failed_attempt(
        &self,
        passage: &Passage,
        place: &SlotPermit,
        result: &AttemptResult,
        took: Duration,
    ) {
        let may_have_run = !result.is_proved_not_run();
        let digest = may_have_run.then(|| passage.digest());
        events::emit(&Event::AttemptFailed {
            request: &self.outgoing.request_id,
            back_end: place.back_end().id.as_str(),
            outcome: result.word(),
            took_ms: took.as_millis() as u64,
            directory_version: place.directory_version().0,
            digest: &digest.map_or_else(|| "-".to_owned(), |digest| digest.to_string()),
        });
    }

    /// What lets the request go to back ends.
    pub(crate) fn passage(&self) -> Passage {
        let identity = RequestIdentity::of(&self.outgoing, self.context.dialect.headers());
        Passage::new(&self.context.quarantine, &self.service, identity)
    }

    /// Waits until this moment, and then until back ends may be chosen: the process may have
    /// stood still while an attempt was pending.
    async fn choice_due(&self, from: BootInstant) {
        sloetrail_clock::sleep_until(from).await;
        self.context.pause_guard.settled().await;
    }

    /// The search for places at back ends that may serve the request.
    pub(crate) fn place_seeker(&self) -> PlaceSeeker {
        let request = PlaceRequest {
            urgency: self.urgency,
            tenant: self.tenant.clone(),
            regions: self.regions.clone(),
        };
        PlaceSeeker::new(&self.context.pools, &self.service, request)
    }

    /// Waits for its turn, for a moment at most, if a place is likely to come free soon; false
    /// if it is not.
    pub(crate) async fn wait_for_place(
        &self,
        seeker: &mut PlaceSeeker,
        wait: &mut PlaceWait,
    ) -> bool {
        let outlook = self.slot_wait_estimate(seeker);
        let is_held_back = outlook.is_some_and(|outlook| outlook.held_back_by > 0);
        let now = BootInstant::now();
        let bounds = WaitBounds {
            latency_target: self.route.latency_target,
            left: self.deadline.saturating_duration_since(now),
        };
        let next_look = wait.next_look(now, outlook, bounds);
        if is_held_back {
            telemetry::tenant_held_back(self.service.as_str(), next_look.is_some());
        }
        let Some(next_look) = next_look else {
            return false;
        };
        seeker.wait_until(next_look).await;
        true
    }

    /// When a caller that is refused should come back.
    pub(crate) fn retry_after(&self, seeker: &PlaceSeeker) -> Duration {
        let left = self.deadline.saturating_duration_since(BootInstant::now());
        place_wait::retry_after(self.slot_wait_estimate(seeker), left, rand::random())
    }

    /// Why no place was had, for people.
    pub(crate) fn no_place(&self, seeker: &PlaceSeeker) -> String {
        let (service, regions) = (&self.service, &self.regions);
        match self
            .slot_wait_estimate(seeker)
            .map(|outlook| outlook.held_back_by)
        {
            None => format!("service {service}: no back end takes work; regions: {regions}"),
            Some(0) => format!("service {service}: no back end has room"),
            Some(first) => format!(
                "service {service}: no back end has room; the tenant has more than its share \
                 under way, and {first} requests go first"
            ),
        }
    }

    /// The code of a request that found no place: where it is allowed in some regions only and
    /// no back end there takes work, engines elsewhere are of no use to it.
    pub(crate) fn no_engine(&self, seeker: &PlaceSeeker) -> ResultCode {
        match self.slot_wait_estimate(seeker) {
            None if !self.regions.is_everywhere() => ResultCode::NoAllowedEngine,
            _ => ResultCode::NoEngine,
        }
    }

    fn slot_wait_estimate(&self, seeker: &PlaceSeeker) -> Option<PlaceOutlook> {
        self.context.pools.slot_wait_estimate(seeker)
    }

    fn reuse(&self) -> Reuse {
        match self.is_repeatable() {
            true => Reuse::Any,
            false => Reuse::Never,
        }
    }

    fn is_repeatable(&self) -> bool {
        self.route.kind == RouteKind::Idempotent
    }

    fn share_of_target(&self, share: f64) -> Duration {
        self.route.latency_target.mul_f64(share)
    }
}

impl Run<'_> {
    async fn run_to_end(mut self) -> LiveOutcome {
        let call = self.call;
        let hedge_after = self.hedge_after();
        let mut next_hedge = BootInstant::now();
        loop {
            if self.pending.is_empty() {
                if !self.may_try_again() {
                    return self.give_up();
                }
                if !self.start_or_wait().await {
                    return self.give_up();
                }
                next_hedge = BootInstant::now() + hedge_after;
            }
            let may_hedge = self.call.is_repeatable() && self.has_attempts_left();
            tokio::select! {
                Some(attempted) = self.pending.next() => {
                    if let Some(outcome) = self.take(attempted) {
                        return outcome;
                    }
                }
                () = call.choice_due(next_hedge), if may_hedge => {
                    if self.passage.may_be_hedged() {
                        self.start();
                    }
                    next_hedge = BootInstant::now() + hedge_after;
                }
                () = sloetrail_clock::sleep_until(self.call.deadline) => return self.give_up(),
            }
        }
    }

    /// How long a back end is waited for before a second one is asked. While answers take
    /// longer than usual, a second back end would be as slow, and have the more to do.
    fn hedge_after(&self) -> Duration {
        let usual = self.call.share_of_target(HEDGE_SHARE).max(HEDGE_LEAST);
        let latest = self.call.share_of_target(HEDGE_SHARE_MOST).max(usual);
        if !self.call.context.settings.policies.hedge_by_answer_times {
            return usual;
        }
        let pools = &self.call.context.pools;
        pools.answer_time(&self.call.service).clamp(usual, latest)
    }

    fn has_attempts_left(&self) -> bool {
        let possible = self.may_have_run + self.pending.len();
        let most = match self.passage.is_on_trial() {
            true => 1,
            false => self.call.route.max_attempts,
        };
        possible < most && self.sends < SENDS_LIMIT
    }

    fn may_try_again(&self) -> bool {
        let left = self
            .call
            .deadline
            .saturating_duration_since(BootInstant::now());
        let is_safe = self.call.is_repeatable() || self.may_have_run == 0;
        let has_time = self.has_attempts_left() && left > TIME_LEAST;
        is_safe && has_time && self.passage.is_open()
    }

    /// Starts an attempt; if no back end has room, waits while a place is likely to come
    /// free soon. False if there is none, or if the time is over once back ends may be chosen.
    async fn start_or_wait(&mut self) -> bool {
        loop {
            self.call.context.pause_guard.settled().await;
            if !self.may_try_again() {
                return false;
            }
            if self.start() {
                return true;
            }
            // Those that refused without running the request may have room now.
            self.tried.clear();
            if self.start() {
                return true;
            }
            let Self {
                call, seeker, wait, ..
            } = self;
            if !call.wait_for_place(seeker, wait).await {
                return false;
            }
        }
    }

    fn start(&mut self) -> bool {
        let context = Arc::clone(&self.call.context);
        let Some(place) = self.seeker.acquire(&self.tried) else {
            return false;
        };
        self.tried.insert(place.back_end().id.clone());
        self.call.note_send();
        self.sends += 1;
        let send = self.sends;
        if let Some(begun) = &mut self.begun {
            begun.sent(send);
        }
        let outgoing = self.call.outgoing.clone();
        let passage = self.passage.clone();
        let reuse = self.reuse;
        // While this one has no answer, the next must not meet the same silence.
        self.reuse = reuse.after_try_at(BootInstant::now());
        let deadline = self.call.deadline;
        let running = async move {
            let began = BootInstant::now();
            let result = attempt(
                &context,
                &outgoing,
                &passage,
                place.shared_back_end(),
                reuse,
                deadline,
            )
            .await;
            Attempted {
                send,
                place,
                result,
                took: began.elapsed(),
            }
        };
        self.pending.push(Box::pin(running));
        true
    }

    /// Takes in the end of an attempt; returns the final outcome if this is it.
    fn take(&mut self, attempted: Attempted) -> Option<LiveOutcome> {
        let Attempted {
            send,
            place,
            result,
            took,
        } = attempted;
        let back_end = place.back_end().id.clone();
        telemetry::attempt_ended(self.call.service.as_str(), result.word(), took);
        self.log_attempt(&place, &result, took);
        if matches!(result, AttemptResult::WrongInstance) {
            self.call
                .context
                .connections
                .forget(place.back_end().address);
        }
        place.end(result.outcome());
        self.last_result = Some(result.word());
        self.has_met_silence |= result.is_silence();
        if self.pending.is_empty() && !self.has_met_silence {
            // Each attempt had its answer, or was closed: no connection is silent.
            self.reuse = self.call.reuse();
        }
        if let AttemptResult::Answered(_) = &result {
            let pools = &self.call.context.pools;
            pools.record_answer_time(&self.call.service, took);
        }
        self.count(&result, send);
        match result {
            AttemptResult::Answered(answer) => Some(self.outcome(Ok(answer), Some(back_end))),
            AttemptResult::RanAndFailed(answer) => {
                let has_failed = answer.status == StatusCode::INTERNAL_SERVER_ERROR;
                self.failed_answers += usize::from(has_failed);
                self.last_failure = Some((answer, back_end));
                None
            }
            _ => None,
        }
    }

    /// Counts an attempt that has ended by whether it may have run.
    fn count(&mut self, result: &AttemptResult, send: usize) {
        if !result.is_proved_not_run() {
            self.may_have_run += 1;
            return;
        }
        self.call.note_not_run();
        if let Some(begun) = &mut self.begun {
            begun.not_run(send);
        }
    }

    fn log_attempt(&self, place: &SlotPermit, result: &AttemptResult, took: Duration) {
        if matches!(result, AttemptResult::Answered(_)) {
            return;
        }
        self.call
            .note_failed_attempt(&self.passage, place, result, took);
    }

    /// The final answer when no attempt gave one: a failure of a back end as it
    /// is, or a problem that says whether the request may have run.
    fn give_up(mut self) -> LiveOutcome {
        if let Some((answer, back_end)) = self.last_failure.take()
            && !promises_not_run(&answer)
        {
            return self.outcome(Ok(answer), Some(back_end));
        }
        let problem = self.problem();
        self.outcome(Err(problem), None)
    }

    fn problem(&self) -> Problem {
        let possible = self.may_have_run + self.pending.len();
        if possible == 0
            && let Some(refusal) = self.passage.refusal()
        {
            return refusal;
        }
        let is_late = BootInstant::now() + TIME_LEAST >= self.call.deadline;
        let service = &self.call.service;
        let detail = match (self.pending.is_empty(), self.last_result) {
            (false, _) => format!("service {service}: no answer from {}", self.asked()),
            (true, Some(word)) => {
                format!("service {service}: {word} at the last of {}", self.asked())
            }
            (true, None) => self.call.no_place(&self.seeker),
        };
        let code = match (possible > 0, is_late) {
            (true, true) => ResultCode::EngineTimeout,
            (true, false) => ResultCode::EngineLost,
            (false, true) => ResultCode::QueueDeadline,
            (false, false) if self.sends > 0 => ResultCode::EngineRefused,
            (false, false) => self.call.no_engine(&self.seeker),
        };
        let problem = Problem::new(code, detail);
        if possible > 0 {
            return problem;
        }
        let retry_after = self.call.retry_after(&self.seeker);
        problem.with_retry_after_ms(retry_after.as_millis() as u64)
    }

    /// The back ends that were asked, for people.
    fn asked(&self) -> String {
        let ids: Vec<&str> = self.tried.iter().map(EngineId::as_str).collect();
        ids.join(", ")
    }

    fn outcome(
        &self,
        answer: Result<WholeAnswer, Problem>,
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

/// Statuses that tell a caller that its request has not run. A back end that ran it
/// must not be quoted with one of them.
fn promises_not_run(answer: &WholeAnswer) -> bool {
    matches!(answer.status.as_u16(), 408 | 421 | 429 | 503)
}
