//! How often tables are asked for their changes.
//!
//! All nodes share the calls that the table allows, and no node knows how many nodes
//! there are. The directory tells how many back ends there are, and a larger fleet of
//! back ends has more nodes in front of it: so the time between two questions grows
//! with the directory, up to what the bounds on news allow. The owner of a service asks
//! as often as in a small fleet, since it waits for its engines' versions.

use crate::settings::ServingBounds;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const OPERATOR_PAUSE: Duration = Duration::from_millis(5);
const OPERATOR_WAIT_LEAST: Duration = Duration::from_secs(1);
const OPERATOR_WAIT_PER_BACK_END: Duration = Duration::from_millis(1);
const OPERATOR_WAIT_MOST: Duration = Duration::from_millis(2_500);
const DIRECTORY_PAUSE_LEAST: Duration = Duration::from_millis(60);
const DIRECTORY_PAUSE_PER_BACK_END: Duration = Duration::from_micros(500);
/// A back end that leaves must be known to leave well within two seconds.
const DIRECTORY_PAUSE_MOST: Duration = Duration::from_millis(900);
const DIRECTORY_WAIT: Duration = Duration::from_secs(1);
const LEASE_PAUSE_LEAST: Duration = Duration::from_millis(20);
const LEASE_PAUSE_PER_BACK_END: Duration = Duration::from_micros(400);
/// How often a lease's row is confirmed in its time, if nothing changes.
const LEASE_CONFIRMATIONS: u32 = 3;

/// What the pace of a node depends on.
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
    /// Takes in how many back ends are listed.
    pub fn set_back_ends(&self, count: usize) {
        self.state.back_ends.store(count, Ordering::Relaxed);
    }

    /// A service is owned by this node until the value is dropped.
    pub fn own_service(&self) -> OwnedServiceGuard {
        self.state.owned_services.fetch_add(1, Ordering::Relaxed);
        OwnedServiceGuard(self.clone())
    }

    /// How many back ends are listed, as far as known.
    pub fn back_ends(&self) -> usize {
        self.state.back_ends.load(Ordering::Relaxed)
    }

    fn owns_service(&self) -> bool {
        self.state.owned_services.load(Ordering::Relaxed) > 0
    }
}

/// Tells that this node owns a service.
#[derive(Debug)]
pub struct OwnedServiceGuard(FleetSize);

impl Drop for OwnedServiceGuard {
    fn drop(&mut self) {
        self.0.state.owned_services.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A time that grows with the fleet.
#[derive(Clone, Debug)]
pub struct FleetScaledDuration {
    least: Duration,
    per_back_end: Duration,
    most: Duration,
    owners_use_min_interval: bool,
    fleet: FleetSize,
}

impl FleetScaledDuration {
    /// Always the same time.
    pub fn fixed(time: Duration) -> Self {
        Self::scaled(&FleetSize::default(), time, Duration::ZERO, time)
    }

    /// From `least` up to `most`, by this much for each back end.
    pub fn scaled(
        fleet: &FleetSize,
        least: Duration,
        per_back_end: Duration,
        most: Duration,
    ) -> Self {
        Self {
            least,
            per_back_end,
            most,
            owners_use_min_interval: false,
            fleet: fleet.clone(),
        }
    }

    /// The same, but always the least time on a node that owns a service.
    #[must_use]
    pub fn min_for_owners(mut self) -> Self {
        self.owners_use_min_interval = true;
        self
    }

    /// The time as of now.
    pub fn now(&self) -> Duration {
        if self.owners_use_min_interval && self.fleet.owns_service() {
            return self.least;
        }
        let back_ends = u32::try_from(self.fleet.back_ends()).unwrap_or(u32::MAX);
        let grown = self.per_back_end.saturating_mul(back_ends);
        grown.clamp(self.least, self.most)
    }
}

/// How often a table is asked.
#[derive(Clone, Debug)]
pub struct PollTiming {
    /// The least time between two questions, so that many small changes come together.
    pub delay: FleetScaledDuration,
    /// How long a question may be held open. It also bounds how old the proof is that
    /// nothing has changed.
    pub long_poll_timeout: FleetScaledDuration,
}

impl PollTiming {
    /// The longest time between two confirmations of an unchanged view, apart from the
    /// time that answers take.
    pub fn max_confirmation_interval(&self) -> Duration {
        self.delay.now() + self.long_poll_timeout.now()
    }

    /// A pace with this pause and the usual wait of a second.
    pub fn with_delay(pause: Duration) -> Self {
        Self {
            delay: FleetScaledDuration::fixed(pause),
            long_poll_timeout: FleetScaledDuration::fixed(Duration::from_secs(1)),
        }
    }
}

/// The paces at which a node follows what it needs to know.
#[derive(Clone, Debug)]
pub struct PollTimings {
    /// The operator's rows: changes are in force as soon as they are answered.
    pub operator: PollTiming,
    /// The directory, whose rows change with each sign of life.
    pub directory: PollTiming,
    /// The leases: one is seen to run out only by confirmations that its row has not
    /// changed.
    pub leases: PollTiming,
}

impl PollTimings {
    /// The paces of a node, within its bounds.
    pub fn new(fleet: &FleetSize, bounds: &ServingBounds) -> Self {
        Self {
            operator: PollTiming {
                delay: FleetScaledDuration::fixed(OPERATOR_PAUSE),
                long_poll_timeout: FleetScaledDuration::scaled(
                    fleet,
                    OPERATOR_WAIT_LEAST,
                    OPERATOR_WAIT_PER_BACK_END,
                    OPERATOR_WAIT_MOST,
                ),
            },
            directory: PollTiming {
                delay: FleetScaledDuration::scaled(
                    fleet,
                    DIRECTORY_PAUSE_LEAST,
                    DIRECTORY_PAUSE_PER_BACK_END,
                    DIRECTORY_PAUSE_MOST,
                )
                .min_for_owners(),
                long_poll_timeout: FleetScaledDuration::fixed(DIRECTORY_WAIT),
            },
            leases: PollTiming {
                delay: FleetScaledDuration::scaled(
                    fleet,
                    LEASE_PAUSE_LEAST,
                    LEASE_PAUSE_PER_BACK_END,
                    bounds.lease,
                ),
                long_poll_timeout: FleetScaledDuration::fixed(bounds.lease / LEASE_CONFIRMATIONS),
            },
        }
    }
}

#[cfg(test)]
mod tests;
