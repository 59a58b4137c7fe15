//! Settings of a serving node: raw ones as they are read, typed ones once checked.

use crate::cold_budgets::ColdBudgets;
use crate::leases::LeasedSets;
use crate::policies::Policies;
use serde::Deserialize;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::{NodeId, RegionName, ServiceName, Topology, ZoneName};
use sloetrail_usage::{ReportSchedule, Windows};
use snafu::{ResultExt, Snafu, ensure};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const LEASE_DEFAULT_MS: u64 = 1_500;
const ORDER_GAP_DEFAULT_MS: u64 = 3_000;
const GRACE_DEFAULT_S: f64 = 8.0;
const BATCH_STATUS_DEFAULT_S: f64 = 120.0;
/// A day: what public interfaces with such keys promise, and longer than a phone that was away
/// for a night keeps a request.
const CLAIMS_KEPT_DEFAULT_S: f64 = 86_400.0;
/// An hour: the software of callers and back ends is seldom mended sooner, and a request
/// under which back ends still crash then costs three of them an hour.
const QUARANTINE_DEFAULT_S: f64 = 3_600.0;
const CONCURRENT_LOADS_DEFAULT: usize = 2;
const BODY_BUDGET_DEFAULT: usize = 64 * 1024 * 1024;

/// Settings that are refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// They are not the JSON that is expected.
    #[snafu(display("the settings cannot be read: {source}"))]
    Unreadable {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A value is outside its bounds.
    #[snafu(display("settings: {field} {message}"))]
    OutOfBounds {
        /// The field.
        field: &'static str,
        /// What it must be.
        message: &'static str,
    },
}

/// Settings as they are written, in JSON. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct RawServingSettings {
    /// The node's name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Where callers reach it.
    pub callers_address: SocketAddr,
    /// Where the platform asks whether it takes new connections.
    pub ready_address: SocketAddr,
    /// Where other nodes reach the node, to have calls to the table carried; absent
    /// means that it neither carries calls nor has any carried.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Where metrics are served; absent means nowhere.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// How long a lease lasts without a renewal, in milliseconds.
    pub lease_ms: Option<u64>,
    /// How long orders of two owners must lie apart, in milliseconds.
    pub order_gap_ms: Option<u64>,
    /// How long the node may take to stop, in seconds.
    pub grace_s: Option<f64>,
    /// How long a batch may be read after its submission, in seconds.
    pub batch_status_s: Option<f64>,
    /// How long the claim of an idempotency key is kept after its request was due, in seconds.
    pub claims_kept_s: Option<f64>,
    /// How long a crash of a back end speaks against the requests that were there, in seconds.
    #[serde(default)]
    pub quarantine_s: Option<f64>,
    /// Engines that change their weights at a time.
    pub concurrent_loads: Option<usize>,
    /// Bytes that the bodies of all requests may take together.
    pub body_budget_bytes: Option<usize>,
    /// The share of a processor core that the node may use.
    #[serde(default)]
    pub processor_share: Option<f64>,
    /// Mechanisms of decision that can be switched off.
    #[serde(default)]
    pub policies: Policies,
    /// When the use of tenants is reported; absent means never.
    #[serde(default)]
    pub usage: Option<RawUsageSettings>,
    /// The region of each zone; absent means that all zones lie in one.
    #[serde(default)]
    pub regions: Option<BTreeMap<String, String>>,
    /// How much more than it bears a cold back end may get; absent means no more.
    #[serde(default)]
    pub cold: Option<RawColdSettings>,
}

/// How much more than it bears a cold back end may get from all nodes together, as it is
/// written.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct RawColdSettings {
    /// A factor on the requests a second that it bears.
    pub excess: f64,
    /// Requests a second on top.
    #[serde(default)]
    pub slack: f64,
}

/// How much more than it bears a cold back end may get from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// A factor on the requests a second that it bears; one or more.
    pub excess: f64,
    /// Requests a second on top.
    pub slack: f64,
}

