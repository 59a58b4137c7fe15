//! Calls to the table, carried by another node.
//!
//! The table may refuse, drop or be cut off from single nodes while it serves the
//! others. A node that it does not answer sends its calls to another node, which makes
//! them on its own way to the table and passes the answer back. An owner then keeps its
//! lease and goes on listing, and its callers notice nothing.
//!
//! What keeps this safe: calls carry the conditions that the table judges, so a call
//! that is carried twice or late does what a call without an answer may do anyway; a
//! node carries calls only on its own direct way, never on, so that none goes round in a
//! circle; what callers sent, and what was made of it, goes only through nodes of the own
//! region ([`message`]); and a caller shows the token that the carrying node has put into
//! the table, so that only who reads the table is served, and never by a later life of an
//! address.
//!
//! The same nodes watch over each other's owners ([`liveness`]): a few of them ask the
//! owner of a service whether it lives, and need not wait for its lease to run out when
//! it does not.
//!
//! Flow: [`peers`] registers the node and follows where the others are; [`server`]
//! carries calls for them; [`table`] chooses for each call between the direct way and a
//! peer; [`message`] is what goes between two nodes, as CBOR over HTTP.

pub(crate) mod liveness;
mod message;
pub(crate) mod peers;
pub(crate) mod probe;
mod server;
mod table;

use self::peers::Peers;
use crate::settings::ServingSettings;
use crate::table::Table;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Starts carrying calls for others, and returns the table as it is reached with their
/// help, and the others.
pub(crate) fn start(
    settings: &ServingSettings,
    direct: Arc<dyn Table>,
    listener: TcpListener,
) -> (Arc<dyn Table>, Arc<Peers>) {
    let token = format!("{:016x}", rand::random::<u64>());
    if let Ok(address) = listener.local_addr() {
        let entry = peers::PeerEntry {
            address,
            zone: settings.zone().clone(),
            region: settings.topology.own_region().cloned(),
            candidate_rank: settings.candidate_rank,
            token: token.clone(),
            clock_lead: None,
            table_time_us: None,
        };
        tokio::spawn(peers::register(
            Arc::clone(&direct),
            settings.node.clone(),
            entry,
        ));
    }
    let peers = Arc::new(Peers::follow(settings, &direct));
    let server = server::PeerServer::new(settings, Arc::clone(&direct), &peers, token);
    tokio::spawn(server.serve(listener));
    let table = table::RelayedTable::new(direct, Arc::clone(&peers));
    (Arc::new(table), peers)
}
