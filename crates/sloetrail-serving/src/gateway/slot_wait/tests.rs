use super::{SlotWait, SlotWaitEstimate, WaitBounds, next_check_mid_stream, retry_after};
use sloetrail_clock::BootInstant;
use std::time::Duration;

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// All places are taken, by this many requests of this node.
fn full(answer_time: u64, running: usize) -> Option<SlotWaitEstimate> {
    Some(SlotWaitEstimate {
        backoff_remaining: None,
        answer_time: Some(milliseconds(answer_time)),
        running,
        held_back_by: 0,
    })
}

fn paused(time: u64, answer_time: u64) -> Option<SlotWaitEstimate> {
    Some(SlotWaitEstimate {
        backoff_remaining: Some(milliseconds(time)),
        answer_time: Some(milliseconds(answer_time)),
        running: 0,
        held_back_by: 0,
    })
}

fn bounds(latency_target: u64, left: u64) -> WaitBounds {
    WaitBounds {
        latency_target: milliseconds(latency_target),
        left: milliseconds(left),
    }
}

/// How long a request with much time waits while nothing changes.
fn waited(outlook: Option<SlotWaitEstimate>, latency_target: u64) -> Duration {
    waited_of(outlook, bounds(latency_target, 10_000))
}

/// How long a request waits while nothing changes.
fn waited_of(outlook: Option<SlotWaitEstimate>, bounds: WaitBounds) -> Duration {
    let began = BootInstant::now();
    let mut now = began;
    let mut wait = SlotWait::default();
    while let Some(next) = wait.next_look(now, outlook, bounds) {
        assert!(next > now);
        now = next;
    }
    now - began
}

/// Back ends that are full, and requests that go before this one.
fn held_back(answer_time: u64, running: usize, held_back_by: usize) -> Option<SlotWaitEstimate> {
    let outlook = full(answer_time, running)?;
    Some(SlotWaitEstimate {
        held_back_by,
        ..outlook
    })
}

#[test]
fn a_request_that_is_held_back_waits_only_if_its_turn_comes_in_time() {
    let usual = waited(full(60, 8), 200);
    let in_time = waited(held_back(60, 8, 3), 200);
    assert_eq!(in_time, milliseconds(60), "a place comes free each 7.5 ms");
    assert!(in_time < usual, "not longer than others: {usual:?}");
    assert_eq!(waited(held_back(60, 8, 20), 200), Duration::ZERO);
    let left = milliseconds(3_000);
    let later = retry_after(held_back(60, 8, 20), left, 0.5);
    assert!(later > retry_after(full(60, 8), left, 0.5));
}

#[test]
fn a_place_that_comes_free_in_the_ordinary_course_is_waited_for() {
    let waited = waited(full(60, 8), 200);
    assert!(waited > milliseconds(40), "{waited:?}");
    assert!(
        waited <= milliseconds(75),
        "an answer and a look: {waited:?}"
    );
}

#[test]
fn nothing_is_waited_for_that_could_not_be_answered_within_the_target() {
    assert_eq!(waited(full(300, 8), 200), Duration::ZERO);
    assert!(waited(full(150, 8), 200) <= milliseconds(50));
}

#[test]
fn a_pause_is_waited_for_if_it_ends_within_an_ordinary_answer() {
    assert!(waited(paused(20, 25), 150) >= milliseconds(15));
    assert_eq!(waited(paused(480, 25), 150), Duration::ZERO);
    assert_eq!(waited(paused(60, 25), 150), Duration::ZERO);
}

#[test]
fn without_a_back_end_nothing_is_waited_for() {
    assert_eq!(waited(None, 10_000), Duration::ZERO);
}

#[test]
fn the_wait_is_one_over_all_attempts() {
    let began = BootInstant::now();
    let target = bounds(400, 10_000);
    let mut wait = SlotWait::default();
    assert!(wait.next_look(began, full(100, 8), target).is_some());
    let later = began + milliseconds(200);
    assert_eq!(wait.next_look(later, full(100, 8), target), None);
}

#[test]
fn a_refused_caller_comes_back_when_a_place_is_likely_and_not_together_with_others() {
    let left = milliseconds(2_000);
    let early = retry_after(full(60, 8), left, 0.0);
    let late = retry_after(full(60, 8), left, 1.0);
    assert_eq!((early, late), (milliseconds(60), milliseconds(120)));
    let pause = retry_after(paused(480, 60), left, 0.0);
    assert_eq!(pause, milliseconds(480), "not before the pause is over");
}

#[test]
fn a_return_lies_within_what_callers_heed_of_their_time() {
    let left = milliseconds(900);
    for outlook in [paused(2_000, 60), paused(250, 60), None] {
        assert_eq!(retry_after(outlook, left, 1.0), left / 3);
        let early = retry_after(outlook, left, 0.0);
        assert!(early < left / 3, "spread out all the same");
        assert!(
            early >= milliseconds(240),
            "as near to the pause's end as is heeded"
        );
    }
    let none_left = retry_after(None, Duration::ZERO, 0.5);
    assert!(none_left > Duration::ZERO);
}

#[test]
fn a_request_is_refused_while_its_caller_can_come_back() {
    const ANSWER: u64 = 60;
    for left in [130, 180, 200, 230, 250, 400] {
        let waited = waited_of(full(ANSWER, 8), bounds(400, left));
        let left_then = milliseconds(left) - waited;
        let heeded = left_then / 3;
        let told = retry_after(full(ANSWER, 8), left_then, 1.0);
        assert!(told <= heeded, "{told:?} of {left_then:?}");
        let is_short = milliseconds(left) < milliseconds(3 * ANSWER);
        assert!(
            is_short || heeded >= milliseconds(ANSWER),
            "an answer time to come back: {left_then:?}"
        );
        assert!(
            !is_short || waited.is_zero(),
            "nothing is gained: {waited:?}"
        );
    }
}

#[test]
fn a_series_that_is_under_way_waits_to_its_end_and_no_longer() {
    let began = BootInstant::now();
    let deadline = began + milliseconds(500);
    let mut now = began;
    while let Some(next) = next_check_mid_stream(now, deadline) {
        assert!(next > now);
        now = next;
    }
    assert!(now < deadline && now > deadline - milliseconds(40));
}
