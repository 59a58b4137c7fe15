//! Metrics of the node, served in the Prometheus text format.
//!
//! Label values are bounded: kinds of calls and outcomes are fixed; of the services, routes, models
//! and zones only the first [`MAX_LABEL_VALUES`] have a value of their own, the others count as
//! `other`.

use crate::zone_work::ZoneCounts;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use parking_lot::Mutex;
use sloetrail_types::ZoneName;
use std::collections::BTreeSet;
use std::sync::OnceLock;
use std::time::Duration;

/// Maximum number of distinct values of a label.
const MAX_LABEL_VALUES: usize = 64;
const OTHER: &str = "other";
/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0,
];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
static ROUTES: LabelValues = LabelValues::new();
static SERVICES: LabelValues = LabelValues::new();
static MODELS: LabelValues = LabelValues::new();
static ZONES: LabelValues = LabelValues::new();

/// Installs the recorder of this process; later calls have no effect.
pub(crate) fn start() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_S).ok()?;
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        metrics::set_global_recorder(recorder).ok()?;
        Some(handle)
    });
}

/// Returns all metrics in the Prometheus text format.
pub(crate) fn render() -> String {
    handle().map(PrometheusHandle::render).unwrap_or_default()
}

/// Adds pending samples to the histograms. Must be called periodically: otherwise samples
/// accumulate between two scrapes.
pub(crate) fn run_upkeep() {
    if let Some(handle) = handle() {
        handle.run_upkeep();
    }
}

fn handle() -> Option<&'static PrometheusHandle> {
    HANDLE.get()?.as_ref()
}

/// Counts a live request that has its final answer.
pub(crate) fn request_ended(route: &str, status: u16, code: u16, took: Duration) {
    let route = ROUTES.bounded(route);
    let (status, code) = (status.to_string(), code.to_string());
    counter!("sloetrail_requests_total", "route" => route.clone(), "status" => status, "code" => code)
        .increment(1);
    histogram!("sloetrail_request_seconds", "route" => route).record(took);
}

/// Counts a request whose caller closed the connection before the answer.
pub(crate) fn request_abandoned() {
    counter!("sloetrail_requests_abandoned_total").increment(1);
}

pub(crate) fn attempt_ended(service: &str, outcome: &'static str, took: Duration) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_attempts_total", "service" => service.clone(), "outcome" => outcome)
        .increment(1);
    histogram!("sloetrail_attempt_seconds", "service" => service).record(took);
}

/// Counts a crash of a back end that was running requests of this node.
pub(crate) fn back_end_crashed(service: &str) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_back_end_crashes_total", "service" => service).increment(1);
}

/// Counts a request that was refused because it is quarantined.
pub(crate) fn request_quarantined(service: &str) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_requests_kept_back_total", "service" => service).increment(1);
}

/// Records how long an interrupted item was at no engine.
pub(crate) fn item_placed_again(service: &str, interrupted: Duration) {
    let service = SERVICES.bounded(service);
    histogram!("sloetrail_item_interruption_seconds", "service" => service).record(interrupted);
}

/// Sets the number of interrupted items at no engine, and how long the first of them has been there.
pub(crate) fn items_unplaced(resource: &str, items: usize, longest: Duration) {
    let resource = SERVICES.bounded(resource);
    gauge!("sloetrail_items_unplaced", "service" => resource.clone()).set(items as f64);
    gauge!("sloetrail_item_unplaced_longest_seconds", "service" => resource)
        .set(longest.as_secs_f64());
}

/// Counts a request that found no slot and is ranked after others, because its tenant has more
/// than its share in flight.
pub(crate) fn tenant_deferred(service: &str, may_wait: bool) {
    let service = SERVICES.bounded(service);
    let outcome = if may_wait { "waits" } else { "refused" };
    counter!("sloetrail_tenants_held_back_total", "service" => service, "outcome" => outcome)
        .increment(1);
}

/// Counts a keyed request that claimed its key or was answered from an earlier claim.
pub(crate) fn key_claimed(outcome: &'static str) {
    counter!("sloetrail_claims_total", "outcome" => outcome).increment(1);
}

/// Counts an answered submission of a batch: `accepted`, `repeated` or `refused`.
pub(crate) fn batch_answered(outcome: &'static str, took: Duration) {
    counter!("sloetrail_batches_total", "outcome" => outcome).increment(1);
    histogram!("sloetrail_batch_acceptance_seconds").record(took);
}

/// Counts a batch that was refused because of the backlog of its model.
pub(crate) fn batch_unservable(service: &str) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_batches_unservable_total", "service" => service).increment(1);
}

/// Counts a batch that was refused because of a backlog that ended in time for it.
pub(crate) fn batch_refused_in_error(service: &str) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_batches_refused_in_error_total", "service" => service).increment(1);
}

