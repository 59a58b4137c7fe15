//! Starting and stopping a node.

use crate::api::build_router;
use crate::gossip::run_gossip;
use crate::leases::keep_leases;
use crate::observer::observe_engines;
use crate::server;
use crate::state::NodeState;
use crate::sync::{
    keep_configuration, keep_directory, read_configuration_from_table, read_directory,
};
use sloetrail_config::NodeSettings;
use sloetrail_types::{NodeId, Revision, ServiceName};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

const READY_POLL: Duration = Duration::from_millis(50);
/// Time for which a drained node still answers, with a refusal, so that callers
/// learn that it leaves before it is gone.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_000);

/// Why a node could not start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// The HTTP address is taken or not this machine's.
    #[snafu(display("cannot listen on {address}: {source}"))]
    ListenHttp {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The gossip address is taken or not this machine's.
    #[snafu(display("cannot bind {address}: {source}"))]
    BindGossip {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
}

/// A running node.
pub struct Node {
    state: Arc<NodeState>,
    server: JoinHandle<()>,
    leases: JoinHandle<()>,
    http_address: SocketAddr,
    gossip_address: SocketAddr,
}

/// Sockets that a node will serve on, bound beforehand so that their addresses
/// can be announced.
pub struct NodeSockets {
    http: TcpListener,
    gossip: UdpSocket,
}

impl NodeSockets {
    /// Binds both sockets; port zero lets the system choose.
    pub async fn bind(http: SocketAddr, gossip: SocketAddr) -> Result<Self, NodeError> {
        Ok(Self {
            http: TcpListener::bind(http)
                .await
                .context(ListenHttpSnafu { address: http })?,
            gossip: UdpSocket::bind(gossip)
                .await
                .context(BindGossipSnafu { address: gossip })?,
        })
    }

    /// The HTTP address.
    pub fn http_address(&self) -> SocketAddr {
        self.http
            .local_addr()
            .expect("a bound socket has an address")
    }

    /// The gossip address.
    pub fn gossip_address(&self) -> SocketAddr {
        self.gossip
            .local_addr()
            .expect("a bound socket has an address")
    }
}

impl Node {
    /// Starts a node on the addresses of its settings.
    pub async fn start(settings: NodeSettings) -> Result<Self, NodeError> {
        let sockets = NodeSockets::bind(settings.http_address, settings.gossip_address).await?;
        Ok(Self::start_on(sockets, settings))
    }

    /// Starts a node on sockets that are bound already.
    pub fn start_on(sockets: NodeSockets, settings: NodeSettings) -> Self {
        let http_address = sockets.http_address();
        let gossip_address = sockets.gossip_address();
        let (gossip, outbox) = mpsc::unbounded_channel();
        let state = Arc::new(NodeState::new(settings, gossip));
        let router = build_router(Arc::clone(&state));
        let bounds = state.settings.bounds.clone();
        let cancel = state.cancel.clone();
        let server = tokio::spawn(server::serve(sockets.http, router, bounds, cancel));
        tokio::spawn(run_gossip(Arc::clone(&state), sockets.gossip, outbox));
        tokio::spawn(keep_directory(Arc::clone(&state)));
        tokio::spawn(keep_configuration(Arc::clone(&state)));
        tokio::spawn(observe_engines(Arc::clone(&state)));
        tokio::spawn(become_ready(Arc::clone(&state)));
        let leases = tokio::spawn(keep_leases(Arc::clone(&state)));
        log::info!(target: "node", "Node {} serves {http_address}.", state.settings.node);
        Self {
            state,
            server,
            leases,
            http_address,
            gossip_address,
        }
    }

    /// The node's id.
    pub fn id(&self) -> &NodeId {
        &self.state.settings.node
    }

    /// Where it serves HTTP.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Where it takes membership messages.
    pub fn gossip_address(&self) -> SocketAddr {
        self.gossip_address
    }

    /// The revision that it holds.
    pub fn revision(&self) -> Revision {
        self.state.revision()
    }

    /// Nodes of its zone that it takes for alive, itself included.
    pub fn members_alive(&self) -> usize {
        self.state.membership().alive().len()
    }

    /// True if it takes a node of its zone for alive.
    pub fn takes_for_alive(&self, node: &NodeId) -> bool {
        self.state.membership().alive().contains(node)
    }

    /// The version of the machine list that it holds.
    pub fn list_version(&self) -> u64 {
        self.state.directory().version()
    }

    /// Engines of a service that it may choose now.
    pub fn engines_available(&self, service: &ServiceName) -> usize {
        let pool = self.state.pool(service);
        pool.map_or(0, |pool| pool.available())
    }

    /// True if it knows that its configuration is in force.
    pub fn configuration_is_confirmed(&self) -> bool {
        self.state.configuration_is_fresh()
    }

    /// Leaves: takes no new work, ends what is in flight, hands leases over.
    pub async fn stop(self) {
        log::info!(target: "node", "Node {} leaves.", self.state.settings.node);
        self.state.lifecycle.leave();
        let outgoing = self.state.membership().leave(self.state.now());
        self.state.send_all(outgoing);
        let drain_timeout = self.state.settings.bounds.drain_timeout;
        let _ = tokio::time::timeout(drain_timeout, self.leases).await;
        let drained = self.state.lifecycle.drained();
        if tokio::time::timeout(drain_timeout, drained).await.is_err() {
            log::warn!(target: "node", "Requests were still in flight at the drain timeout.");
        }
        tokio::time::sleep(LEAVE_NOTICE).await;
        self.state.cancel.cancel();
        let _ = self.server.await;
        log::info!(target: "node", "Node {} has stopped.", self.state.settings.node);
    }

    /// Ends at once, as a crash would.
    pub fn abort(self) {
        self.state.cancel.cancel();
        self.server.abort();
        self.leases.abort();
    }
}

/// Ready once the node holds a configuration that it knows to be in force, and so
/// one at least as new as its zone's.
async fn become_ready(state: Arc<NodeState>) {
    if let Err(error) = read_directory(&state).await {
        log::warn!(target: "node", "The machine list was not read: {error}.");
    }
    if let Err(error) = read_configuration_from_table(&state).await {
        log::warn!(target: "node", "The configuration was not read: {error}.");
    }
    loop {
        let holds_one = state.revision() > Revision(0);
        if holds_one && state.configuration_is_fresh() {
            state.lifecycle.become_ready();
            log::info!(target: "node", "Node {} is ready.", state.settings.node);
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(READY_POLL) => {}
            () = state.cancel.cancelled() => return,
        }
    }
}
