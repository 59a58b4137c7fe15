//! Kept connections to back ends.

use super::WholeBody;
use super::socket;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A kept connection is used again only this much before its peer would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
const KEPT_PER_ADDRESS: usize = 16;

pub(crate) type Sender = SendRequest<WholeBody>;

struct Kept {
    sender: Sender,
    usable_until: Instant,
}

/// Connections that rest between requests, by address.
#[derive(Default)]
pub struct ConnectionPool {
    kept: Mutex<HashMap<SocketAddr, Vec<Kept>>>,
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// A connection that rests, the one used last first.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Sender> {
        let now = Instant::now();
        let mut kept = self.kept.lock().expect("not poisoned");
        let resting = kept.get_mut(&address)?;
        while let Some(connection) = resting.pop() {
            if connection.usable_until > now && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Keeps a connection for as long as its peer does.
    pub(crate) fn keep(&self, address: SocketAddr, sender: Sender, idle: Option<Duration>) {
        let idle = idle.unwrap_or(IDLE_DEFAULT);
        if sender.is_closed() || idle <= IDLE_MARGIN {
            return;
        }
        let usable_until = Instant::now() + (idle - IDLE_MARGIN);
        let mut kept = self.kept.lock().expect("not poisoned");
        let resting = kept.entry(address).or_default();
        if resting.len() < KEPT_PER_ADDRESS {
            resting.push(Kept {
                sender,
                usable_until,
            });
        }
    }

    /// Drops what is too old to be used; called now and then.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut kept = self.kept.lock().expect("not poisoned");
        for resting in kept.values_mut() {
            resting.retain(|kept| kept.usable_until > now && !kept.sender.is_closed());
        }
        kept.retain(|_, resting| !resting.is_empty());
    }

    /// Closes every connection that rests at an address.
    pub fn forget(&self, address: SocketAddr) {
        self.kept.lock().expect("not poisoned").remove(&address);
    }
}

/// Opens a connection; nothing if the peer cannot be reached in time.
pub(crate) async fn connect(address: SocketAddr, deadline: Instant) -> Option<Sender> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout_at(limit, connecting)
        .await
        .ok()?
        .ok()?;
    socket::configure(&stream);
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(connection);
    Some(sender)
}
