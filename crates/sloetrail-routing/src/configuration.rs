//! Validated serving configuration.

use crate::raw::{RawConfiguration, RawLimits};
use crate::validation::Validation;
use crate::{ConfigurationError, RouteTable, Tenant, Tenants};
use sloetrail_scaling::ScalingBounds;
use sloetrail_types::bounded::HeldNumber;
use sloetrail_types::{AllowedRegions, Revision, ServiceName, Urgency};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub type RouteName = String;

/// How the requests of a route may be run and answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream,
    /// Requests submit batches of items that run asynchronously.
    Rollout,
}

/// A service and its share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    pub service: ServiceName,
    /// Relative to the weights of the route's other services.
    pub weight: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: RouteName,
    /// `Host` of the requests that the route matches, in lower case.
    pub host: String,
    /// Prefix of the paths that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// Maximum time that a request may be pending.
    pub timeout: Duration,
    /// Target latency of an answer.
    pub latency_target: Duration,
    /// Zero is the most urgent.
    pub priority: u8,
    /// Never empty.
    pub services: Vec<WeightedService>,
    /// Maximum number of back ends that one request may be sent to; at least one.
    pub max_attempts: usize,
    /// Whether an interrupted answer may be resumed at another back end.
    pub resumable: bool,
    /// Whether a sample must be generated with a single weight version.
    pub single_version: bool,
    /// Target time from the submission of a batch to its completion.
    pub run_target: Duration,
    /// Time after submission from which an item may be abandoned.
    pub retention: Duration,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Regions that may serve the route's requests.
    pub allowed_regions: AllowedRegions,
}

/// Properties of a model service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelService {
    /// Requests that one engine runs concurrently.
    pub slots: usize,
    /// Models that the engines have loaded.
    pub models: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ServingService {
    pub name: ServiceName,
    /// Maximum number of connections that one back end accepts from all nodes together.
    pub max_connections: usize,
    /// None if the back ends are not model engines.
    pub model: Option<ModelService>,
    /// None if the number of back ends is not scaled.
    pub scaling: Option<ScalingBounds>,
    pub cold: ColdBounds,
}

/// Limits of a back end that has recently started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdBounds {
    /// How long a back end is cold after its start.
    pub cold_duration: Duration,
    /// Requests per second from all nodes together. None if a cold back end sustains as many as
    /// a warm one.
    pub per_second: Option<f64>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request's header.
    pub header_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Maximum time to receive the header of a request.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Validation::default().limits(RawLimits::default())
    }
}

/// A complete, validated configuration.
#[derive(Clone, Debug)]
pub struct ServingConfiguration {
    /// Increases with each configuration.
    pub revision: Revision,
    pub routes: RouteTable,
    pub services: BTreeMap<ServiceName, ServingService>,
    pub limits: RequestLimits,
    /// None if callers need no key.
    pub tenants: Option<Tenants>,
    /// Numbers that were outside their ranges and are not used as written.
    pub held_numbers: Vec<HeldNumber>,
}

impl ServingConfiguration {
    /// Pairs of a route and a tenant that have no allowed region in common.
    pub fn region_conflicts(&self) -> impl Iterator<Item = (&Route, &Tenant)> {
        let tenants = self.tenants.as_ref().map(Tenants::by_name);
        let tenants: Vec<&Tenant> = tenants.unwrap_or_default().into_values().collect();
        self.routes.iter().flat_map(move |route| {
            let conflicting = tenants.clone().into_iter();
            conflicting
                .filter(|tenant| {
                    let common = route.allowed_regions.and(&tenant.allowed_regions);
                    common.is_nowhere()
                })
                .map(move |tenant| (&**route, tenant))
        })
    }

