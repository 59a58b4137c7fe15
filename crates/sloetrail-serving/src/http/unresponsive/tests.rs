use super::UnresponsiveWatch;
use sloetrail_clock::BootInstant;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1_000);
/// How long a request waited in vain.
const SILENCE: Duration = Duration::from_millis(150);
const SOON: Duration = Duration::from_millis(5);

/// Has a request held open on a connection that was heard last `heard_before` the moment since
/// which another one is suspected. An answer comes over a connection that was opened
/// `opened_after` that moment, and `answered_after` it was opened. True if the request was told.
async fn is_told(heard_before: Duration, opened_after: Duration, answered_after: Duration) -> bool {
    let silence = UnresponsiveWatch::default();
    let received_at = BootInstant::now();
    let found = silence.found(ADDRESS, received_at);
    let answering = async {
        sleep(heard_before).await;
        let since = BootInstant::now();
        sleep(SILENCE).await;
        silence.suspect(ADDRESS, since);
        let opened_at = since + opened_after;
        sloetrail_clock::sleep_until(opened_at.max(BootInstant::now()) + answered_after).await;
        silence.record_response(ADDRESS, opened_at);
    };
    let (told, ()) = tokio::join!(timeout(SILENCE * 10, found), answering);
    told.is_ok()
}

#[tokio::test(start_paused = true)]
async fn a_quick_answer_over_a_new_connection_tells() {
    assert!(is_told(SOON, SILENCE, SOON).await);
}

#[tokio::test(start_paused = true)]
async fn a_slow_answer_over_a_new_connection_does_not() {
    assert!(!is_told(SOON, SILENCE, SILENCE * 2).await);
}

#[tokio::test(start_paused = true)]
async fn an_answer_over_a_connection_from_before_does_not() {
    assert!(!is_told(SOON * 2, Duration::ZERO, SOON).await);
}

#[tokio::test(start_paused = true)]
async fn what_was_heard_of_since_is_left_alone() {
    let silence = UnresponsiveWatch::default();
    let since = BootInstant::now();
    sleep(SOON).await;
    let received_at = BootInstant::now();
    let found = silence.found(ADDRESS, received_at);
    let answering = async {
        sleep(SILENCE).await;
        silence.suspect(ADDRESS, since);
        let opened_at = BootInstant::now();
        sleep(SOON).await;
        silence.record_response(ADDRESS, opened_at);
    };
    let (told, ()) = tokio::join!(timeout(SILENCE * 10, found), answering);
    assert!(told.is_err());
}

#[tokio::test(start_paused = true)]
async fn addresses_at_which_nothing_is_held_open_are_forgotten() {
    let silence = UnresponsiveWatch::default();
    let held = timeout(SOON, silence.found(ADDRESS, BootInstant::now()));
    assert!(held.await.is_err());
    silence.sweep();
    assert!(silence.addresses.lock().expect("not poisoned").is_empty());
}
