//! The regions in which a call may be served and a batch stored.

use sloetrail_batch::{RewardCall, Submission};
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, ServingConfiguration, Tenant};
use sloetrail_types::{AllowedRegions, whole_millis};
use std::time::Duration;

/// Retry delay if no region is allowed. Only a new configuration, which takes seconds to come
/// into force, can change that.
const NO_REGION_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Returns the regions that both the route and the tenant allow.
///
/// # Errors
///
/// `AllowedNowhere` if they have no region in common.
pub(super) fn allowed(route: &Route, tenant: Option<&Tenant>) -> Result<AllowedRegions, Problem> {
    let route_regions = &route.allowed_regions;
    let Some(tenant) = tenant else {
        return match route_regions.is_nowhere() {
            true => Err(no_region(format!("route {} allows no region", route.name))),
            false => Ok(route_regions.clone()),
        };
    };
    let tenant_regions = &tenant.allowed_regions;
    let regions = route_regions.and(tenant_regions);
    if regions.is_nowhere() {
        let (route, tenant) = (&route.name, &tenant.name);
        return Err(no_region(format!(
            "no common region: route {route} allows {route_regions}, tenant {tenant} allows {tenant_regions}"
        )));
    }
    Ok(regions)
}

fn no_region(detail: String) -> Problem {
    let retry_after = whole_millis(NO_REGION_RETRY_DELAY);
    Problem::new(ResultCode::AllowedNowhere, detail).with_retry_after_ms(retry_after)
}

/// Returns the regions in which a batch may be stored: the caller's regions that the routes of
/// its reward calls allow too, since the batch contains the bodies of these calls. A route
/// that would leave no region is ignored.
pub(super) fn for_batch(
    configuration: &ServingConfiguration,
    caller_regions: &AllowedRegions,
    submission: &Submission,
) -> AllowedRegions {
    let rewards = submission.items.iter();
    let rewards = rewards.filter_map(|item| item.reward.as_ref());
    let mut regions = caller_regions.clone();
    for reward in rewards {
        let narrowed = regions.and(&for_reward(configuration, reward));
        if !narrowed.is_nowhere() {
            regions = narrowed;
        }
    }
    regions
}

/// Returns the regions that a reward call's route allows. Routes that do not take reward calls
/// do not restrict batches.
fn for_reward(configuration: &ServingConfiguration, reward: &RewardCall) -> AllowedRegions {
    let path = reward.path.split('?').next().unwrap_or(&reward.path);
    let route = configuration.routes.find(&reward.host, path);
    let route = route.filter(|route| route.takes_reward_calls());
    route.map_or_else(AllowedRegions::everywhere, |route| {
        route.allowed_regions.clone()
    })
}

#[cfg(test)]
mod tests;
