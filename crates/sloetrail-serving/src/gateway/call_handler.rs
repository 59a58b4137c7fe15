//! The handler of all calls from callers and trainers.

use super::attempt::OutgoingRequest;
use super::batch_call::BatchCall;
use super::call_log::CallLog;
use super::caller::{self, ApiKeyRequirement};
use super::claims::{IncomingRequest, KeyClaimOutcome, KeyedRequest};
use super::headers;
use super::live::LiveCall;
use super::regions;
use super::request_body::{drain_body, read_body};
use super::request_id::RequestId;
use super::response::{
    CallerResponse, full_body, problem_response, stream_body, with_configuration_version,
    with_request_id,
};
use super::run_times::RunTimes;
use super::stop::{self, CallProgress};
use super::stream::{self, StreamOutcome};
use super::submit::{self, SubmissionCall, SubmissionState};
use crate::byte_budget::ByteBudget;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::http::CompleteAnswer;
use crate::quarantine::RequestOrigin;
use crate::telemetry;
use bytes::Bytes;
use futures_util::StreamExt;
use http::request::Parts;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use parking_lot::Mutex;
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, RouteKind, ServingConfiguration, Tenant, WeightedChoice};
use sloetrail_types::{AllowedRegions, ServiceName, whole_millis};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Answers are due this long before the caller's timeout.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
const NOT_READY_RETRY_MS: u64 = 200;

/// Routes and answers all calls from callers and trainers.
pub(crate) struct CallHandler {
    context: Arc<NodeContext>,
    /// The choice among the services of each route, by the route's name.
    service_choices: Mutex<HashMap<String, WeightedChoice>>,
    body_budget: ByteBudget,
    submissions: SubmissionState,
    run_times: RunTimes,
    choice_seed: f64,
}

/// A received call whose body has not been read.
struct ReceivedCall<'a> {
    head: Parts,
    body: Incoming,
    request_id: &'a RequestId,
    received: BootInstant,
    progress: &'a Arc<CallProgress>,
}

/// A call of an identified caller, with its body.
struct AdmittedCall<'a> {
    request_id: &'a RequestId,
    tenant: Option<&'a Tenant>,
    regions: AllowedRegions,
    body: Bytes,
    progress: &'a Arc<CallProgress>,
}

impl CallHandler {
    /// `choice_seed`, between zero and one, should differ between nodes.
    pub(crate) fn new(context: Arc<NodeContext>, choice_seed: f64) -> Self {
        let body_budget_bytes = context.settings.bounds.body_budget_bytes;
        Self {
            body_budget: ByteBudget::new(body_budget_bytes),
            submissions: SubmissionState::new(body_budget_bytes),
            run_times: RunTimes::default(),
            context,
            service_choices: Mutex::default(),
            choice_seed,
        }
    }

    pub(crate) async fn answer(&self, request: Request<Incoming>) -> CallerResponse {
        let received = BootInstant::now();
        let (head, body) = request.into_parts();
        let names = self.context.dialect.headers();
        let request_id = RequestId::from_headers(&head.headers, names);
        let progress = Arc::default();
        let call = ReceivedCall {
            head,
            body,
            request_id: &request_id,
            received,
            progress: &progress,
        };
        let response = self.answer_unless_stopped(call).await;
        with_request_id(response, names, request_id.as_str())
    }

    /// Answers a call, unless the node's stop ends it first.
    async fn answer_unless_stopped(&self, call: ReceivedCall<'_>) -> CallerResponse {
        let shutdown = &self.context.shutdown;
        let (request_id, received) = (call.request_id, call.received);
        if !shutdown.starts_requests() {
            let problem = stop::leaving("the node is stopping");
            return self.end_by_stop(&problem, request_id, received);
        }
        let ended = stop::wait_ended(shutdown, call.progress);
        tokio::select! {
            biased;
            response = self.dispatch(call) => response,
            problem = ended => self.end_by_stop(&problem, request_id, received),
        }
    }

