//! Timestamps and time spans for decision logic, independent of any clock.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;

/// Milliseconds since an origin chosen by the caller. Never decreases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp `duration` later, in whole milliseconds, or the latest timestamp if
    /// the sum is beyond it.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(whole_millis(duration)))
    }

    /// Returns the timestamp `duration` earlier, in whole milliseconds, or the origin.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(whole_millis(duration)))
    }
}

/// The whole milliseconds of a duration, or `u64::MAX` if they are more.
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A time span from outside the process, at most [`TimeSpan::MAX`].
///
/// Serialized as whole milliseconds. Longer spans are held at the maximum, also when they are
/// deserialized.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(Duration);

impl TimeSpan {
    /// Ten years.
    pub const MAX: Self = Self(Duration::from_secs(10 * 365 * 86_400));

    pub fn new(duration: Duration) -> Self {
        Self(duration.min(Self::MAX.0))
    }

    pub fn from_millis(millis: u64) -> Self {
        Self::new(Duration::from_millis(millis))
    }

    /// Returns `None` if `seconds` is negative or not a number.
    pub fn from_secs_f64(seconds: f64) -> Option<Self> {
        if seconds.is_nan() || seconds < 0.0 {
            return None;
        }
        let duration = Duration::try_from_secs_f64(seconds);
        Some(duration.map_or(Self::MAX, Self::new))
    }

    pub fn duration(self) -> Duration {
        self.0
    }

    pub fn as_millis(self) -> u64 {
        whole_millis(self.0)
    }

    pub fn is_zero(self) -> bool {
        self.0.is_zero()
    }
}

impl From<Duration> for TimeSpan {
    fn from(duration: Duration) -> Self {
        Self::new(duration)
    }
}

impl Serialize for TimeSpan {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.as_millis())
    }
}

impl<'de> Deserialize<'de> for TimeSpan {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u64::deserialize(deserializer).map(Self::from_millis)
    }
}
