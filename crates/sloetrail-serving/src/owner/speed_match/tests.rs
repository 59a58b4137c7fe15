use super::{EngineSpeed, WaitingText, choose_text};
use std::time::Duration;

const MEDIAN_US: u64 = 40_000;
const MEDIAN: EngineSpeed = speed(MEDIAN_US);
/// About half of the usual speed.
const SLOWER: EngineSpeed = speed(88_000);
const UNKNOWN: EngineSpeed = EngineSpeed {
    interval_us: None,
    median_us: None,
};

const fn speed(interval_us: u64) -> EngineSpeed {
    EngineSpeed {
        interval_us: Some(interval_us),
        median_us: Some(MEDIAN_US),
    }
}

/// Texts with these numbers of remaining events, in dispatch order.
fn texts(remaining: &[f64]) -> impl Iterator<Item = WaitingText> {
    let texts = remaining.iter().copied().enumerate();
    texts.map(|(index, events)| WaitingText {
        index,
        remaining_units: events * 3.0,
        remaining_events: Some(events),
    })
}

fn seconds(seconds: u64) -> Option<Duration> {
    Some(Duration::from_secs(seconds))
}

/// Load: texts of all lengths wait, and slots free at engines of two speeds. Guards against the
/// longest text landing on an engine of half the speed while a fast one frees a moment later.
#[test]
fn slower_engine_leaves_the_longest_text_to_a_faster_one() {
    let mut waiting = vec![150.0, 90.0, 60.0, 20.0];
    let at_slower = choose_text(texts(&waiting), SLOWER, None).expect("texts wait");
    assert_eq!(waiting.remove(at_slower), 20.0);
    let at_median = choose_text(texts(&waiting), MEDIAN, None).expect("texts wait");
    assert_eq!(waiting.remove(at_median), 150.0);
}

/// Load: only long texts wait, none of which ends in time at the slower engine. Guards against an
/// engine at half the speed that stands idle while items wait.
#[test]
fn slower_engine_takes_the_shortest_text_even_if_it_is_late() {
    let waiting = [150.0, 120.0, 110.0];
    assert_eq!(choose_text(texts(&waiting), SLOWER, seconds(2)), Some(2));
    assert_eq!(choose_text(texts(&waiting), SLOWER, seconds(0)), Some(2));
    assert_eq!(choose_text(texts(&[]), SLOWER, seconds(2)), None);
}

/// Load: the batch is due in 4 s, and 100 events fit. Guards against a slot spent on a text that
/// is late anyway while another one would still end in time.
#[test]
fn text_that_ends_in_time_goes_before_a_longer_one_that_does_not() {
    let waiting = [150.0, 101.0, 100.0, 20.0];
    assert_eq!(choose_text(texts(&waiting), MEDIAN, seconds(4)), Some(2));
    assert_eq!(
        choose_text(texts(&waiting), MEDIAN, seconds(0)),
        Some(0),
        "none ends in time"
    );
    assert_eq!(choose_text(texts(&waiting), MEDIAN, None), Some(0));
}

/// Load: an engine that the load slows down a little. Guards against giving only short texts to
/// engines of the usual kind.
#[test]
fn slightly_slower_engine_takes_texts_in_dispatch_order() {
    let waiting = [150.0, 20.0];
    assert_eq!(choose_text(texts(&waiting), speed(58_000), None), Some(0));
    assert_eq!(choose_text(texts(&waiting), speed(62_000), None), Some(1));
}

/// Load: the owner is new. Guards against reordering by figures that are not known yet.
#[test]
fn unknown_figures_leave_the_dispatch_order() {
    let waiting = [150.0, 20.0];
    assert_eq!(choose_text(texts(&waiting), UNKNOWN, seconds(1)), Some(0));
    let without_events = texts(&waiting).map(|text| WaitingText {
        remaining_events: None,
        ..text
    });
    assert_eq!(choose_text(without_events, MEDIAN, seconds(1)), Some(0));
    let unmeasured = EngineSpeed {
        interval_us: None,
        ..MEDIAN
    };
    assert_eq!(
        choose_text(texts(&waiting), unmeasured, seconds(1)),
        Some(1),
        "an engine without an interval counts with the median"
    );
}

/// Guards against panics on numbers that hints and gaps may lead to.
#[test]
fn absurd_numbers_choose_some_text() {
    let waiting = [f64::INFINITY, f64::NAN, f64::MAX, 0.0, -1.0];
    for interval_us in [0, 1, u64::MAX] {
        for time_left in [None, Some(Duration::ZERO), Some(Duration::MAX)] {
            let chosen = choose_text(texts(&waiting), speed(interval_us), time_left);
            assert!(chosen.is_some());
        }
    }
}
