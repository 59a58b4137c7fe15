use super::{MoveDecision, MoveOffer, RunningText, WithheldMove, decide_move};
use std::time::Duration;

const STALL: Duration = Duration::from_millis(250);

/// 100 events at an engine of half the speed: 8 s.
fn late_text() -> RunningText {
    RunningText {
        remaining_events: 100.0,
        interval_us: 80_000,
        time_left: Some(Duration::from_secs(5)),
    }
}

fn fast_engine() -> MoveOffer {
    MoveOffer {
        interval_us: 40_000,
        discarded_events: 0,
        stall: STALL,
    }
}

/// Guards against a text that is late at a slow engine while a fast one has a free slot.
#[test]
fn late_text_moves_to_a_much_faster_engine() {
    assert_eq!(
        decide_move(late_text(), fast_engine()),
        MoveDecision::Move(Duration::from_secs(4))
    );
    let without_due_time = RunningText {
        time_left: None,
        ..late_text()
    };
    assert_eq!(
        decide_move(without_due_time, fast_engine()),
        MoveDecision::Move(Duration::from_secs(4))
    );
}

/// Load: all slots are in use. Guards against interrupting texts that are in time anyway.
#[test]
fn text_that_ends_in_time_is_not_moved() {
    let in_time = RunningText {
        time_left: Some(Duration::from_secs(8)),
        ..late_text()
    };
    assert_eq!(
        decide_move(in_time, fast_engine()),
        MoveDecision::Withheld(WithheldMove::EndsInTime)
    );
}

/// Load: all slots are in use. Guards against moves whose gain is within the error of the estimate.
#[test]
fn gain_must_exceed_twice_the_cost() {
    let short = |remaining_events| RunningText {
        remaining_events,
        time_left: Some(Duration::ZERO),
        ..late_text()
    };
    assert_eq!(
        decide_move(short(12.5), fast_engine()),
        MoveDecision::Withheld(WithheldMove::GainTooSmall)
    );
    assert_eq!(
        decide_move(short(13.0), fast_engine()),
        MoveDecision::Move(Duration::from_millis(520))
    );
    assert_eq!(decide_move(short(6.0), fast_engine()), MoveDecision::NoGain);
}

/// Load: texts must come from one version. Guards against a move that discards more than it saves.
#[test]
fn discarded_events_count_as_cost() {
    let discarding = |discarded_events| MoveOffer {
        discarded_events,
        ..fast_engine()
    };
    assert!(matches!(
        decide_move(late_text(), discarding(40)),
        MoveDecision::Move(_)
    ));
    assert_eq!(
        decide_move(late_text(), discarding(60)),
        MoveDecision::Withheld(WithheldMove::GainTooSmall)
    );
}

/// Guards against moves between engines of the same kind.
#[test]
fn similar_engine_offers_no_gain() {
    let similar = MoveOffer {
        interval_us: 75_000,
        ..fast_engine()
    };
    assert_eq!(decide_move(late_text(), similar), MoveDecision::NoGain);
}

/// Guards against panics on numbers that hints and gaps may lead to.
#[test]
fn absurd_numbers_are_decided() {
    for remaining_events in [f64::NAN, f64::INFINITY, f64::MAX, -1.0, 0.0] {
        for interval_us in [0, 1, u64::MAX] {
            for discarded_events in [0, usize::MAX] {
                let text = RunningText {
                    remaining_events,
                    interval_us,
                    time_left: Some(Duration::MAX),
                };
                let offer = MoveOffer {
                    interval_us: u64::MAX - interval_us,
                    discarded_events,
                    stall: Duration::MAX,
                };
                assert!(!matches!(decide_move(text, offer), MoveDecision::Move(_)));
            }
        }
    }
}
