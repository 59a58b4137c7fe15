//! The entry of every call from outside.

use super::attempt::OutgoingRequest;
use super::batch_call::BatchCall;
use super::body_budget::{BodyBudget, BodyReservation};
use super::call_log::CallLog;
use super::caller::{self, ApiKeyRequirement};
use super::claims::{Claimed, KeyedSending, Sending};
use super::headers;
use super::live::LiveCall;
use super::regions;
use super::request_id::RequestId;
use super::response::{
    CallerResponse, problem_response, stream_body, whole_body, with_configuration_version,
    with_request_id,
};
use super::stream::{self, StreamOutcome};
use super::submit::{self, SubmissionCall, WaitingSubmissions};
use crate::context::NodeContext;
use crate::http::WholeAnswer;
use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderMap, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, RouteKind, ServingConfiguration, Tenant, WeightedChoice};
use sloetrail_types::{AllowedRegions, ServiceName};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An answer is due this much before its caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
const NOT_READY_RETRY_MS: u64 = 200;
const FULL_RETRY_MS: u64 = 250;

/// The entry of every call from outside.
pub(crate) struct CallHandler {
    context: Arc<NodeContext>,
    choices: Mutex<HashMap<String, WeightedChoice>>,
    bodies: BodyBudget,
    waiting: WaitingSubmissions,
    seed: f64,
}

/// A call as it was received, before its body was read.
struct ReceivedCall<'a> {
    head: Parts,
    body: Incoming,
    request_id: &'a RequestId,
    received: BootInstant,
}

/// A call of a known caller, with its body.
struct AdmittedCall<'a> {
    request_id: &'a RequestId,
    tenant: Option<&'a Tenant>,
    /// Where it may be served.
    regions: AllowedRegions,
    body: Bytes,
}

impl CallHandler {
    /// An entry; `seed` (between zero and one) differs from node to node.
    pub(crate) fn new(context: Arc<NodeContext>, seed: f64) -> Self {
        let body_budget_bytes = context.settings.bounds.body_budget_bytes;
        Self {
            bodies: BodyBudget::new(body_budget_bytes),
            waiting: WaitingSubmissions::new(body_budget_bytes),
            context,
            choices: Mutex::default(),
            seed,
        }
    }

