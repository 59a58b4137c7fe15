//! Settings of a serving node: raw as deserialized, typed after validation.

use crate::cold_budgets::ColdBudgets;
use crate::leases::RecordedSets;
use crate::policies::Policies;
use serde::Deserialize;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::bounded::{HeldNumber, MAX_RATE, MAX_RATIO, NumberCheck};
use sloetrail_types::{NodeId, RegionName, ServiceName, Topology, ZoneName};
use sloetrail_usage::{ReportSchedule, Windows};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const DEFAULT_LEASE_MS: u64 = 1_500;
const DEFAULT_ORDER_GAP_MS: u64 = 3_000;
const DEFAULT_GRACE_S: f64 = 8.0;
const DEFAULT_BATCH_STATUS_S: f64 = 120.0;
/// One day, as is usual for public interfaces with such keys. Longer than a client that was
/// offline for a night keeps a request.
const DEFAULT_CLAIM_RETENTION_S: f64 = 86_400.0;
/// One hour: callers or back ends are seldom fixed sooner, and a request that still crashes back
/// ends then costs three of them per hour.
const DEFAULT_QUARANTINE_S: f64 = 3_600.0;
const DEFAULT_MAX_VIEW_AGE_MS: u64 = 2_000;
const DEFAULT_CONCURRENT_LOADS: usize = 2;
const DEFAULT_BODY_BUDGET_BYTES: usize = 64 * 1024 * 1024;
const DEFAULT_ANSWER_BUDGET_BYTES: usize = 64 * 1024 * 1024;

/// Invalid settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    #[snafu(display("cannot parse the settings as JSON: {source}"))]
    Unreadable { source: serde_json::Error },
    #[snafu(display("settings: {field} {message}"))]
    OutOfBounds {
        field: &'static str,
        message: &'static str,
    },
}

/// Settings as written in JSON. Unknown fields are ignored, and numbers above their maximum are
/// held at it, as [`sloetrail_types::bounded`] says.
#[derive(Clone, Debug, Deserialize)]
pub struct RawServingSettings {
    pub node: String,
    pub zone: String,
    /// Where callers reach it.
    pub callers_address: SocketAddr,
    /// Where the platform asks whether it takes new connections.
    pub ready_address: SocketAddr,
    /// Where other nodes send table calls to be relayed. If absent, the node neither relays calls
    /// nor has its own relayed.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Where metrics are served; not served if absent.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// How long a lease lasts without a renewal, in milliseconds.
    pub lease_ms: Option<u64>,
    /// Minimum time between the orders of two successive owners, in milliseconds.
    pub order_gap_ms: Option<u64>,
    /// How long the node may take to stop, in seconds.
    pub grace_s: Option<f64>,
    /// How long a batch can be read after its submission, in seconds.
    pub batch_status_s: Option<f64>,
    /// How long the claim of an idempotency key is retained after the request's deadline, in
    /// seconds.
    pub claims_kept_s: Option<f64>,
    /// How long a crash of a back end counts against the requests that it was running, in seconds.
    #[serde(default)]
    pub quarantine_s: Option<f64>,
    /// How old a view of the operator's rows, of the directory or of leases may become while the
    /// table could confirm it, in milliseconds.
    #[serde(default)]
    pub max_view_age_ms: Option<u64>,
    /// Maximum number of engines that change their weights at a time.
    pub concurrent_loads: Option<usize>,
    /// Maximum total size of all request bodies in memory.
    pub body_budget_bytes: Option<usize>,
    /// Maximum total size of all answers of back ends that are collected in memory.
    #[serde(default)]
    pub answer_budget_bytes: Option<usize>,
    /// The processor cores that the node may use; may be a fraction.
    #[serde(default)]
    pub processor_share: Option<f64>,
    /// Optional mechanisms that can be switched off.
    #[serde(default)]
    pub policies: Policies,
    /// Schedule of usage reports; no reports if absent.
    #[serde(default)]
    pub usage: Option<RawUsageSettings>,
    /// The region of each zone; if absent, all zones are in one region.
    #[serde(default)]
    pub regions: Option<BTreeMap<String, String>>,
    /// Tolerance for the load on cold back ends; none if absent.
    #[serde(default)]
    pub cold: Option<RawColdSettings>,
}

/// [`ColdTolerance`] as written in the settings.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct RawColdSettings {
    /// Factor on the sustained rate.
    pub excess: f64,
    /// Requests per second added to the rate.
    #[serde(default)]
    pub slack: f64,
}

