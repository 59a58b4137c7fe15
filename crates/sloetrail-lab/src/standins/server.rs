//! Serving a stand-in's router.

use axum::Router;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A stand-in that serves until dropped.
pub struct Served {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Served {
    /// Serves a router on an address; port zero lets the system choose.
    pub async fn start(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            // Serving ends only with the task.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, task })
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.task.abort();
    }
}
