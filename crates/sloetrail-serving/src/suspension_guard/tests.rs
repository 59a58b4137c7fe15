use super::{SuspensionDetector, SuspensionGuard};
use crate::directory::watch_directory;
use crate::follow::{FleetSize, TableView};
use crate::native_dialect::NativeDialect;
use crate::operator::watch_operator;
use sloetrail_clock::BootInstant;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn regular_ticks_do_not_count_as_suspension() {
    let mut now = BootInstant::now();
    let mut detector = SuspensionDetector::new(now);
    for _ in 0..20 {
        now += milliseconds(150);
        assert_eq!(detector.record_tick(now), None);
        assert!(detector.is_settled(now, None));
    }
}

#[test]
fn an_answer_requested_before_resumption_is_not_enough() {
    let start = BootInstant::now();
    let mut detector = SuspensionDetector::new(start);
    let resumed = start + milliseconds(4_000);
    assert_eq!(detector.record_tick(resumed), Some(milliseconds(4_000)));
    let requested_before = Some(start + milliseconds(10));
    assert!(!detector.is_settled(resumed + milliseconds(5), requested_before));
    let requested_since = Some(resumed + milliseconds(6));
    assert!(detector.is_settled(resumed + milliseconds(12), requested_since));
    assert!(detector.is_settled(resumed + milliseconds(13), requested_before));
}

#[test]
fn cached_rows_are_used_again_after_the_settle_timeout() {
    let start = BootInstant::now();
    let mut detector = SuspensionDetector::new(start);
    let resumed = start + milliseconds(2_000);
    detector.record_tick(resumed);
    assert!(!detector.is_settled(resumed + milliseconds(499), None));
    assert!(detector.is_settled(resumed + milliseconds(500), None));
}

fn view(requested_at: Option<BootInstant>) -> Arc<TableView> {
    Arc::new(TableView {
        confirmed_at: requested_at,
        requested_at,
        ..TableView::empty()
    })
}

#[tokio::test]
async fn both_sources_must_be_refreshed_after_a_suspension() {
    let requested_before = Some(BootInstant::now());
    let (directory, directory_applied) = watch::channel(requested_before);
    let (operator, operator_applied) = watch::channel(requested_before);
    let guard = SuspensionGuard::start([directory_applied, operator_applied]);
    assert!(guard.is_settled());
    // Blocks the only thread of the runtime.
    std::thread::sleep(milliseconds(900));
    assert!(!guard.is_settled());
    std::thread::sleep(milliseconds(5));
    let requested_since = Some(BootInstant::now());
    directory.send_replace(requested_since);
    assert!(
        !guard.is_settled(),
        "the operator's rows are from before the suspension"
    );
    operator.send_replace(requested_since);
    assert!(guard.is_settled());
}

#[tokio::test]
async fn refreshed_rows_must_be_applied_after_a_suspension() {
    const STEPS: usize = 10;
    let requested_before = Some(BootInstant::now());
    let (directory, directory_view) = watch::channel(view(requested_before));
    let (operator, operator_view) = watch::channel(view(requested_before));
    let dialect = Arc::new(NativeDialect::default());
    let (_back_ends, directory_applied) =
        watch_directory(directory_view, dialect.clone(), FleetSize::default());
    let (_in_force, operator_applied) = watch_operator(operator_view, dialect);
    let guard = SuspensionGuard::start([directory_applied, operator_applied]);
    assert!(guard.is_settled());
    std::thread::sleep(milliseconds(900));
    assert!(!guard.is_settled());
    std::thread::sleep(milliseconds(5));
    let requested_since = Some(BootInstant::now());
    directory.send_replace(view(requested_since));
    operator.send_replace(view(requested_since));
    assert!(!guard.is_settled(), "the new rows are not applied yet");
    for _ in 0..STEPS {
        tokio::task::yield_now().await;
    }
    assert!(guard.is_settled());
}