/// The rate that a cold back end may receive from all nodes together, relative to its sustained
/// rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor on the sustained rate; at least one.
    pub excess: f64,
    /// Requests per second added to the rate.
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
    fn check(raw: RawColdSettings, numbers: &mut NumberCheck) -> Result<Self, SettingsError> {
        ensure!(
            raw.excess.is_finite() && raw.excess >= 1.0,
            OutOfBoundsSnafu {
                field: "cold.excess",
                message: "must be a finite factor of one or more"
            }
        );
        ensure!(
            raw.slack.is_finite() && raw.slack >= 0.0,
            OutOfBoundsSnafu {
                field: "cold.slack",
                message: "must be a finite number of requests per second, zero or more"
            }
        );
        Ok(Self {
            excess: numbers
                .at_most("cold.excess", raw.excess, MAX_RATIO)
                .unwrap_or(raw.excess),
            slack: numbers
                .at_most("cold.slack", raw.slack, MAX_RATE)
                .unwrap_or(raw.slack),
        })
    }

    /// Returns the budgets for the cold back ends of a service; None if the configuration does not
    /// limit them. Owners of sets that the configuration no longer names are counted as senders.
    pub(crate) fn budgets(
        &self,
        configuration: &ServingConfiguration,
        recorded: &RecordedSets,
        service: &ServiceName,
    ) -> Option<ColdBudgets> {
        let sustained_per_second = configuration.cold_bounds(service).per_second?;
        let mut owners = configuration.batch_regions(service);
        owners.extend(recorded.regions_with_batches(service).cloned());
        Some(ColdBudgets {
            sustained_per_second,
            max_per_second: sustained_per_second * self.excess + self.slack,
            owners,
            has_live_requests: configuration.has_live_requests(service),
        })
    }
}

/// [`UsageSettings`] as written in the settings.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct RawUsageSettings {
    /// The length of a window, in seconds.
    pub window_s: f64,
    /// How long after the end of a window its report is due, in seconds.
    pub due_s: f64,
}

/// Schedule of usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    pub window: Duration,
    /// How long after the end of a window its report is due.
    pub due_after: Duration,
}

impl UsageSettings {
    fn check(raw: RawUsageSettings, numbers: &mut NumberCheck) -> Result<Self, SettingsError> {
        const MIN_DURATION: Duration = Duration::from_millis(100);
        let settings = Self {
            window: seconds(numbers, "usage.window_s", raw.window_s)?,
            due_after: seconds(numbers, "usage.due_s", raw.due_s)?,
        };
        for (time, field) in [
            (settings.window, "usage.window_s"),
            (settings.due_after, "usage.due_s"),
        ] {
            let message = "is too short";
            ensure!(time >= MIN_DURATION, OutOfBoundsSnafu { field, message });
        }
        Ok(settings)
    }

    pub fn schedule(&self) -> ReportSchedule {
        ReportSchedule::new(Windows::new(self.window), self.due_after)
    }
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingSettings {
    /// The node's name; a replacement may reuse it.
    pub node: String,
    /// The incarnation of the node.
    pub instance: NodeId,
    /// The node's zone and the regions of all zones.
    pub topology: Topology,
    /// Where callers reach it.
    pub callers_address: SocketAddr,
    /// Where the platform asks whether it takes new connections.
    pub ready_address: SocketAddr,
    /// Where other nodes reach the node.
    pub peer_address: Option<SocketAddr>,
    pub metrics_address: Option<SocketAddr>,
    /// The node's rank among candidates for a lease; a higher rank waits longer.
    pub candidate_rank: u32,
    pub bounds: ServingBounds,
    /// Optional mechanisms that can be switched off.
    pub policies: Policies,
    /// Schedule of usage reports; None disables them.
    pub usage: Option<UsageSettings>,
    pub cold: ColdTolerance,
    /// Numbers that were above their maximum and are not used as written.
    pub held_numbers: Vec<HeldNumber>,
}

/// Timeouts, retention times and capacity limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingBounds {
    /// How long a lease lasts without a renewal.
    pub lease: Duration,
    /// Minimum time between the orders of two successive owners.
    pub order_gap: Duration,
    /// How long the node may take to stop.
    pub grace: Duration,
    /// How long a batch can be read after its submission.
    pub batch_status: Duration,
    /// How long the claim of an idempotency key is retained after the request's deadline.
    pub claim_retention: Duration,
    /// How long a crash of a back end counts against the requests that it was running.
    pub quarantine: Duration,
    /// How old a view of a followed table may become while the table could confirm it.
    pub max_view_age: Duration,
    /// Maximum number of engines that change their weights at a time.
    pub concurrent_loads: usize,
    /// Maximum total size of all request bodies in memory.
    pub body_budget_bytes: usize,
    /// Maximum total size of all answers of back ends that are collected in memory.
    pub answer_budget_bytes: usize,
}

