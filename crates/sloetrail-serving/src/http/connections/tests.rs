use super::{Connection, ConnectionPool, Reuse, UnresponsiveSign, connect};
use sloetrail_clock::BootInstant;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Long enough for two timestamps to differ.
const TICK: Duration = Duration::from_millis(3);

/// Starts a peer that accepts connections and keeps them open.
async fn start_peer() -> SocketAddr {
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

async fn open_connection(address: SocketAddr) -> Connection {
    let deadline = BootInstant::now() + Duration::from_secs(2);
    let mut connection = connect(address, deadline).await.expect("connected");
    connection.sender.ready().await.expect("ready");
    tokio::time::sleep(TICK).await;
    connection
}

fn take_all(pool: &ConnectionPool, address: SocketAddr) -> usize {
    let taken = std::iter::from_fn(|| pool.take(address, Reuse::Any));
    taken.count()
}

#[tokio::test]
async fn eviction_spares_connections_pooled_after_the_request() {
    let (pool, address) = (ConnectionPool::new(), start_peer().await);
    for _ in 0..3 {
        pool.keep(address, open_connection(address).await, None);
    }
    tokio::time::sleep(TICK).await;
    let sent_at = BootInstant::now();
    tokio::time::sleep(TICK).await;
    pool.keep(address, open_connection(address).await, None);
    pool.evict(address, sent_at, UnresponsiveSign::NoHeadInTime);
    assert_eq!(take_all(&pool, address), 1);
}

#[tokio::test]
async fn a_later_response_protects_connections_opened_after_it() {
    let (pool, address) = (ConnectionPool::new(), start_peer().await);
    let opened_before = open_connection(address).await;
    let responding = open_connection(address).await;
    let opened_after = open_connection(address).await;
    pool.keep(address, opened_before, None);
    pool.keep(address, opened_after, None);
    tokio::time::sleep(TICK).await;
    let sent_at = BootInstant::now();
    tokio::time::sleep(TICK).await;
    pool.keep(address, responding, None);
    pool.evict(address, sent_at, UnresponsiveSign::AbandonedBeforeHead);
    assert_eq!(
        take_all(&pool, address),
        2,
        "only the oldest connection is closed"
    );
}

#[tokio::test]
async fn eviction_does_not_affect_other_addresses() {
    let (pool, address, other) = (
        ConnectionPool::new(),
        start_peer().await,
        start_peer().await,
    );
    pool.keep(other, open_connection(other).await, None);
    pool.evict(address, BootInstant::now(), UnresponsiveSign::NoHeadInTime);
    assert_eq!(take_all(&pool, other), 1);
}

#[tokio::test]
async fn retries_use_only_connections_with_a_later_response() {
    let (pool, address) = (ConnectionPool::new(), start_peer().await);
    pool.keep(address, open_connection(address).await, None);
    tokio::time::sleep(TICK).await;
    let reuse = Reuse::Any.after_attempt_at(BootInstant::now());
    assert!(pool.take(address, reuse).is_none());
    tokio::time::sleep(TICK).await;
    pool.keep(address, open_connection(address).await, None);
    assert!(pool.take(address, reuse).is_some());
    assert!(pool.take(address, reuse).is_none());
    let never = Reuse::Never.after_attempt_at(BootInstant::now());
    assert!(
        pool.take(address, never).is_none(),
        "a retry must not loosen Reuse::Never"
    );
    assert!(pool.take(address, Reuse::Any).is_some());
}
