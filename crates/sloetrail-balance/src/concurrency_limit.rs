//! A limit that grows while an engine keeps up and shrinks when it does not.

const DECREASE_FACTOR: f64 = 0.7;
const LIMIT_MINIMUM: f64 = 1.0;

/// Additive increase, multiplicative decrease between one and a configured bound.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    maximum: f64,
}

impl ConcurrencyLimit {
    /// A limit that starts at its maximum: a new engine is assumed to be able.
    pub fn new(maximum: usize) -> Self {
        let maximum = (maximum as f64).max(LIMIT_MINIMUM);
        Self {
            limit: maximum,
            maximum,
        }
    }

    /// Changes the upper bound.
    pub fn set_maximum(&mut self, maximum: usize) {
        self.maximum = (maximum as f64).max(LIMIT_MINIMUM);
        self.limit = self.limit.min(self.maximum);
    }

    /// How many requests may be in flight.
    pub fn current(&self) -> usize {
        self.limit as usize
    }

    /// A request went well while `in_flight` were out.
    pub fn on_success(&mut self, in_flight: usize) {
        let limit_was_used = in_flight as f64 + 1.0 >= self.limit;
        if limit_was_used {
            self.limit = (self.limit + 1.0 / self.limit).min(self.maximum);
        }
    }

    /// The engine refused, queued or failed.
    pub fn on_overload(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(LIMIT_MINIMUM);
    }
}
