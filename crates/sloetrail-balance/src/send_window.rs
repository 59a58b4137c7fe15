//! A bound on what one sender gives a back end in any span of time.

use sloetrail_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Sends that lie further apart than the span by less than this may arrive within it: the
/// later one over a kept connection, the earlier one over a new one.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(100);
/// Sends that are remembered. More than this in a second need no bound: no back end that
/// has to be spared bears them.
const SENDS_KEPT: usize = 256;
/// The span that bounds are about, but those of less than one send a second.
const SECOND: Duration = Duration::from_secs(1);
/// How long the sends to a back end that is no longer listed are remembered: it may be
/// listed again within the second that bounds are about.
const KEPT_FOR: Duration = SECOND.saturating_add(ARRIVAL_MARGIN);

/// So many sends in any span of this length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBound {
    /// The most sends.
    pub most: usize,
    /// The length of the span.
    pub span: Duration,
}

impl SendBound {
    /// No sends at all.
    pub const NONE: Self = Self {
        most: 0,
        span: SECOND,
    };

    /// As many sends in any second, or one in any longer span where that is less than one.
    pub fn per_second(rate: f64) -> Self {
        if !rate.is_finite() || rate <= 0.0 {
            return Self::NONE;
        }
        match rate >= 1.0 {
            true => Self {
                most: rate.floor() as usize,
                span: SECOND,
            },
            false => Self {
                most: 1,
                span: Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX),
            },
        }
    }
}

/// The last sends of one sender to one back end.
#[derive(Clone, Debug, Default)]
pub struct SendWindow {
    sends: VecDeque<Timestamp>,
}

impl SendWindow {
    /// True if one more send keeps the bound.
    pub fn has_room(&self, now: Timestamp, bound: SendBound) -> bool {
        let span = bound.span.saturating_add(ARRIVAL_MARGIN);
        let sends = self.sends.iter().rev();
        let within = sends.take_while(|at| now.since(**at) < span);
        within.count() < bound.most.min(SENDS_KEPT)
    }

    /// True if it was sent something so lately that a bound in seconds may count it.
    pub fn is_in_use(&self, now: Timestamp) -> bool {
        let last = self.sends.back();
        last.is_some_and(|at| now.since(*at) < KEPT_FOR)
    }

    /// Takes in a send.
    pub fn record(&mut self, now: Timestamp) {
        if self.sends.len() >= SENDS_KEPT {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }
}