impl Default for ColdTolerance {
    fn default() -> Self {
        Self {
            excess: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdTolerance {
    fn check(raw: RawColdSettings) -> Result<Self, SettingsError> {
        ensure!(
            raw.excess.is_finite() && raw.excess >= 1.0,
            OutOfBoundsSnafu {
                field: "cold.excess",
                message: "must be a factor of one or more"
            }
        );
        ensure!(
            raw.slack.is_finite() && raw.slack >= 0.0,
            OutOfBoundsSnafu {
                field: "cold.slack",
                message: "must be a number of requests"
            }
        );
        Ok(Self {
            excess: raw.excess,
            slack: raw.slack,
        })
    }

    /// What the cold back ends of a service may get; nothing if they bear as much as warm
    /// ones. Owners of sets that the configuration names no more send there too.
    pub(crate) fn budgets(
        &self,
        configuration: &ServingConfiguration,
        leased: &LeasedSets,
        service: &ServiceName,
    ) -> Option<ColdBudgets> {
        let sustained_per_second = configuration.cold_bounds(service).per_second?;
        let mut owners = configuration.batch_regions(service);
        owners.extend(leased.regions_of(service).cloned());
        Some(ColdBudgets {
            sustained_per_second,
            max_per_second: sustained_per_second * self.excess + self.slack,
            owners,
            has_live_requests: configuration.has_live_requests(service),
        })
    }
}

/// When the use of tenants is reported, as it is written.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct RawUsageSettings {
    /// The length of a window, in seconds.
    pub window_s: f64,
    /// How long after the end of a window its report is due, in seconds.
    pub due_s: f64,
}

/// When the use of tenants is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// The length of a window.
    pub window: Duration,
    /// How long after the end of a window its report is due.
    pub due_after: Duration,
}

impl UsageSettings {
    fn check(raw: RawUsageSettings) -> Result<Self, SettingsError> {
        const LEAST: Duration = Duration::from_millis(100);
        let settings = Self {
            window: seconds(Some(raw.window_s), 0.0, "usage.window_s")?,
            due_after: seconds(Some(raw.due_s), 0.0, "usage.due_s")?,
        };
        for (time, field) in [
            (settings.window, "usage.window_s"),
            (settings.due_after, "usage.due_s"),
        ] {
            let message = "is too short";
            ensure!(time >= LEAST, OutOfBoundsSnafu { field, message });
        }
        Ok(settings)
    }

    /// When windows are reported.
    pub fn schedule(&self) -> ReportSchedule {
        ReportSchedule::new(Windows::new(self.window), self.due_after)
    }
}

/// Settings that have been checked.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingSettings {
    /// The node's name; a replacement may bear it again.
    pub node: String,
    /// This life of the node.
    pub instance: NodeId,
    /// Its zone, and the regions of the others.
    pub topology: Topology,
    /// Where callers reach it.
    pub callers_address: SocketAddr,
    /// Where the platform asks whether it takes new connections.
    pub ready_address: SocketAddr,
    /// Where other nodes reach the node.
    pub peer_address: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// The node's rank among candidates for a lease; those of a later rank wait longer.
    pub candidate_rank: u32,
    /// The bounds in time and number.
    pub bounds: ServingBounds,
    /// Mechanisms of decision that can be switched off.
    pub policies: Policies,
    /// When the use of tenants is reported; nothing means never.
    pub usage: Option<UsageSettings>,
    /// How much more than it bears a cold back end may get.
    pub cold: ColdTolerance,
}

/// Bounds in time and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingBounds {
    /// How long a lease lasts without a renewal.
    pub lease: Duration,
    /// How long orders of two owners must lie apart.
    pub order_gap: Duration,
    /// How long the node may take to stop.
    pub grace: Duration,
    /// How long a batch may be read after its submission.
    pub batch_status: Duration,
    /// How long the claim of an idempotency key is kept after its request was due.
    pub claim_retention: Duration,
    /// How long a crash of a back end speaks against the requests that were there.
    pub quarantine: Duration,
    /// Engines that change their weights at a time.
    pub concurrent_loads: usize,
    /// Bytes that the bodies of all requests may take together.
    pub body_budget_bytes: usize,
}

