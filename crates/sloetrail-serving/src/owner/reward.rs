//! Scoring a whole text: a live request to another service, once for each turn that it gets
//! ([`super::reward_queue`]).

use super::reward_queue::Lane;
use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::gateway::attempt::OutgoingRequest;
use crate::gateway::headers;
use crate::gateway::live::LiveCall;
use crate::http::CompleteAnswer;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method};
use sloetrail_batch::RewardCall;
use sloetrail_clock::BootInstant;
use sloetrail_result::ResultCode;
use sloetrail_routing::{Route, ServingConfiguration, WeightedChoice};
use sloetrail_types::{AllowedRegions, ServiceName};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// How one try to score a text ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RewardOutcome {
    /// The signature of the answer.
    Scored(String),
    /// There is no score.
    NoScore(RewardFailure),
    /// The owner gave it up.
    Cancelled,
}

/// What a try that gave no score tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RewardFailure {
    /// Answers that say that the call itself failed.
    pub(super) failed_answers: usize,
    /// With so many of these the call is given up.
    pub(super) allowed: usize,
    /// True if nothing was sent, since no back end had a place.
    pub(super) found_no_place: bool,
    /// True if nothing was sent, since back ends crash under the call.
    pub(super) is_kept_back: bool,
}

/// The place among texts that are to be scored, for an item of a batch that is bound to these
/// regions.
pub(super) fn lane(context: &NodeContext, reward: &RewardCall, regions: &AllowedRegions) -> Lane {
    let configuration = context.configuration();
    let route = configuration
        .as_ref()
        .and_then(|configuration| find_route(configuration, reward));
    Lane {
        service: route.and_then(|route| choose_service(route, &reward.id)),
        regions: match route {
            Some(route) => scoring_regions(&route.allowed_regions, regions),
            None => regions.clone(),
        },
    }
}

/// Makes a reward call once, as often as its route allows, for an item of a batch that is
/// bound to these regions; `failures` are those before.
pub(super) async fn score(
    context: &Arc<NodeContext>,
    item: &str,
    (reward, regions): (&RewardCall, &AllowedRegions),
    failures: usize,
    cancel: &CancellationToken,
) -> RewardOutcome {
    let scoring = try_to_score(context, item, (reward, regions), failures);
    tokio::select! {
        outcome = scoring => outcome,
        () = cancel.cancelled() => RewardOutcome::Cancelled,
    }
}

async fn try_to_score(
    context: &Arc<NodeContext>,
    item: &str,
    (reward, regions): (&RewardCall, &AllowedRegions),
    failures: usize,
) -> RewardOutcome {
    let mut failure = RewardFailure {
        failed_answers: 0,
        allowed: usize::MAX,
        found_no_place: true,
        is_kept_back: false,
    };
    let word = match prepare(context, reward, regions) {
        None => "no route".to_owned(),
        Some(call) => {
            let outcome = call.run().await;
            failure.failed_answers = outcome.failed_answers;
            failure.allowed = call.route.max_attempts;
            failure.found_no_place = outcome.attempts == 0;
            match outcome.answer {
                Ok(answer) => match score_of(context, &answer) {
                    Some(score) => return RewardOutcome::Scored(score),
                    None => answer.status.as_str().to_owned(),
                },
                Err(problem) => {
                    failure.is_kept_back = problem.is(ResultCode::RequestQuarantined);
                    problem.title
                }
            }
        }
    };
    events::emit(&Event::RewardFailed {
        item,
        reward: &reward.id,
        failures: failures + failure.failed_answers,
        outcome: &word,
    });
    RewardOutcome::NoScore(failure)
}

/// The score that an answer gives, if it gives one.
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

fn prepare(
    context: &Arc<NodeContext>,
    reward: &RewardCall,
    regions: &AllowedRegions,
) -> Option<LiveCall> {
    let configuration = context.configuration()?;
    let route = find_route(&configuration, reward)?;
    Some(LiveCall {
        context: Arc::clone(context),
        service: choose_service(route, &reward.id)?,
        regions: scoring_regions(&route.allowed_regions, regions),
        outgoing: outgoing(context, reward),
        tenant: None,
        urgency: route.urgency(None),
        claim: None,
        deadline: BootInstant::now() + route.timeout,
        route: Arc::clone(route),
    })
}

/// Where a text may be scored: in the regions of the reward call's route, and of these in
/// those of its batch. A batch whose regions have none in common with the route's was
/// accepted all the same; the route's bind then.
fn scoring_regions(of_route: &AllowedRegions, of_batch: &AllowedRegions) -> AllowedRegions {
    let common = of_route.and(of_batch);
    match common.is_nowhere() {
        true => of_route.clone(),
        false => common,
    }
}

/// A service by weight, drawn from the call's id.
fn choose_service(route: &Route, id: &str) -> Option<ServiceName> {
    let offset = sloetrail_types::digest(id.as_bytes()) as f64 / u64::MAX as f64;
    let part = WeightedChoice::new(offset).next(&route.services)?.clone();
    Some(part.service)
}

fn outgoing(context: &NodeContext, reward: &RewardCall) -> OutgoingRequest {
    let names = context.dialect.headers();
    let mut sent = HeaderMap::new();
    headers::set_text(&mut sent, &HOST, &reward.host);
    headers::set_text(&mut sent, &names.request_id, &reward.id);
    let octets = HeaderValue::from_static("application/octet-stream");
    sent.insert(CONTENT_TYPE, octets);
    OutgoingRequest {
        request_id: reward.id.clone(),
        method: Method::POST,
        path_and_query: reward.path.clone(),
        headers: sent,
        body: reward.body.clone(),
    }
}