    /// Returns the answer to a call that the node's stop has ended, and records it.
    fn end_by_stop(
        &self,
        problem: &Problem,
        request_id: &RequestId,
        received: BootInstant,
    ) -> CallerResponse {
        telemetry::request_ended("-", problem.status, problem.code, received.elapsed());
        events::emit(&Event::RequestEndedByStop {
            request: request_id.as_str(),
            status: problem.status,
            code: problem.code,
            took_ms: whole_millis(received.elapsed()),
        });
        let response = problem_response(problem);
        match self.context.configuration() {
            Some(configuration) => {
                let names = self.context.dialect.headers();
                with_configuration_version(response, names, configuration.revision)
            }
            None => response,
        }
    }

    async fn dispatch(&self, call: ReceivedCall<'_>) -> CallerResponse {
        let Some(configuration) = self.context.configuration() else {
            let problem = Problem::new(
                ResultCode::NodeNotReady,
                "the node has not received a configuration yet",
            );
            return problem_response(&problem.with_retry_after_ms(NOT_READY_RETRY_MS));
        };
        let names = self.context.dialect.headers();
        let version = configuration.revision;
        let response = self.answer_with(&configuration, call).await;
        with_configuration_version(response, names, version)
    }

    /// Answers a call by the configuration that was in force when it arrived.
    async fn answer_with(
        &self,
        configuration: &ServingConfiguration,
        call: ReceivedCall<'_>,
    ) -> CallerResponse {
        let head = &call.head;
        if let Some(batch_call) = BatchCall::read(&self.context, head) {
            return batch_call
                .answer(&self.context, configuration, &head.headers, call.progress)
                .await;
        }
        let host = headers::host(&head.headers);
        let matched = configuration.routes.find(host, head.uri.path());
        let deadline = self.deadline(&head.headers, matched.map(|route| &**route), call.received);
        let mut log = CallLog {
            configuration,
            request: call.request_id.as_str(),
            route: "-",
            regions: None,
            received: call.received,
            deadline,
        };
        let Some(route) = matched else {
            let detail = format!("{host}{}", head.uri.path());
            return refuse(&Problem::new(ResultCode::UnknownRoute, detail), &log);
        };
        log.route = &route.name;
        self.answer_on_route(route, call, log).await
    }

    /// Identifies the caller, determines the allowed regions, reads the body and answers the call.
    async fn answer_on_route(
        &self,
        route: &Arc<Route>,
        call: ReceivedCall<'_>,
        mut log: CallLog<'_>,
    ) -> CallerResponse {
        let (context, request_id, progress) = (&self.context, call.request_id, call.progress);
        if let Some(problem) = self.refusal_by_run_time(route, log.deadline) {
            return refuse(&problem, &log);
        }
        let requirement = ApiKeyRequirement::for_route(route);
        let identified =
            caller::identify(context, log.configuration, &call.head.headers, requirement);
        let tenant = match identified {
            Ok(tenant) => tenant,
            Err(problem) => return refuse(&problem, &log),
        };
        let regions = match regions::allowed(route, tenant.as_deref()) {
            Ok(regions) => regions,
            Err(refusal) => {
                log.regions = Some(AllowedRegions::only([]));
                let batch = request_id.batch_id();
                return self
                    .answer_without_region(&log, route, batch, refusal, call.body)
                    .await;
            }
        };
        log.regions = Some(regions.clone());
        let mut reservation = self.body_budget.new_reservation();
        let limit = self.context.limits().body_bytes;
        let body = match read_body(call.body, limit, &mut reservation, log.deadline).await {
            Ok(body) => body,
            Err(problem) => return refuse(&problem, &log),
        };
        let admitted = AdmittedCall {
            request_id,
            tenant: tenant.as_deref(),
            regions,
            body,
            progress,
        };
        match route.kind {
            RouteKind::Rollout => self.answer_submission(&log, route, admitted).await,
            _ => self.answer_live(&log, route, call.head, admitted).await,
        }
    }

    /// Refuses a request that is likely to run longer than the stopping node has left.
    fn refusal_by_run_time(&self, route: &Route, deadline: BootInstant) -> Option<Problem> {
        let remaining = self.context.shutdown.remaining()?;
        let until_deadline = deadline.saturating_duration_since(BootInstant::now());
        let expected = self.run_times.expected(&route.name)?.min(until_deadline);
        (expected > remaining).then(|| {
            stop::leaving(format!(
                "requests of route {} run for {} ms, and the node stops in {} ms",
                route.name,
                whole_millis(expected),
                whole_millis(remaining)
            ))
        })
    }

