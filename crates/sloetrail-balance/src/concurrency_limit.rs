//! Adaptive limit of concurrent requests at one engine.

const DECREASE_FACTOR: f64 = 0.7;
const MIN_LIMIT: f64 = 1.0;

/// Limit with additive increase and multiplicative decrease.
///
/// Invariant: the limit lies between one and the configured maximum.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
}

impl ConcurrencyLimit {
    /// Starts at the maximum, so that a new engine gets its full share at once.
    pub fn new(max_limit: usize) -> Self {
        let max_limit = (max_limit as f64).max(MIN_LIMIT);
        Self {
            limit: max_limit,
            max_limit,
        }
    }

    pub fn set_max_limit(&mut self, max_limit: usize) {
        self.max_limit = (max_limit as f64).max(MIN_LIMIT);
        self.limit = self.limit.min(self.max_limit);
    }

    /// Number of requests that may be in flight.
    pub fn current(&self) -> usize {
        self.limit as usize
    }

    /// Raises the limit after a successful request if `in_flight` had reached it. An unused
    /// limit is no evidence that the engine can take more.
    pub fn on_success(&mut self, in_flight: usize) {
        let limit_was_used = in_flight as f64 + 1.0 >= self.limit;
        if limit_was_used {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max_limit);
        }
    }

    /// Lowers the limit after the engine refused a request, queued requests or was lost.
    pub fn on_overload(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
