//! Sliding-window limit on the requests that one sender sends to a back end.

use sloetrail_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Added to the window because requests may arrive closer together than they were sent, for
/// example the first over a new connection and the second over an open one.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(100);
/// Also the upper limit of any bound. A back end that takes more than this in a second needs no
/// protection while it is cold.
const MAX_RECORDED_SENDS: usize = 256;
const SECOND: Duration = Duration::from_secs(1);
/// How long the sends to an unlisted back end still count, in case it is listed again.
const RETENTION: Duration = SECOND.saturating_add(ARRIVAL_MARGIN);

/// At most `max_sends` sends in any span of length `window`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBound {
    pub max_sends: usize,
    pub window: Duration,
}

impl SendBound {
    /// Allows no sends.
    pub const NONE: Self = Self {
        max_sends: 0,
        window: SECOND,
    };

    /// Allows `rate` sends per second, rounded down. A rate below one allows one send per
    /// `1 / rate` seconds.
    pub fn per_second(rate: f64) -> Self {
        if !rate.is_finite() || rate <= 0.0 {
            return Self::NONE;
        }
        match rate >= 1.0 {
            true => Self {
                max_sends: rate.floor() as usize,
                window: SECOND,
            },
            false => Self {
                max_sends: 1,
                window: Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX),
            },
        }
    }
}

/// The most recent sends of one sender to one back end.
#[derive(Clone, Debug, Default)]
pub struct SendWindow {
    sends: VecDeque<Timestamp>,
}

impl SendWindow {
    /// True if one more send stays within the bound.
    pub fn has_room(&self, now: Timestamp, bound: SendBound) -> bool {
        let window = bound.window.saturating_add(ARRIVAL_MARGIN);
        let sends = self.sends.iter().rev();
        let recent = sends.take_while(|at| now.since(**at) < window);
        recent.count() < bound.max_sends.min(MAX_RECORDED_SENDS)
    }

    /// True if the last send is recent enough to count against a per-second bound.
    pub fn is_in_use(&self, now: Timestamp) -> bool {
        let last = self.sends.back();
        last.is_some_and(|at| now.since(*at) < RETENTION)
    }

    pub fn record(&mut self, now: Timestamp) {
        if self.sends.len() >= MAX_RECORDED_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }
}
