//! Instants on the boot-time clock.

use crate::source;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;
use tokio::time::Instant;

/// Offset of the instant that replaces an unrepresentable sum.
const FAR_FUTURE: Duration = Duration::from_secs(30 * 365 * 86_400);

/// An instant on a monotonic clock that includes the time for which the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Instant);

impl BootInstant {
    pub fn now() -> Self {
        Self(source::now())
    }

    /// Returns the time since this instant, or zero if it is in the future.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_duration_since(earlier.0)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn duration_since(&self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// Returns None if the result is not representable.
    pub fn checked_sub(&self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }

    /// Returns the deadline on the runtime's clock for a timer that is started now.
    pub(crate) fn timer(self) -> Instant {
        let remaining = self.saturating_duration_since(Self::now());
        Instant::now() + remaining
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    /// Saturates instead of panicking on overflow, since durations may come from messages.
    fn add(self, duration: Duration) -> Self {
        let sum = self.0.checked_add(duration);
        Self(sum.unwrap_or_else(|| self.0 + FAR_FUTURE))
    }
}

impl AddAssign<Duration> for BootInstant {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for BootInstant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0 - duration)
    }
}

impl Sub<BootInstant> for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}
