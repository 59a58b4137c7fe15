//! Scores a complete text with a live request to another service. Each attempt is scheduled by
//! [`super::reward_queue`].

use super::reward_queue::ScoringTarget;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::gateway::attempt::OutgoingRequest;
use crate::gateway::headers;
use crate::gateway::live::LiveCall;
use crate::http::CompleteAnswer;
use crate::quarantine::RequestOrigin;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method};
use sloetrail_batch::{BatchHeader, RewardCall};
use sloetrail_clock::BootInstant;
use sloetrail_routing::{Route, ServingConfiguration, WeightedChoice};
use sloetrail_types::{AllowedRegions, ServiceName};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Outcome of one attempt to score a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RewardOutcome {
    /// Holds the signature of the answer.
    Scored(String),
    NoScore(RewardFailure),
    /// The owner cancelled the attempt.
    Cancelled,
}

/// Details of an attempt without a score.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RewardFailure {
    /// Answers that report a failure of the call itself.
    pub(super) failed_answers: usize,
    /// The call fails for good at this number of failed answers.
    pub(super) max_failures: usize,
    /// True if nothing was sent because no back end had a free slot.
    pub(super) found_no_slot: bool,
}

/// Returns the target of a reward call for a batch that is bound to `regions`.
pub(super) fn scoring_target(
    context: &NodeContext,
    reward: &RewardCall,
    regions: &AllowedRegions,
) -> ScoringTarget {
    let configuration = context.configuration();
    let route = configuration
        .as_ref()
        .and_then(|configuration| find_route(configuration, reward));
    ScoringTarget {
        service: route.and_then(|route| choose_service(route, &reward.id)),
        regions: match route {
            Some(route) => scoring_regions(&route.allowed_regions, regions),
            None => regions.clone(),
        },
    }
}

impl RewardFailure {
    /// An attempt that ended without an answer, which is not counted against the call.
    pub(super) const INTERRUPTED: Self = Self {
        failed_answers: 0,
        max_failures: usize::MAX,
        found_no_slot: false,
    };
}

/// A reward call for an item of a batch.
pub(super) struct ScoringRequest<'a> {
    pub(super) item: &'a str,
    pub(super) reward: &'a RewardCall,
    pub(super) header: &'a BatchHeader,
    /// Failed answers of earlier calls, for the log.
    pub(super) failures: usize,
}

/// Makes a reward call, with as many attempts as its route allows.
pub(super) async fn score(
    context: &Arc<NodeContext>,
    request: &ScoringRequest<'_>,
    cancel: &CancellationToken,
) -> RewardOutcome {
    let scoring = send_scoring_request(context, request);
    tokio::select! {
        outcome = scoring => outcome,
        () = cancel.cancelled() => RewardOutcome::Cancelled,
    }
}

async fn send_scoring_request(
    context: &Arc<NodeContext>,
    request: &ScoringRequest<'_>,
) -> RewardOutcome {
    let mut failure = RewardFailure {
        failed_answers: 0,
        max_failures: usize::MAX,
        found_no_slot: true,
    };
    let outcome_title = match prepare(context, request) {
        None => "no route".to_owned(),
        Some(call) => {
            let outcome = call.run().await;
            failure.failed_answers = outcome.failed_answers;
            failure.max_failures = call.route.max_attempts;
            failure.found_no_slot = outcome.attempts == 0;
            match outcome.answer {
                Ok(answer) => match score_of(context, &answer) {
                    Some(score) => return RewardOutcome::Scored(score),
                    None => answer.status.as_str().to_owned(),
                },
                Err(problem) => problem.title,
            }
        }
    };
    events::emit(&Event::RewardFailed {
        item: request.item,
        reward: &request.reward.id,
        failures: request.failures + failure.failed_answers,
        outcome: &outcome_title,
    });
    RewardOutcome::NoScore(failure)
}

/// Returns the signature header of a successful answer.
fn score_of(context: &NodeContext, answer: &CompleteAnswer) -> Option<String> {
    let name = &context.dialect.headers().signature;
    let signature = headers::text(&answer.headers, name).map(str::to_owned);
    signature.filter(|_| answer.status.is_success())
}

fn find_route<'a>(
    configuration: &'a ServingConfiguration,
    reward: &RewardCall,
) -> Option<&'a Arc<Route>> {
    let path = reward.path.split('?').next().unwrap_or(&reward.path);
    configuration.routes.find(&reward.host, path)
}

fn prepare(context: &Arc<NodeContext>, request: &ScoringRequest<'_>) -> Option<LiveCall> {
    let ScoringRequest { reward, header, .. } = request;
    let configuration = context.configuration()?;
    let route = find_route(&configuration, reward)?;
    Some(LiveCall {
        context: Arc::clone(context),
        service: choose_service(route, &reward.id)?,
        regions: scoring_regions(&route.allowed_regions, &header.allowed_regions),
        outgoing: outgoing(context, reward),
        tenant: None,
        urgency: route.urgency(None),
        claim: None,
        deadline: BootInstant::now() + route.timeout,
        route: Arc::clone(route),
        origin: RequestOrigin::Batch,
        progress: Arc::default(),
    })
}

/// Returns the regions that both the reward call's route and the batch allow. If they have none
/// in common, the regions of the route apply.
fn scoring_regions(of_route: &AllowedRegions, of_batch: &AllowedRegions) -> AllowedRegions {
    let common = of_route.and(of_batch);
    match common.is_nowhere() {
        true => of_route.clone(),
        false => common,
    }
}

/// Chooses a service by weight, deterministically for a call id.
fn choose_service(route: &Route, id: &str) -> Option<ServiceName> {
    let offset = sloetrail_types::digest(id.as_bytes()) as f64 / u64::MAX as f64;
    let part = WeightedChoice::new(offset).next(&route.services)?.clone();
    Some(part.service)
}

fn outgoing(context: &NodeContext, reward: &RewardCall) -> OutgoingRequest {
    let names = context.dialect.headers();
    let mut request_headers = HeaderMap::new();
    headers::set_text(&mut request_headers, &HOST, &reward.host);
    headers::set_text(&mut request_headers, &names.request_id, &reward.id);
    let octets = HeaderValue::from_static("application/octet-stream");
    request_headers.insert(CONTENT_TYPE, octets);
    OutgoingRequest {
        request_id: reward.id.clone(),
        method: Method::POST,
        path_and_query: reward.path.clone(),
        headers: request_headers,
        body: reward.body.clone(),
    }
}
