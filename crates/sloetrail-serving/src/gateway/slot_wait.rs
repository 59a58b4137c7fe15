//! How long a request waits for a place at a back end, and when one that is refused is told
//! to come back.
//!
//! Places come free all the time at a busy application, one for each answer. So a request
//! waits while a place is likely to come free soon: until an ordinary answer has been seen to
//! free one, and only as long as its own answer still comes within the latency target. It is
//! refused while its caller has time enough to come back. What cannot be had by then is
//! refused at once, with the time after which a return has a good chance. A request whose
//! tenant has more than its share under way counts those that go before it, so that it is
//! refused before others are.
//!
//! A series of which events were passed on cannot be refused any more, and its caller cannot
//! come back: it waits for as long as it has time.

use crate::loss_backoff::PAUSE_AFTER_REFUSAL;
use sloetrail_clock::BootInstant;
use std::time::Duration;

/// Between two looks for a place: about half of the quickest answers of applications.
const LOOK_PERIOD: Duration = Duration::from_millis(15);
/// What an answer is taken to take at least: a back end that was full is tried again twice.
const ANSWER_TIME_LEAST: Duration = PAUSE_AFTER_REFUSAL.saturating_mul(2);
/// What an answer is taken to take while none is known: applications answer in tens of
/// milliseconds, and the first pause after a loss is 60 ms.
const ANSWER_TIME_UNKNOWN: Duration = Duration::from_millis(100);
/// When to come back if no back end takes work: the list of back ends changes within a
/// second of one that starts.
const NO_BACK_END_PAUSE: Duration = Duration::from_millis(1_000);
/// Callers heed no more than this part of the time that they have left, as a divisor.
const HEEDED_DIVISOR: u32 = 3;
/// Returns are spread over this part of the longest time at least, also where that is the
/// most that callers heed. Of 100 callers with 2 s left, one comes each 1.3 ms then.
const SPREAD_LEAST: f64 = 0.2;

/// What is known of when a place will be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotWaitEstimate {
    /// How long all back ends are still left alone after losses and refusals; nothing if one
    /// may be tried and has no place.
    pub(crate) backoff_remaining: Option<Duration>,
    /// The time within which nine of ten answers of the service come; nothing if not known.
    pub(crate) answer_time: Option<Duration>,
    /// Requests of this node that run there, each of which frees a place.
    pub(crate) running: usize,
    /// Requests that get a place first because this one's tenant has more than its share
    /// under way; zero while it has not.
    pub(crate) held_back_by: usize,
}

impl SlotWaitEstimate {
    fn answer_time(&self) -> Duration {
        let known = self.answer_time.map(|time| time.max(ANSWER_TIME_LEAST));
        known.unwrap_or(ANSWER_TIME_UNKNOWN)
    }

    /// How long until the next place is likely to be had.
    fn soonest(&self) -> Duration {
        let running = u32::try_from(self.running).unwrap_or(u32::MAX);
        let next_answer = self.answer_time() / running.max(1);
        let first = u32::try_from(self.held_back_by).unwrap_or(u32::MAX);
        let own_turn = next_answer.saturating_mul(first.saturating_add(1));
        self.backoff_remaining.unwrap_or(own_turn)
    }
}

/// What a request's wait is bounded by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitBounds {
    /// The time within which its route's answers should come.
    pub(crate) latency_target: Duration,
    /// The time until its final answer is due.
    pub(crate) left: Duration,
}

/// A request's wait for places, over all its attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotWait {
    until: Option<BootInstant>,
}

impl SlotWait {
    /// When to look for a place again; nothing if the request should be refused now.
    pub(crate) fn next_look(
        &mut self,
        now: BootInstant,
        outlook: Option<SlotWaitEstimate>,
        bounds: WaitBounds,
    ) -> Option<BootInstant> {
        let outlook = outlook?;
        let answer_time = outlook.answer_time();
        let in_target = bounds.latency_target.saturating_sub(answer_time);
        // Of three answer times a caller waits one and has two left for its return.
        let to_return = bounds.left.saturating_sub(answer_time * HEEDED_DIVISOR);
        let longest = (answer_time + LOOK_PERIOD).min(in_target).min(to_return);
        let until = *self.until.get_or_insert(now + longest);
        let had_by = now + outlook.soonest().max(LOOK_PERIOD);
        (had_by <= until).then_some(now + LOOK_PERIOD)
    }
}

/// When to look for a place again to go on with a series of which events were passed on;
/// nothing once its time is over.
pub(crate) fn next_check_mid_stream(
    now: BootInstant,
    deadline: BootInstant,
) -> Option<BootInstant> {
    let next = now + LOOK_PERIOD;
    (next < deadline).then_some(next)
}

/// When a caller that is refused should come back: once a place is likely to be had, within
/// the time that it has left. `spread`, drawn between zero and one, keeps callers that were
/// refused together from coming back together.
pub(crate) fn retry_after(
    outlook: Option<SlotWaitEstimate>,
    left: Duration,
    spread: f64,
) -> Duration {
    let likely = outlook.map_or(NO_BACK_END_PAUSE, |outlook| {
        outlook.soonest().max(outlook.answer_time())
    });
    let latest = (likely * 2).min(left / HEEDED_DIVISOR);
    let earliest = likely.min(latest.mul_f64(1.0 - SPREAD_LEAST));
    let drawn = earliest + (latest - earliest).mul_f64(spread);
    drawn.max(PAUSE_AFTER_REFUSAL)
}

#[cfg(test)]
mod tests;
