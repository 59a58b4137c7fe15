use super::{Panicked, catch_sync, spawn, spawn_part, spawn_with_fallback};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

#[tokio::test]
async fn panic_of_a_single_piece_of_work_is_returned() {
    let failed = spawn("test", async { panic!("expected") });
    assert_eq!(failed.await.expect("not aborted"), Err(Panicked));
    let done = spawn("test", async { 7 });
    assert_eq!(done.await.expect("not aborted"), Ok(7));
    assert_eq!(catch_sync("test", || panic!("expected")), Err(Panicked));
}

#[tokio::test(start_paused = true)]
async fn part_is_started_again_with_growing_delays_until_it_returns() {
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);
    let started_at = Instant::now();
    let part = spawn_part("test", move || {
        let number = counted.fetch_add(1, Ordering::SeqCst);
        async move { assert!(number >= 3, "expected") }
    });
    part.await.expect("returns");
    assert_eq!(starts.load(Ordering::SeqCst), 4);
    // 100, 200 and 400 milliseconds.
    let took = started_at.elapsed();
    assert!((700..800).contains(&took.as_millis()), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn part_whose_start_itself_panics_is_started_again() {
    let mut starts = 0;
    let part = spawn_part("test", move || {
        starts += 1;
        assert!(starts > 1, "expected");
        async {}
    });
    part.await.expect("returns");
}

#[tokio::test(start_paused = true)]
async fn restart_delay_is_bounded_and_reset_after_a_long_run() {
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);
    let _part = spawn_part("test", move || {
        counted.fetch_add(1, Ordering::SeqCst);
        async { panic!("expected") }
    });
    tokio::time::sleep(Duration::from_secs(60)).await;
    let after_a_minute = starts.load(Ordering::SeqCst);
    assert!((14..=20).contains(&after_a_minute), "{after_a_minute}");
}

#[tokio::test]
async fn fallback_runs_only_after_a_panic() {
    let (sender, receiver) = oneshot::channel();
    let fallback = move || sender.send(()).expect("awaited");
    spawn_with_fallback("test", async { panic!("expected") }, fallback)
        .await
        .expect("not aborted");
    assert_eq!(receiver.await, Ok(()));
    spawn_with_fallback("test", async {}, || panic!("not called"))
        .await
        .expect("not aborted");
}
