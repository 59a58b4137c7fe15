use super::Wakefulness;
use std::time::Duration;
use tokio::time::Instant;

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn ordinary_ticks_leave_beliefs_alone() {
    let mut now = Instant::now();
    let mut wakefulness = Wakefulness::new(now);
    for _ in 0..20 {
        now += milliseconds(150);
        assert_eq!(wakefulness.note(now), None);
        assert!(wakefulness.is_settled(now, None));
    }
}

#[test]
fn after_a_pause_an_answer_to_an_older_question_is_not_enough() {
    let start = Instant::now();
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
    let start = Instant::now();
    let mut wakefulness = Wakefulness::new(start);
    let woken = start + milliseconds(2_000);
    wakefulness.note(woken);
    assert!(!wakefulness.is_settled(woken + milliseconds(499), None));
    assert!(wakefulness.is_settled(woken + milliseconds(500), None));
}
