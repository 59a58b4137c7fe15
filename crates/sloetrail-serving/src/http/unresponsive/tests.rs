use super::UnresponsiveWatch;
use sloetrail_clock::BootInstant;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1_000);
/// How long a request waited without a response.
const NO_RESPONSE: Duration = Duration::from_millis(150);
const SOON: Duration = Duration::from_millis(5);

/// Starts a long poll on a connection whose last response came `received_before` another request
/// was sent that has no response. A response then arrives over a connection opened
/// `opened_after` that request was sent, `responded_after` the connection was opened. Returns
/// whether the long poll was reported as unresponsive.
async fn is_reported(
    received_before: Duration,
    opened_after: Duration,
    responded_after: Duration,
) -> bool {
    let watch = UnresponsiveWatch::default();
    let received_at = BootInstant::now();
    let reported = watch.wait(ADDRESS, received_at);
    let responding = async {
        sleep(received_before).await;
        let since = BootInstant::now();
        sleep(NO_RESPONSE).await;
        watch.suspect(ADDRESS, since);
        let opened_at = since + opened_after;
        sloetrail_clock::sleep_until(opened_at.max(BootInstant::now()) + responded_after).await;
        watch.record_response(ADDRESS, opened_at);
    };
    let (outcome, ()) = tokio::join!(timeout(NO_RESPONSE * 10, reported), responding);
    outcome.is_ok()
}

#[tokio::test(start_paused = true)]
async fn a_fast_response_over_a_new_connection_confirms_the_suspicion() {
    assert!(is_reported(SOON, NO_RESPONSE, SOON).await);
}

#[tokio::test(start_paused = true)]
async fn a_slow_response_over_a_new_connection_clears_the_suspicion() {
    assert!(!is_reported(SOON, NO_RESPONSE, NO_RESPONSE * 2).await);
}

#[tokio::test(start_paused = true)]
async fn a_response_over_an_older_connection_clears_the_suspicion() {
    assert!(!is_reported(SOON * 2, Duration::ZERO, SOON).await);
}

#[tokio::test(start_paused = true)]
async fn connections_with_a_later_response_are_not_reported() {
    let watch = UnresponsiveWatch::default();
    let since = BootInstant::now();
    sleep(SOON).await;
    let received_at = BootInstant::now();
    let reported = watch.wait(ADDRESS, received_at);
    let responding = async {
        sleep(NO_RESPONSE).await;
        watch.suspect(ADDRESS, since);
        let opened_at = BootInstant::now();
        sleep(SOON).await;
        watch.record_response(ADDRESS, opened_at);
    };
    let (outcome, ()) = tokio::join!(timeout(NO_RESPONSE * 10, reported), responding);
    assert!(outcome.is_err());
}

#[tokio::test(start_paused = true)]
async fn sweep_removes_addresses_without_long_polls() {
    let watch = UnresponsiveWatch::default();
    let pending = timeout(SOON, watch.wait(ADDRESS, BootInstant::now()));
    assert!(pending.await.is_err());
    watch.sweep();
    assert!(watch.addresses.lock().is_empty());
}
