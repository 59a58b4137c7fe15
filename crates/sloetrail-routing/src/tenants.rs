//! Tenants and the API keys of their callers.
//!
//! Keys are secrets: the debug form of [`ApiKey`] hides them, and errors do not contain them.

use crate::ConfigurationError;
use crate::error::{DuplicateKeySnafu, DuplicateTenantSnafu, ShortKeySnafu, UnnamedTenantSnafu};
use crate::raw::RawTenant;
use crate::validation::parse_allowed_regions;
use sloetrail_types::{AllowedRegions, TenantName};
use snafu::ensure;
use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// Shorter keys can be guessed.
const MIN_KEY_BYTES: usize = 8;

#[derive(Clone, PartialEq, Eq, Hash)]
struct ApiKey(String);

/// Allows lookup by `&str` without copying the key.
impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    pub name: TenantName,
    /// Takes precedence over the priority of the route; zero is the most urgent.
    pub priority: Option<u8>,
    /// Regions that may serve the tenant's requests.
    pub allowed_regions: AllowedRegions,
}

/// Tenants of a configuration by API key.
///
/// Invariant: each key belongs to one tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    by_key: HashMap<ApiKey, Arc<Tenant>>,
}

impl Tenants {
    /// Validates the tenants of a configuration. `check_priority` is called with the name of a
    /// tenant and its priority.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is empty or used twice, or if a key is too short or belongs
    /// to two tenants.
    pub(crate) fn check(
        raw: Vec<RawTenant>,
        mut check_priority: impl FnMut(&str, Option<u64>) -> Option<u8>,
    ) -> Result<Self, ConfigurationError> {
        let mut names = BTreeSet::new();
        let mut by_key: HashMap<ApiKey, Arc<Tenant>> = HashMap::new();
        for RawTenant {
            name,
            api_keys,
            priority,
            allowed_regions,
        } in raw
        {
            ensure!(!name.is_empty(), UnnamedTenantSnafu);
            ensure!(
                names.insert(name.clone()),
                DuplicateTenantSnafu { tenant: name }
            );
            let priority = check_priority(&name, priority);
            let tenant = Arc::new(Tenant {
                name: TenantName::new(name),
                priority,
                allowed_regions: parse_allowed_regions(allowed_regions),
            });
            for key in api_keys {
                let (tenant_name, min_bytes) = (tenant.name.as_str(), MIN_KEY_BYTES);
                ensure!(
                    key.len() >= min_bytes,
                    ShortKeySnafu {
                        tenant: tenant_name,
                        min_bytes
                    }
                );
                let previous = by_key.insert(ApiKey(key), Arc::clone(&tenant));
                let other = previous.filter(|previous| previous.name != tenant.name);
                ensure!(
                    other.is_none(),
                    DuplicateKeySnafu {
                        tenant: tenant.name.as_str()
                    }
                );
            }
        }
        Ok(Self { by_key })
    }

    /// Tenants with at least one key, by name.
    pub(crate) fn by_name(&self) -> BTreeMap<&TenantName, &Tenant> {
        let tenants = self.by_key.values();
        tenants.map(|tenant| (&tenant.name, &**tenant)).collect()
    }

    /// Allowed regions of each tenant, repeated for each of its keys.
    pub(crate) fn allowed_regions(&self) -> impl Iterator<Item = &AllowedRegions> {
        let tenants = self.by_key.values();
        tenants.map(|tenant| &tenant.allowed_regions)
    }

    pub fn find_by_key(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }
}
