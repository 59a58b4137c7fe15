//! The gossip socket: datagrams in and out of the membership logic.

use crate::lifecycle::Phase;
use crate::state::NodeState;
use sloetrail_balance::{EngineReport, ReportedState};
use sloetrail_membership::{Body, EngineNews, EngineNewsState, Envelope, Outgoing, decode, encode};
use sloetrail_types::{EngineId, Timestamp, digest};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;

/// A gap between two rounds of the loop that counts as a pause of the process.
const PAUSE: Duration = Duration::from_millis(1_000);
const TICK: Duration = Duration::from_millis(50);
const DATAGRAM_LIMIT_BYTES: usize = 65_536;

/// Sends and receives until the node ends.
pub(crate) async fn run_gossip(
    state: Arc<NodeState>,
    socket: UdpSocket,
    mut outbox: UnboundedReceiver<Outgoing>,
) {
    let mut ticker = tokio::time::interval(TICK);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
    let mut looked_at = state.now();
    loop {
        let now = state.now();
        if now.since(looked_at) > PAUSE {
            state.membership().set_vouching(false);
            drop_waiting_datagrams(&state, &socket, &mut buffer);
        }
        looked_at = now;
        tokio::select! {
            _ = ticker.tick() => {
                if may_vouch(&state) {
                    state.membership().set_vouching(true);
                }
                let outgoing = state.membership().tick(state.now());
                send_all(&state, &socket, outgoing).await;
            }
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    let outgoing = receive(&state, &buffer[..length]);
                    send_all(&state, &socket, outgoing).await;
                }
            }
            Some(message) = outbox.recv() => send(&state, &socket, message).await,
            () = state.cancel.cancelled() => return,
        }
    }
}

/// A node may speak for its zone once it has held a revision that was in force.
fn may_vouch(state: &NodeState) -> bool {
    state.lifecycle.phase() == Phase::Ready && state.configuration_is_fresh()
}

/// After a pause of the process, what waits on the socket is as old as the pause,
/// although it says that it is new. It must not confirm anything.
fn drop_waiting_datagrams(state: &NodeState, socket: &UdpSocket, buffer: &mut [u8]) {
    let mut dropped = 0;
    while socket.try_recv_from(buffer).is_ok() {
        dropped += 1;
    }
    log::warn!(target: "member", "Node {} was paused; {dropped} datagrams dropped.", state.settings.node);
}

async fn send_all(state: &NodeState, socket: &UdpSocket, outgoing: Vec<Outgoing>) {
    for message in outgoing {
        send(state, socket, message).await;
    }
}

/// Sends one datagram. A lost datagram is the protocol's daily bread.
async fn send(state: &NodeState, socket: &UdpSocket, message: Outgoing) {
    let Some(address) = state.directory().node_gossip(&message.to) else {
        return;
    };
    let Ok(bytes) = encode(&message.envelope) else {
        return;
    };
    if socket.send_to(&bytes, address).await.is_ok() {
        metrics::counter!("sloetrail_gossip_sent_total").increment(1);
        metrics::counter!("sloetrail_gossip_sent_bytes_total").increment(bytes.len() as u64);
    }
}

fn receive(state: &NodeState, bytes: &[u8]) -> Vec<Outgoing> {
    let Ok(envelope) = decode(bytes) else {
        metrics::counter!("sloetrail_gossip_unreadable_total").increment(1);
        return Vec::new();
    };
    metrics::counter!("sloetrail_gossip_received_total").increment(1);
    metrics::counter!("sloetrail_gossip_received_bytes_total").increment(bytes.len() as u64);
    let now = state.now();
    // What the sender holds is heard before its datagram can confirm anything.
    take_view(state, now, &envelope);
    let outgoing = state.membership().receive(now, &envelope);
    if let Body::Engines(news) = &envelope.body {
        take_engine_news(state, now, news);
    }
    outgoing
}

/// Takes in what the sender knows of the shared documents.
fn take_view(state: &NodeState, now: Timestamp, envelope: &Envelope) {
    let highest = envelope
        .zones
        .iter()
        .map(|summary| summary.revision)
        .max()
        .unwrap_or_default()
        .max(envelope.view.revision);
    let behind = {
        let mut freshness = state.freshness();
        freshness.hear(highest);
        if let Some(age) = envelope.view.table_age_ms {
            let read_at = Timestamp(now.0.saturating_sub(age));
            freshness.table_read(read_at, envelope.view.revision);
        }
        freshness.is_behind()
    };
    let in_zone = state.membership().state_of(&envelope.from).is_some();
    let list_behind = in_zone && state.hear_list_version(envelope.view.list_version);
    if behind || list_behind {
        state.behind.notify_waiters();
    }
}

fn take_engine_news(state: &NodeState, now: Timestamp, news: &[EngineNews]) {
    let directory = state.directory();
    for item in news {
        let machine = directory
            .engines_in(&state.settings.zone)
            .find(|machine| digest(machine.id.as_bytes()) == item.engine);
        let Some(machine) = machine else { continue };
        let pool = machine
            .service
            .as_ref()
            .and_then(|service| state.pool(service));
        if let Some(pool) = pool {
            pool.report(&EngineId::new(machine.id.clone()), to_report(now, item));
        }
    }
}

/// News as a report on this node's clock.
pub(crate) fn to_report(now: Timestamp, news: &EngineNews) -> EngineReport {
    EngineReport {
        observed_at: Timestamp(now.0.saturating_sub(news.age_ms)),
        state: match news.state {
            EngineNewsState::Serving => ReportedState::Serving,
            EngineNewsState::Draining => ReportedState::Draining,
            EngineNewsState::Unreachable => ReportedState::Unreachable,
        },
        load: news.load,
        capacity: news.capacity,
        version: news.version,
    }
}
