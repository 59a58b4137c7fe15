use super::{ScarceSlowness, SlownessFactors};
use sloetrail_clock::BootInstant;
use std::time::Duration;

/// Judges an engine with constant factors every 100 ms. Returns the decision at the end.
fn judge_for(
    slowness: &mut ScarceSlowness,
    mut is_slow: bool,
    (momentary, lasting): (f64, f64),
    start: BootInstant,
    duration: Duration,
) -> bool {
    let factors = SlownessFactors { momentary, lasting };
    for tick in 0..=duration.as_millis() as u64 / 100 {
        let now = start + Duration::from_millis(tick * 100);
        is_slow = slowness.judge(is_slow, true, factors, now);
    }
    is_slow
}

fn settled(is_slow: bool, factors: (f64, f64)) -> bool {
    let mut slowness = ScarceSlowness::default();
    let duration = Duration::from_secs(5);
    judge_for(
        &mut slowness,
        is_slow,
        factors,
        BootInstant::now(),
        duration,
    )
}

/// Load: an engine at less than half the speed, which other work slows down 2.5 times for 600 ms
/// at a time. Guards against its slots standing idle until the next probe.
#[test]
fn disturbances_do_not_exclude_a_slower_engine() {
    let mut slowness = ScarceSlowness::default();
    let mut now = BootInstant::now();
    for _ in 0..20 {
        for (factors, duration_ms) in [((5.5, 2.4), 1_200), ((2.2, 2.3), 600)] {
            let duration = Duration::from_millis(duration_ms);
            assert!(!judge_for(&mut slowness, false, factors, now, duration));
            now += duration;
        }
    }
}

/// Load: an engine that hangs nearly. Guards against texts that go to it until its lasting
/// interval shows it.
#[test]
fn extremely_slow_engine_is_excluded_within_seconds() {
    assert!(settled(false, (8.0, 1.2)));
}

/// Guards against excluding an engine by a measurement from before it stood idle.
#[test]
fn idle_engine_is_not_excluded_by_its_momentary_interval() {
    let factors = SlownessFactors {
        momentary: 8.0,
        lasting: 1.2,
    };
    let mut slowness = ScarceSlowness::default();
    let now = BootInstant::now();
    for seconds in 0..10 {
        let now = now + Duration::from_secs(seconds);
        assert!(!slowness.judge(false, false, factors, now));
    }
}

/// Guards against excluding an engine that has recovered, or using one that is too slow for any
/// text, because one of its figures says so.
#[test]
fn lasting_and_momentary_figures_must_agree() {
    assert!(settled(false, (2.5, 3.5)));
    assert!(!settled(false, (1.2, 3.5)), "recovered");
    assert!(!settled(true, (1.2, 3.5)), "recovered");
    assert!(!settled(false, (3.8, 2.9)), "disturbed");
}

/// Load: slots become scarce. Guards against an engine that stays excluded because it was slow by
/// the rules for plentiful slots.
#[test]
fn engine_that_was_excluded_before_slots_became_scarce_is_used() {
    assert!(!settled(true, (2.4, 2.4)));
}

/// Guards against an engine that changes between excluded and used at every tick.
#[test]
fn constant_figures_give_a_constant_decision() {
    let figures = [0.5, 1.0, 1.5, 1.6, 2.0, 2.1, 2.9, 3.0, 3.1, 4.0, 4.1, 9.0];
    for momentary in figures {
        for lasting in figures {
            let factors = (momentary, lasting);
            for start in [false, true] {
                let end = settled(start, factors);
                assert_eq!(settled(end, factors), end, "{factors:?}");
            }
        }
    }
}
