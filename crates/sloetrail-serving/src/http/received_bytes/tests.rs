use super::{MAX_BYTES_WITHOUT_PROGRESS, MAX_HEAD_TIME, ReceivedBytes};
use sloetrail_clock::BootInstant;
use std::time::Duration;

const DRIP_INTERVAL: Duration = Duration::from_millis(100);

/// Guards against a head of which a byte arrives now and then for ever.
#[test]
fn a_dripped_head_fails_soon_after_its_first_byte() {
    let received = ReceivedBytes::new();
    let start = BootInstant::now();
    let drips = (0..).map(|number| start + DRIP_INTERVAL * number);
    let mut failures = drips.filter(|now| !received.add(1, *now));
    let failed_at = failures.next().expect("a failure");
    assert!(failed_at <= start + MAX_HEAD_TIME + DRIP_INTERVAL);
}

/// A back end may send an interim head and be busy for long, and it may be busy before any byte.
#[test]
fn a_head_after_an_interim_one_and_a_pause_is_in_time() {
    let received = ReceivedBytes::new();
    let start = BootInstant::now();
    assert!(received.add(30, start));
    assert!(received.add(100, start + 2 * MAX_HEAD_TIME));
    received.record_progress();
    received.record_request();
    assert!(received.add(100, start + 9 * MAX_HEAD_TIME));
}

/// Guards against a body that is cut because its data comes slowly: only a head has a time.
#[test]
fn a_body_that_gets_on_is_never_late_or_too_large() {
    let received = ReceivedBytes::new();
    let start = BootInstant::now();
    for number in 0..100 {
        received.record_progress();
        assert!(received.add(MAX_BYTES_WITHOUT_PROGRESS, start + MAX_HEAD_TIME * number));
    }
    assert!(!received.add(1, start));
}
