//! A limit of lines a second.

use std::sync::Mutex;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);

/// Admits a number of lines in each second and counts the others.
pub(super) struct RateLimiter {
    per_window: u32,
    state: Mutex<State>,
}

struct State {
    window_began: Option<Instant>,
    admitted: u32,
    refused: u64,
}

impl RateLimiter {
    pub(super) const fn new(per_window: u32) -> Self {
        let state = State {
            window_began: None,
            admitted: 0,
            refused: 0,
        };
        Self {
            per_window,
            state: Mutex::new(state),
        }
    }

    pub(super) fn admit(&self) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock().expect("not poisoned");
        let is_over = |began: Instant| now.saturating_duration_since(began) >= WINDOW;
        if state.window_began.is_none_or(is_over) {
            state.window_began = Some(now);
            state.admitted = 0;
        }
        if state.admitted >= self.per_window {
            state.refused += 1;
            return false;
        }
        state.admitted += 1;
        true
    }

    /// How many lines were refused since the last question.
    pub(super) fn take_refused(&self) -> u64 {
        let mut state = self.state.lock().expect("not poisoned");
        std::mem::take(&mut state.refused)
    }
}
