//! Time sources: the kernel's clock, or virtual time in tests.

#[cfg(not(any(test, feature = "test-util")))]
mod kernel {
    use nix::time::{ClockId, clock_gettime};
    use std::sync::OnceLock;
    use std::time::Duration;
    use tokio::time::Instant;

    /// One instant on both clocks.
    struct Origin {
        instant: Instant,
        since_boot: Duration,
    }

    static ORIGIN: OnceLock<Origin> = OnceLock::new();

    /// Returns the monotonic time of the first call plus the boot time elapsed since then.
    pub(crate) fn now() -> Instant {
        let Some(now) = since_boot() else {
            // Without CLOCK_BOOTTIME the monotonic clock is the best available.
            return Instant::now();
        };
        let origin = ORIGIN.get_or_init(|| Origin {
            instant: Instant::now(),
            since_boot: now,
        });
        origin.instant + now.saturating_sub(origin.since_boot)
    }

    fn since_boot() -> Option<Duration> {
        clock_gettime(ClockId::CLOCK_BOOTTIME)
            .ok()
            .map(Duration::from)
    }
}

#[cfg(any(test, feature = "test-util"))]
mod virtual_time {
    use std::cell::Cell;
    use std::time::Duration;
    use tokio::time::Instant;

    thread_local! {
        static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    }

    /// Returns the runtime's time plus this thread's simulated suspension.
    pub(crate) fn now() -> Instant {
        Instant::now() + SUSPENDED.get()
    }

    /// Simulates a suspension of the machine for this thread. Each node under test runs on its
    /// own thread.
    pub fn suspend_thread(time: Duration) {
        SUSPENDED.set(SUSPENDED.get() + time);
    }
}

#[cfg(not(any(test, feature = "test-util")))]
pub(crate) use kernel::now;
#[cfg(any(test, feature = "test-util"))]
pub(crate) use virtual_time::now;
#[cfg(any(test, feature = "test-util"))]
pub use virtual_time::suspend_thread;
