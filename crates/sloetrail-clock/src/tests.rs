use crate::{BootInstant, sleep_until, suspend_thread, timeout_at};
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn elapsed_time_includes_suspension() {
    let started_at = BootInstant::now();
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(started_at.elapsed(), Duration::from_secs(1));
    suspend_thread(Duration::from_secs(4));
    assert_eq!(started_at.elapsed(), Duration::from_secs(5));
}

#[tokio::test(start_paused = true)]
async fn adding_the_maximum_duration_does_not_overflow() {
    let now = BootInstant::now();
    let far_future = now + Duration::MAX;
    assert!(far_future > now + Duration::from_secs(1_000_000));
    let result = timeout_at(far_future, async { 7 }).await;
    assert_eq!(result.ok(), Some(7));
}

#[tokio::test(start_paused = true)]
async fn timers_set_after_a_suspension_fire_on_time() {
    let deadline = BootInstant::now() + Duration::from_secs(5);
    suspend_thread(Duration::from_secs(4));
    let started_at = Instant::now();
    sleep_until(deadline).await;
    assert!(started_at.elapsed() <= Duration::from_millis(1_001));
    assert!(started_at.elapsed() >= Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn deadlines_passed_during_suspension_expire_at_once() {
    let deadline = BootInstant::now() + Duration::from_secs(2);
    suspend_thread(Duration::from_secs(3));
    let started_at = Instant::now();
    let result = timeout_at(deadline, std::future::pending::<()>()).await;
    assert!(result.is_err());
    assert!(started_at.elapsed() <= Duration::from_millis(2));
}
