//! What the stopwatch counts, and what it leaves out.

use sloetrail_serving_testkit::stopwatch::Stopwatch;
use std::time::Duration;

const SPAN: Duration = Duration::from_millis(300);
/// A little more than a sleep counts at most.
const LITTLE: Duration = Duration::from_millis(10);

#[tokio::test(start_paused = true)]
async fn time_in_which_nothing_ran_is_left_out() {
    let watch = Stopwatch::start();
    tokio::task::yield_now().await;
    tokio::time::advance(SPAN).await;
    tokio::time::sleep(LITTLE / 2).await;
    let shown = watch.elapsed();
    assert!(shown <= LITTLE, "{shown:?}");
}

#[tokio::test(start_paused = true)]
async fn time_that_is_waited_for_is_counted() {
    let watch = Stopwatch::start();
    tokio::time::sleep(SPAN).await;
    let shown = watch.elapsed();
    assert!(shown <= SPAN && shown > SPAN - LITTLE, "{shown:?}");
}
