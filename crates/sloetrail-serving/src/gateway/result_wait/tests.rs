use super::{MAX_PAGE_BYTES, MAX_WAIT, READ_INTERVAL, ResultWait};
use sloetrail_batch::{BatchHeader, ListedResult};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, ServiceName, TimeSpan, Timestamp, WeightVersion};
use std::time::Duration;

const ACCEPTED_AT_MS: u64 = 10_000;
const RUN_TARGET_MS: u64 = 7_500;
const DUE_AT_MS: u64 = ACCEPTED_AT_MS + RUN_TARGET_MS;

fn header() -> BatchHeader {
    BatchHeader {
        service: ServiceName::from("models"),
        host: "a.example".to_owned(),
        total: 8,
        body_rows: 1,
        accepted_at: Timestamp(ACCEPTED_AT_MS),
        max_attempts: 2,
        retention: TimeSpan::from_millis(40_000),
        single_version: false,
        run_target: TimeSpan::from_millis(RUN_TARGET_MS),
        priority: 1,
        tenant: None,
        tenant_priority: None,
        allowed_regions: AllowedRegions::everywhere(),
        model: None,
        oldest_version: WeightVersion(0),
    }
}

fn result(groups_are_whole: bool) -> ListedResult {
    ListedResult {
        groups_are_whole,
        ..ListedResult::dead("a1".to_owned())
    }
}

/// Returns how long a reader with this waiting time and these results waits.
fn waited(wait: Duration, now_ms: Option<u64>, known: &[ListedResult]) -> Duration {
    let started_at = BootInstant::now();
    let result_wait = ResultWait::new(started_at, wait, &header(), now_ms);
    result_wait.wait_deadline(known) - started_at
}

#[test]
fn readers_without_waiting_time_get_immediate_answers() {
    let now = Some(ACCEPTED_AT_MS);
    assert_eq!(waited(Duration::ZERO, now, &[]), Duration::ZERO);
    let known = [result(false)];
    assert_eq!(waited(Duration::ZERO, now, &known), Duration::ZERO);
}

#[test]
fn readers_wait_until_required_groups_are_complete() {
    let now = Some(ACCEPTED_AT_MS);
    assert_eq!(waited(MAX_WAIT, now, &[]), MAX_WAIT);
    assert_eq!(waited(MAX_WAIT, now, &[result(false)]), MAX_WAIT);
    let short = Duration::from_millis(300);
    assert_eq!(waited(short, now, &[result(false)]), short);
}

#[test]
fn completed_required_groups_end_the_wait() {
    let known = [result(false), result(true), result(false)];
    let waited = waited(MAX_WAIT, Some(ACCEPTED_AT_MS), &known);
    assert_eq!(waited, Duration::ZERO);
}

#[test]
fn a_full_page_ends_the_wait() {
    let mut long = result(false);
    long.text = "t".repeat(MAX_PAGE_BYTES);
    let waited = waited(MAX_WAIT, Some(ACCEPTED_AT_MS), &[long]);
    assert_eq!(waited, Duration::ZERO);
}

#[test]
fn results_of_due_batches_wait_at_most_one_read_interval() {
    let known = [result(false)];
    let nearly_due = Some(DUE_AT_MS - 700);
    let until_due = Duration::from_millis(700);
    assert_eq!(waited(MAX_WAIT, nearly_due, &known), until_due);
    for now in [Some(DUE_AT_MS - 100), Some(DUE_AT_MS + 100), None] {
        assert_eq!(waited(MAX_WAIT, now, &known), READ_INTERVAL);
    }
}

#[test]
fn waits_are_capped_at_the_maximum() {
    let waited = waited(Duration::from_secs(60), Some(ACCEPTED_AT_MS), &[]);
    assert_eq!(waited, MAX_WAIT);
}

#[test]
fn any_result_ends_the_wait_if_all_count() {
    let started_at = BootInstant::now();
    let result_wait = ResultWait::for_any_result(started_at, MAX_WAIT);
    assert_eq!(result_wait.wait_deadline(&[]) - started_at, MAX_WAIT);
    assert_eq!(result_wait.wait_deadline(&[result(false)]), started_at);
}
