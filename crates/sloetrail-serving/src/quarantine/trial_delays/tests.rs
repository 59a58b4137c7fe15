use super::TrialDelays;
use sloetrail_quarantine::TRIAL_DELAY;
use std::time::Duration;

const STEP: Duration = Duration::from_secs(10);
const A_WHILE: Duration = Duration::from_secs(30);

/// Guards against items that wait for longer than a tenth of their step after the last crash.
#[test]
fn a_held_request_is_tried_within_a_tenth_of_its_step_after_the_last_crash() {
    let delays = TrialDelays::of_held_request(STEP);
    let at_crash = delays.until_trial(Duration::ZERO, Duration::ZERO);
    assert!(at_crash <= STEP / 10, "{at_crash:?}");
    assert!(delays.until_trial(at_crash, at_crash).is_zero());
}

/// Guards against a wait without end while back ends go on crashing.
#[test]
fn a_request_is_tried_although_back_ends_go_on_crashing() {
    let delays = TrialDelays::of_held_request(STEP);
    assert!(delays.until_trial(Duration::ZERO, STEP / 2).is_zero());
}

#[test]
fn steps_without_or_with_any_target_have_a_bounded_delay() {
    for run_target in [Duration::ZERO, Duration::from_millis(1), Duration::MAX] {
        let delays = TrialDelays::of_held_request(run_target);
        let delay = delays.until_trial(Duration::ZERO, Duration::ZERO);
        assert!(!delay.is_zero() && delay <= TRIAL_DELAY, "{delay:?}");
        let disturbed = delays.until_trial(Duration::ZERO, A_WHILE);
        assert!(disturbed.is_zero(), "{disturbed:?}");
    }
}

#[test]
fn a_sole_suspect_waits_longer_after_each_trial() {
    let delays = TrialDelays::of_held_request(STEP);
    let first = delays.until_trial_of_sole_suspect(3, Duration::ZERO);
    let second = delays.until_trial_of_sole_suspect(4, Duration::ZERO);
    assert!(
        first > Some(A_WHILE) && second > first,
        "{first:?}, {second:?}"
    );
    let refused = TrialDelays::of_refused_request();
    assert_eq!(refused.until_trial_of_sole_suspect(3, Duration::MAX), None);
}
