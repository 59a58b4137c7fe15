//! The JSON form of a serving configuration. Unknown fields are ignored, so that a
//! newer writer can be read.

use serde::Deserialize;
use std::collections::BTreeMap;

/// A whole configuration. It has no `Debug` form, which would show keys.
#[derive(Clone, Deserialize)]
pub struct RawConfiguration {
    /// Grows with each configuration; steps may be uneven.
    pub version: u64,
    /// The routes.
    #[serde(default)]
    pub routes: Vec<RawRoute>,
    /// The services.
    #[serde(default)]
    pub services: Vec<RawService>,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub limits: RawLimits,
    /// Who may call; absent means anybody.
    pub tenants: Option<Vec<RawTenant>>,
}

/// A tenant. It has no `Debug` form, which would show its keys.
#[derive(Clone, Deserialize)]
pub struct RawTenant {
    /// Its name.
    pub name: String,
    /// The keys that its callers show.
    #[serde(default)]
    pub api_keys: Vec<String>,
    /// Its rank, which goes before that of the route; zero is the most urgent.
    pub priority: Option<u8>,
    /// The only regions in which its requests may be served; absent or empty means all.
    #[serde(default)]
    pub allowed_regions: Option<Vec<String>>,
}

/// One route.
#[derive(Clone, Debug, Deserialize)]
pub struct RawRoute {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// The `Host` that it serves.
    pub host: String,
    /// The beginning of the paths that it serves.
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent`, `stream` or `rollout`.
    pub kind: String,
    /// The longest that a request may be held, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The time within which an answer is wanted, in milliseconds.
    pub target_latency_ms: Option<u64>,
    /// The rank; zero is the most urgent.
    pub priority: Option<u8>,
    /// The only service of the route.
    pub service: Option<String>,
    /// The services of the route with their shares.
    pub weighted_backends: Option<Vec<RawWeightedService>>,
    /// The most back ends that one request may be sent to.
    pub max_attempts: Option<usize>,
    /// Whether a broken answer may be taken up at another back end.
    #[serde(default)]
    pub resumable: bool,
    /// Whether a sample must come from one version of the weights.
    #[serde(default)]
    pub single_version: bool,
    /// How long after its submission a batch is wanted whole, in milliseconds.
    pub run_target_ms: Option<u64>,
    /// How long after its submission an item may be given up, in seconds.
    pub retain_s: Option<f64>,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
    /// The only regions in which its requests may be served; absent or empty means all.
    #[serde(default)]
    pub allowed_regions: Option<Vec<String>>,
}

/// A service and its share of a route.
#[derive(Clone, Debug, Deserialize)]
pub struct RawWeightedService {
    /// The service's name.
    pub service: String,
    /// Its share, relative to the others.
    pub weight: f64,
}

/// One service.
#[derive(Clone, Debug, Deserialize)]
pub struct RawService {
    /// Its name.
    pub name: String,
    /// The most connections that one back end accepts from all nodes together.
    pub max_conns: Option<usize>,
    /// Present if the back ends are model engines.
    pub engine: Option<RawEngine>,
    /// Present if the number of back ends may be ordered.
    pub scaling: Option<RawScaling>,
    /// How long a back end is cold after its start, in seconds.
    #[serde(default)]
    pub cold_s: Option<f64>,
    /// Requests that a cold back end bears in a second, from all nodes together; absent or
    /// zero means as many as a warm one.
    #[serde(default)]
    pub cold_per_s: Option<f64>,
}

/// How many back ends of a service may be ordered in each zone.
#[derive(Clone, Debug, Deserialize)]
pub struct RawScaling {
    /// The least of a zone.
    #[serde(default)]
    pub min: usize,
    /// The most of a zone.
    pub max: usize,
    /// How long one takes to start, in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// What one costs in each zone, relative to the others.
    #[serde(default)]
    pub zone_prices: BTreeMap<String, f64>,
}

/// What the engines of a model service can do.
#[derive(Clone, Debug, Deserialize)]
pub struct RawEngine {
    /// Requests that one engine runs at a time.
    pub slots: Option<usize>,
    /// The models that the engines hold.
    #[serde(default)]
    pub models: Vec<RawModel>,
}

/// A model of a service.
#[derive(Clone, Debug, Deserialize)]
pub struct RawModel {
    /// Its name.
    pub name: String,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct RawLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: Option<usize>,
    /// Bytes of a request's body.
    pub max_body_bytes: Option<usize>,
    /// How long a request's head may take, in milliseconds.
    pub header_timeout_ms: Option<u64>,
    /// How long a connection may rest, in milliseconds.
    pub idle_timeout_ms: Option<u64>,
}
