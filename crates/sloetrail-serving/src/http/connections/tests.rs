use super::{Connection, ConnectionPool, Reuse, UnresponsiveSign, connect};
use sloetrail_clock::BootInstant;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Long enough for two moments to differ.
const MOMENT: Duration = Duration::from_millis(3);

/// A peer that accepts connections and holds them open.
async fn peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    address
}

async fn opened(address: SocketAddr) -> Connection {
    let deadline = BootInstant::now() + Duration::from_secs(2);
    let mut connection = connect(address, deadline).await.expect("connected");
    connection.sender.ready().await.expect("ready");
    tokio::time::sleep(MOMENT).await;
    connection
}

fn at_rest(pool: &ConnectionPool, address: SocketAddr) -> usize {
    let taken = std::iter::from_fn(|| pool.take(address, Reuse::Any));
    taken.count()
}

#[tokio::test]
async fn what_rested_before_a_silence_is_closed_and_what_was_kept_since_is_not() {
    let (pool, address) = (ConnectionPool::new(), peer().await);
    for _ in 0..3 {
        pool.keep(address, opened(address).await, None);
    }
    tokio::time::sleep(MOMENT).await;
    let sent_at = BootInstant::now();
    tokio::time::sleep(MOMENT).await;
    pool.keep(address, opened(address).await, None);
    pool.evict(address, sent_at, UnresponsiveSign::NoHeadInTime);
    assert_eq!(at_rest(&pool, address), 1);
}

#[tokio::test]
async fn one_that_has_answered_since_vouches_for_those_opened_after_it() {
    let (pool, address) = (ConnectionPool::new(), peer().await);
    let before_it = opened(address).await;
    let vouching = opened(address).await;
    let after_it = opened(address).await;
    pool.keep(address, before_it, None);
    pool.keep(address, after_it, None);
    tokio::time::sleep(MOMENT).await;
    let sent_at = BootInstant::now();
    tokio::time::sleep(MOMENT).await;
    pool.keep(address, vouching, None);
    pool.evict(address, sent_at, UnresponsiveSign::AbandonedBeforeHead);
    assert_eq!(at_rest(&pool, address), 2, "only the oldest is closed");
}

#[tokio::test]
async fn other_addresses_are_left_alone() {
    let (pool, address, other) = (ConnectionPool::new(), peer().await, peer().await);
    pool.keep(other, opened(other).await, None);
    pool.evict(address, BootInstant::now(), UnresponsiveSign::NoHeadInTime);
    assert_eq!(at_rest(&pool, other), 1);
}

#[tokio::test]
async fn a_further_try_takes_only_what_has_answered_since() {
    let (pool, address) = (ConnectionPool::new(), peer().await);
    pool.keep(address, opened(address).await, None);
    tokio::time::sleep(MOMENT).await;
    let reuse = Reuse::Any.after_attempt_at(BootInstant::now());
    assert!(pool.take(address, reuse).is_none());
    tokio::time::sleep(MOMENT).await;
    pool.keep(address, opened(address).await, None);
    assert!(pool.take(address, reuse).is_some());
    assert!(pool.take(address, reuse).is_none());
    let never = Reuse::Never.after_attempt_at(BootInstant::now());
    assert!(pool.take(address, never).is_none(), "a promise stays one");
    assert!(pool.take(address, Reuse::Any).is_some());
}
