//! The resources that leases protect.

use super::Term;
use crate::follow::TableView;
use futures_util::future::BoxFuture;
use sloetrail_batch::BatchHeader;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::{AllowedRegions, RegionName, ServiceName};
use std::collections::BTreeSet;

/// Begins the names of leases that protect no batches. No service name starts with it.
const NO_SERVICE_PREFIX: char = '*';

/// A resource owned by one node at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LeaseResource {
    Batches(BatchSet),
    /// The reports of tenants' usage.
    UsageReports,
}

impl LeaseResource {
    /// Returns the name used in row keys, log lines and metrics.
    pub(crate) fn name(&self) -> &str {
        match self {
            LeaseResource::Batches(set) => &set.name,
            LeaseResource::UsageReports => "*usage-reports",
        }
    }

    /// Returns the regions whose nodes compete for the lease.
    pub(crate) fn regions(&self) -> AllowedRegions {
        match self {
            LeaseResource::Batches(set) => set.regions.clone(),
            LeaseResource::UsageReports => AllowedRegions::everywhere(),
        }
    }
}

/// The batches of a service that are bound to the same regions.
///
/// Invariant: the name is derived from the service and the regions. It is the service's name
/// for batches without a region bound. No name of a service or region contains `@` or `+`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct BatchSet {
    service: ServiceName,
    regions: AllowedRegions,
    name: String,
}

impl BatchSet {
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

    /// Returns the set of the batches of a service that are not bound to regions.
    pub(crate) fn unbound(service: ServiceName) -> Self {
        Self::new(service, AllowedRegions::everywhere())
    }

    /// Parses the name of a lease. None if the lease protects something else than batches.
    pub(crate) fn from_lease_name(name: &str) -> Option<Self> {
        if name.starts_with(NO_SERVICE_PREFIX) {
            return None;
        }
        let (service, regions) = match name.split_once('@') {
            Some((service, regions)) => {
                let regions = regions.split('+').map(RegionName::from);
                (service, AllowedRegions::only(regions))
            }
            None => (name, AllowedRegions::everywhere()),
        };
        Some(Self::new(ServiceName::from(service), regions))
    }

    /// Returns the set of a batch.
    pub(crate) fn of_batch(header: &BatchHeader) -> Self {
        Self::new(header.service.clone(), header.allowed_regions.clone())
    }

    /// Returns the sets that need an owner under a configuration: those of all batches that it
    /// allows, and the unbound set of each model service, whose owner orders weight versions.
    pub(crate) fn configured(configuration: &ServingConfiguration) -> BTreeSet<Self> {
        let services = configuration.rollout_services().into_iter();
        let of_batches = services.flat_map(|service| {
            let regions = configuration.batch_regions(&service).into_iter();
            regions.map(move |regions| Self::new(service.clone(), regions))
        });
        let services = configuration.services.values();
        let with_models = services.filter(|service| service.model.is_some());
        let of_engines = with_models.map(|service| Self::unbound(service.name.clone()));
        of_batches.chain(of_engines).collect()
    }

    /// Returns whether a batch belongs to this set.
    pub(crate) fn holds(&self, header: &BatchHeader) -> bool {
        header.service == self.service && header.allowed_regions == self.regions
    }

    /// The name of the lease.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The regions in which the batches may be stored and run.
    pub(crate) fn regions(&self) -> &AllowedRegions {
        &self.regions
    }

    /// Returns whether the owner of this set controls the engines: their weight versions and
    /// their number. Only the owner of the unbound set does.
    pub(crate) fn controls_engine_count(&self) -> bool {
        self.regions.is_everywhere()
    }
}

/// A task that the holder of a lease runs.
pub(crate) trait LeaseTask: Send + Sync {
    /// Runs until the term has ended, or stops in an orderly way when the term is being
    /// released.
    fn run(&self, term: Term) -> BoxFuture<'static, ()>;

    /// Returns whether the lease is created if it does not exist.
    fn needs_lease(&self, _leases: &TableView) -> bool {
        true
    }

    /// Returns whether the task depends on prompt updates of back ends, so that the directory
    /// is polled at its minimum interval.
    fn uses_min_poll_interval(&self) -> bool {
        false
    }
}

#[cfg(test)]
mod tests;
