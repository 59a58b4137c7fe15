//! A monotonic clock that includes the time for which the machine is suspended.
//!
//! `CLOCK_MONOTONIC`, and with it `Instant` and every timer, stops while a machine is suspended.
//! Lease expiry, deadlines and the age of received data must include that time; otherwise a
//! resumed node would use expired leases and stale data. [`BootInstant`] reads `CLOCK_BOOTTIME`,
//! which includes it and, unlike wall-clock time, does not jump.
//!
//! Timers still stop during a suspension: a task that waits in [`sleep_until`] wakes late and
//! must check the clock before it acts.

mod instant;
mod source;
mod timers;

pub use instant::BootInstant;
#[cfg(any(test, feature = "test-util"))]
pub use source::suspend_thread;
pub use timers::{sleep_until, timeout_at};

#[cfg(test)]
mod tests;