impl ServingBounds {
    fn check(raw: &RawServingSettings, numbers: &mut NumberCheck) -> Result<Self, SettingsError> {
        let concurrent_loads = raw.concurrent_loads.unwrap_or(DEFAULT_CONCURRENT_LOADS) as u64;
        let body_budget_bytes = raw.body_budget_bytes.unwrap_or(DEFAULT_BODY_BUDGET_BYTES) as u64;
        let answer_budget_bytes = raw
            .answer_budget_bytes
            .unwrap_or(DEFAULT_ANSWER_BUDGET_BYTES);
        let bounds = Self {
            lease: numbers.millis("lease_ms", raw.lease_ms.unwrap_or(DEFAULT_LEASE_MS)),
            order_gap: numbers.millis(
                "order_gap_ms",
                raw.order_gap_ms.unwrap_or(DEFAULT_ORDER_GAP_MS),
            ),
            grace: seconds(numbers, "grace_s", raw.grace_s.unwrap_or(DEFAULT_GRACE_S))?,
            batch_status: seconds(
                numbers,
                "batch_status_s",
                raw.batch_status_s.unwrap_or(DEFAULT_BATCH_STATUS_S),
            )?,
            claim_retention: seconds(
                numbers,
                "claims_kept_s",
                raw.claims_kept_s.unwrap_or(DEFAULT_CLAIM_RETENTION_S),
            )?,
            quarantine: seconds(
                numbers,
                "quarantine_s",
                raw.quarantine_s.unwrap_or(DEFAULT_QUARANTINE_S),
            )?,
            max_view_age: numbers.millis(
                "max_view_age_ms",
                raw.max_view_age_ms.unwrap_or(DEFAULT_MAX_VIEW_AGE_MS),
            ),
            concurrent_loads: numbers.count("concurrent_loads", concurrent_loads, 0),
            body_budget_bytes: numbers.bytes("body_budget_bytes", body_budget_bytes),
            answer_budget_bytes: numbers.bytes("answer_budget_bytes", answer_budget_bytes as u64),
        };
        bounds.validate()?;
        Ok(bounds)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        const MIN_LEASE: Duration = Duration::from_millis(300);
        const MIN_GRACE: Duration = Duration::from_millis(500);
        // Shorter ages would have a table with an ordinary latency asked without pause.
        const MIN_VIEW_AGE: Duration = Duration::from_millis(500);
        // Must exceed any pause of a process and any write in flight.
        const MIN_CLAIM_RETENTION: Duration = Duration::from_secs(60);
        let too_short = |field| OutOfBoundsSnafu {
            field,
            message: "is too short",
        };
        ensure!(self.lease >= MIN_LEASE, too_short("lease_ms"));
        ensure!(self.grace >= MIN_GRACE, too_short("grace_s"));
        ensure!(
            self.max_view_age >= MIN_VIEW_AGE,
            too_short("max_view_age_ms")
        );
        ensure!(
            self.claim_retention >= MIN_CLAIM_RETENTION,
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

/// Returns the rank of the node as a candidate for leases. Nodes with little processor time rank
/// after the others, because they run the work of an owner slowly.
fn candidate_rank(processor_share: Option<f64>) -> u32 {
    const MIN_PROCESSOR_SHARE: f64 = 0.25;
    let share = processor_share.unwrap_or(1.0);
    u32::from(share < MIN_PROCESSOR_SHARE)
}

fn topology(zone: String, regions: BTreeMap<String, String>) -> Topology {
    let regions = regions.into_iter();
    let regions = regions.map(|(zone, region)| (ZoneName::new(zone), RegionName::new(region)));
    Topology::new(ZoneName::new(zone), regions.collect())
}

fn seconds(
    numbers: &mut NumberCheck,
    field: &'static str,
    seconds: f64,
) -> Result<Duration, SettingsError> {
    let message = "must be a time in seconds, zero or more";
    numbers
        .seconds(field, seconds)
        .context(OutOfBoundsSnafu { field, message })
}

impl ServingSettings {
    /// Parses and validates settings in JSON. `incarnation` distinguishes this process from others
    /// with the same node name.
    pub fn parse(json: &[u8], incarnation: u64) -> Result<Self, SettingsError> {
        let raw: RawServingSettings = serde_json::from_slice(json).context(UnreadableSnafu)?;
        Self::check(raw, incarnation)
    }

    /// Validates raw settings.
    pub fn check(raw: RawServingSettings, incarnation: u64) -> Result<Self, SettingsError> {
        ensure!(
            !raw.node.is_empty() && !raw.node.contains('/'),
            OutOfBoundsSnafu {
                field: "node",
                message: "must not be empty and must not contain a slash"
            }
        );
        let mut numbers = NumberCheck::default();
        let bounds = ServingBounds::check(&raw, &mut numbers)?;
        let usage = raw
            .usage
            .map(|usage| UsageSettings::check(usage, &mut numbers));
        let cold = raw
            .cold
            .map(|cold| ColdTolerance::check(cold, &mut numbers));
        Ok(Self {
            instance: NodeId::new(format!("{}/{incarnation:016x}", raw.node)),
            node: raw.node,
            topology: topology(raw.zone, raw.regions.unwrap_or_default()),
            callers_address: raw.callers_address,
            ready_address: raw.ready_address,
            peer_address: raw.peer_address,
            metrics_address: raw.metrics_address,
            candidate_rank: candidate_rank(raw.processor_share),
            bounds,
            policies: raw.policies,
            usage: usage.transpose()?,
            cold: cold.transpose()?.unwrap_or_default(),
            held_numbers: numbers.into_held(),
        })
    }

    pub fn zone(&self) -> &ZoneName {
        self.topology.zone()
    }

    /// True if `instance` is an incarnation of this node.
    pub fn is_same_node(&self, instance: &NodeId) -> bool {
        let name = instance.as_str().split('/').next();
        name == Some(self.node.as_str())
    }
}
