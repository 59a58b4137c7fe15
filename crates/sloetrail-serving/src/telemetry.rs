//! Counters, gauges and latency histograms, told as text on the metrics address.
//!
//! Labels come from bounded sets: the kinds of calls and outcomes are fixed, services
//! and routes are those of the configuration, and of these only the first
//! [`LABEL_VALUES_LIMIT`] are told apart; the others count as `other`.

use crate::zone_work::ZoneCounts;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use sloetrail_types::ZoneName;
use std::collections::BTreeSet;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

/// Values of one label that are told apart.
const LABEL_VALUES_LIMIT: usize = 64;
const OTHER: &str = "other";
/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS_S: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0,
];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
static ROUTES: LabelValues = LabelValues::new();
static SERVICES: LabelValues = LabelValues::new();
static ZONES: LabelValues = LabelValues::new();

/// Starts the recorder of this process; later calls change nothing.
pub(crate) fn start() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_S).ok()?;
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(recorder).ok()?;
        Some(handle)
    });
}

/// Everything that was counted, as text.
pub(crate) fn render() -> String {
    handle().map(PrometheusHandle::render).unwrap_or_default()
}

/// Folds what was measured since the last time into the histograms; called now and
/// then, so that measurements do not pile up between two questions.
pub(crate) fn fold() {
    if let Some(handle) = handle() {
        handle.run_upkeep();
    }
}

fn handle() -> Option<&'static PrometheusHandle> {
    HANDLE.get()?.as_ref()
}

/// A live request has its final answer.
pub(crate) fn request_ended(route: &str, status: u16, code: u16, took: Duration) {
    let route = ROUTES.bounded(route);
    let (status, code) = (status.to_string(), code.to_string());
    counter!("sloetrail_requests_total", "route" => route.clone(), "status" => status, "code" => code)
        .increment(1);
    histogram!("sloetrail_request_seconds", "route" => route).record(took);
}

/// The sender of a request closed its connection before it had an answer.
pub(crate) fn request_abandoned() {
    counter!("sloetrail_requests_abandoned_total").increment(1);
}

/// An attempt at a back end has ended.
pub(crate) fn attempt_ended(service: &str, outcome: &'static str, took: Duration) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_attempts_total", "service" => service.clone(), "outcome" => outcome)
        .increment(1);
    histogram!("sloetrail_attempt_seconds", "service" => service).record(took);
}

/// A back end has crashed while requests of this node were there.
pub(crate) fn back_end_crashed(service: &str) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_back_end_crashes_total", "service" => service).increment(1);
}

/// A request was refused, since back ends crash under it.
pub(crate) fn request_quarantined(service: &str) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_requests_kept_back_total", "service" => service).increment(1);
}

/// A request found no place and others go first, since its tenant has more than its share
/// under way.
pub(crate) fn tenant_deferred(service: &str, may_wait: bool) {
    let service = SERVICES.bounded(service);
    let outcome = if may_wait { "waits" } else { "refused" };
    counter!("sloetrail_tenants_held_back_total", "service" => service, "outcome" => outcome)
        .increment(1);
}

/// A keyed request met the claims: it has claimed its key, or was answered by an earlier claim.
pub(crate) fn key_claimed(outcome: &'static str) {
    counter!("sloetrail_claims_total", "outcome" => outcome).increment(1);
}

/// A batch was answered: `accepted`, `repeated` or `refused`.
pub(crate) fn batch_answered(outcome: &'static str, took: Duration) {
    counter!("sloetrail_batches_total", "outcome" => outcome).increment(1);
    histogram!("sloetrail_batch_acceptance_seconds").record(took);
}

/// A run of an item has ended.
pub(crate) fn run_ended(service: &str, outcome: &'static str, took: Duration) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_runs_total", "service" => service.clone(), "outcome" => outcome)
        .increment(1);
    histogram!("sloetrail_run_seconds", "service" => service).record(took);
}

/// A result was committed.
pub(crate) fn result_listed(state: &'static str, commit_took: Duration) {
    counter!("sloetrail_results_total", "state" => state).increment(1);
    histogram!("sloetrail_result_commit_seconds").record(commit_took);
}

/// A call to the table has ended.
pub(crate) fn table_call_ended(call: &'static str, outcome: &'static str, took: Duration) {
    counter!("sloetrail_table_calls_total", "call" => call, "outcome" => outcome).increment(1);
    histogram!("sloetrail_table_call_seconds", "call" => call).record(took);
}

/// Kept connections were closed because one to the same address was silent.
pub(crate) fn connections_evicted(cause: &'static str, count: u64) {
    counter!("sloetrail_connections_condemned_total", "cause" => cause).increment(count);
}

/// An order was given to an engine.
pub(crate) fn order_given(outcome: &'static str) {
    counter!("sloetrail_orders_total", "outcome" => outcome).increment(1);
}

/// A number of engines was ordered for a zone.
pub(crate) fn engines_ordered(outcome: &'static str) {
    counter!("sloetrail_engine_number_orders_total", "outcome" => outcome).increment(1);
}

