use super::{TRIAGE_HOLD, TriageState, TriageTotals};
use crate::owner::batch_scheduler::TurnRule;
use sloetrail_clock::BootInstant;
use std::time::Duration;

/// Guards against a dispatch order that changes on each tick while the work is near the limit or
/// the capacity is unknown for a moment.
#[test]
fn triage_ends_once_the_work_has_fitted_for_a_while() {
    let now = BootInstant::now();
    let mut state = TriageState::new(now);
    assert!(!state.record_plan("m", true, now));
    assert!(state.record_plan("m", false, now));
    let shortly_after = now + TRIAGE_HOLD / 2;
    assert!(state.record_plan("m", true, shortly_after));
    assert!(state.record_plan("m", false, shortly_after));
    assert!(state.record_plan("m", true, now + TRIAGE_HOLD));
    assert!(!state.record_plan("m", true, shortly_after + TRIAGE_HOLD));
}

/// Guards against turns by engine time while all work fits.
#[test]
fn turns_go_by_engine_time_only_under_triage() {
    let now = BootInstant::now();
    let mut state = TriageState::new(now);
    assert_eq!(state.turn_rule(), TurnRule::ItemsInFlight);
    state.record_plan("m", false, now);
    assert!(matches!(state.turn_rule(), TurnRule::EngineTime { .. }));
    state.record_plan("m", true, now + TRIAGE_HOLD);
    assert_eq!(state.turn_rule(), TurnRule::ItemsInFlight);
}

/// Guards against a panic for texts of absurd expected length.
#[test]
fn expected_time_of_a_run_is_bounded() {
    let totals = |waiting_items, waiting_seconds| TriageTotals {
        waiting_items,
        waiting_seconds,
        ..TriageTotals::default()
    };
    assert_eq!(totals(0, 0.0).run_time(), None);
    let of_two = totals(2, 5.0).run_time();
    assert_eq!(of_two, Some(Duration::from_millis(2_500)));
    assert_eq!(totals(1, f64::MAX).run_time(), Some(Duration::MAX));
    assert_eq!(totals(1, f64::INFINITY).run_time(), Some(Duration::MAX));
}
