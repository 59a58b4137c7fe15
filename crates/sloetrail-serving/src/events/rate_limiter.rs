//! Rate limiter for log lines.

use parking_lot::Mutex;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);

/// Admits up to a maximum number of lines in each second and counts the refused ones.
pub(super) struct RateLimiter {
    max_per_window: u32,
    state: Mutex<State>,
}

struct State {
    window_started_at: Option<Instant>,
    admitted: u32,
    refused: u64,
}

impl RateLimiter {
    pub(super) const fn new(max_per_window: u32) -> Self {
        let state = State {
            window_started_at: None,
            admitted: 0,
            refused: 0,
        };
        Self {
            max_per_window,
            state: Mutex::new(state),
        }
    }

    pub(super) fn admit(&self) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock();
        let is_over = |started_at: Instant| now.saturating_duration_since(started_at) >= WINDOW;
        if state.window_started_at.is_none_or(is_over) {
            state.window_started_at = Some(now);
            state.admitted = 0;
        }
        if state.admitted >= self.max_per_window {
            state.refused += 1;
            return false;
        }
        state.admitted += 1;
        true
    }

    /// Returns the number of lines refused since the last call.
    pub(super) fn take_refused(&self) -> u64 {
        let mut state = self.state.lock();
        std::mem::take(&mut state.refused)
    }
}