    async fn answer_live(
        &self,
        log: &CallLog<'_>,
        route: &Arc<Route>,
        head: Parts,
        admitted: AdmittedCall<'_>,
    ) -> CallerResponse {
        let Some(service) = self.choose_service(route) else {
            let problem = Problem::new(ResultCode::NoEngine, "the route has no service");
            return problem_response(&problem);
        };
        let tenant = admitted.tenant;
        let sending = IncomingRequest {
            route,
            tenant: tenant.map(|tenant| &tenant.name),
            headers: &head.headers,
            deadline: log.deadline,
        };
        let keyed = KeyedRequest::read(sending, self.context.dialect.headers());
        let call = LiveCall {
            context: Arc::clone(&self.context),
            service,
            regions: admitted.regions,
            tenant: tenant.map(|tenant| tenant.name.clone()),
            urgency: route.urgency(tenant),
            claim: None,
            outgoing: self.outgoing_request(head, admitted.request_id, tenant, admitted.body),
            deadline: log.deadline,
            route: Arc::clone(route),
            origin: RequestOrigin::Caller,
            progress: Arc::clone(admitted.progress),
        };
        self.run(call, keyed, log).await
    }

    /// Claims the request's idempotency key, if it has one, and runs the request.
    async fn run(
        &self,
        mut call: LiveCall,
        keyed: Result<Option<KeyedRequest>, Problem>,
        log: &CallLog<'_>,
    ) -> CallerResponse {
        match self.claim_key(keyed, &call.outgoing).await {
            Ok(KeyClaimOutcome::NotNeeded) => {}
            Ok(KeyClaimOutcome::Acquired(claim)) => call.claim = Some(claim),
            Ok(KeyClaimOutcome::Answered(answer)) => {
                log.record_answer(answer.status.as_u16(), None, 0);
                return forward_answer(answer);
            }
            Err(problem) => return refuse(&problem, log),
        }
        match call.route.kind {
            RouteKind::Stream => self.run_stream(call, log).await,
            _ => self.run_to_answer(call, log).await,
        }
    }

    async fn run_to_answer(&self, call: LiveCall, log: &CallLog<'_>) -> CallerResponse {
        let outcome = call.run().await;
        if let Some(claim) = &call.claim {
            claim.end(outcome.answer.as_ref());
        }
        match outcome.answer {
            Ok(answer) => {
                let status = answer.status.as_u16();
                log.record_answer(status, outcome.back_end.as_ref(), outcome.attempts);
                self.run_times.record(log.route, log.received.elapsed());
                forward_answer(answer)
            }
            Err(problem) => {
                log.record_failure(&problem, outcome.attempts);
                problem_response(&problem)
            }
        }
    }

    async fn run_stream(&self, call: LiveCall, log: &CallLog<'_>) -> CallerResponse {
        let claim = call.claim.clone();
        let outcome = stream::open(call).await;
        if let (Some(claim), Some(end)) = (claim, outcome.complete_answer()) {
            claim.end(end);
        }
        match outcome {
            StreamOutcome::Events {
                status,
                headers: head,
                back_end,
                events,
            } => {
                log.record_answer(status.as_u16(), Some(&back_end), 1);
                let running = self.run_times.until_dropped(log.route, log.received);
                let events = events.inspect(move |_| _ = &running).boxed();
                let mut response = Response::new(stream_body(events));
                *response.status_mut() = status;
                *response.headers_mut() = headers::end_to_end(&head);
                response
            }
            StreamOutcome::Complete(answer) => forward_answer(answer),
            StreamOutcome::Problem(problem) => refuse(&problem, log),
        }
    }

