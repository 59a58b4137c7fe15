//! How often tables are polled for changes.
//!
//! All nodes share the call quota of the table, and none knows how many nodes there are. More back
//! ends imply more nodes in front of them, so the poll interval grows with the directory, up to
//! the limits on how late changes may be seen. The owner of a service always polls the directory
//! at the minimum interval, since it waits for the weight versions of its engines.

use super::timely_read::RepeatTiming;
use crate::settings::ServingBounds;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const OPERATOR_DELAY: Duration = Duration::from_millis(5);
const MIN_OPERATOR_LONG_POLL: Duration = Duration::from_secs(1);
const OPERATOR_LONG_POLL_PER_BACK_END: Duration = Duration::from_millis(1);
const MAX_OPERATOR_LONG_POLL: Duration = Duration::from_millis(2_500);
const MIN_DIRECTORY_DELAY: Duration = Duration::from_millis(60);
const DIRECTORY_DELAY_PER_BACK_END: Duration = Duration::from_micros(500);
/// A leaving back end must be detected well within two seconds.
const MAX_DIRECTORY_DELAY: Duration = Duration::from_millis(900);
const DIRECTORY_LONG_POLL: Duration = Duration::from_secs(1);
const MIN_LEASE_DELAY: Duration = Duration::from_millis(20);
const LEASE_DELAY_PER_BACK_END: Duration = Duration::from_micros(400);
/// A sound table answers within this time after the long-poll timeout.
const SOUND_ANSWER_TIME: Duration = Duration::from_millis(250);
/// Polls within the duration of a lease while nothing changes.
const POLLS_PER_LEASE_DURATION: u32 = 3;

/// The fleet properties that the poll timing of a node depends on. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    back_ends: AtomicUsize,
    owned_services: AtomicUsize,
}

impl FleetSize {
    pub fn set_back_ends(&self, count: usize) {
        self.state.back_ends.store(count, Ordering::Relaxed);
    }

    /// Registers ownership of a service until the guard is dropped.
    pub fn own_service(&self) -> OwnedServiceGuard {
        self.state.owned_services.fetch_add(1, Ordering::Relaxed);
        OwnedServiceGuard(self.clone())
    }

    /// The number of listed back ends; zero before the directory was read.
    pub fn back_ends(&self) -> usize {
        self.state.back_ends.load(Ordering::Relaxed)
    }

    fn owns_service(&self) -> bool {
        self.state.owned_services.load(Ordering::Relaxed) > 0
    }
}

/// Registers ownership of a service while it exists.
#[derive(Debug)]
pub struct OwnedServiceGuard(FleetSize);