    /// Parses and validates the JSON form.
    ///
    /// # Errors
    ///
    /// Returns an error if the JSON is malformed, a field has the wrong type, or a route or a
    /// tenant is invalid. Numbers above their maximum are held at it, see
    /// [`Self::held_numbers`].
    pub fn parse(json: &[u8]) -> Result<Self, ConfigurationError> {
        let mut deserializer = serde_json::Deserializer::from_slice(json);
        let raw = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| ConfigurationError::unreadable(&error))?;
        deserializer
            .end()
            .map_err(|error| ConfigurationError::malformed(&error))?;
        Self::check(raw)
    }

    /// Validates a parsed configuration, see [`Self::parse`].
    pub fn check(raw: RawConfiguration) -> Result<Self, ConfigurationError> {
        let mut validation = Validation::default();
        let routes: Result<Vec<Arc<Route>>, ConfigurationError> = raw
            .routes
            .into_iter()
            .map(|route| validation.route(route).map(Arc::new))
            .collect();
        let routes = RouteTable::new(routes?);
        let services = raw.services.into_iter();
        let services = services.map(|service| validation.service(service));
        let services = services.map(|service| (service.name.clone(), service));
        let services = services.collect();
        let limits = validation.limits(raw.limits);
        let tenants = raw.tenants.map(|tenants| validation.tenants(tenants));
        Ok(Self {
            revision: Revision(raw.version),
            routes,
            services,
            limits,
            tenants: tenants.transpose()?,
            held_numbers: validation.into_held_numbers(),
        })
    }

    /// Limits of a service's cold back ends. The default if the service is unknown.
    pub fn cold_bounds(&self, service: &ServiceName) -> ColdBounds {
        let known = self.services.get(service);
        known.map(|service| service.cold).unwrap_or_default()
    }

    /// True if a route of another kind than [`RouteKind::Rollout`] leads to a service.
    pub fn has_live_requests(&self, service: &ServiceName) -> bool {
        let mut routes = self.routes.iter();
        routes.any(|route| route.routes_to(service) && route.kind != RouteKind::Rollout)
    }

    /// Names of the services of all rollout routes, sorted. Each of them needs an owner for its
    /// batches.
    pub fn rollout_services(&self) -> Vec<ServiceName> {
        let mut names: Vec<ServiceName> = self
            .routes
            .iter()
            .filter(|route| route.kind == RouteKind::Rollout)
            .flat_map(|route| route.services.iter().map(|part| part.service.clone()))
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// Sets of regions that batches of a service may be restricted to. Each needs an owner.
    ///
    /// Includes [`AllowedRegions::everywhere`], whose owner controls the number of engines.
    /// Empty if the service has no rollout route.
    pub fn batch_regions(&self, service: &ServiceName) -> BTreeSet<AllowedRegions> {
        let mut sets = BTreeSet::new();
        for route in self.rollout_routes(service) {
            sets.extend(self.regions_by_caller(route));
        }
        if sets.is_empty() {
            return sets;
        }
        for reward_regions in self.reward_regions() {
            let narrowed: Vec<_> = sets.iter().map(|set| set.and(reward_regions)).collect();
            sets.extend(narrowed.into_iter().filter(|set| !set.is_nowhere()));
        }
        sets.retain(|set| !set.is_nowhere());
        sets.insert(AllowedRegions::everywhere());
        sets
    }

    fn rollout_routes(&self, service: &ServiceName) -> impl Iterator<Item = &Route> {
        let routes = self.routes.iter().map(|route| &**route);
        routes.filter(|route| route.routes_to(service) && route.kind == RouteKind::Rollout)
    }

    /// Regions that may serve a route's requests, for each possible caller.
    fn regions_by_caller(&self, route: &Route) -> Vec<AllowedRegions> {
        let own = &route.allowed_regions;
        let Some(tenants) = &self.tenants else {
            return vec![own.clone()];
        };
        let of_tenants = tenants.allowed_regions().map(|regions| own.and(regions));
        let without_tenant = route.is_public.then(|| own.clone());
        of_tenants.chain(without_tenant).collect()
    }

    /// Sets of regions that routes restrict reward calls to.
    fn reward_regions(&self) -> BTreeSet<&AllowedRegions> {
        let rewards = self
            .routes
            .iter()
            .filter(|route| route.takes_reward_calls());
        rewards
            .map(|route| &route.allowed_regions)
            .filter(|regions| !regions.is_everywhere())
            .collect()
    }
}

impl Route {
    pub fn routes_to(&self, service: &ServiceName) -> bool {
        self.services.iter().any(|part| part.service == *service)
    }

    /// Urgency of a caller's requests. The priority of the tenant, if it has one, takes
    /// precedence over that of the route.
    pub fn urgency(&self, tenant: Option<&Tenant>) -> Urgency {
        let tenant_priority = tenant.and_then(|tenant| tenant.priority);
        Urgency::new(tenant_priority, self.priority)
    }

    /// True if reward calls may use the route. They need a single, complete answer.
    pub fn takes_reward_calls(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::NonIdempotent)
    }
}
