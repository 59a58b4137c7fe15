//! What a lease is for.

use super::Term;
use futures_util::future::BoxFuture;
use sloetrail_batch::BatchHeader;
use sloetrail_types::{AllowedRegions, RegionName, ServiceName};

/// What a lease is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LeaseResource {
    /// Batches of a service.
    Batches(BatchSet),
    /// The reports of what tenants use.
    UsageReports,
}

impl LeaseResource {
    /// The name in the keys of rows, in log lines and in metrics. No service has a name
    /// that begins with a star.
    pub(crate) fn name(&self) -> &str {
        match self {
            LeaseResource::Batches(set) => &set.name,
            LeaseResource::UsageReports => "*usage-reports",
        }
    }

    /// The regions whose nodes compete for the lease.
    pub(crate) fn regions(&self) -> AllowedRegions {
        match self {
            LeaseResource::Batches(set) => set.regions.clone(),
            LeaseResource::UsageReports => AllowedRegions::everywhere(),
        }
    }
}

/// The batches of a service that are bound to the same regions.
///
/// Invariant: the name follows from the service and the regions. It is the service's for
/// the batches that may be anywhere; no name of a service or region holds an `@` or a `+`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct BatchSet {
    service: ServiceName,
    regions: AllowedRegions,
    name: String,
}

impl BatchSet {
    /// The batches of a service that are bound to these regions.
    pub(crate) fn new(service: ServiceName, regions: AllowedRegions) -> Self {
        let name = match regions.is_everywhere() {
            true => service.to_string(),
            false => format!("{service}@{regions}"),
        };
        Self {
            service,
            regions,
            name,
        }
    }

    /// The batches that a lease of this name is for; nothing unless they are bound.
    pub(crate) fn from_lease_name(name: &str) -> Option<Self> {
        let (service, regions) = name.split_once('@')?;
        let regions = AllowedRegions::only(regions.split('+').map(RegionName::from));
        Some(Self::new(ServiceName::from(service), regions))
    }

    /// True if a batch is one of them.
    pub(crate) fn holds(&self, header: &BatchHeader) -> bool {
        header.service == self.service && header.allowed_regions == self.regions
    }

    /// The service that runs them.
    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The regions in which they may be kept and run.
    pub(crate) fn regions(&self) -> &AllowedRegions {
        &self.regions
    }

    /// True for the batches that may be anywhere. Their owner alone is in charge of the
    /// engines: it orders weights and numbers.
    pub(crate) fn controls_engine_count(&self) -> bool {
        self.regions.is_everywhere()
    }
}

/// What the holder of a lease does.
pub(crate) trait LeaseTask: Send + Sync {
    /// Works until the term is over, or puts the work down in an orderly way when it is
    /// told to.
    fn run(&self, term: Term) -> BoxFuture<'static, ()>;

    /// True if the work waits for news of back ends, which the directory is then asked
    /// for as often as in a small fleet.
    fn uses_min_poll_interval(&self) -> bool {
        false
    }
}

#[cfg(test)]
mod tests;
