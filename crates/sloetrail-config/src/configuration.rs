//! The typed configuration that nodes act on.

use crate::error::{ConfigError, Source};
use crate::raw::{RawConfiguration, RawRun, RawService, RawServiceKind};
use serde::{Deserialize, Serialize};
use sloetrail_result::ResultCode;
use sloetrail_types::{RunName, ServiceName, WeightVersion, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const FORMAT_VERSION: u64 = 1;
const REQUEST_TIMEOUT_DEFAULT_MS: u64 = 10_000;
const QUEUE_LIMIT_DEFAULT: u64 = 256;
const ENGINE_CONCURRENCY_DEFAULT: u64 = 16;
const RETRY_BUDGET_DEFAULT_PERCENT: u64 = 10;
const CAPACITY_FLOOR_DEFAULT_PERCENT: u64 = 60;
const UNFINISHED_LIMIT_DEFAULT: u64 = 16_384;
const SAMPLE_TOKEN_LIMIT_DEFAULT: u64 = 4_096;

/// What a service's back ends are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, which also generate samples and swap weights.
    Model,
    /// Ordinary HTTP applications.
    Application,
}

/// A service that callers address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// What its back ends are.
    pub kind: ServiceKind,
    /// How many back ends the operator expects, for status reports.
    pub samplers: u32,
    /// A request's deadline, counted from its arrival.
    pub request_timeout: Duration,
    /// Requests that may wait on one node.
    pub queue_limit: usize,
    /// Upper bound of the requests that one node sends one engine at a time.
    pub engine_concurrency: usize,
    /// Retries allowed, in percent of first attempts.
    pub retry_budget_percent: u32,
    /// True if a POST may run more than once.
    pub repeatable_posts: bool,
    /// Share of the engines that must stay in service during a weight swap, in percent.
    pub capacity_floor_percent: u32,
    /// The weight version to hold, in place of the newest published one.
    pub pinned_weight_version: Option<WeightVersion>,
}

/// A training run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Its name.
    pub name: RunName,
    /// The model service that generates its samples.
    pub service: ServiceName,
    /// How many versions a sample's oldest token may lie behind the trainer's version.
    pub staleness_bound: u64,
    /// Samples that may be unfinished or not yet acknowledged.
    pub unfinished_limit: usize,
    /// Longest sample, in tokens.
    pub sample_token_limit: u32,
}

/// The whole configuration of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The zones that have nodes.
    pub zones: BTreeSet<ZoneName>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The training runs by name.
    pub runs: BTreeMap<RunName, Run>,
}

impl Configuration {
    /// Parses and checks a service file. `file` is its name for error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let source = Source { file, text };
        let raw: RawConfiguration = source.parse()?;
        check_version(&source, &raw)?;
        let zones = check_zones(&source, &raw)?;
        let services = check_services(&source, &raw)?;
        let runs = check_runs(&source, &raw, &services)?;
        Ok(Self {
            zones,
            services,
            runs,
        })
    }

    /// The number of zones that make a majority.
    pub fn zone_majority(&self) -> usize {
        self.zones.len() / 2 + 1
    }
}

fn check_version(source: &Source<'_>, raw: &RawConfiguration) -> Result<(), ConfigError> {
    let version = *raw.version.get_ref();
    if version == FORMAT_VERSION {
        return Ok(());
    }
    let message = format!("format version {version} is not supported, use {FORMAT_VERSION}");
    let offset = raw.version.span().start;
    Err(source.error(offset, "version", ResultCode::UnsupportedVersion, message))
}

fn check_zones(
    source: &Source<'_>,
    raw: &RawConfiguration,
) -> Result<BTreeSet<ZoneName>, ConfigError> {
    let mut taken = BTreeSet::new();
    for zone in &raw.zone {
        source.unique_name("zone.name", &zone.name, &mut taken)?;
    }
    if taken.is_empty() {
        let message = "at least one [[zone]] is needed";
        return Err(source.error(0, "zone", ResultCode::OutOfBounds, message));
    }
    Ok(taken.into_iter().map(ZoneName::new).collect())
}

fn check_services(
    source: &Source<'_>,
    raw: &RawConfiguration,
) -> Result<BTreeMap<ServiceName, Service>, ConfigError> {
    let mut taken = BTreeSet::new();
    let mut services = BTreeMap::new();
    for raw_service in &raw.service {
        let name = source.unique_name("service.name", &raw_service.name, &mut taken)?;
        let service = check_service(source, raw_service, ServiceName::new(name))?;
        services.insert(service.name.clone(), service);
    }
    Ok(services)
}

