//! Validated serving configuration.

use crate::error::{InvalidPrefixSnafu, InvalidWeightsSnafu, NoServiceSnafu, UnknownKindSnafu};
use crate::raw::{RawConfiguration, RawLimits, RawRoute, RawScaling, RawService};
use crate::{ConfigurationError, RouteTable, Tenant, Tenants};
use sloetrail_scaling::ScalingBounds;
use sloetrail_types::{AllowedRegions, RegionName, Revision, ServiceName, Urgency, ZoneName};
use snafu::ensure;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_millis(500);
const DEFAULT_RUN_TARGET: Duration = Duration::from_secs(60);
const DEFAULT_RETENTION: Duration = Duration::from_secs(600);
const DEFAULT_PRIORITY: u8 = 5;
const DEFAULT_SLOTS: usize = 8;
const DEFAULT_MAX_CONNECTIONS: usize = 100;
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

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
        Self::from(RawLimits::default())
    }
}

impl From<RawLimits> for RequestLimits {
    fn from(raw: RawLimits) -> Self {
        let milliseconds =
            |value: Option<u64>, default: Duration| value.map_or(default, Duration::from_millis);
        Self {
            header_bytes: raw.max_header_bytes.unwrap_or(DEFAULT_MAX_HEADER_BYTES),
            body_bytes: raw.max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES),
            header_timeout: milliseconds(raw.header_timeout_ms, DEFAULT_HEADER_TIMEOUT),
            idle_timeout: milliseconds(raw.idle_timeout_ms, DEFAULT_IDLE_TIMEOUT),
        }
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
    pub fn parse(json: &[u8]) -> Result<Self, ConfigurationError> {
        let raw: RawConfiguration =
            serde_json::from_slice(json).map_err(|error| ConfigurationError::unreadable(&error))?;
        Self::check(raw)
    }

    /// Validates a parsed configuration.
    pub fn check(raw: RawConfiguration) -> Result<Self, ConfigurationError> {
        let routes: Result<Vec<Arc<Route>>, ConfigurationError> = raw
            .routes
            .into_iter()
            .map(|route| Route::check(route).map(Arc::new))
            .collect();
        let services = raw.services.into_iter().map(ServingService::from);
        Ok(Self {
            revision: Revision(raw.version),
            routes: RouteTable::new(routes?),
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
            limits: RequestLimits::from(raw.limits),
            tenants: raw.tenants.map(Tenants::check).transpose()?,
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

    fn check(raw: RawRoute) -> Result<Self, ConfigurationError> {
        let route = match raw.name.is_empty() {
            true => format!("{}{}", raw.host, raw.path_prefix),
            false => raw.name.clone(),
        };
        let prefix = &raw.path_prefix;
        ensure!(
            prefix.starts_with('/') && prefix.ends_with('/'),
            InvalidPrefixSnafu { route, prefix }
        );
        let kind = parse_kind(&route, &raw.kind)?;
        let services = weighted_services(&route, &raw)?;
        let milliseconds =
            |value: Option<u64>, default: Duration| value.map_or(default, Duration::from_millis);
        Ok(Self {
            name: route,
            host: raw.host.to_ascii_lowercase(),
            path_prefix: raw.path_prefix,
            kind,
            timeout: milliseconds(raw.timeout_ms, DEFAULT_TIMEOUT),
            latency_target: milliseconds(raw.target_latency_ms, DEFAULT_LATENCY_TARGET),
            priority: raw.priority.unwrap_or(DEFAULT_PRIORITY),
            services,
            max_attempts: raw.max_attempts.unwrap_or(1).max(1),
            resumable: raw.resumable,
            single_version: raw.single_version,
            run_target: milliseconds(raw.run_target_ms, DEFAULT_RUN_TARGET),
            retention: raw
                .retain_s
                .filter(|seconds| seconds.is_finite() && *seconds >= 0.0)
                .map_or(DEFAULT_RETENTION, Duration::from_secs_f64),
            is_public: raw.public,
            allowed_regions: parse_allowed_regions(raw.allowed_regions),
        })
    }
}

fn parse_kind(route: &str, kind: &str) -> Result<RouteKind, ConfigurationError> {
    match kind {
        "idempotent" => Ok(RouteKind::Idempotent),
        "non_idempotent" => Ok(RouteKind::NonIdempotent),
        "stream" => Ok(RouteKind::Stream),
        "rollout" => Ok(RouteKind::Rollout),
        kind => UnknownKindSnafu { route, kind }.fail(),
    }
}

fn weighted_services(
    route: &str,
    raw: &RawRoute,
) -> Result<Vec<WeightedService>, ConfigurationError> {
    if let Some(parts) = raw
        .weighted_backends
        .as_ref()
        .filter(|parts| !parts.is_empty())
    {
        let valid = parts
            .iter()
            .all(|part| part.weight.is_finite() && part.weight >= 0.0);
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        ensure!(valid && total > 0.0, InvalidWeightsSnafu { route });
        let weighted = parts.iter().map(|part| WeightedService {
            service: ServiceName::new(part.service.clone()),
            weight: part.weight,
        });
        return Ok(weighted.collect());
    }
    let Some(service) = &raw.service else {
        return NoServiceSnafu { route }.fail();
    };
    Ok(vec![WeightedService {
        service: ServiceName::new(service.clone()),
        weight: 1.0,
    }])
}

impl From<RawService> for ServingService {
    fn from(raw: RawService) -> Self {
        let model = raw.engine.map(|engine| ModelService {
            slots: engine.slots.unwrap_or(DEFAULT_SLOTS).max(1),
            models: engine.models.into_iter().map(|model| model.name).collect(),
        });
        Self {
            name: ServiceName::new(raw.name),
            max_connections: raw.max_conns.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            model,
            scaling: raw.scaling.map(scaling_bounds),
            cold: cold_bounds(raw.cold_s, raw.cold_per_s),
        }
    }
}

/// An empty list allows all regions, as a missing one does.
pub(crate) fn parse_allowed_regions(names: Option<Vec<String>>) -> AllowedRegions {
    match names.filter(|names| !names.is_empty()) {
        Some(names) => AllowedRegions::only(names.into_iter().map(RegionName::new)),
        None => AllowedRegions::everywhere(),
    }
}

/// Replaces an invalid duration by zero and an invalid rate by none.
fn cold_bounds(seconds: Option<f64>, per_second: Option<f64>) -> ColdBounds {
    let cold_duration = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    ColdBounds {
        cold_duration: cold_duration.unwrap_or_default(),
        per_second: per_second.filter(|rate| rate.is_finite() && *rate > 0.0),
    }
}

/// Replaces an invalid boot time by zero and omits invalid prices.
fn scaling_bounds(raw: RawScaling) -> ScalingBounds {
    let prices = raw.zone_prices.into_iter();
    let valid = prices.filter(|(_, price)| price.is_finite() && *price >= 0.0);
    ScalingBounds {
        least: raw.min,
        most: raw.max.max(raw.min),
        boot_time: Duration::try_from_secs_f64(raw.boot_s).unwrap_or_default(),
        zone_prices: valid
            .map(|(zone, price)| (ZoneName::new(zone), price))
            .collect(),
    }
}