/// Counts an accepted batch whose required groups were not complete when it was due.
pub(crate) fn batch_not_in_time(service: &str) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_batches_not_in_time_total", "service" => service).increment(1);
}

/// Sets the age of the backlog report that was used for the last decision on a batch.
pub(crate) fn backlog_report_used(service: &str, age: Duration) {
    let service = SERVICES.bounded(service);
    gauge!("sloetrail_backlog_report_age_seconds", "service" => service).set(age.as_secs_f64());
}

pub(crate) fn run_ended(service: &str, outcome: &'static str, took: Duration) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_runs_total", "service" => service.clone(), "outcome" => outcome)
        .increment(1);
    histogram!("sloetrail_run_seconds", "service" => service).record(took);
}

pub(crate) fn result_listed(state: &'static str, commit_took: Duration) {
    counter!("sloetrail_results_total", "state" => state).increment(1);
    histogram!("sloetrail_result_commit_seconds").record(commit_took);
}

pub(crate) fn table_call_ended(call: &'static str, outcome: &'static str, took: Duration) {
    counter!("sloetrail_table_calls_total", "call" => call, "outcome" => outcome).increment(1);
    histogram!("sloetrail_table_call_seconds", "call" => call).record(took);
}

/// Counts a repetition of a read of a followed table that was pending for long.
pub(crate) fn read_repeated(table: &str) {
    counter!("sloetrail_reads_repeated_total", "table" => table.to_owned()).increment(1);
}

/// Counts pooled connections closed because one to the same address was unresponsive.
pub(crate) fn connections_evicted(cause: &'static str, count: u64) {
    counter!("sloetrail_connections_condemned_total", "cause" => cause).increment(count);
}

/// Counts a configuration that is invalid and not put in force.
pub(crate) fn configuration_refused() {
    counter!("sloetrail_configurations_refused_total").increment(1);
}

/// Counts a panic of a task.
pub(crate) fn task_panicked(task: &'static str) {
    counter!("sloetrail_task_panics_total", "task" => task).increment(1);
}

/// Counts an order to an engine to change its weight version.
pub(crate) fn order_given(outcome: &'static str) {
    counter!("sloetrail_orders_total", "outcome" => outcome).increment(1);
}

/// Counts an order for a number of engines in a zone.
pub(crate) fn engines_ordered(outcome: &'static str) {
    counter!("sloetrail_engine_number_orders_total", "outcome" => outcome).increment(1);
}

pub(crate) fn usage_reported(outcome: &'static str) {
    counter!("sloetrail_usage_reports_total", "outcome" => outcome).increment(1);
}

/// Counts a request whose usage was discarded before the nodes agreed on a wall clock.
pub(crate) fn usage_discarded() {
    counter!("sloetrail_usage_forgotten_total").increment(1);
}

/// Sets the epoch under which this node owns a service; zero if it does not own it.
pub(crate) fn set_lease_epoch(service: &str, epoch: u64) {
    let service = SERVICES.bounded(service);
    gauge!("sloetrail_lease_epoch", "service" => service).set(epoch as f64);
}

/// Sets the number of leases that this node competes for or holds.
pub(crate) fn lease_managers(managers: usize) {
    gauge!("sloetrail_lease_managers").set(managers as f64);
}

/// Sets the numbers of waiting and running items of an owned service.
pub(crate) fn items(service: &str, waiting: usize, running: usize) {
    let service = SERVICES.bounded(service);
    gauge!("sloetrail_items_waiting", "service" => service.clone()).set(waiting as f64);
    gauge!("sloetrail_items_running", "service" => service).set(running as f64);
}

/// Sets the events per second that the engines assigned to a model make with all slots in use.
pub(crate) fn model_capacity(service: &str, model: &str, events_per_second: f64) {
    let service = SERVICES.bounded(service);
    let model = MODELS.bounded(model);
    let labels = [("service", service), ("model", model)];
    gauge!("sloetrail_model_capacity_events_per_second", &labels).set(events_per_second);
}

/// Sets how long the engines of a model take for its work; zero while engines are not shared by it.
pub(crate) fn model_time_to_finish(service: &str, model: &str, seconds: f64) {
    let service = SERVICES.bounded(service);
    let model = MODELS.bounded(model);
    let labels = [("service", service), ("model", model)];
    gauge!("sloetrail_model_time_to_finish_seconds", &labels).set(seconds);
}

/// Counts an engine that was reassigned to another model.
pub(crate) fn engine_reassigned(service: &str) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_engines_reassigned_total", "service" => service).increment(1);
}

/// Sets the number of incomplete required groups of an owned service in a class, and the number of
/// batches whose groups are classified.
pub(crate) fn triage(service: &str, in_time: usize, late: usize, batches: usize) {
    let service = SERVICES.bounded(service);
    for (class, groups) in [("in_time", in_time), ("late", late)] {
        let labels = [("service", service.clone()), ("class", class.into())];
        gauge!("sloetrail_groups_by_class", &labels).set(groups as f64);
    }
    gauge!("sloetrail_batches_under_triage", "service" => service).set(batches as f64);
}

