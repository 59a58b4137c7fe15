//! Relays calls to the table through other nodes.
//!
//! The table may refuse or drop the calls of single nodes, or be unreachable for them, while it
//! serves others. A node that gets no answer sends its calls to a peer, which makes them over
//! its own direct connection and returns the answer. An owner thereby keeps its lease and
//! continues to list results, and its callers are not affected.
//!
//! Safety: calls carry the conditions that the table checks, so a call that is relayed twice or
//! late has no other effect than a call without an answer. Peers relay calls only over their
//! direct connection, so calls do not loop. Requests of callers and their results are relayed
//! only within the own region ([`message`]). Each call carries the token that the peer has
//! registered in the table: only readers of the table are served, and a call cannot reach a
//! later incarnation at the same address.
//!
//! Peers also probe the owners of leases ([`liveness`]): a few of them check whether an owner
//! still runs, and compete for its lease before it expires if the owner is gone.
//!
//! [`peers`] registers the node and follows the rows of other nodes; [`server`] serves their
//! calls; [`table`] chooses between the direct connection and a peer for each call; [`message`]
//! defines the messages, which are CBOR over HTTP.

pub(crate) mod liveness;
mod message;
pub(crate) mod peers;
pub(crate) mod probe;
mod server;
mod table;

use self::peers::Peers;
use crate::settings::ServingSettings;
use crate::table::Table;
use crate::tasks;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Starts to serve other nodes. Returns the table with peers as a fallback, and the peers.
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
        let (table, node) = (Arc::clone(&direct), settings.node.clone());
        tasks::spawn_part("peer registration", move || {
            peers::register(Arc::clone(&table), node.clone(), entry.clone())
        });
    }
    let peers = Arc::new(Peers::follow(settings, &direct));
    let server = server::PeerServer::new(settings, Arc::clone(&direct), &peers, token);
    server.serve(listener);
    let table = table::RelayedTable::new(direct, Arc::clone(&peers));
    (Arc::new(table), peers)
}
