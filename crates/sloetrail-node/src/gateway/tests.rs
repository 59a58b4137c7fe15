use super::throughput::Throughput;
use std::time::{Duration, Instant};

const ANSWER: Duration = Duration::from_millis(100);

/// A service that ends an answer every 10 ms, each of which took 100 ms.
fn busy(throughput: &mut Throughput, from: Instant, answers: u32) -> Instant {
    let mut now = from;
    for _ in 0..answers {
        now += Duration::from_millis(10);
        throughput.finished(now - ANSWER, now);
    }
    now
}

#[test]
fn the_expected_time_grows_with_the_queue() {
    let mut throughput = Throughput::default();
    busy(&mut throughput, Instant::now() + ANSWER, 200);
    let alone = throughput.expected_time(0).as_millis();
    let behind_fifty = throughput.expected_time(50).as_millis();
    assert!((95..=105).contains(&alone), "{alone}");
    assert!((560..=610).contains(&behind_fifty), "{behind_fifty}");
}

#[test]
fn a_quiet_minute_does_not_make_the_queue_look_slow() {
    let mut throughput = Throughput::default();
    let now = busy(&mut throughput, Instant::now() + ANSWER, 200);
    busy(&mut throughput, now + Duration::from_secs(60), 1);
    let behind_ten = throughput.expected_time(10).as_millis();
    assert!(behind_ten < 260, "{behind_ten}");
}
