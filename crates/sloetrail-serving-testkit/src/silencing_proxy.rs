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
pub struct SilencingProxy {
    /// Where it listens.
    pub address: SocketAddr,
    /// Grows each time that the connections there are fall silent.
    silences: watch::Sender<u64>,
    accepted: AtomicUsize,
    silent_uses: Arc<AtomicUsize>,
}

impl SilencingProxy {
    /// Starts a proxy in front of a target.
    pub async fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let (silences, _) = watch::channel(0);
        let proxy = Arc::new(Self {
            address: listener.local_addr().expect("bound"),
            silences,
            accepted: AtomicUsize::new(0),
            silent_uses: Arc::default(),
        });
        let serving = Arc::clone(&proxy);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                serving.accepted.fetch_add(1, Ordering::SeqCst);
                let silence = Silence {
                    silences: serving.silences.subscribe(),
                    uses: Arc::clone(&serving.silent_uses),
                };
                tokio::spawn(relay(near, target, silence));
            }
        });
        proxy
    }

    /// Makes the connections that there are silent for good; later ones work.
    pub fn silence(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// How often something came over a connection that was silent by then, in either
    /// direction: the calls that met the silence, where each comes in one piece.
    pub fn silent_uses(&self) -> usize {
        self.silent_uses.load(Ordering::SeqCst)
    }

    /// Connections that were accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

/// Whether a connection is silent by now, and what is counted then.
#[derive(Clone)]
struct Silence {
    silences: watch::Receiver<u64>,
    uses: Arc<AtomicUsize>,
}

impl Silence {
    fn has_begun(&self) -> bool {
        self.silences.has_changed().unwrap_or(true)
    }
}

async fn relay(near: TcpStream, target: SocketAddr, silence: Silence) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Without it small messages would wait for more.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, silence.clone()),
        copy(far_read, near_write, silence),
    );
}

/// Copies until one side ends. Once silent, it swallows what comes and tells no end.
async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    silence: Silence,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        let is_silent = silence.has_begun();
        match read {
            Ok(length) if length > 0 && is_silent => {
                silence.uses.fetch_add(1, Ordering::SeqCst);
            }
            Ok(length) if length > 0 => {
                if to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
            _ if is_silent => std::future::pending().await,
            _ => {
                // The other side may have gone already.
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}
