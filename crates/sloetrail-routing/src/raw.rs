//! JSON form of a serving configuration.
//!
//! Unknown fields are ignored, so that a configuration of a newer writer can be read.

use serde::Deserialize;
use sloetrail_types::bounded::{optional_whole_number, whole_number};
use std::collections::BTreeMap;

/// A complete configuration. It does not implement `Debug`, which would expose API keys.
#[derive(Clone, Deserialize)]
pub struct RawConfiguration {
    /// Increases with each configuration, not necessarily by one.
    pub version: u64,
    #[serde(default)]
    pub routes: Vec<RawRoute>,
    #[serde(default)]
    pub services: Vec<RawService>,
    #[serde(default)]
    pub limits: RawLimits,
    /// If absent, callers need no key.
    pub tenants: Option<Vec<RawTenant>>,
}

/// A tenant. It does not implement `Debug`, which would expose API keys.
#[derive(Clone, Deserialize)]
pub struct RawTenant {
    pub name: String,
    #[serde(default)]
    pub api_keys: Vec<String>,
    /// Takes precedence over the priority of the route; zero is the most urgent.
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub priority: Option<u64>,
    /// Regions that may serve the tenant's requests; absent or empty means all.
    #[serde(default)]
    pub allowed_regions: Option<Vec<String>>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct RawRoute {
    /// Defaults to the host and path prefix.
    #[serde(default)]
    pub name: String,
    /// `Host` of the requests that the route matches.
    pub host: String,
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent`, `stream` or `rollout`.
    pub kind: String,
    /// Maximum time that a request may be pending, in milliseconds.
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub timeout_ms: Option<u64>,
    /// Target latency of an answer, in milliseconds.
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub target_latency_ms: Option<u64>,
    /// Zero is the most urgent.
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub priority: Option<u64>,
    /// The only service of the route. Ignored if `weighted_backends` is set.
    pub service: Option<String>,
    /// The services of the route with their shares.
    pub weighted_backends: Option<Vec<RawWeightedService>>,
    /// Maximum number of back ends that one request may be sent to.
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub max_attempts: Option<u64>,
    /// Whether an interrupted answer may be resumed at another back end.
    #[serde(default)]
    pub resumable: bool,
    /// Whether a sample must be generated with a single weight version.
    #[serde(default)]
    pub single_version: bool,
    /// Target time from the submission of a batch to its completion, in milliseconds.
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub run_target_ms: Option<u64>,
    /// Time after submission from which an item may be abandoned, in seconds.
    pub retain_s: Option<f64>,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
    /// Regions that may serve the route's requests; absent or empty means all.
    #[serde(default)]
    pub allowed_regions: Option<Vec<String>>,
}

/// A service and its share of a route.
#[derive(Clone, Debug, Deserialize)]
pub struct RawWeightedService {
    pub service: String,
    /// Relative to the weights of the route's other services.
    pub weight: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct RawService {
    pub name: String,
    /// Maximum number of connections that one back end accepts from all nodes together.
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub max_conns: Option<u64>,
    /// Present if the back ends are model engines.
    pub engine: Option<RawEngine>,
    /// Present if the number of back ends may be scaled.
    pub scaling: Option<RawScaling>,
    /// How long a back end is cold after its start, in seconds.
    #[serde(default)]
    pub cold_s: Option<f64>,
    /// Requests per second that a cold back end sustains from all nodes together; absent or
    /// zero means as many as a warm one.
    #[serde(default)]
    pub cold_per_s: Option<f64>,
}

/// Bounds on the number of back ends in each zone.
#[derive(Clone, Debug, Deserialize)]
pub struct RawScaling {
    /// Minimum number per zone.
    #[serde(default, deserialize_with = "whole_number")]
    pub min: u64,
    /// Maximum number per zone.
    #[serde(deserialize_with = "whole_number")]
    pub max: u64,
    /// Time that a back end takes to start, in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Relative price of a back end by zone.
    #[serde(default)]
    pub zone_prices: BTreeMap<String, f64>,
}

/// Properties of the engines of a model service.
#[derive(Clone, Debug, Deserialize)]
pub struct RawEngine {
    /// Requests that one engine runs concurrently.
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub slots: Option<u64>,
    /// Models that the engines have loaded.
    #[serde(default)]
    pub models: Vec<RawModel>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct RawModel {
    pub name: String,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct RawLimits {
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub max_header_bytes: Option<u64>,
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub max_body_bytes: Option<u64>,
    /// Maximum time to receive the header of a request, in milliseconds.
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub header_timeout_ms: Option<u64>,
    /// Maximum time that a connection may be idle, in milliseconds.
    #[serde(default, deserialize_with = "optional_whole_number")]
    pub idle_timeout_ms: Option<u64>,
}