    /// Answers a call.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> CallerResponse {
        let received = BootInstant::now();
        let (head, body) = request.into_parts();
        let names = self.context.dialect.headers();
        let request_id = RequestId::of(&head.headers, names);
        let call = ReceivedCall {
            head,
            body,
            request_id: &request_id,
            received,
        };
        let response = self.dispatch(call).await;
        with_request_id(response, names, request_id.as_str())
    }

    async fn dispatch(&self, call: ReceivedCall<'_>) -> CallerResponse {
        let Some(configuration) = self.context.configuration() else {
            let problem = Problem::new(ResultCode::NodeNotReady, "no configuration yet");
            return problem_response(&problem.with_retry_after_ms(NOT_READY_RETRY_MS));
        };
        let names = self.context.dialect.headers();
        let version = configuration.revision;
        let response = self.answer_under(&configuration, call).await;
        with_configuration_version(response, names, version)
    }

    /// Answers a call under the configuration that is in force as it begins.
    async fn answer_under(
        &self,
        configuration: &ServingConfiguration,
        call: ReceivedCall<'_>,
    ) -> CallerResponse {
        let head = &call.head;
        if let Some(about_batch) = BatchCall::read(&self.context, head) {
            return about_batch
                .answer(&self.context, configuration, &head.headers)
                .await;
        }
        let host = headers::host(&head.headers);
        let found = configuration.routes.find(host, head.uri.path());
        let deadline = self.deadline(&head.headers, found.map(|route| &**route), call.received);
        let mut log = CallLog {
            configuration,
            request: call.request_id.as_str(),
            route: "-",
            regions: None,
            received: call.received,
            deadline,
        };
        let Some(route) = found else {
            let detail = format!("{host}{}", head.uri.path());
            return refused(&Problem::new(ResultCode::UnknownRoute, detail), &log);
        };
        log.route = &route.name;
        self.answer_on_route(route, call, log).await
    }

    /// Answers a call on its route, once it is known whose it is and where it may be served.
    async fn answer_on_route(
        &self,
        route: &Arc<Route>,
        call: ReceivedCall<'_>,
        mut log: CallLog<'_>,
    ) -> CallerResponse {
        let (context, request_id) = (&self.context, call.request_id);
        let demand = ApiKeyRequirement::on(route);
        let identified = caller::identify(context, log.configuration, &call.head.headers, demand);
        let tenant = match identified {
            Ok(tenant) => tenant,
            Err(problem) => return refused(&problem, &log),
        };
        let regions = match regions::allowed(route, tenant.as_deref()) {
            Ok(regions) => regions,
            Err(refusal) => {
                log.regions = Some(AllowedRegions::only([]));
                let batch = request_id.of_batch();
                return self
                    .allowed_nowhere(&log, route, batch, refusal, call.body)
                    .await;
            }
        };
        log.regions = Some(regions.clone());
        let mut held = self.bodies.new_reservation();
        let body = match self.read_body(call.body, &mut held, log.deadline).await {
            Ok(body) => body,
            Err(problem) => return refused(&problem, &log),
        };
        let admitted = AdmittedCall {
            request_id,
            tenant: tenant.as_deref(),
            regions,
            body,
        };
        match route.kind {
            RouteKind::Rollout => self.submission(&log, route, admitted).await,
            _ => self.live(&log, route, call.head, admitted).await,
        }
    }

    /// Answers a call that goes to a back end while its caller waits.
    async fn live(
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
        let sending = Sending {
            route,
            tenant: tenant.map(|tenant| &tenant.name),
            headers: &head.headers,
            deadline: log.deadline,
        };
        let keyed = KeyedSending::read(sending, self.context.dialect.headers());
        let call = LiveCall {
            context: Arc::clone(&self.context),
            service,
            regions: admitted.regions,
            tenant: tenant.map(|tenant| tenant.name.clone()),
            urgency: route.urgency(tenant),
            claim: None,
            outgoing: self.outgoing(head, admitted.request_id, tenant, admitted.body),
            deadline: log.deadline,
            route: Arc::clone(route),
        };
        self.run(call, keyed, log).await
    }

    /// Runs a live request, once its key is claimed if it runs under one.
    async fn run(
        &self,
        mut call: LiveCall,
        keyed: Result<Option<KeyedSending>, Problem>,
        log: &CallLog<'_>,
    ) -> CallerResponse {
        match self.claim(keyed, &call.outgoing).await {
            Ok(Claimed::NotNeeded) => {}
            Ok(Claimed::ToSend(claim)) => call.claim = Some(claim),
            Ok(Claimed::Answered(answer)) => {
                log.answered(answer.status.as_u16(), None, 0);
                return passed_on(answer);
            }
            Err(problem) => return refused(&problem, log),
        }
        match call.route.kind {
            RouteKind::Stream => stream_answer(call, log).await,
            _ => live_answer(call, log).await,
        }
    }

    /// Answers a call that may be served nowhere: with the refusal, unless it is a batch that
    /// was accepted under another configuration.
    async fn allowed_nowhere(
        &self,
        log: &CallLog<'_>,
        route: &Route,
        batch: &str,
        refusal: Problem,
        body: Incoming,
    ) -> CallerResponse {
        let known = match route.kind {
            RouteKind::Rollout => submit::accepted_before(&self.context, batch, log.deadline).await,
            _ => Ok(None),
        };
        let problem = match known {
            Ok(Some(header)) => {
                skip_body(body, log.deadline).await;
                return submit::accept_again(batch, &header, log.received);
            }
            Ok(None) => refusal,
            Err(unknown) => unknown,
        };
        refused(&problem, log)
    }

    /// The earlier of the caller's and the route's time; now if neither is known.
    fn deadline(
        &self,
        headers: &HeaderMap,
        route: Option<&Route>,
        received: BootInstant,
    ) -> BootInstant {
        let names = self.context.dialect.headers();
        let caller_timeout = headers::caller_timeout(headers, names);
        let times = caller_timeout
            .into_iter()
            .chain(route.map(|route| route.timeout));
        let time = times.min().unwrap_or_default();
        received + time.saturating_sub(ANSWER_MARGIN)
    }

    /// Reads a body whole, within the bounds of one body and of all together.
    async fn read_body(
        &self,
        mut body: Incoming,
        held: &mut BodyReservation,
        deadline: BootInstant,
    ) -> Result<Bytes, Problem> {
        let limit = self.context.limits().body_bytes;
        let mut pieces = BytesMut::new();
        loop {
            let frame = match sloetrail_clock::timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => {
                    let detail = format!("the body was not sent whole: {error}");
                    return Err(Problem::new(ResultCode::MalformedRequest, detail));
                }
                Ok(None) => return Ok(pieces.freeze()),
                Err(_) => {
                    let detail = "the body did not come";
                    return Err(Problem::new(ResultCode::RequestTooSlow, detail));
                }
            };
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            if held.bytes() + piece.len() > limit {
                let detail = format!("over {limit} bytes");
                return Err(Problem::new(ResultCode::BodyTooLarge, detail));
            }
            if !held.try_grow(piece.len()) {
                let detail = "the node holds as many bytes of requests as it may";
                let problem = Problem::new(ResultCode::QueueFull, detail);
                return Err(problem.with_retry_after_ms(FULL_RETRY_MS));
            }
            pieces.extend_from_slice(&piece);
        }
    }

    fn choose_service(&self, route: &Route) -> Option<ServiceName> {
        if let [only] = route.services.as_slice() {
            return Some(only.service.clone());
        }
        let mut choices = self.choices.lock().expect("not poisoned");
        let choice = choices
            .entry(route.name.clone())
            .or_insert_with(|| WeightedChoice::new(self.seed));
        let part = choice.next(&route.services)?;
        Some(part.service.clone())
    }

    async fn submission(
        &self,
        log: &CallLog<'_>,
        route: &Route,
        submitted: AdmittedCall<'_>,
    ) -> CallerResponse {
        let Some(service) = submit::batch_service(&route.services) else {
            let problem = Problem::new(ResultCode::NoEngine, "the route has no service");
            return problem_response(&problem);
        };
        let call = SubmissionCall {
            configuration: log.configuration,
            route,
            service,
            id: submitted.request_id.of_batch(),
            tenant: submitted.tenant,
            regions: submitted.regions,
            body: submitted.body,
            received: log.received,
            deadline: log.deadline,
        };
        submit::submit(&self.context, &self.waiting, call).await
    }

    /// Claims the key of a request, if it runs under one.
    async fn claim(
        &self,
        keyed: Result<Option<KeyedSending>, Problem>,
        outgoing: &OutgoingRequest,
    ) -> Result<Claimed, Problem> {
        match (keyed?, &self.context.claims) {
            (Some(keyed), Some(claims)) => claims.claim(keyed, outgoing).await,
            _ => Ok(Claimed::NotNeeded),
        }
    }

    /// A caller's request as it goes to a back end: with the tenant in place of its key, and
    /// with an id.
    fn outgoing(
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

/// Reads a body that is not needed, without keeping it, so that a caller that is still
/// sending gets its answer.
async fn skip_body(mut body: Incoming, deadline: BootInstant) {
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that sends on past its time reads no answer either.
    let _ = sloetrail_clock::timeout_at(deadline, reading).await;
}

/// The node's own answer to a call that it does not run.
fn refused(problem: &Problem, log: &CallLog<'_>) -> CallerResponse {
    log.failed(problem, 0);
    problem_response(problem)
}

async fn live_answer(call: LiveCall, log: &CallLog<'_>) -> CallerResponse {
    let outcome = call.run().await;
    if let Some(claim) = &call.claim {
        claim.end(outcome.answer.as_ref());
    }
    match outcome.answer {
        Ok(answer) => {
            let status = answer.status.as_u16();
            log.answered(status, outcome.back_end.as_ref(), outcome.attempts);
            passed_on(answer)
        }
        Err(problem) => {
            log.failed(&problem, outcome.attempts);
            problem_response(&problem)
        }
    }
}

async fn stream_answer(call: LiveCall, log: &CallLog<'_>) -> CallerResponse {
    let claim = call.claim.clone();
    let outcome = stream::open(call).await;
    if let (Some(claim), Some(end)) = (claim, outcome.whole()) {
        claim.end(end);
    }
    match outcome {
        StreamOutcome::Events {
            status,
            headers: head,
            back_end,
            pieces,
        } => {
            log.answered(status.as_u16(), Some(&back_end), 1);
            let mut response = Response::new(stream_body(pieces));
            *response.status_mut() = status;
            *response.headers_mut() = headers::end_to_end(&head);
            response
        }
        StreamOutcome::Whole(answer) => passed_on(answer),
        StreamOutcome::Problem(problem) => refused(&problem, log),
    }
}

/// A back end's whole answer as it goes to the caller.
fn passed_on(answer: WholeAnswer) -> CallerResponse {
    let mut response = Response::new(whole_body(answer.body));
    *response.status_mut() = answer.status;
    let headers = headers::end_to_end(&answer.headers);
    *response.headers_mut() = headers;
    response
}
