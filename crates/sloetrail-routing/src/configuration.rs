//! The typed serving configuration.

use crate::error::{BadPrefixSnafu, BadWeightsSnafu, NoServiceSnafu, UnknownKindSnafu};
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
const DEFAULT_CONNECTIONS: usize = 100;
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
const DEFAULT_BODY_BYTES: usize = 32 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A route's name.
pub type RouteName = String;

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They may run more than once.
    Idempotent,
    /// They run at most once.
    NonIdempotent,
    /// The answer is a series of events.
    Stream,
    /// Batches of items that run later.
    Rollout,
}

/// A service and its share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the others.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The `Host` that it serves.
    pub host: String,
    /// The beginning of the paths that it serves; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// The longest that a request may be held.
    pub timeout: Duration,
    /// The time within which an answer is wanted.
    pub latency_target: Duration,
    /// The rank; zero is the most urgent.
    pub priority: u8,
    /// The services, at least one.
    pub services: Vec<WeightedService>,
    /// The most back ends that one request may be sent to.
    pub max_attempts: usize,
    /// Whether a broken answer may be taken up at another back end.
    pub resumable: bool,
    /// Whether a sample must come from one version of the weights.
    pub single_version: bool,
    /// How long after its submission a batch is wanted whole.
    pub run_target: Duration,
    /// How long after its submission an item may be given up.
    pub retention: Duration,
    /// Whether callers need no key.
    pub is_public: bool,
    /// The regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// What is known of a model service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelService {
    /// Requests that one engine runs at a time.
    pub slots: usize,
    /// The models that the engines hold.
    pub models: Vec<String>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingService {
    /// Its name.
    pub name: ServiceName,
    /// The most connections that one back end accepts from all nodes together.
    pub max_connections: usize,
    /// Present if the back ends are model engines.
    pub model: Option<ModelService>,
    /// Present if the number of back ends may be ordered.
    pub scaling: Option<ScalingBounds>,
    /// What a back end bears while it is cold.
    pub cold: ColdBounds,
}

/// What a back end bears for some time after its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdBounds {
    /// How long it is cold after a start.
    pub lasts: Duration,
    /// Requests a second from all nodes together; nothing means as many as a warm one.
    pub per_second: Option<f64>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a request's head may take.
    pub header_timeout: Duration,
    /// How long a connection may rest.
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
            header_bytes: raw.max_header_bytes.unwrap_or(DEFAULT_HEADER_BYTES),
            body_bytes: raw.max_body_bytes.unwrap_or(DEFAULT_BODY_BYTES),
            header_timeout: milliseconds(raw.header_timeout_ms, DEFAULT_HEADER_TIMEOUT),
            idle_timeout: milliseconds(raw.idle_timeout_ms, DEFAULT_IDLE_TIMEOUT),
        }
    }
}

/// A whole configuration, checked.
#[derive(Clone, Debug)]
pub struct ServingConfiguration {
    /// Grows with each configuration.
    pub revision: Revision,
    /// The routes, by host and path.
    pub routes: RouteTable,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServingService>,
    /// Bounds on what callers may send.
    pub limits: RequestLimits,
    /// Who may call; nothing means anybody.
    pub tenants: Option<Tenants>,
}

impl ServingConfiguration {
    /// The routes and tenants that have no region in common.
    pub fn exclusions(&self) -> impl Iterator<Item = (&Route, &Tenant)> {
        let tenants = self.tenants.as_ref().map(Tenants::by_name);
        let tenants: Vec<&Tenant> = tenants.unwrap_or_default().into_values().collect();
        self.routes.iter().flat_map(move |route| {
            let excluded = tenants.clone().into_iter();
            excluded
                .filter(|tenant| {
                    let common = route.allowed_regions.and(&tenant.allowed_regions);
                    common.is_nowhere()
                })
                .map(move |tenant| (&**route, tenant))
        })
    }

