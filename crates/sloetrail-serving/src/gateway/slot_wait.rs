//! How long a request waits for a slot at a back end, and the retry delay of refused requests.
//!
//! Each answer frees a slot. A request waits if a slot is likely to be free within one usual
//! answer time, the answer would still meet the latency target, and the caller would have time
//! left to retry after a refusal. Otherwise it is refused immediately, with a retry delay after
//! which a slot is likely to be free. A request of a tenant above its share counts the requests
//! ahead of it, so it is refused earlier than others.
//!
//! An event stream that has forwarded events can no longer be refused or retried by the caller:
//! it waits until its deadline.

use crate::loss_backoff::REFUSAL_BACKOFF;
use sloetrail_clock::BootInstant;
use std::time::Duration;

/// Time between two checks for a free slot: about half of the shortest answer times of
/// applications.
const CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Minimum assumed answer time: leaves time to retry a full back end twice.
const MIN_ANSWER_TIME: Duration = REFUSAL_BACKOFF.saturating_mul(2);
/// Assumed answer time until one is measured. Applications answer within tens of milliseconds.
const DEFAULT_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Retry delay if no back end takes work. New back ends are listed within about a second.
const NO_BACK_END_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Callers honor a retry delay of at most their remaining time divided by this.
const RETRY_DELAY_DIVISOR: u32 = 3;
/// Minimum jitter, as a fraction of the maximum retry delay. Of 100 callers with 2 s left, one
/// returns every 1.3 ms.
const MIN_JITTER_FRACTION: f64 = 0.2;

/// The data for estimating when a slot will be free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotWaitEstimate {
    /// The time until the first back end leaves its backoff after losses or refusals; `None` if
    /// a back end is not in backoff.
    pub(crate) backoff_remaining: Option<Duration>,
    /// The 90th percentile of the service's answer times; `None` if unknown.
    pub(crate) answer_time: Option<Duration>,
    /// Requests of this node in flight at these back ends.
    pub(crate) running: usize,
    /// Waiting requests ahead of this one because its tenant is above its share; zero if it is
    /// not.
    pub(crate) requests_ahead: usize,
}

impl SlotWaitEstimate {
    fn answer_time(&self) -> Duration {
        let known = self.answer_time.map(|time| time.max(MIN_ANSWER_TIME));
        known.unwrap_or(DEFAULT_ANSWER_TIME)
    }

    /// Estimates the time until this request gets a slot.
    fn time_to_slot(&self) -> Duration {
        let running = u32::try_from(self.running).unwrap_or(u32::MAX);
        let next_answer = self.answer_time() / running.max(1);
        let ahead = u32::try_from(self.requests_ahead).unwrap_or(u32::MAX);
        let own_turn = next_answer.saturating_mul(ahead.saturating_add(1));
        self.backoff_remaining.unwrap_or(own_turn)
    }
}

/// The limits of a request's wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitBounds {
    pub(crate) latency_target: Duration,
    /// The time until the request's deadline.
    pub(crate) remaining: Duration,
}

/// A request's wait for slots, over all its attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotWait {
    until: Option<BootInstant>,
}

impl SlotWait {
    /// Returns when to check for a free slot again, or `None` if the request should be refused.
    pub(crate) fn next_check(
        &mut self,
        now: BootInstant,
        estimate: Option<SlotWaitEstimate>,
        bounds: WaitBounds,
    ) -> Option<BootInstant> {
        let estimate = estimate?;
        let answer_time = estimate.answer_time();
        let in_target = bounds.latency_target.saturating_sub(answer_time);
        // Leaves the caller enough time that it honors a retry delay of one answer time.
        let before_retry = bounds
            .remaining
            .saturating_sub(answer_time * RETRY_DELAY_DIVISOR);
        let longest = (answer_time + CHECK_INTERVAL)
            .min(in_target)
            .min(before_retry);
        let until = *self.until.get_or_insert(now + longest);
        let expected_at = now + estimate.time_to_slot().max(CHECK_INTERVAL);
        (expected_at <= until).then_some(now + CHECK_INTERVAL)
    }
}

/// Returns when to check for a free slot again to resume an event stream, or `None` if that
/// would be after its deadline.
pub(crate) fn next_check_mid_stream(
    now: BootInstant,
    deadline: BootInstant,
) -> Option<BootInstant> {
    let next = now + CHECK_INTERVAL;
    (next < deadline).then_some(next)
}

/// Returns the retry delay of a refused request: a slot is likely to be free by then, and the
/// caller still has time. `jitter`, between zero and one, spreads the retries of callers that
/// were refused together.
pub(crate) fn retry_after(
    estimate: Option<SlotWaitEstimate>,
    remaining: Duration,
    jitter: f64,
) -> Duration {
    let likely = estimate.map_or(NO_BACK_END_RETRY_DELAY, |estimate| {
        estimate.time_to_slot().max(estimate.answer_time())
    });
    let latest = (likely * 2).min(remaining / RETRY_DELAY_DIVISOR);
    let earliest = likely.min(latest.mul_f64(1.0 - MIN_JITTER_FRACTION));
    let drawn = earliest + (latest - earliest).mul_f64(jitter);
    drawn.max(REFUSAL_BACKOFF)
}

#[cfg(test)]
mod tests;
