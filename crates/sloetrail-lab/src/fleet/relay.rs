//! Relays between zones, so that zones can be cut from each other on loopback.
//!
//! A node reaches what lies outside its zone through a relay of its own zone; the
//! machine list gives it the relay's address. A relay forwards TCP and UDP as
//! long as the direction is open; a cut direction holds bytes back, as a network
//! that loses packets does.

use super::platform::any_port;
use sloetrail_types::ZoneName;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const BUFFER_BYTES: usize = 16 * 1024;
const DATAGRAM_LIMIT_BYTES: usize = 65_536;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A direction between two zones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// Where bytes come from.
    pub from: ZoneName,
    /// Where they go.
    pub to: ZoneName,
}

/// Which directions are cut now.
#[derive(Clone)]
pub struct Cuts {
    state: Arc<watch::Sender<BTreeSet<Direction>>>,
}

impl Default for Cuts {
    fn default() -> Self {
        Self {
            state: Arc::new(watch::Sender::new(BTreeSet::new())),
        }
    }
}

impl Cuts {
    /// Cuts one direction.
    pub fn cut(&self, direction: Direction) {
        self.state.send_modify(|cut| {
            cut.insert(direction);
        });
    }

    /// Opens one direction.
    pub fn open(&self, direction: &Direction) {
        self.state.send_modify(|cut| {
            cut.remove(direction);
        });
    }

    fn is_cut(&self, direction: &Direction) -> bool {
        self.state.borrow().contains(direction)
    }

    async fn until_open(&self, direction: &Direction) {
        let mut changes = self.state.subscribe();
        // The sender lives as long as the relays.
        let _ = changes.wait_for(|cut| !cut.contains(direction)).await;
    }
}

/// Relays that end with this value.
#[derive(Default)]
pub struct Relays {
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for Relays {
    fn drop(&mut self) {
        for task in self.tasks.lock().expect("not poisoned").drain(..) {
            task.abort();
        }
    }
}

impl Relays {
    /// Starts a TCP relay and returns its address.
    pub async fn tcp(
        &self,
        cuts: Cuts,
        direction: Direction,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(any_port()).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_connection(
                    cuts.clone(),
                    direction.clone(),
                    stream,
                    target,
                ));
            }
        });
        self.tasks.lock().expect("not poisoned").push(task);
        Ok(address)
    }

    /// Starts a UDP relay and returns its address.
    pub async fn udp(
        &self,
        cuts: Cuts,
        direction: Direction,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let socket = UdpSocket::bind(any_port()).await?;
        let address = socket.local_addr()?;
        let task = tokio::spawn(async move {
            let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
            while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                if !cuts.is_cut(&direction) {
                    // A datagram may be lost.
                    let _ = socket.send_to(&buffer[..length], target).await;
                }
            }
        });
        self.tasks.lock().expect("not poisoned").push(task);
        Ok(address)
    }
}

async fn relay_connection(cuts: Cuts, direction: Direction, near: TcpStream, target: SocketAddr) {
    let back = Direction {
        from: direction.to.clone(),
        to: direction.from.clone(),
    };
    cuts.until_open(&direction).await;
    cuts.until_open(&back).await;
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target));
    let Ok(Ok(far)) = connect.await else {
        return;
    };
    // Small messages must not wait for more data.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = copy(&cuts, &direction, near_read, far_write) => {}
        () = copy(&cuts, &back, far_read, near_write) => {}
    }
}

async fn copy(
    cuts: &Cuts,
    direction: &Direction,
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        cuts.until_open(direction).await;
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
