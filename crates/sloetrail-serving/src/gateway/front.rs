//! The entry of every call from outside.

use super::attempt::Outgoing;
use super::body_budget::{BodyBudget, HeldBytes};
use super::headers;
use super::live::{LiveCall, LiveOutcome};
use super::message::{CallerResponse, problem_response, stream_body, whole_body, with_request_id};
use super::read;
use super::stream::{self, StreamOutcome};
use super::submit::{self, SubmissionCall, WaitingSubmissions};
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::http::WholeAnswer;
use crate::telemetry;
use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, RouteKind, ServingConfiguration, WeightedChoice};
use sloetrail_types::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Query parameters of the calls about batches.
const AFTER: &str = "after";
const ITEM_ID: &str = "id";

/// An answer is due this much before its caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
const NOT_READY_RETRY_MS: u64 = 200;
const FULL_RETRY_MS: u64 = 250;

/// The entry of every call from outside.
pub(crate) struct Front {
    context: Arc<NodeContext>,
    choices: Mutex<HashMap<String, WeightedChoice>>,
    bodies: BodyBudget,
    waiting: WaitingSubmissions,
    seed: f64,
}

impl Front {
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
        let received = Instant::now();
        let (head, body) = request.into_parts();
        let names = self.context.dialect.headers();
        let request_id = headers::text(&head.headers, &names.request_id)
            .unwrap_or_default()
            .to_owned();
        let response = self.dispatch(head, body, &request_id, received).await;
        with_request_id(response, names, &request_id)
    }

    async fn dispatch(
        &self,
        head: Parts,
        body: Incoming,
        request_id: &str,
        received: Instant,
    ) -> CallerResponse {
        if let Some(response) = self.batch_call(&head).await {
            return response;
        }
        let Some(configuration) = self.context.configuration() else {
            let problem = Problem::new(ResultCode::NodeNotReady, "no configuration yet");
            return problem_response(&problem.with_retry_after_ms(NOT_READY_RETRY_MS));
        };
        let host = headers::host(&head.headers);
        let Some(route) = configuration.routes.find(host, head.uri.path()) else {
            let detail = format!("{host}{}", head.uri.path());
            let problem = Problem::new(ResultCode::UnknownRoute, detail);
            self.log_failure(
                &configuration,
                request_id,
                "-",
                &problem,
                0,
                received,
                received,
            );
            return problem_response(&problem);
        };
        let route = Arc::clone(route);
        let deadline = self.deadline(&head.headers, &route, received);
        let mut held = self.bodies.begin();
        let body = match self.read_body(body, &mut held, deadline).await {
            Ok(body) => body,
            Err(problem) => {
                let name = &route.name;
                self.log_failure(
                    &configuration,
                    request_id,
                    name,
                    &problem,
                    0,
                    received,
                    deadline,
                );
                return problem_response(&problem);
            }
        };
        if route.kind == RouteKind::Rollout {
            return self
                .submission(&route, request_id, body, received, deadline)
                .await;
        }
        let Some(service) = self.choose_service(&route) else {
            let problem = Problem::new(ResultCode::NoEngine, "the route has no service");
            return problem_response(&problem);
        };
        let call = LiveCall {
            context: Arc::clone(&self.context),
            service,
            outgoing: outgoing(head, request_id, body),
            received,
            deadline,
            route,
        };
        match call.route.kind {
            RouteKind::Stream => self.stream(call, &configuration).await,
            _ => self.live(call, &configuration).await,
        }
    }

    async fn batch_call(&self, head: &Parts) -> Option<CallerResponse> {
        let path = head.uri.path();
        let query = head.uri.query().unwrap_or_default();
        let paths = self.context.dialect.paths();
        if let Some(id) = path.strip_prefix(&paths.batches) {
            if head.method == Method::DELETE {
                return Some(submit::end(&self.context, id).await);
            }
            if head.method == Method::GET {
                let position = query_value(query, AFTER).and_then(|text| text.parse().ok());
                let names = self.context.dialect.headers();
                let wait = headers::number(&head.headers, &names.wait_ms).unwrap_or_default();
                let wait = Duration::from_millis(wait);
                let position = position.unwrap_or_default();
                return Some(read::results(&self.context, id, position, wait).await);
            }
        }
        if let Some(id) = path.strip_prefix(&paths.batch_items)
            && head.method == Method::GET
        {
            let item = query_value(query, ITEM_ID).unwrap_or_default();
            return Some(read::item_body(&self.context, id, item).await);
        }
        None
    }

    /// The earlier of the caller's and the route's time.
    fn deadline(&self, headers: &HeaderMap, route: &Route, received: Instant) -> Instant {
        let names = self.context.dialect.headers();
        let caller_time = headers::caller_time(headers, names);
        let time = caller_time.map_or(route.timeout, |time| time.min(route.timeout));
        received + time.saturating_sub(ANSWER_MARGIN)
    }

    /// Reads a body whole, within the bounds of one body and of all together.
    async fn read_body(
        &self,
        mut body: Incoming,
        held: &mut HeldBytes,
        deadline: Instant,
    ) -> Result<Bytes, Problem> {
        let limit = self.context.limits().body_bytes;
        let mut pieces = BytesMut::new();
        loop {
            let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
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
            if !held.grow(piece.len()) {
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
        route: &Route,
        id: &str,
        body: Bytes,
        received: Instant,
        deadline: Instant,
    ) -> CallerResponse {
        let Some(service) = submit::batch_service(&route.services) else {
            let problem = Problem::new(ResultCode::NoEngine, "the route has no service");
            return problem_response(&problem);
        };
        let call = SubmissionCall {
            route,
            service,
            id,
            body,
            received,
            deadline,
        };
        submit::submit(&self.context, &self.waiting, call).await
    }

    async fn live(&self, call: LiveCall, configuration: &ServingConfiguration) -> CallerResponse {
        let outcome = call.run().await;
        self.log_outcome(&call, configuration, &outcome);
        match outcome.answer {
            Ok(answer) => passed_on(answer),
            Err(problem) => problem_response(&problem),
        }
    }

    async fn stream(&self, call: LiveCall, configuration: &ServingConfiguration) -> CallerResponse {
        let (route, request_id) = (Arc::clone(&call.route), call.outgoing.request_id.clone());
        let (received, deadline) = (call.received, call.deadline);
        match stream::open(call).await {
            StreamOutcome::Events {
                status,
                headers: head,
                back_end,
                pieces,
            } => {
                let took = received.elapsed();
                telemetry::request_ended(&route.name, status.as_u16(), 0, took);
                events::emit(&Event::RequestAnswered {
                    request: &request_id,
                    route: &route.name,
                    status: status.as_u16(),
                    back_end: back_end.as_str(),
                    attempts: 1,
                    took_ms: took.as_millis() as u64,
                    revision: configuration.revision.0,
                });
                let mut response = Response::new(stream_body(pieces));
                *response.status_mut() = status;
                *response.headers_mut() = headers::end_to_end(&head);
                response
            }
            StreamOutcome::Whole(answer) => passed_on(answer),
            StreamOutcome::Problem(problem) => {
                let name = &route.name;
                self.log_failure(
                    configuration,
                    &request_id,
                    name,
                    &problem,
                    0,
                    received,
                    deadline,
                );
                problem_response(&problem)
            }
        }
    }

    fn log_outcome(
        &self,
        call: &LiveCall,
        configuration: &ServingConfiguration,
        outcome: &LiveOutcome,
    ) {
        let request = &call.outgoing.request_id;
        match &outcome.answer {
            Ok(answer) => {
                let status = answer.status.as_u16();
                let took = call.received.elapsed();
                telemetry::request_ended(&call.route.name, status, 0, took);
                events::emit(&Event::RequestAnswered {
                    request,
                    route: &call.route.name,
                    status,
                    back_end: outcome.back_end.as_ref().map_or("-", |id| id.as_str()),
                    attempts: outcome.attempts,
                    took_ms: took.as_millis() as u64,
                    revision: configuration.revision.0,
                });
            }
            Err(problem) => self.log_failure(
                configuration,
                request,
                &call.route.name,
                problem,
                outcome.attempts,
                call.received,
                call.deadline,
            ),
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one line of the log, one argument a field"
    )]
    fn log_failure(
        &self,
        configuration: &ServingConfiguration,
        request: &str,
        route: &str,
        problem: &Problem,
        attempts: usize,
        received: Instant,
        deadline: Instant,
    ) {
        let left = deadline.saturating_duration_since(Instant::now());
        let took = received.elapsed();
        telemetry::request_ended(route, problem.status, problem.code, took);
        events::emit(&Event::RequestFailed {
            request,
            route,
            status: problem.status,
            code: problem.code,
            attempts,
            took_ms: took.as_millis() as u64,
            left_ms: left.as_millis() as u64,
            revision: configuration.revision.0,
            detail: &problem.detail,
        });
    }
}

/// A caller's request as it goes to a back end.
fn outgoing(head: Parts, request_id: &str, body: Bytes) -> Outgoing {
    let path_and_query = head.uri.path_and_query();
    Outgoing {
        request_id: request_id.to_owned(),
        method: head.method,
        path_and_query: path_and_query.map_or_else(|| "/".to_owned(), ToString::to_string),
        headers: headers::end_to_end(&head.headers),
        body,
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

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
