//! Decides whether to move a running text to a faster engine while slots are scarce.
//!
//! Load: all slots are in use. A move occupies two engines for a while and repeats work, which
//! delays other texts, so a text moves only if it would otherwise be late and gains clearly more
//! than the move costs.

use super::engines::SIMILAR_INTERVAL_FACTOR;
use std::time::Duration;

/// Minimum ratio of the time that a move saves to what it costs. Both are estimates.
const MIN_GAIN_FACTOR: u32 = 2;

/// A running text at its engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningText {
    /// Expected number of events that remain.
    pub(super) remaining_events: f64,
    /// Lasting event interval of the engine.
    pub(super) interval_us: u64,
    /// Time until the batch is due. None if it has no due time.
    pub(super) time_left: Option<Duration>,
}

/// A free slot at another engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct MoveOffer {
    /// Lasting event interval of the engine.
    pub(super) interval_us: u64,
    /// Events that are discarded because the engine can't continue the text.
    pub(super) discarded_events: usize,
    /// Time for the new connection and for reading the prompt and the text so far again.
    pub(super) stall: Duration,
}

/// Why a text that would end earlier elsewhere stays where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WithheldMove {
    /// The text ends before its batch is due.
    EndsInTime,
    /// The gain does not exceed the cost by [`MIN_GAIN_FACTOR`].
    GainTooSmall,
    /// The engine is slow, which alone is no cause while slots are scarce.
    SlowEngine,
}

impl WithheldMove {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::EndsInTime => "ends_in_time",
            Self::GainTooSmall => "gain_too_small",
            Self::SlowEngine => "slow_engine",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MoveDecision {
    /// The move saves this time.
    Move(Duration),
    Withheld(WithheldMove),
    /// The other engine is not clearly faster, or saves less than the stall.
    NoGain,
}

/// Decides whether a text moves to a free slot elsewhere.
pub(super) fn decide_move(text: RunningText, offer: MoveOffer) -> MoveDecision {
    let time_for =
        |interval_us: u64, events: f64| Duration::from_micros((interval_us as f64 * events) as u64);
    let time_here = time_for(text.interval_us, text.remaining_events);
    let time_there = time_for(offer.interval_us, text.remaining_events);
    let gain = time_here.saturating_sub(time_there);
    let is_clearly_faster =
        text.interval_us as f64 > offer.interval_us as f64 * SIMILAR_INTERVAL_FACTOR;
    if !is_clearly_faster || gain < offer.stall {
        return MoveDecision::NoGain;
    }
    if text.time_left.is_some_and(|left| time_here <= left) {
        return MoveDecision::Withheld(WithheldMove::EndsInTime);
    }
    let repeated = time_for(offer.interval_us, offer.discarded_events as f64);
    let cost = offer.stall.saturating_add(repeated);
    if gain <= cost.saturating_mul(MIN_GAIN_FACTOR) {
        return MoveDecision::Withheld(WithheldMove::GainTooSmall);
    }
    MoveDecision::Move(gain)
}

#[cfg(test)]
mod tests;
