use super::{PeerState, Peers};
use crate::directory_index::KeyRanges;
use crate::follow::TableView;
use crate::http::ConnectionPool;
use crate::relay::probe::ProbeOutcome;
use parking_lot::Mutex;
use sloetrail_clock::BootInstant;
use sloetrail_serving_testkit::stopwatch::Stopwatch;
use sloetrail_types::{NodeId, RowVersion, Topology, ZoneName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[test]
fn first_relay_is_kept_until_it_fails() {
    let mut state = PeerState::default();
    assert!(state.record_relayed("a"));
    assert!(!state.record_relayed("b"), "the call was already in flight");
    assert!(!state.record_failure("b", BootInstant::now()));
    assert_eq!(state.current.as_deref(), Some("a"));
    assert!(state.record_failure("a", BootInstant::now()));
    assert!(state.record_relayed("b"));
}

#[test]
fn peers_are_unresponsive_after_two_unanswered_calls() {
    let mut state = PeerState::default();
    assert!(!state.are_unresponsive(), "no peer was called");
    state.record_unanswered();
    assert!(!state.are_unresponsive(), "a single peer may have failed");
    state.record_unanswered();
    assert!(state.are_unresponsive());
    state.record_answered();
    assert!(!state.are_unresponsive());
}

#[test]
fn direct_answer_resets_unanswered_calls() {
    let mut state = PeerState::default();
    state.record_unanswered();
    state.record_unanswered();
    state.record_relayed("a");
    assert_eq!(state.record_direct_answer().as_deref(), Some("a"));
    assert!(
        !state.are_unresponsive(),
        "unanswered calls of an earlier outage are discarded"
    );
    assert_eq!(state.record_direct_answer(), None);
}

const INCARNATION: &str = "other/1";

/// A peer that serves its incarnation. When `stalls` changes, its open connections stop
/// answering.
async fn peer(stalls: watch::Receiver<u64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut stalls = stalls.clone();
            stalls.mark_unchanged();
            tokio::spawn(serve_incarnation(stream, stalls));
        }
    });
    address
}

async fn serve_incarnation(mut stream: TcpStream, stalls: watch::Receiver<u64>) {
    let mut request = [0; 4096];
    let length = INCARNATION.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{INCARNATION}");
    while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
        if stalls.has_changed().unwrap_or(true) {
            std::future::pending::<()>().await;
        }
        // The prober may have closed the connection.
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

fn peers() -> Peers {
    let (_, entries) = watch::channel(Arc::new(TableView {
        ranges: KeyRanges::all_keys(),
        rows: BTreeMap::new(),
        version: RowVersion(0),
        confirmed_at: None,
        requested_at: None,
        interruptions: 0,
    }));
    Peers {
        own_name: "own".to_owned(),
        topology: Topology::of_zone(ZoneName::new("zone-a")),
        entries,
        connections: Arc::new(ConnectionPool::new()),
        started_at: BootInstant::now(),
        state: Mutex::default(),
    }
}

#[tokio::test]
async fn unresponsive_connection_is_replaced_and_peer_found_alive() {
    let (stalls, receiver) = watch::channel(0);
    let address = peer(receiver).await;
    let (peers, incarnation) = (peers(), NodeId::new(INCARNATION));
    assert_eq!(
        peers.probe(&incarnation, address).await,
        ProbeOutcome::Alive
    );
    stalls.send_modify(|count| *count += 1);
    let stopwatch = Stopwatch::start();
    assert_eq!(
        peers.probe(&incarnation, address).await,
        ProbeOutcome::Alive
    );
    assert!(
        stopwatch.elapsed() < Duration::from_millis(300),
        "took more than one timeout"
    );
    let stopwatch = Stopwatch::start();
    assert_eq!(
        peers.probe(&incarnation, address).await,
        ProbeOutcome::Alive
    );
    assert!(
        stopwatch.elapsed() < Duration::from_millis(100),
        "the unresponsive connection was reused"
    );
}
