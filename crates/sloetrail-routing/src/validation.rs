//! Validation of the parts of a raw configuration, and the defaults of absent fields.
//!
//! Numbers above their maximum are held at it, so that a configuration comes into force; negative
//! times in seconds, rates and prices count as absent. Both are recorded as held numbers.

use crate::error::{InvalidPrefixSnafu, InvalidWeightsSnafu, NoServiceSnafu, UnknownKindSnafu};
use crate::raw::{RawLimits, RawRoute, RawScaling, RawService, RawTenant};
use crate::{
    ColdBounds, ConfigurationError, ModelService, RequestLimits, Route, RouteKind, ServingService,
    Tenants, WeightedService,
};
use sloetrail_scaling::ScalingBounds;
use sloetrail_types::bounded::{HeldNumber, MAX_RATE, MAX_RATIO, NumberCheck};
use sloetrail_types::{AllowedRegions, RegionName, ServiceName, ZoneName};
use snafu::ensure;
use std::fmt::Display;
use std::time::Duration;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_millis(500);
const DEFAULT_RUN_TARGET: Duration = Duration::from_secs(60);
const DEFAULT_RETENTION: Duration = Duration::from_secs(600);
const DEFAULT_PRIORITY: u8 = 5;
const DEFAULT_MAX_ATTEMPTS: u64 = 1;
const DEFAULT_SLOTS: u64 = 8;
const DEFAULT_MAX_CONNECTIONS: u64 = 100;
const DEFAULT_MAX_HEADER_BYTES: u64 = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Validates the parts of one configuration.
#[derive(Debug, Default)]
pub(crate) struct Validation {
    numbers: NumberCheck,
}

impl Validation {
    pub(crate) fn into_held_numbers(self) -> Vec<HeldNumber> {
        self.numbers.into_held()
    }

