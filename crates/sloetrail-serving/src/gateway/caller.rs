//! Who a caller is: known by its key where the configuration names tenants.
//!
//! A key ends here. It goes to no back end, into no row, line or answer; what goes on is
//! the tenant's name, whatever the caller itself has written there.

use super::headers;
use crate::context::NodeContext;
use crate::dialect::HeaderNames;
use http::HeaderMap;
use sloetrail_batch::BatchHeader;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::{Route, ServingConfiguration, Tenant};
use sloetrail_types::TenantName;
use std::sync::Arc;

/// When to come back after a node could not tell whether a key is new: another node can
/// tell at once.
const STALE_RETRY_MS: u64 = 200;

/// Whether callers have to show a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ApiKeyRequirement {
    /// They have to, if the configuration names tenants.
    Required,
    /// They need not; a key that is known still tells the tenant.
    Optional,
}

impl ApiKeyRequirement {
    /// What callers of a route have to show.
    pub(crate) fn on(route: &Route) -> Self {
        match route.is_public {
            true => ApiKeyRequirement::Optional,
            false => ApiKeyRequirement::Required,
        }
    }
}

/// The tenant that a caller belongs to; nothing if it need not belong to one.
///
/// A key that is not known is refused, unless this node cannot learn of new keys just
/// now: then another node has to tell.
pub(crate) fn identify(
    context: &NodeContext,
    configuration: &ServingConfiguration,
    headers: &HeaderMap,
    demand: ApiKeyRequirement,
) -> Result<Option<Arc<Tenant>>, Problem> {
    let Some(tenants) = &configuration.tenants else {
        return Ok(None);
    };
    let names = context.dialect.headers();
    let key = headers::text(headers, &names.api_key);
    let tenant = key.and_then(|key| tenants.of_key(key));
    match (tenant, key, demand) {
        (Some(tenant), _, _) => Ok(Some(Arc::clone(tenant))),
        (None, _, ApiKeyRequirement::Optional) => Ok(None),
        (None, None, ApiKeyRequirement::Required) => {
            Err(Problem::new(ResultCode::UnknownApiKey, "no key was sent"))
        }
        (None, Some(_), ApiKeyRequirement::Required) => Err(unknown_key(context)),
    }
}

fn unknown_key(context: &NodeContext) -> Problem {
    if context.table.is_answering() {
        return Problem::new(ResultCode::UnknownApiKey, "the key belongs to no tenant");
    }
    let detail = "the key is not known here, and the table does not tell whether it is new";
    Problem::new(ResultCode::ConfigurationStale, detail).with_retry_after_ms(STALE_RETRY_MS)
}

/// True if a caller may know of a batch: it is its tenant's, or nobody's.
pub(crate) fn may_access_batch(header: &BatchHeader, caller: Option<&Tenant>) -> bool {
    match (&header.tenant, caller) {
        (Some(owner), Some(caller)) => *owner == caller.name,
        _ => true,
    }
}

/// Replaces the caller's key, and what it says of its tenant, by the tenant's name. The
/// idempotency key ends here too.
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
