//! Timers with deadlines on the boot-time clock.

use crate::BootInstant;
use std::future::Future;
use tokio::time::error::Elapsed;

/// Sleeps until `deadline`, plus any time for which the machine is suspended during the wait.
pub async fn sleep_until(deadline: BootInstant) {
    tokio::time::sleep_until(deadline.timer()).await;
}

/// Awaits `work` until `deadline`, plus any time for which the machine is suspended during the
/// wait.
///
/// # Errors
///
/// Returns `Elapsed` if the deadline passes first.
pub async fn timeout_at<Work: Future>(
    deadline: BootInstant,
    work: Work,
) -> Result<Work::Output, Elapsed> {
    tokio::time::timeout_at(deadline.timer(), work).await
}
