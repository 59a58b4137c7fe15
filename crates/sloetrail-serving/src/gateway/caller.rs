//! Identification of callers by API key, where the configuration defines tenants.
//!
//! API keys are never forwarded, stored, logged or returned. Back ends get the tenant's name,
//! which replaces whatever the caller sent in that header.

use super::headers;
use crate::context::NodeContext;
use crate::dialect::HeaderNames;
use http::HeaderMap;
use sloetrail_batch::BatchHeader;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, ServingConfiguration, Tenant};
use sloetrail_types::TenantName;
use std::sync::Arc;

/// Retry delay if the node cannot check whether an unknown key is new. Another node may know it.
const STALE_RETRY_MS: u64 = 200;

/// Whether callers must send an API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ApiKeyRequirement {
    /// Required if the configuration defines tenants.
    Required,
    /// Not required; a known key still identifies the tenant.
    Optional,
}

impl ApiKeyRequirement {
    pub(crate) fn for_route(route: &Route) -> Self {
        match route.is_public {
            true => ApiKeyRequirement::Optional,
            false => ApiKeyRequirement::Required,
        }
    }
}

/// Returns the caller's tenant, or `None` if no tenant is required.
///
/// # Errors
///
/// `UnknownApiKey` if a required key is missing or unknown; `ConfigurationStale` instead while
/// the table is down, since this node cannot learn of new keys then.
pub(crate) fn identify(
    context: &NodeContext,
    configuration: &ServingConfiguration,
    headers: &HeaderMap,
    requirement: ApiKeyRequirement,
) -> Result<Option<Arc<Tenant>>, Problem> {
    let Some(tenants) = &configuration.tenants else {
        return Ok(None);
    };
    let names = context.dialect.headers();
    let key = headers::text(headers, &names.api_key);
    let tenant = key.and_then(|key| tenants.find_by_key(key));
    match (tenant, key, requirement) {
        (Some(tenant), _, _) => Ok(Some(Arc::clone(tenant))),
        (None, _, ApiKeyRequirement::Optional) => Ok(None),
        (None, None, ApiKeyRequirement::Required) => Err(Problem::new(
            ResultCode::UnknownApiKey,
            "the request has no API key",
        )),
        (None, Some(_), ApiKeyRequirement::Required) => Err(unknown_key(context)),
    }
}

fn unknown_key(context: &NodeContext) -> Problem {
    if context.table.is_answering() {
        return Problem::new(
            ResultCode::UnknownApiKey,
            "the API key belongs to no tenant",
        );
    }
    let detail =
        "the API key is unknown to this node, and the table does not answer to check for new keys";
    Problem::new(ResultCode::ConfigurationStale, detail).with_retry_after_ms(STALE_RETRY_MS)
}

/// Returns true if the batch belongs to the caller's tenant, or if either has no tenant.
pub(crate) fn may_access_batch(header: &BatchHeader, caller: Option<&Tenant>) -> bool {
    match (&header.tenant, caller) {
        (Some(owner), Some(caller)) => *owner == caller.name,
        _ => true,
    }
}

/// Sets the tenant header to the identified tenant, if any, and removes the API key and the
/// idempotency key.
pub(crate) fn set_tenant(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    tenant: Option<&TenantName>,
) {
    headers.remove(&names.api_key);
    headers.remove(&names.tenant);
    if let Some(name) = &names.idempotency_key {
        headers.remove(name);
    }
    if let Some(tenant) = tenant {
        headers::set_text(headers, &names.tenant, tenant.as_str());
    }
}
