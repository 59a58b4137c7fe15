//! What every stand-in of the platform has: a server, its state, its faults.

use super::fault_layer::FaultControl;
use super::server::Served;
use axum::Router;
use std::net::SocketAddr;
use std::sync::Arc;

/// A stand-in with the state `S` behind its router.
pub struct StandIn<S> {
    served: Served,
    pub(super) shared: Arc<S>,
    /// Its faults.
    pub faults: FaultControl,
}

impl<S: Send + Sync + 'static> StandIn<S> {
    /// Serves a router over its state, with the faults round it.
    pub(super) async fn serve(
        address: SocketAddr,
        shared: S,
        router: Router<Arc<S>>,
        faults: FaultControl,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(shared);
        let router = faults.wrap(router.with_state(Arc::clone(&shared)));
        Ok(Self {
            served: Served::start(address, router).await?,
            shared,
            faults,
        })
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.served.address()
    }
}