    pub(crate) fn route(&mut self, raw: RawRoute) -> Result<Route, ConfigurationError> {
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
        let services = self.weighted_services(&route, &raw)?;
        let field = |name: &str| format!("route {route}: {name}");
        let timeout = self.millis(field("timeout_ms"), raw.timeout_ms);
        let latency_target = self.millis(field("target_latency_ms"), raw.target_latency_ms);
        let run_target = self.millis(field("run_target_ms"), raw.run_target_ms);
        let retention = self.seconds(field("retain_s"), raw.retain_s);
        let max_attempts = raw.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS);
        let max_attempts = self.numbers.count(field("max_attempts"), max_attempts, 1);
        let priority = self.priority(field("priority"), raw.priority);
        Ok(Route {
            name: route,
            host: raw.host.to_ascii_lowercase(),
            path_prefix: raw.path_prefix,
            kind,
            timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
            latency_target: latency_target.unwrap_or(DEFAULT_LATENCY_TARGET),
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
            services,
            max_attempts,
            resumable: raw.resumable,
            single_version: raw.single_version,
            run_target: run_target.unwrap_or(DEFAULT_RUN_TARGET),
            retention: retention.unwrap_or(DEFAULT_RETENTION),
            is_public: raw.public,
            allowed_regions: parse_allowed_regions(raw.allowed_regions),
        })
    }

    fn weighted_services(
        &mut self,
        route: &str,
        raw: &RawRoute,
    ) -> Result<Vec<WeightedService>, ConfigurationError> {
        let parts = raw.weighted_backends.as_deref().unwrap_or_default();
        if !parts.is_empty() {
            let mut weighted = Vec::new();
            for part in parts {
                let field = format!("route {route}: weight of {}", part.service);
                let weight = self.numbers.at_most(field, part.weight, MAX_RATIO);
                let Some(weight) = weight else {
                    return InvalidWeightsSnafu { route }.fail();
                };
                weighted.push(WeightedService {
                    service: ServiceName::new(part.service.clone()),
                    weight,
                });
            }
            let total: f64 = weighted.iter().map(|part| part.weight).sum();
            ensure!(total > 0.0, InvalidWeightsSnafu { route });
            return Ok(weighted);
        }
        let Some(service) = &raw.service else {
            return NoServiceSnafu { route }.fail();
        };
        Ok(vec![WeightedService {
            service: ServiceName::new(service.clone()),
            weight: 1.0,
        }])
    }

    pub(crate) fn service(&mut self, raw: RawService) -> ServingService {
        let name = &raw.name;
        let field = |part: &str| format!("service {name}: {part}");
        let model = raw.engine.map(|engine| {
            let slots = engine.slots.unwrap_or(DEFAULT_SLOTS);
            ModelService {
                slots: self.numbers.count(field("engine.slots"), slots, 1),
                models: engine.models.into_iter().map(|model| model.name).collect(),
            }
        });
        let max_connections = raw.max_conns.unwrap_or(DEFAULT_MAX_CONNECTIONS);
        let max_connections = self.numbers.count(field("max_conns"), max_connections, 0);
        let cold_duration = self.seconds(field("cold_s"), raw.cold_s);
        let cold_rate = raw
            .cold_per_s
            .and_then(|rate| self.numbers.at_most(field("cold_per_s"), rate, MAX_RATE));
        let scaling = raw.scaling.map(|scaling| self.scaling(name, scaling));
        ServingService {
            name: ServiceName::new(raw.name),
            max_connections,
            model,
            scaling,
            cold: ColdBounds {
                cold_duration: cold_duration.unwrap_or_default(),
                per_second: cold_rate.filter(|rate| *rate > 0.0),
            },
        }
    }

    fn scaling(&mut self, service: &str, raw: RawScaling) -> ScalingBounds {
        let field = |part: &str| format!("service {service}: scaling.{part}");
        let min_per_zone = self.numbers.count(field("min"), raw.min, 0);
        let max_per_zone = self.numbers.count(field("max"), raw.max, 0);
        let boot_time = self.seconds(field("boot_s"), Some(raw.boot_s));
        let prices = raw.zone_prices.into_iter();
        let prices = prices.filter_map(|(zone, price)| {
            let field = field(&format!("zone_prices.{zone}"));
            let price = self.numbers.at_most(field, price, MAX_RATIO)?;
            Some((ZoneName::new(zone), price))
        });
        ScalingBounds {
            min_per_zone,
            max_per_zone: max_per_zone.max(min_per_zone),
            boot_time: boot_time.unwrap_or_default(),
            zone_prices: prices.collect(),
        }
    }

    pub(crate) fn limits(&mut self, raw: RawLimits) -> RequestLimits {
        let header_bytes = raw.max_header_bytes.unwrap_or(DEFAULT_MAX_HEADER_BYTES);
        let body_bytes = raw.max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES);
        let header_timeout = self.millis("limits.header_timeout_ms", raw.header_timeout_ms);
        let idle_timeout = self.millis("limits.idle_timeout_ms", raw.idle_timeout_ms);
        RequestLimits {
            header_bytes: self.numbers.bytes("limits.max_header_bytes", header_bytes),
            body_bytes: self.numbers.bytes("limits.max_body_bytes", body_bytes),
            header_timeout: header_timeout.unwrap_or(DEFAULT_HEADER_TIMEOUT),
            idle_timeout: idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
        }
    }

    pub(crate) fn tenants(
        &mut self,
        tenants: Vec<RawTenant>,
    ) -> Result<Tenants, ConfigurationError> {
        Tenants::check(tenants, |tenant, priority| {
            self.priority(format!("tenant {tenant}: priority"), priority)
        })
    }

    fn priority(&mut self, field: impl Display, priority: Option<u64>) -> Option<u8> {
        priority.map(|priority| self.numbers.priority(field, priority))
    }

    fn millis(&mut self, field: impl Display, millis: Option<u64>) -> Option<Duration> {
        millis.map(|millis| self.numbers.millis(field, millis))
    }

    fn seconds(&mut self, field: impl Display, seconds: Option<f64>) -> Option<Duration> {
        seconds.and_then(|seconds| self.numbers.seconds(field, seconds))
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

/// An empty list allows all regions, as a missing one does.
pub(crate) fn parse_allowed_regions(names: Option<Vec<String>>) -> AllowedRegions {
    match names.filter(|names| !names.is_empty()) {
        Some(names) => AllowedRegions::only(names.into_iter().map(RegionName::new)),
        None => AllowedRegions::everywhere(),
    }
}
