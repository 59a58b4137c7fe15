use super::probe_twice;
use crate::http::Listening;
use std::cell::RefCell;

/// Returns what is found if the probes have these results in turn.
async fn found_by(results: &[Listening]) -> Listening {
    let remaining = RefCell::new(results.iter().copied());
    let probe = || async { remaining.borrow_mut().next().expect("no further probe") };
    probe_twice(probe).await
}

/// Guards against a crash that goes unnoticed because the closing port reset the only probe.
#[tokio::test(start_paused = true)]
async fn a_probe_without_a_clear_result_is_repeated() {
    let found = found_by(&[Listening::Unknown, Listening::No]).await;
    assert_eq!(found, Listening::No);
}

#[tokio::test(start_paused = true)]
async fn an_accepted_probe_is_repeated() {
    let found = found_by(&[Listening::Yes, Listening::No]).await;
    assert_eq!(found, Listening::No);
}

#[tokio::test(start_paused = true)]
async fn a_refused_probe_is_not_repeated() {
    assert_eq!(found_by(&[Listening::No]).await, Listening::No);
}

#[tokio::test(start_paused = true)]
async fn an_address_that_never_refuses_is_not_taken_as_crashed() {
    let found = found_by(&[Listening::Unknown, Listening::Unknown]).await;
    assert_eq!(found, Listening::Unknown);
}
