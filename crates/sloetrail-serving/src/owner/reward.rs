//! Scoring a whole text: a live request to another service.

use crate::context::NodeContext;
use crate::events::{self, Event};
use crate::gateway::attempt::Outgoing;
use crate::gateway::headers;
use crate::gateway::live::LiveCall;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method};
use sloetrail_batch::RewardCall;
use sloetrail_routing::{Route, WeightedChoice};
use sloetrail_types::{AllowedRegions, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const PAUSE: Duration = Duration::from_millis(80);

/// How scoring ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RewardOutcome {
    /// The signature of the answer.
    Scored(String),
    /// The call failed as often as its route allows.
    Failed,
    /// The owner gave it up.
    Cancelled,
}

/// Makes a reward call for an item of a batch that is bound to these regions until it gives a
/// score, has failed as often as its route allows, or is given up.
pub(super) async fn score(
    context: &Arc<NodeContext>,
    item: &str,
    (reward, regions): (&RewardCall, &AllowedRegions),
    cancel: &CancellationToken,
) -> RewardOutcome {
    let scoring = score_until_settled(context, item, (reward, regions));
    tokio::select! {
        outcome = scoring => outcome,
        () = cancel.cancelled() => RewardOutcome::Cancelled,
    }
}

async fn score_until_settled(
    context: &Arc<NodeContext>,
    item: &str,
    (reward, regions): (&RewardCall, &AllowedRegions),
) -> RewardOutcome {
    let mut failures = 0;
    loop {
        let call = prepare(context, reward, regions);
        let outcome = match &call {
            Some(call) => {
                let outcome = call.run().await;
                failures += outcome.failed_answers;
                outcome.answer.map_err(|problem| problem.title)
            }
            None => Err("no route".to_owned()),
        };
        if let Ok(answer) = &outcome
            && answer.status.is_success()
        {
            let name = &context.dialect.headers().signature;
            if let Some(signature) = headers::text(&answer.headers, name) {
                return RewardOutcome::Scored(signature.to_owned());
            }
        }
        let word = match &outcome {
            Ok(answer) => answer.status.as_str().to_owned(),
            Err(title) => title.clone(),
        };
        events::emit(&Event::RewardFailed {
            item,
            reward: &reward.id,
            failures,
            outcome: &word,
        });
        let allowed = call
            .as_ref()
            .map_or(usize::MAX, |call| call.route.max_attempts);
        if failures >= allowed {
            return RewardOutcome::Failed;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn prepare(
    context: &Arc<NodeContext>,
    reward: &RewardCall,
    regions: &AllowedRegions,
) -> Option<LiveCall> {
    let configuration = context.configuration()?;
    let path = reward.path.split('?').next().unwrap_or(&reward.path);
    let route = configuration.routes.find(&reward.host, path)?;
    Some(LiveCall {
        context: Arc::clone(context),
        service: choose_service(route, &reward.id)?,
        regions: scoring_regions(&route.allowed_regions, regions),
        outgoing: outgoing(context, reward),
        tenant: None,
        deadline: Instant::now() + route.timeout,
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

fn outgoing(context: &NodeContext, reward: &RewardCall) -> Outgoing {
    let names = context.dialect.headers();
    let mut sent = HeaderMap::new();
    headers::set_text(&mut sent, &HOST, &reward.host);
    headers::set_text(&mut sent, &names.request_id, &reward.id);
    let octets = HeaderValue::from_static("application/octet-stream");
    sent.insert(CONTENT_TYPE, octets);
    Outgoing {
        request_id: reward.id.clone(),
        method: Method::POST,
        path_and_query: reward.path.clone(),
        headers: sent,
        body: reward.body.clone(),
    }
}