/// A report of usage was sent.
pub(crate) fn usage_reported(outcome: &'static str) {
    counter!("sloetrail_usage_reports_total", "outcome" => outcome).increment(1);
}

/// A request that was to be counted was forgotten before the clock was agreed on.
pub(crate) fn usage_discarded() {
    counter!("sloetrail_usage_forgotten_total").increment(1);
}

/// Whether this node owns a service, and under which epoch; zero means not.
pub(crate) fn set_lease_epoch(service: &str, epoch: u64) {
    let service = SERVICES.bounded(service);
    gauge!("sloetrail_lease_epoch", "service" => service).set(epoch as f64);
}

/// Items of a service that wait and that run, as its owner counts them.
pub(crate) fn items(service: &str, waiting: usize, running: usize) {
    let service = SERVICES.bounded(service);
    gauge!("sloetrail_items_waiting", "service" => service.clone()).set(waiting as f64);
    gauge!("sloetrail_items_running", "service" => service).set(running as f64);
}

/// Whole texts of a service's items that wait to be scored.
pub(crate) fn scores_waiting(service: &str, waiting: usize) {
    let service = SERVICES.bounded(service);
    gauge!("sloetrail_scores_waiting", "service" => service).set(waiting as f64);
}

/// What the node believes and how old it is, set when the figures are asked for.
pub(crate) struct NodeGauges {
    pub(crate) configuration_revision: u64,
    pub(crate) directory_version: u64,
    /// Zones that are evacuated, or were in this life of the node.
    pub(crate) zones: Vec<(ZoneName, ZoneCounts)>,
    pub(crate) zones_evacuated: usize,
    pub(crate) back_ends_cold: usize,
    /// Back ends that the node knows, and how many the directory lists as far as it can tell.
    pub(crate) back_ends_known: usize,
    pub(crate) back_ends_listed: usize,
    /// When the questions were asked whose answers are in force.
    pub(crate) directory_age: Option<Duration>,
    pub(crate) operator_age: Option<Duration>,
    /// Requests that are kept from back ends.
    pub(crate) requests_held: usize,
    pub(crate) lease_view_age: Option<Duration>,
    pub(crate) requests: usize,
    pub(crate) connections: usize,
}

/// Sets the gauges of what the node believes.
pub(crate) fn beliefs(beliefs: &NodeGauges) {
    gauge!("sloetrail_configuration_revision").set(beliefs.configuration_revision as f64);
    gauge!("sloetrail_directory_version").set(beliefs.directory_version as f64);
    gauge!("sloetrail_zones_evacuated").set(beliefs.zones_evacuated as f64);
    beliefs.zones.iter().for_each(evacuated_zone);
    gauge!("sloetrail_back_ends_cold").set(beliefs.back_ends_cold as f64);
    gauge!("sloetrail_back_ends_held").set(beliefs.back_ends_known as f64);
    gauge!("sloetrail_back_ends_listed").set(beliefs.back_ends_listed as f64);
    if let Some(age) = beliefs.directory_age {
        gauge!("sloetrail_directory_view_age_seconds").set(age.as_secs_f64());
    }
    if let Some(age) = beliefs.operator_age {
        gauge!("sloetrail_operator_view_age_seconds").set(age.as_secs_f64());
    }
    gauge!("sloetrail_requests_held").set(beliefs.requests_held as f64);
    gauge!("sloetrail_requests_in_flight").set(beliefs.requests as f64);
    gauge!("sloetrail_connections_open").set(beliefs.connections as f64);
    if let Some(age) = beliefs.lease_view_age {
        gauge!("sloetrail_lease_view_age_seconds").set(age.as_secs_f64());
    }
}

/// Where the evacuation of a zone stands on this node; zero seconds means that it is not in
/// force, or no more.
fn evacuated_zone((zone, counts): &(ZoneName, ZoneCounts)) {
    let zone = ZONES.bounded(zone.as_str());
    let seconds = counts.evacuated_for.unwrap_or_default().as_secs_f64();
    let (live, items) = (counts.live as f64, counts.items as f64);
    gauge!("sloetrail_evacuation_seconds", "zone" => zone.clone()).set(seconds);
    gauge!("sloetrail_evacuation_running", "zone" => zone.clone(), "kind" => "live").set(live);
    gauge!("sloetrail_evacuation_running", "zone" => zone, "kind" => "items").set(items);
}

/// Lines of the log that were not written.
pub(crate) fn lines_dropped(cause: &'static str, count: u64) {
    counter!("sloetrail_log_lines_dropped_total", "cause" => cause).increment(count);
}

/// The values of a label that are told apart.
struct LabelValues {
    known: Mutex<BTreeSet<String>>,
}

impl LabelValues {
    const fn new() -> Self {
        Self {
            known: Mutex::new(BTreeSet::new()),
        }
    }

    fn bounded(&self, value: &str) -> String {
        let mut known = self.known.lock().expect("not poisoned");
        if known.contains(value) {
            return value.to_owned();
        }
        if known.len() >= LABEL_VALUES_LIMIT {
            return OTHER.to_owned();
        }
        known.insert(value.to_owned());
        value.to_owned()
    }
}

#[cfg(test)]
mod tests;