    /// Reads and checks the JSON form.
    pub fn parse(json: &[u8]) -> Result<Self, ConfigurationError> {
        let raw: RawConfiguration =
            serde_json::from_slice(json).map_err(|error| ConfigurationError::unreadable(&error))?;
        Self::check(raw)
    }

    /// Checks a configuration that has been read.
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

    /// What is known of how back ends of a service start.
    pub fn cold_bounds(&self, service: &ServiceName) -> ColdBounds {
        let known = self.services.get(service);
        known.map(|service| service.cold).unwrap_or_default()
    }

    /// True if live requests go to a service: a route of another kind than batches does.
    pub fn has_live_requests(&self, service: &ServiceName) -> bool {
        let mut routes = self.routes.iter();
        routes.any(|route| route.leads_to(service) && route.kind != RouteKind::Rollout)
    }

    /// The services whose batches need an owner: those that a rollout route names.
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

    /// The sets of regions to which batches of a service may be bound, each of which needs
    /// an owner. Everywhere is among them: its owner is in charge of the engines. Empty if
    /// the service runs no batches.
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
        routes.filter(|route| route.leads_to(service) && route.kind == RouteKind::Rollout)
    }

    /// The regions in which requests of a route may be served, for each caller that there
    /// can be.
    fn regions_by_caller(&self, route: &Route) -> Vec<AllowedRegions> {
        let own = &route.allowed_regions;
        let Some(tenants) = &self.tenants else {
            return vec![own.clone()];
        };
        let of_tenants = tenants.allowed_regions().map(|regions| own.and(regions));
        let of_nobody = route.is_public.then(|| own.clone());
        of_tenants.chain(of_nobody).collect()
    }

    /// The restrictions that reward calls may bring.
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
    /// True if requests of the route may go to a service.
    pub fn leads_to(&self, service: &ServiceName) -> bool {
        self.services.iter().any(|part| part.service == *service)
    }

    /// How urgent a caller's requests are: the rank of a tenant goes before the route's.
    pub fn urgency(&self, tenant: Option<&Tenant>) -> Urgency {
        let rank = tenant.and_then(|tenant| tenant.priority);
        Urgency::new(rank, self.priority)
    }

    /// True if reward calls may go by it: those that are answered at once and as a whole.
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
            BadPrefixSnafu { route, prefix }
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
            allowed_regions: allowed_regions(raw.allowed_regions),
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
        let sound = parts
            .iter()
            .all(|part| part.weight.is_finite() && part.weight >= 0.0);
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        ensure!(sound && total > 0.0, BadWeightsSnafu { route });
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
            max_connections: raw.max_conns.unwrap_or(DEFAULT_CONNECTIONS),
            model,
            scaling: raw.scaling.map(scaling_bounds),
            cold: cold_bounds(raw.cold_s, raw.cold_per_s),
        }
    }
}

/// A list that names no region binds to none.
pub(crate) fn allowed_regions(names: Option<Vec<String>>) -> AllowedRegions {
    match names.filter(|names| !names.is_empty()) {
        Some(names) => AllowedRegions::only(names.into_iter().map(RegionName::new)),
        None => AllowedRegions::everywhere(),
    }
}

/// Figures that cannot be used are left out: no time, no bound.
fn cold_bounds(seconds: Option<f64>, per_second: Option<f64>) -> ColdBounds {
    let lasts = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    ColdBounds {
        lasts: lasts.unwrap_or_default(),
        per_second: per_second.filter(|rate| rate.is_finite() && *rate > 0.0),
    }
}

/// Figures that cannot be used are left out: a start of no length, a price like the others'.
fn scaling_bounds(raw: RawScaling) -> ScalingBounds {
    let prices = raw.zone_prices.into_iter();
    let usable = prices.filter(|(_, price)| price.is_finite() && *price >= 0.0);
    ScalingBounds {
        min_per_zone: raw.min,
        max_per_zone: raw.max.max(raw.min),
        boot_time: Duration::try_from_secs_f64(raw.boot_s).unwrap_or_default(),
        zone_prices: usable
            .map(|(zone, price)| (ZoneName::new(zone), price))
            .collect(),
    }
}
