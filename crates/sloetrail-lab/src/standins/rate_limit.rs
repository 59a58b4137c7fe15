//! A token bucket.

use std::sync::Mutex;
use std::time::Instant;

struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

/// Allows a number of operations a second, with a burst of as many.
pub(super) struct RateLimit {
    per_second: f64,
    bucket: Mutex<Bucket>,
}

impl RateLimit {
    pub(super) fn new(per_second: f64) -> Self {
        Self {
            per_second,
            bucket: Mutex::new(Bucket {
                tokens: per_second,
                filled_at: Instant::now(),
            }),
        }
    }

    pub(super) fn allow(&self) -> bool {
        let mut bucket = self.bucket.lock().expect("not poisoned");
        let now = Instant::now();
        let earned = now.duration_since(bucket.filled_at).as_secs_f64() * self.per_second;
        bucket.tokens = (bucket.tokens + earned).min(self.per_second);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}
