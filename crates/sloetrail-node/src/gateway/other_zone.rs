//! Requests that go to another zone, because this one has no engine for them.

use super::message::{Answer, CallerRequest};
use super::own_zone::run_in_zone;
use crate::api::refusal_of_phase;
use crate::peer::{
    ForwardedAnswer, ForwardedHeader, ForwardedRequest, PeerRequest, PeerResponse, ask_peer,
};
use crate::state::NodeState;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use rand::seq::IndexedRandom;
use sloetrail_clients::CallError;
use sloetrail_membership::NameDigest;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_types::{NodeId, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const ZONE_NEWS_BOUND: Duration = Duration::from_millis(3_000);
const NODES_TRIED: usize = 3;

/// Has a node of another zone run the request, or gives the refusal back.
pub(super) async fn run_in_other_zone(
    state: &NodeState,
    service: &ServiceName,
    request: &CallerRequest,
    deadline: Instant,
    refusal: Problem,
) -> Result<Answer, Problem> {
    for _ in 0..NODES_TRIED {
        let Some(peer) = node_of_other_zone(state, service) else {
            return Err(refusal);
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let message = PeerRequest::Forward {
            service: service.clone(),
            request: to_message(request, left),
        };
        metrics::counter!("sloetrail_forwarded_total").increment(1);
        match ask_peer(state, &peer, &message, left).await {
            Ok(PeerResponse::Forwarded(answer)) => return from_answer(answer),
            Ok(PeerResponse::Refused(problem)) => return Err(problem),
            Ok(_) => return Err(lost("the peer answered another question")),
            Err(CallError::Unknown { reason }) => return Err(lost(&reason)),
            Err(CallError::NotExecuted { .. }) => {}
        }
    }
    Err(refusal)
}

/// Runs a request for a node of another zone, on this zone's engines only.
pub(crate) async fn serve_forwarded(
    state: &Arc<NodeState>,
    service: &ServiceName,
    message: ForwardedRequest,
) -> Result<ForwardedAnswer, Problem> {
    let _in_flight = state.lifecycle.enter().map_err(refusal_of_phase)?;
    if !state.configuration_is_fresh() {
        let detail = "the node could not confirm its configuration";
        return Err(Problem::new(ResultCode::ConfigurationStale, detail));
    }
    let Some(pool) = state.pool(service) else {
        let detail = format!("no service is named {service}");
        return Err(Problem::new(ResultCode::UnknownService, detail));
    };
    let deadline = Instant::now() + Duration::from_millis(message.deadline_ms);
    let request = from_message(message)?;
    let answer = run_in_zone(state, &pool, &request, deadline).await?;
    Ok(ForwardedAnswer {
        status: answer.status.as_u16(),
        headers: to_headers(&answer.headers),
        body: answer.body,
    })
}

/// A node of a zone that was lately heard to have engines for the service.
fn node_of_other_zone(state: &NodeState, service: &ServiceName) -> Option<NodeId> {
    let wanted = NameDigest::of(service.as_str());
    let directory = state.directory();
    let configuration = state.configuration().configuration;
    let membership = state.membership();
    let now = state.now();
    let mut nodes = Vec::new();
    for zone in &configuration.zones {
        let Some(news) = membership.zones().news_of(zone) else {
            continue;
        };
        let recent = now.since(news.made_at) <= ZONE_NEWS_BOUND;
        let has_engines = news
            .capacity
            .iter()
            .any(|capacity| capacity.service == wanted && capacity.available > 0);
        if recent && has_engines {
            nodes.extend(directory.nodes_in(zone));
        }
    }
    nodes.choose(&mut rand::rng()).cloned()
}

fn to_message(request: &CallerRequest, left: Duration) -> ForwardedRequest {
    ForwardedRequest {
        method: request.method.to_string(),
        path_and_query: request.path_and_query.clone(),
        headers: to_headers(&request.headers),
        body: request.body.clone(),
        deadline_ms: left.as_millis() as u64,
    }
}

fn from_message(message: ForwardedRequest) -> Result<CallerRequest, Problem> {
    let method = Method::from_bytes(message.method.as_bytes())
        .map_err(|error| Problem::new(ResultCode::MalformedRequest, error.to_string()))?;
    Ok(CallerRequest {
        method,
        path_and_query: message.path_and_query,
        headers: from_headers(message.headers),
        body: message.body,
    })
}

fn from_answer(answer: ForwardedAnswer) -> Result<Answer, Problem> {
    let status = StatusCode::from_u16(answer.status).map_err(|error| lost(&error.to_string()))?;
    Ok(Answer {
        status,
        headers: from_headers(answer.headers),
        body: answer.body,
    })
}

fn to_headers(headers: &HeaderMap) -> Vec<ForwardedHeader> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| ForwardedHeader {
        name: name.to_string(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(header).collect()
}

fn from_headers(headers: Vec<ForwardedHeader>) -> HeaderMap {
    let mut map = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

fn lost(reason: &str) -> Problem {
    Problem::new(ResultCode::EngineLost, reason)
}
