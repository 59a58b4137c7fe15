//! The shape of the files, as serde reads them.

use serde::Deserialize;
use toml::Spanned;

/// A service file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawConfiguration {
    pub(crate) version: Spanned<u64>,
    #[serde(default)]
    pub(crate) zone: Vec<RawZone>,
    #[serde(default)]
    pub(crate) service: Vec<RawService>,
    #[serde(default)]
    pub(crate) run: Vec<RawRun>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawZone {
    pub(crate) name: Spanned<String>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawServiceKind {
    Model,
    Application,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawService {
    pub(crate) name: Spanned<String>,
    pub(crate) kind: RawServiceKind,
    pub(crate) samplers: Spanned<u64>,
    pub(crate) request_timeout_ms: Option<Spanned<u64>>,
    pub(crate) queue_limit: Option<Spanned<u64>>,
    pub(crate) engine_concurrency: Option<Spanned<u64>>,
    pub(crate) retry_budget_percent: Option<Spanned<u64>>,
    pub(crate) repeatable_posts: Option<bool>,
    pub(crate) capacity_floor_percent: Option<Spanned<u64>>,
    pub(crate) pinned_weight_version: Option<Spanned<u64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRun {
    pub(crate) name: Spanned<String>,
    pub(crate) service: Spanned<String>,
    pub(crate) staleness_bound: Spanned<u64>,
    pub(crate) unfinished_limit: Option<Spanned<u64>>,
    pub(crate) sample_token_limit: Option<Spanned<u64>>,
}

/// A node's settings file. Every key is also a flag.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSettings {
    pub(crate) node: Option<Spanned<String>>,
    pub(crate) zone: Option<Spanned<String>>,
    pub(crate) http_address: Option<Spanned<String>>,
    pub(crate) gossip_address: Option<Spanned<String>>,
    #[serde(default)]
    pub(crate) platform: RawPlatform,
    #[serde(default)]
    pub(crate) bounds: RawBounds,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPlatform {
    pub(crate) table: Option<Spanned<String>>,
    pub(crate) objects: Option<Spanned<String>>,
    pub(crate) machines: Option<Spanned<String>>,
    pub(crate) scoring: Option<Spanned<String>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawBounds {
    pub(crate) body_limit_bytes: Option<Spanned<u64>>,
    pub(crate) answer_limit_bytes: Option<Spanned<u64>>,
    pub(crate) request_read_timeout_ms: Option<Spanned<u64>>,
    pub(crate) connection_limit: Option<Spanned<u64>>,
    pub(crate) header_limit_bytes: Option<Spanned<u64>>,
    pub(crate) lease_duration_ms: Option<Spanned<u64>>,
    pub(crate) configuration_freshness_ms: Option<Spanned<u64>>,
    pub(crate) engine_view_freshness_ms: Option<Spanned<u64>>,
    pub(crate) drain_timeout_ms: Option<Spanned<u64>>,
}
