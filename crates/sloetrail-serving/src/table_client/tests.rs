use super::Patience;
use std::time::Duration;

const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_fast_table_is_not_waited_for_long() {
    let mut patience = Patience::default();
    for _ in 0..10 {
        patience.note_answer(milliseconds(4));
    }
    assert_eq!(patience.time(), milliseconds(150));
}

#[test]
fn silence_makes_patient_until_the_slow_table_answers_and_stays_so() {
    let mut patience = Patience::default();
    let mut waits = Vec::new();
    while patience.time() < milliseconds(500) {
        waits.push(patience.time());
        patience.note_silence();
    }
    assert_eq!(waits, [milliseconds(150), milliseconds(300)]);
    patience.note_answer(milliseconds(400));
    assert_eq!(patience.time(), milliseconds(2_400));
    for _ in 0..30 {
        patience.note_answer(milliseconds(4));
    }
    assert_eq!(patience.time(), milliseconds(150));
}

#[test]
fn patience_has_a_bound() {
    let mut patience = Patience::default();
    for _ in 0..100 {
        patience.note_silence();
    }
    assert_eq!(patience.time(), milliseconds(3_000));
}
