use super::{SlotWait, SlotWaitEstimate, WaitBounds, next_check_mid_stream, retry_after};
use sloetrail_clock::BootInstant;
use std::time::Duration;

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// All slots are taken, `running` of them by requests of this node.
fn full(answer_time_ms: u64, running: usize) -> Option<SlotWaitEstimate> {
    Some(SlotWaitEstimate {
        backoff_remaining: None,
        answer_time: Some(milliseconds(answer_time_ms)),
        running,
        requests_ahead: 0,
    })
}

/// All back ends are in backoff.
fn in_backoff(backoff_ms: u64, answer_time_ms: u64) -> Option<SlotWaitEstimate> {
    Some(SlotWaitEstimate {
        backoff_remaining: Some(milliseconds(backoff_ms)),
        answer_time: Some(milliseconds(answer_time_ms)),
        running: 0,
        requests_ahead: 0,
    })
}

fn bounds(latency_target_ms: u64, remaining_ms: u64) -> WaitBounds {
    WaitBounds {
        latency_target: milliseconds(latency_target_ms),
        remaining: milliseconds(remaining_ms),
    }
}

/// Returns how long a request with a distant deadline waits while the estimate stays the same.
fn waited(estimate: Option<SlotWaitEstimate>, latency_target_ms: u64) -> Duration {
    waited_within(estimate, bounds(latency_target_ms, 10_000))
}

/// Returns how long a request waits while the estimate stays the same.
fn waited_within(estimate: Option<SlotWaitEstimate>, bounds: WaitBounds) -> Duration {
    let started_at = BootInstant::now();
    let mut now = started_at;
    let mut wait = SlotWait::default();
    while let Some(next) = wait.next_check(now, estimate, bounds) {
        assert!(next > now);
        now = next;
    }
    now - started_at
}

/// All slots are taken, and the tenant is above its share with this many requests ahead.
fn above_share(
    answer_time_ms: u64,
    running: usize,
    requests_ahead: usize,
) -> Option<SlotWaitEstimate> {
    let estimate = full(answer_time_ms, running)?;
    Some(SlotWaitEstimate {
        requests_ahead,
        ..estimate
    })
}

#[test]
fn tenants_above_their_share_wait_only_if_reached_in_time() {
    let usual = waited(full(60, 8), 200);
    let in_time = waited(above_share(60, 8, 3), 200);
    assert_eq!(in_time, milliseconds(60), "a slot is freed every 7.5 ms");
    assert!(in_time < usual, "longer than the wait of others: {usual:?}");
    assert_eq!(waited(above_share(60, 8, 20), 200), Duration::ZERO);
    let remaining = milliseconds(3_000);
    let later = retry_after(above_share(60, 8, 20), remaining, 0.5);
    assert!(later > retry_after(full(60, 8), remaining, 0.5));
}

#[test]
fn requests_wait_for_slots_that_free_up_normally() {
    let waited = waited(full(60, 8), 200);
    assert!(waited > milliseconds(40), "{waited:?}");
    assert!(
        waited <= milliseconds(75),
        "longer than an answer time and a check interval: {waited:?}"
    );
}

#[test]
fn requests_do_not_wait_beyond_the_latency_target() {
    assert_eq!(waited(full(300, 8), 200), Duration::ZERO);
    assert!(waited(full(150, 8), 200) <= milliseconds(50));
}

#[test]
fn requests_wait_for_backoff_shorter_than_an_answer() {
    assert!(waited(in_backoff(20, 25), 150) >= milliseconds(15));
    assert_eq!(waited(in_backoff(480, 25), 150), Duration::ZERO);
    assert_eq!(waited(in_backoff(60, 25), 150), Duration::ZERO);
}

#[test]
fn requests_do_not_wait_without_back_ends() {
    assert_eq!(waited(None, 10_000), Duration::ZERO);
}

#[test]
fn all_attempts_share_one_wait() {
    let started_at = BootInstant::now();
    let target = bounds(400, 10_000);
    let mut wait = SlotWait::default();
    assert!(wait.next_check(started_at, full(100, 8), target).is_some());
    let later = started_at + milliseconds(200);
    assert_eq!(wait.next_check(later, full(100, 8), target), None);
}

#[test]
fn retry_delays_cover_the_expected_wait_with_jitter() {
    let remaining = milliseconds(2_000);
    let early = retry_after(full(60, 8), remaining, 0.0);
    let late = retry_after(full(60, 8), remaining, 1.0);
    assert_eq!((early, late), (milliseconds(60), milliseconds(120)));
    let after_backoff = retry_after(in_backoff(480, 60), remaining, 0.0);
    assert_eq!(
        after_backoff,
        milliseconds(480),
        "retry before the backoff ends"
    );
}

#[test]
fn retry_delays_stay_within_a_third_of_the_time_left() {
    let remaining = milliseconds(900);
    for estimate in [in_backoff(2_000, 60), in_backoff(250, 60), None] {
        assert_eq!(retry_after(estimate, remaining, 1.0), remaining / 3);
        let early = retry_after(estimate, remaining, 0.0);
        assert!(early < remaining / 3, "retry delays without jitter");
        assert!(
            early >= milliseconds(240),
            "retry too long before the backoff ends"
        );
    }
    let none_left = retry_after(None, Duration::ZERO, 0.5);
    assert!(none_left > Duration::ZERO);
}

#[test]
fn refused_callers_have_time_to_retry() {
    const ANSWER_TIME_MS: u64 = 60;
    for remaining_ms in [130, 180, 200, 230, 250, 400] {
        let waited = waited_within(full(ANSWER_TIME_MS, 8), bounds(400, remaining_ms));
        let remaining_then = milliseconds(remaining_ms) - waited;
        let longest = remaining_then / 3;
        let delay = retry_after(full(ANSWER_TIME_MS, 8), remaining_then, 1.0);
        assert!(delay <= longest, "{delay:?} of {remaining_then:?}");
        let is_short = milliseconds(remaining_ms) < milliseconds(3 * ANSWER_TIME_MS);
        assert!(
            is_short || longest >= milliseconds(ANSWER_TIME_MS),
            "less than an answer time to retry: {remaining_then:?}"
        );
        assert!(
            !is_short || waited.is_zero(),
            "waited without enough time left: {waited:?}"
        );
    }
}

#[test]
fn started_streams_wait_until_their_deadline() {
    let started_at = BootInstant::now();
    let deadline = started_at + milliseconds(500);
    let mut now = started_at;
    while let Some(next) = next_check_mid_stream(now, deadline) {
        assert!(next > now);
        now = next;
    }
    assert!(now < deadline && now > deadline - milliseconds(40));
}