/// Counts a run that is closed so that its text continues at another engine.
pub(crate) fn item_moved(service: &str, cause: &'static str) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_items_moved_total", "service" => service, "cause" => cause).increment(1);
}

/// Counts a run that stays where it is, although its text would end earlier at another engine.
pub(crate) fn item_move_withheld(service: &str, cause: &'static str) {
    let service = SERVICES.bounded(service);
    counter!("sloetrail_item_moves_withheld_total", "service" => service, "cause" => cause)
        .increment(1);
}

/// Sets the number of complete texts of a service that wait for their scores.
pub(crate) fn scores_waiting(service: &str, waiting: usize) {
    let service = SERVICES.bounded(service);
    gauge!("sloetrail_scores_waiting", "service" => service).set(waiting as f64);
}

/// State of the node and its age, collected for each scrape.
pub(crate) struct NodeGauges {
    pub(crate) configuration_revision: u64,
    /// Numbers of the configuration in force that are not used as written.
    pub(crate) configuration_numbers_held: usize,
    pub(crate) directory_version: u64,
    /// Zones that are or were evacuated during this incarnation of the node.
    pub(crate) zones: Vec<(ZoneName, ZoneCounts)>,
    pub(crate) zones_evacuated: usize,
    pub(crate) back_ends_cold: usize,
    /// Back ends in the node's subset of the directory.
    pub(crate) back_ends_known: usize,
    /// Back ends in the complete directory, as last read.
    pub(crate) back_ends_listed: usize,
    /// Time since the request for the directory in force.
    pub(crate) directory_age: Option<Duration>,
    pub(crate) operator_age: Option<Duration>,
    pub(crate) requests_quarantined: usize,
    pub(crate) lease_view_age: Option<Duration>,
    pub(crate) requests: usize,
    pub(crate) connections: usize,
}

pub(crate) fn set_node_gauges(gauges: &NodeGauges) {
    gauge!("sloetrail_configuration_revision").set(gauges.configuration_revision as f64);
    gauge!("sloetrail_configuration_numbers_held").set(gauges.configuration_numbers_held as f64);
    gauge!("sloetrail_directory_version").set(gauges.directory_version as f64);
    gauge!("sloetrail_zones_evacuated").set(gauges.zones_evacuated as f64);
    gauges.zones.iter().for_each(set_evacuation_gauges);
    gauge!("sloetrail_back_ends_cold").set(gauges.back_ends_cold as f64);
    gauge!("sloetrail_back_ends_held").set(gauges.back_ends_known as f64);
    gauge!("sloetrail_back_ends_listed").set(gauges.back_ends_listed as f64);
    if let Some(age) = gauges.directory_age {
        gauge!("sloetrail_directory_view_age_seconds").set(age.as_secs_f64());
    }
    if let Some(age) = gauges.operator_age {
        gauge!("sloetrail_operator_view_age_seconds").set(age.as_secs_f64());
    }
    gauge!("sloetrail_requests_held").set(gauges.requests_quarantined as f64);
    gauge!("sloetrail_requests_in_flight").set(gauges.requests as f64);
    gauge!("sloetrail_connections_open").set(gauges.connections as f64);
    if let Some(age) = gauges.lease_view_age {
        gauge!("sloetrail_lease_view_age_seconds").set(age.as_secs_f64());
    }
}

/// Sets the gauges of an evacuated zone. Zero seconds means that the evacuation is not in force.
fn set_evacuation_gauges((zone, counts): &(ZoneName, ZoneCounts)) {
    let zone = ZONES.bounded(zone.as_str());
    let seconds = counts.evacuated_for.unwrap_or_default().as_secs_f64();
    let (live, items) = (counts.live as f64, counts.items as f64);
    gauge!("sloetrail_evacuation_seconds", "zone" => zone.clone()).set(seconds);
    gauge!("sloetrail_evacuation_running", "zone" => zone.clone(), "kind" => "live").set(live);
    gauge!("sloetrail_evacuation_running", "zone" => zone, "kind" => "items").set(items);
}

/// Counts log lines that were dropped.
pub(crate) fn lines_dropped(cause: &'static str, count: u64) {
    counter!("sloetrail_log_lines_dropped_total", "cause" => cause).increment(count);
}

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
        let mut known = self.known.lock();
        if known.contains(value) {
            return value.to_owned();
        }
        if known.len() >= MAX_LABEL_VALUES {
            return OTHER.to_owned();
        }
        known.insert(value.to_owned());
        value.to_owned()
    }
}

#[cfg(test)]
mod tests;
