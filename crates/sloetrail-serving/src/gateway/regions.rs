//! The regions in which a call may be served and kept.

use sloetrail_batch::{RewardCall, Submission};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, ServingConfiguration, Tenant};
use sloetrail_types::AllowedRegions;
use std::time::Duration;

/// When to come back after a refusal that only another configuration can change. A new one
/// is in force some seconds after it was applied; callers that come back sooner find the
/// same.
const NOWHERE_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The regions that both the route and the tenant allow.
///
/// # Errors
///
/// If there is none, with the refusal: the call can be served nowhere.
pub(super) fn allowed(route: &Route, tenant: Option<&Tenant>) -> Result<AllowedRegions, Problem> {
    let of_route = &route.allowed_regions;
    let Some(tenant) = tenant else {
        return match of_route.is_nowhere() {
            true => Err(nowhere(format!("route {} allows no region", route.name))),
            false => Ok(of_route.clone()),
        };
    };
    let of_tenant = &tenant.allowed_regions;
    let regions = of_route.and(of_tenant);
    if regions.is_nowhere() {
        let (route, tenant) = (&route.name, &tenant.name);
        return Err(nowhere(format!(
            "route {route} allows {of_route}, tenant {tenant} {of_tenant}"
        )));
    }
    Ok(regions)
}

fn nowhere(detail: String) -> Problem {
    let retry_after = NOWHERE_RETRY_AFTER.as_millis() as u64;
    Problem::new(ResultCode::AllowedNowhere, detail).with_retry_after_ms(retry_after)
}

/// The regions in which a batch may be kept: those of its caller that the routes of its
/// reward calls allow too, since whoever keeps the batch reads the bodies of these. A route
/// that would leave none is passed over.
pub(super) fn for_batch(
    configuration: &ServingConfiguration,
    of_caller: &AllowedRegions,
    submission: &Submission,
) -> AllowedRegions {
    let rewards = submission.items.iter();
    let rewards = rewards.filter_map(|item| item.reward.as_ref());
    let mut regions = of_caller.clone();
    for reward in rewards {
        let narrowed = regions.and(&of_reward(configuration, reward));
        if !narrowed.is_nowhere() {
            regions = narrowed;
        }
    }
    regions
}

/// The regions of a reward call: those of its route. Other routes than those that take such
/// calls bind no batch, so that each of their restrictions need not have an owner.
fn of_reward(configuration: &ServingConfiguration, reward: &RewardCall) -> AllowedRegions {
    let path = reward.path.split('?').next().unwrap_or(&reward.path);
    let route = configuration.routes.find(&reward.host, path);
    let route = route.filter(|route| route.takes_reward_calls());
    route.map_or_else(AllowedRegions::everywhere, |route| {
        route.allowed_regions.clone()
    })
}

#[cfg(test)]
mod tests;