impl Drop for OwnedServiceGuard {
    fn drop(&mut self) {
        self.0.state.owned_services.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A duration that grows with the number of listed back ends.
#[derive(Clone, Debug)]
pub struct FleetScaledDuration {
    min: Duration,
    per_back_end: Duration,
    max: Duration,
    owners_use_min_interval: bool,
    fleet: FleetSize,
}

impl FleetScaledDuration {
    /// A constant duration.
    pub fn fixed(duration: Duration) -> Self {
        Self::scaled(&FleetSize::default(), duration, Duration::ZERO, duration)
    }

    /// `per_back_end` times the number of back ends, clamped to `min` and `max`.
    pub fn scaled(fleet: &FleetSize, min: Duration, per_back_end: Duration, max: Duration) -> Self {
        Self {
            min,
            per_back_end,
            max,
            owners_use_min_interval: false,
            fleet: fleet.clone(),
        }
    }

    /// Uses the minimum while this node owns a service.
    #[must_use]
    pub fn min_for_owners(mut self) -> Self {
        self.owners_use_min_interval = true;
        self
    }

    /// The duration for the current fleet size.
    pub fn now(&self) -> Duration {
        if self.owners_use_min_interval && self.fleet.owns_service() {
            return self.min;
        }
        let back_ends = u32::try_from(self.fleet.back_ends()).unwrap_or(u32::MAX);
        let scaled = self.per_back_end.saturating_mul(back_ends);
        scaled.clamp(self.min, self.max)
    }
}

/// How often a table is polled.
#[derive(Clone, Debug)]
pub struct PollTiming {
    /// The time between an answer and the next poll, so that small changes are batched.
    pub delay: FleetScaledDuration,
    /// How long a poll may wait for a change. It also bounds the age of an unchanged view.
    pub long_poll_timeout: FleetScaledDuration,
    /// How old the view may become while the table could confirm it. None if no promise depends on
    /// it; pending reads are then not repeated.
    pub max_age: Option<Duration>,
}

impl PollTiming {
    /// The longest time between two confirmations of an unchanged view, without network latency.
    pub fn max_confirmation_interval(&self) -> Duration {
        self.delay.now() + self.long_poll_timeout.now()
    }

    /// A fixed delay with a long-poll timeout of one second.
    pub fn with_delay(delay: Duration, max_age: Option<Duration>) -> Self {
        Self {
            delay: FleetScaledDuration::fixed(delay),
            long_poll_timeout: FleetScaledDuration::fixed(Duration::from_secs(1)),
            max_age,
        }
    }

    /// When a read is repeated that waits this long for a change. The repetitions leave a sound
    /// table time to answer each of them before the view reaches its maximum age.
    pub(super) fn repeat_timing(&self, long_poll_timeout: Duration) -> Option<RepeatTiming> {
        let max_age = self.max_age?;
        let part_of_age = max_age / 8 * 5;
        Some(RepeatTiming {
            first_after: part_of_age.max(long_poll_timeout + SOUND_ANSWER_TIME),
            interval: max_age / 4,
        })
    }
}

/// The poll timing of each table that a node follows.
#[derive(Clone, Debug)]
pub struct PollTimings {
    /// The operator's rows. Changes take effect as soon as an answer delivers them.
    pub operator: PollTiming,
    /// The directory, whose rows change with each heartbeat.
    pub directory: PollTiming,
    /// The leases. Expiry is detected only by confirmations that a lease's row hasn't changed.
    pub leases: PollTiming,
}

impl PollTimings {
    pub fn new(fleet: &FleetSize, bounds: &ServingBounds) -> Self {
        // A lost poll is repeated only after its wait for a change.
        let max_long_poll = bounds.max_view_age / 2;
        Self {
            operator: PollTiming {
                delay: FleetScaledDuration::fixed(OPERATOR_DELAY),
                long_poll_timeout: FleetScaledDuration::scaled(
                    fleet,
                    MIN_OPERATOR_LONG_POLL.min(max_long_poll),
                    OPERATOR_LONG_POLL_PER_BACK_END,
                    MAX_OPERATOR_LONG_POLL.min(max_long_poll),
                ),
                max_age: Some(bounds.max_view_age),
            },
            directory: PollTiming {
                delay: FleetScaledDuration::scaled(
                    fleet,
                    MIN_DIRECTORY_DELAY,
                    DIRECTORY_DELAY_PER_BACK_END,
                    MAX_DIRECTORY_DELAY,
                )
                .min_for_owners(),
                long_poll_timeout: FleetScaledDuration::fixed(
                    DIRECTORY_LONG_POLL.min(max_long_poll),
                ),
                max_age: Some(bounds.max_view_age),
            },
            leases: PollTiming {
                delay: FleetScaledDuration::scaled(
                    fleet,
                    MIN_LEASE_DELAY,
                    LEASE_DELAY_PER_BACK_END,
                    bounds.lease,
                ),
                long_poll_timeout: FleetScaledDuration::fixed(
                    (bounds.lease / POLLS_PER_LEASE_DURATION).min(max_long_poll),
                ),
                max_age: Some(bounds.max_view_age),
            },
        }
    }
}

#[cfg(test)]
mod tests;
