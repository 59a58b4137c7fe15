//! Tenants and the keys by which their callers are known.
//!
//! A key is a secret: [`ApiKey`] does not show it, and no error of this module holds one.

use crate::ConfigurationError;
use crate::configuration::allowed_regions as regions_named;
use crate::error::{DuplicateKeySnafu, DuplicateTenantSnafu, ShortKeySnafu, UnnamedTenantSnafu};
use crate::raw::RawTenant;
use sloetrail_types::{AllowedRegions, TenantName};
use snafu::ensure;
use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// Shorter keys can be guessed. The operators' have twenty bytes.
const KEY_BYTES_LEAST: usize = 8;

/// A secret by which a caller shows which tenant it belongs to.
#[derive(Clone, PartialEq, Eq, Hash)]
struct ApiKey(String);

/// A key is looked up as it was sent, without a copy.
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

/// Who owns the requests that carry one of its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Its rank, which goes before that of the route; zero is the most urgent. Absent
    /// leaves the rank to the route.
    pub priority: Option<u8>,
    /// The regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// The tenants of a configuration, by their keys.
///
/// Invariant: each key belongs to one tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    by_key: HashMap<ApiKey, Arc<Tenant>>,
}

impl Tenants {
    /// Checks tenants that have been read.
    ///
    /// # Errors
    ///
    /// If two tenants have one name or one key, a name is empty or a key short.
    pub(crate) fn check(raw: Vec<RawTenant>) -> Result<Self, ConfigurationError> {
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
            let tenant = Arc::new(Tenant {
                name: TenantName::new(name),
                priority,
                allowed_regions: regions_named(allowed_regions),
            });
            for key in api_keys {
                let (tenant_name, least) = (tenant.name.as_str(), KEY_BYTES_LEAST);
                ensure!(
                    key.len() >= least,
                    ShortKeySnafu {
                        tenant: tenant_name,
                        least
                    }
                );
                let before = by_key.insert(ApiKey(key), Arc::clone(&tenant));
                let other = before.filter(|before| before.name != tenant.name);
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

    /// Each tenant that has a key, by its name.
    pub(crate) fn by_name(&self) -> BTreeMap<&TenantName, &Tenant> {
        let tenants = self.by_key.values();
        tenants.map(|tenant| (&tenant.name, &**tenant)).collect()
    }

    /// The regions in which requests may be served, by tenant; a tenant with several keys
    /// comes several times.
    pub(crate) fn allowed_regions(&self) -> impl Iterator<Item = &AllowedRegions> {
        let tenants = self.by_key.values();
        tenants.map(|tenant| &tenant.allowed_regions)
    }

    /// The tenant that a key belongs to.
    pub fn find_by_key(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }
}
