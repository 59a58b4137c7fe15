//! A loopback proxy whose connections can fall silent while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are copied at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// The proxy.
pub struct BlackholeProxy {
    /// Where it listens.
    pub address: SocketAddr,
    /// Grows each time that the connections there are fall silent.
    blackholes: watch::Sender<u64>,
    accepted: AtomicUsize,
    discarded_reads: Arc<AtomicUsize>,
}

impl BlackholeProxy {
    /// Starts a proxy in front of a target.
    pub async fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
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
                    uses: Arc::clone(&serving.discarded_reads),
                };
                tokio::spawn(relay(near, target, watch));
            }
        });
        proxy
    }

    /// Makes the connections that there are silent for good; later ones work.
    pub fn blackhole_connections(&self) {
        self.blackholes.send_modify(|count| *count += 1);
    }

    /// How often something came over a connection that was silent by then, in either
    /// direction: the calls that met the silence, where each comes in one piece.
    pub fn discarded_reads(&self) -> usize {
        self.discarded_reads.load(Ordering::SeqCst)
    }

    /// Connections that were accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

/// Whether a connection is silent by now, and what is counted then.
#[derive(Clone)]
struct BlackholeWatch {
    blackholes: watch::Receiver<u64>,
    uses: Arc<AtomicUsize>,
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
    // Without it small messages would wait for more.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, watch.clone()),
        copy(far_read, near_write, watch),
    );
}

/// Copies until one side ends. Once silent, it swallows what comes and tells no end.
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
                watch.uses.fetch_add(1, Ordering::SeqCst);
            }
            Ok(length) if length > 0 => {
                if to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
            _ if is_blackholed => std::future::pending().await,
            _ => {
                // The other side may have gone already.
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}