    /// Refuses a call without an allowed region, unless it repeats the submission of a batch that
    /// was accepted under another configuration.
    async fn answer_without_region(
        &self,
        log: &CallLog<'_>,
        route: &Route,
        batch: &str,
        refusal: Problem,
        body: Incoming,
    ) -> CallerResponse {
        let accepted = match route.kind {
            RouteKind::Rollout => {
                submit::find_accepted_batch(&self.context, batch, log.deadline).await
            }
            _ => Ok(None),
        };
        let problem = match accepted {
            Ok(Some(header)) => {
                drain_body(body, log.deadline).await;
                return submit::confirm_accepted_batch(batch, &header, log.received);
            }
            Ok(None) => refusal,
            Err(unavailable) => unavailable,
        };
        refuse(&problem, log)
    }

    /// Returns the earlier of the caller's and the route's deadline; now if there is neither.
    fn deadline(
        &self,
        headers: &HeaderMap,
        route: Option<&Route>,
        received: BootInstant,
    ) -> BootInstant {
        let names = self.context.dialect.headers();
        let caller_timeout = headers::caller_timeout(headers, names);
        let timeouts = caller_timeout
            .into_iter()
            .chain(route.map(|route| route.timeout));
        let timeout = timeouts.min().unwrap_or_default();
        received + timeout.saturating_sub(ANSWER_MARGIN)
    }

    fn choose_service(&self, route: &Route) -> Option<ServiceName> {
        if let [only] = route.services.as_slice() {
            return Some(only.service.clone());
        }
        let mut choices = self.service_choices.lock();
        let choice = choices
            .entry(route.name.clone())
            .or_insert_with(|| WeightedChoice::new(self.choice_seed));
        let share = choice.next(&route.services)?;
        Some(share.service.clone())
    }

    async fn answer_submission(
        &self,
        log: &CallLog<'_>,
        route: &Route,
        admitted: AdmittedCall<'_>,
    ) -> CallerResponse {
        let Some(service) = submit::batch_service(&route.services) else {
            let problem = Problem::new(ResultCode::NoEngine, "the route has no service");
            return problem_response(&problem);
        };
        let call = SubmissionCall {
            configuration: log.configuration,
            route,
            service,
            id: admitted.request_id.batch_id(),
            tenant: admitted.tenant,
            regions: admitted.regions,
            body: admitted.body,
            received: log.received,
            deadline: log.deadline,
            progress: admitted.progress,
        };
        submit::submit(&self.context, &self.submissions, call).await
    }

    /// Claims the request's idempotency key, if it has one.
    async fn claim_key(
        &self,
        keyed: Result<Option<KeyedRequest>, Problem>,
        outgoing: &OutgoingRequest,
    ) -> Result<KeyClaimOutcome, Problem> {
        match (keyed?, &self.context.claims) {
            (Some(keyed), Some(claims)) => claims.claim(keyed, outgoing).await,
            _ => Ok(KeyClaimOutcome::NotNeeded),
        }
    }

    /// Returns the request to send to a back end, with the request ID and with the tenant's name in
    /// place of the API key.
    fn outgoing_request(
        &self,
        head: Parts,
        request_id: &RequestId,
        tenant: Option<&Tenant>,
        body: Bytes,
    ) -> OutgoingRequest {
        let names = self.context.dialect.headers();
        let path_and_query = head.uri.path_and_query();
        let path_and_query = path_and_query.map_or_else(|| "/".to_owned(), ToString::to_string);
        let mut sent = headers::end_to_end(&head.headers);
        caller::set_tenant(&mut sent, names, tenant.map(|tenant| &tenant.name));
        headers::set_text(&mut sent, &names.request_id, request_id.as_str());
        OutgoingRequest {
            request_id: request_id.as_str().to_owned(),
            method: head.method,
            path_and_query,
            headers: sent,
            body,
        }
    }
}

/// Returns the problem document for a call that the node does not run, and records it.
fn refuse(problem: &Problem, log: &CallLog<'_>) -> CallerResponse {
    log.record_failure(problem, 0);
    problem_response(problem)
}

/// Returns a back end's complete answer as the response to the caller.
fn forward_answer(answer: CompleteAnswer) -> CallerResponse {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    let headers = headers::end_to_end(&answer.headers);
    *response.headers_mut() = headers;
    response
}
