//! The stopwatch counts time that tasks sleep and excludes scheduling delays.

use sloetrail_serving_testkit::stopwatch::Stopwatch;
use std::time::Duration;

const SPAN: Duration = Duration::from_millis(300);
/// Slightly more than the most that one sleep counts.
const TOLERANCE: Duration = Duration::from_millis(10);

#[tokio::test(start_paused = true)]
async fn scheduling_delay_is_excluded() {
    let watch = Stopwatch::start();
    tokio::task::yield_now().await;
    tokio::time::advance(SPAN).await;
    tokio::time::sleep(TOLERANCE / 2).await;
    let shown = watch.elapsed();
    assert!(shown <= TOLERANCE, "{shown:?}");
}

#[tokio::test(start_paused = true)]
async fn time_spent_sleeping_is_counted() {
    let watch = Stopwatch::start();
    tokio::time::sleep(SPAN).await;
    let shown = watch.elapsed();
    assert!(shown <= SPAN && shown > SPAN - TOLERANCE, "{shown:?}");
}
