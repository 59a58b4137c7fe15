//! A loopback proxy that can blackhole its open connections while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 * 1024;

pub struct BlackholeProxy {
    pub address: SocketAddr,
    /// Incremented each time the open connections are blackholed.
    blackholes: watch::Sender<u64>,
    accepted: AtomicUsize,
    discarded_reads: Arc<AtomicUsize>,
}

impl BlackholeProxy {
    pub async fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("free loopback port");
        let (blackholes, _) = watch::channel(0);
        let proxy = Arc::new(Self {
            address: listener.local_addr().expect("bound"),
            blackholes,
            accepted: AtomicUsize::new(0),
            discarded_reads: Arc::default(),
        });
        let serving = Arc::clone(&proxy);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                serving.accepted.fetch_add(1, Ordering::SeqCst);
                let watch = BlackholeWatch {
                    blackholes: serving.blackholes.subscribe(),
                    discarded_reads: Arc::clone(&serving.discarded_reads),
                };
                tokio::spawn(relay(near, target, watch));
            }
        });
        proxy
    }

    /// Blackholes all open connections permanently. Later connections are not affected.
    pub fn blackhole_connections(&self) {
        self.blackholes.send_modify(|count| *count += 1);
    }

    /// Reads in either direction whose data was discarded on a blackholed connection. Equals the
    /// number of affected messages if each arrives in a single read.
    pub fn discarded_reads(&self) -> usize {
        self.discarded_reads.load(Ordering::SeqCst)
    }

    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

/// Shows whether a connection is blackholed, and counts its discarded reads.
#[derive(Clone)]
struct BlackholeWatch {
    blackholes: watch::Receiver<u64>,
    discarded_reads: Arc<AtomicUsize>,
}

impl BlackholeWatch {
    fn is_blackholed(&self) -> bool {
        self.blackholes.has_changed().unwrap_or(true)
    }
}

async fn relay(near: TcpStream, target: SocketAddr, watch: BlackholeWatch) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Nagle's algorithm would delay small messages.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, watch.clone()),
        copy(far_read, near_write, watch),
    );
}

/// Copies until one side closes. A blackholed connection discards all data and never
/// forwards a close.
async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    watch: BlackholeWatch,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        let is_blackholed = watch.is_blackholed();
        match read {
            Ok(length) if length > 0 && is_blackholed => {
                watch.discarded_reads.fetch_add(1, Ordering::SeqCst);
            }
            Ok(length) if length > 0 => {
                if to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
            _ if is_blackholed => std::future::pending().await,
            _ => {
                // The other side may already be closed.
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}