impl ServingBounds {
    fn check(raw: &RawServingSettings) -> Result<Self, SettingsError> {
        let milliseconds =
            |value: Option<u64>, default| Duration::from_millis(value.unwrap_or(default));
        let bounds = Self {
            lease: milliseconds(raw.lease_ms, LEASE_DEFAULT_MS),
            order_gap: milliseconds(raw.order_gap_ms, ORDER_GAP_DEFAULT_MS),
            grace: seconds(raw.grace_s, GRACE_DEFAULT_S, "grace_s")?,
            batch_status: seconds(raw.batch_status_s, BATCH_STATUS_DEFAULT_S, "batch_status_s")?,
            claim_retention: seconds(raw.claims_kept_s, CLAIMS_KEPT_DEFAULT_S, "claims_kept_s")?,
            quarantine: seconds(raw.quarantine_s, QUARANTINE_DEFAULT_S, "quarantine_s")?,
            concurrent_loads: raw.concurrent_loads.unwrap_or(CONCURRENT_LOADS_DEFAULT),
            body_budget_bytes: raw.body_budget_bytes.unwrap_or(BODY_BUDGET_DEFAULT),
        };
        bounds.validate()?;
        Ok(bounds)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        const LEASE_LEAST: Duration = Duration::from_millis(300);
        const GRACE_LEAST: Duration = Duration::from_millis(500);
        /// Far longer than a process stands still or a write is under way.
        const CLAIMS_KEPT_LEAST: Duration = Duration::from_secs(60);
        let too_short = |field| OutOfBoundsSnafu {
            field,
            message: "is too short",
        };
        ensure!(self.lease >= LEASE_LEAST, too_short("lease_ms"));
        ensure!(self.grace >= GRACE_LEAST, too_short("grace_s"));
        ensure!(
            self.claim_retention >= CLAIMS_KEPT_LEAST,
            too_short("claims_kept_s")
        );
        ensure!(
            self.concurrent_loads > 0,
            OutOfBoundsSnafu {
                field: "concurrent_loads",
                message: "must be at least one"
            }
        );
        Ok(())
    }
}

/// Small machines stand back for large ones: an owner's work is slow on them.
fn candidate_rank(processor_share: Option<f64>) -> u32 {
    const LARGE_FROM: f64 = 0.25;
    let share = processor_share.unwrap_or(1.0);
    u32::from(share < LARGE_FROM)
}

fn topology(zone: String, regions: BTreeMap<String, String>) -> Topology {
    let regions = regions.into_iter();
    let regions = regions.map(|(zone, region)| (ZoneName::new(zone), RegionName::new(region)));
    Topology::new(ZoneName::new(zone), regions.collect())
}

fn seconds(
    value: Option<f64>,
    default: f64,
    field: &'static str,
) -> Result<Duration, SettingsError> {
    let message = "must be a time in seconds";
    Duration::try_from_secs_f64(value.unwrap_or(default))
        .map_err(|_| OutOfBoundsSnafu { field, message }.build())
}

impl ServingSettings {
    /// Reads and checks the JSON form. `life` tells this life of the node from
    /// others of the same name.
    pub fn parse(json: &[u8], life: u64) -> Result<Self, SettingsError> {
        let raw: RawServingSettings = serde_json::from_slice(json).context(UnreadableSnafu)?;
        Self::check(raw, life)
    }

    /// Checks settings that have been read.
    pub fn check(raw: RawServingSettings, life: u64) -> Result<Self, SettingsError> {
        ensure!(
            !raw.node.is_empty() && !raw.node.contains('/'),
            OutOfBoundsSnafu {
                field: "node",
                message: "must not be empty and must hold no slash"
            }
        );
        let bounds = ServingBounds::check(&raw)?;
        Ok(Self {
            instance: NodeId::new(format!("{}/{life:016x}", raw.node)),
            node: raw.node,
            topology: topology(raw.zone, raw.regions.unwrap_or_default()),
            callers_address: raw.callers_address,
            ready_address: raw.ready_address,
            peer_address: raw.peer_address,
            metrics_address: raw.metrics_address,
            candidate_rank: candidate_rank(raw.processor_share),
            bounds,
            policies: raw.policies,
            usage: raw.usage.map(UsageSettings::check).transpose()?,
            cold: raw
                .cold
                .map_or(Ok(ColdTolerance::default()), ColdTolerance::check)?,
        })
    }

    /// The node's own zone.
    pub fn zone(&self) -> &ZoneName {
        self.topology.zone()
    }

    /// True if `instance` is a life of this node.
    pub fn is_same_node(&self, instance: &NodeId) -> bool {
        let name = instance.as_str().split('/').next();
        name == Some(self.node.as_str())
    }
}
