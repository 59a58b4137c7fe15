use super::{SuspensionGuard, Wakefulness};
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
fn ordinary_ticks_leave_beliefs_alone() {
    let mut now = BootInstant::now();
    let mut wakefulness = Wakefulness::new(now);
    for _ in 0..20 {
        now += milliseconds(150);
        assert_eq!(wakefulness.note(now), None);
        assert!(wakefulness.is_settled(now, None));
    }
}

#[test]
fn after_a_pause_an_answer_to_an_older_question_is_not_enough() {
    let start = BootInstant::now();
    let mut wakefulness = Wakefulness::new(start);
    let woken = start + milliseconds(4_000);
    assert_eq!(wakefulness.note(woken), Some(milliseconds(4_000)));
    let asked_before = Some(start + milliseconds(10));
    assert!(!wakefulness.is_settled(woken + milliseconds(5), asked_before));
    let asked_since = Some(woken + milliseconds(6));
    assert!(wakefulness.is_settled(woken + milliseconds(12), asked_since));
    assert!(wakefulness.is_settled(woken + milliseconds(13), asked_before));
}

#[test]
fn without_the_table_beliefs_are_used_again_after_a_while() {
    let start = BootInstant::now();
    let mut wakefulness = Wakefulness::new(start);
    let woken = start + milliseconds(2_000);
    wakefulness.note(woken);
    assert!(!wakefulness.is_settled(woken + milliseconds(499), None));
    assert!(wakefulness.is_settled(woken + milliseconds(500), None));
}

fn view(asked_at: Option<BootInstant>) -> Arc<TableView> {
    Arc::new(TableView {
        confirmed_at: asked_at,
        asked_at,
        ..TableView::empty()
    })
}

#[tokio::test]
async fn after_a_pause_both_the_directory_and_the_operators_rows_must_have_answered() {
    let asked_before = Some(BootInstant::now());
    let (directory, directory_taken) = watch::channel(asked_before);
    let (operator, operator_taken) = watch::channel(asked_before);
    let guard = SuspensionGuard::start([directory_taken, operator_taken]);
    assert!(guard.is_settled());
    // The whole process stands still.
    std::thread::sleep(milliseconds(900));
    assert!(!guard.is_settled());
    std::thread::sleep(milliseconds(5));
    let asked_since = Some(BootInstant::now());
    directory.send_replace(asked_since);
    assert!(!guard.is_settled(), "the operator's rows are old");
    operator.send_replace(asked_since);
    assert!(guard.is_settled());
}

#[tokio::test]
async fn after_a_pause_what_was_answered_must_have_been_taken_in() {
    const STEPS: usize = 10;
    let asked_before = Some(BootInstant::now());
    let (directory, directory_view) = watch::channel(view(asked_before));
    let (operator, operator_view) = watch::channel(view(asked_before));
    let dialect = Arc::new(NativeDialect::default());
    let (_back_ends, directory_taken) =
        watch_directory(directory_view, dialect.clone(), FleetSize::default());
    let (_in_force, operator_taken) = watch_operator(operator_view, dialect);
    let guard = SuspensionGuard::start([directory_taken, operator_taken]);
    assert!(guard.is_settled());
    std::thread::sleep(milliseconds(900));
    assert!(!guard.is_settled());
    std::thread::sleep(milliseconds(5));
    let asked_since = Some(BootInstant::now());
    directory.send_replace(view(asked_since));
    operator.send_replace(view(asked_since));
    assert!(!guard.is_settled(), "nobody sees the new rows yet");
    for _ in 0..STEPS {
        tokio::task::yield_now().await;
    }
    assert!(guard.is_settled());
}