fn check_service(
    source: &Source<'_>,
    raw: &RawService,
    name: ServiceName,
) -> Result<Service, ConfigError> {
    let kind = match raw.kind {
        RawServiceKind::Model => ServiceKind::Model,
        RawServiceKind::Application => ServiceKind::Application,
    };
    let timeout = source.bounded(
        "service.request_timeout_ms",
        &raw.request_timeout_ms,
        REQUEST_TIMEOUT_DEFAULT_MS,
        10..=600_000,
    )?;
    let queue_limit = source.bounded(
        "service.queue_limit",
        &raw.queue_limit,
        QUEUE_LIMIT_DEFAULT,
        1..=100_000,
    )?;
    let concurrency = source.bounded(
        "service.engine_concurrency",
        &raw.engine_concurrency,
        ENGINE_CONCURRENCY_DEFAULT,
        1..=4_096,
    )?;
    let budget = source.bounded(
        "service.retry_budget_percent",
        &raw.retry_budget_percent,
        RETRY_BUDGET_DEFAULT_PERCENT,
        0..=100,
    )?;
    let floor = source.bounded(
        "service.capacity_floor_percent",
        &raw.capacity_floor_percent,
        CAPACITY_FLOOR_DEFAULT_PERCENT,
        0..=99,
    )?;
    let samplers = source.in_range("service.samplers", &raw.samplers, 1..=100_000)?;
    let pinned = check_pinned_version(source, raw, kind)?;
    Ok(Service {
        name,
        kind,
        samplers: samplers as u32,
        request_timeout: Duration::from_millis(timeout),
        queue_limit: queue_limit as usize,
        engine_concurrency: concurrency as usize,
        retry_budget_percent: budget as u32,
        repeatable_posts: raw.repeatable_posts.unwrap_or(kind == ServiceKind::Model),
        capacity_floor_percent: floor as u32,
        pinned_weight_version: pinned,
    })
}

fn check_pinned_version(
    source: &Source<'_>,
    raw: &RawService,
    kind: ServiceKind,
) -> Result<Option<WeightVersion>, ConfigError> {
    let Some(spanned) = &raw.pinned_weight_version else {
        return Ok(None);
    };
    let field = "service.pinned_weight_version";
    if kind == ServiceKind::Application {
        let message = "an application has no weights";
        let offset = spanned.span().start;
        return Err(source.error(offset, field, ResultCode::OutOfBounds, message));
    }
    let version = source.in_range(field, spanned, 1..=u64::MAX >> 1)?;
    Ok(Some(WeightVersion(version)))
}

fn check_runs(
    source: &Source<'_>,
    raw: &RawConfiguration,
    services: &BTreeMap<ServiceName, Service>,
) -> Result<BTreeMap<RunName, Run>, ConfigError> {
    let mut taken = BTreeSet::new();
    let mut runs = BTreeMap::new();
    for raw_run in &raw.run {
        let name = source.unique_name("run.name", &raw_run.name, &mut taken)?;
        let run = check_run(source, raw_run, RunName::new(name), services)?;
        runs.insert(run.name.clone(), run);
    }
    Ok(runs)
}

fn check_run(
    source: &Source<'_>,
    raw: &RawRun,
    name: RunName,
    services: &BTreeMap<ServiceName, Service>,
) -> Result<Run, ConfigError> {
    let service = ServiceName::new(raw.service.get_ref().clone());
    let known = services
        .get(&service)
        .is_some_and(|known| known.kind == ServiceKind::Model);
    if !known {
        let message = format!("no model service is named {:?}", service.as_str());
        let offset = raw.service.span().start;
        return Err(source.error(offset, "run.service", ResultCode::UnknownReference, message));
    }
    let staleness_bound =
        source.in_range("run.staleness_bound", &raw.staleness_bound, 0..=1_000)?;
    let unfinished_limit = source.bounded(
        "run.unfinished_limit",
        &raw.unfinished_limit,
        UNFINISHED_LIMIT_DEFAULT,
        1..=1_000_000,
    )?;
    let token_limit = source.bounded(
        "run.sample_token_limit",
        &raw.sample_token_limit,
        SAMPLE_TOKEN_LIMIT_DEFAULT,
        1..=1_000_000,
    )?;
    Ok(Run {
        name,
        service,
        staleness_bound,
        unfinished_limit: unfinished_limit as usize,
        sample_token_limit: token_limit as u32,
    })
}
