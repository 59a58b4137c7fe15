//! Pool of idle keep-alive connections to back ends, other nodes and the table.
//!
//! A network fault can leave connections unresponsive without a reset while new ones work, and
//! it usually affects all connections to an address at once. When a request on a pooled
//! connection gets no response in time, the pool therefore evicts the connections to that
//! address that were idle before the request was sent. A connection that has received a
//! response since then protects every connection opened after it, so that an address that is
//! only slow keeps most of its connections.

use super::FullBody;
use super::answer_buffer::AnswerBudget;
use super::received_bytes::{LimitedReads, ReceivedBytes};
use super::reuse::Reuse;
use super::socket;
use super::unresponsive::UnresponsiveWatch;
use crate::events::{self, Event};
use crate::tasks;
use crate::telemetry;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use sloetrail_clock::BootInstant;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use std::time::Duration;
use tokio::net::TcpStream;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection is reused only until this long before its peer would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// More than the head of an answer needs.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;
const MAX_IDLE_PER_ADDRESS: usize = 16;

pub(crate) type Sender = SendRequest<FullBody>;

/// A connection that can send a request.
pub(crate) struct Connection {
    pub(crate) sender: Sender,
    pub(super) received: ReceivedBytes,
    opened_at: BootInstant,
    /// When the connection was opened or its last response was complete.
    pub(super) received_at: BootInstant,
}

struct IdleConnection {
    connection: Connection,
    usable_until: BootInstant,
}

/// The sign by which a connection was found unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnresponsiveSign {
    /// No response head arrived in time.
    NoHeadInTime,
    /// The request was cancelled before any byte of the response arrived.
    AbandonedBeforeHead,
    StalledBody,
    /// A read that must be answered in time is pending for long.
    OverdueRead,
    /// A long poll was pending while other connections to the address proved unresponsive.
    LongPoll,
}

impl UnresponsiveSign {
    /// Value of the cause label in metrics and events.
    fn as_str(self) -> &'static str {
        match self {
            UnresponsiveSign::NoHeadInTime => "no_head",
            UnresponsiveSign::AbandonedBeforeHead => "given_up",
            UnresponsiveSign::StalledBody => "within_answer",
            UnresponsiveSign::OverdueRead => "overdue",
            UnresponsiveSign::LongPoll => "held_open",
        }
    }
}

/// Idle connections by address.
pub struct ConnectionPool {
    answer_budget: AnswerBudget,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    unresponsive: UnresponsiveWatch,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new()
    }
}

impl ConnectionPool {
    /// Creates a pool whose answers are limited one by one only.
    pub fn new() -> Self {
        Self::with_answer_budget(AnswerBudget::unlimited())
    }

    /// Creates a pool whose collected answers share a budget of bytes.
    pub(crate) fn with_answer_budget(answer_budget: AnswerBudget) -> Self {
        Self {
            answer_budget,
            idle: Mutex::default(),
            unresponsive: UnresponsiveWatch::default(),
        }
    }

    pub(super) fn answer_budget(&self) -> &AnswerBudget {
        &self.answer_budget
    }

    /// Removes the most recently used idle connection that `reuse` permits.
    pub(crate) fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let responded_after = match reuse {
            Reuse::Never => return None,
            Reuse::Any | Reuse::Within(_) | Reuse::UntilUnresponsive => None,
            Reuse::RespondedSince(moment) => Some(moment),
        };
        let now = BootInstant::now();
        let mut idle = self.idle.lock();
        let idle_connections = idle.get_mut(&address)?;
        while let Some(last) = idle_connections.last() {
            if responded_after.is_some_and(|moment| last.connection.received_at <= moment) {
                return None;
            }
            let last = idle_connections.pop()?;
            if last.usable_until > now && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns whether a usable idle connection to the address exists.
    pub(crate) fn has_idle(&self, address: SocketAddr) -> bool {
        let now = BootInstant::now();
        let idle = self.idle.lock();
        let mut idle_connections = idle.get(&address).into_iter().flatten();
        idle_connections.any(|idle| idle.usable_until > now && !idle.connection.sender.is_closed())
    }

    /// Returns a connection to the pool. `keep_alive` is the idle time that the peer announced.
    pub(crate) fn keep(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        self.unresponsive
            .record_response(address, connection.opened_at);
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE);
        if connection.sender.is_closed() || keep_alive <= IDLE_MARGIN {
            return;
        }
        let now = BootInstant::now();
        connection.received_at = now;
        let mut idle = self.idle.lock();
        let idle_connections = idle.entry(address).or_default();
        if idle_connections.len() < MAX_IDLE_PER_ADDRESS {
            idle_connections.push(IdleConnection {
                connection,
                usable_until: now + (keep_alive - IDLE_MARGIN),
            });
        }
    }

    /// Closes the connections to an address that have been idle since before `since`, when an
    /// unresponsive connection sent its request. A connection stays open if it was opened after
    /// one that has received a response since then.
    pub(crate) fn evict(&self, address: SocketAddr, since: BootInstant, sign: UnresponsiveSign) {
        self.unresponsive.suspect(address, since);
        let closed = {
            let mut idle = self.idle.lock();
            let Some(idle_connections) = idle.get_mut(&address) else {
                return;
            };
            let with_response = idle_connections
                .iter()
                .filter(|idle| idle.connection.received_at > since);
            let protected_from = with_response.map(|idle| idle.connection.opened_at).min();
            let is_retained = |idle: &IdleConnection| {
                let is_protected =
                    protected_from.is_some_and(|from| idle.connection.opened_at >= from);
                idle.connection.received_at > since || is_protected
            };
            let before = idle_connections.len();
            idle_connections.retain(is_retained);
            before - idle_connections.len()
        };
        if closed > 0 {
            report_evicted(address, sign, closed);
        }
    }

    /// Closes the idle connections to an address without a response since `unanswered_since`, when
    /// a request was sent that is still pending. Does not affect that request.
    pub fn distrust(&self, address: SocketAddr, unanswered_since: BootInstant) {
        self.evict(address, unanswered_since, UnresponsiveSign::OverdueRead);
    }

    /// Waits until other connections show that a connection in use must be unresponsive.
    pub(super) async fn wait_unresponsive(&self, address: SocketAddr, received_at: BootInstant) {
        self.unresponsive.wait(address, received_at).await;
        report_evicted(address, UnresponsiveSign::LongPoll, 1);
    }

    /// Removes expired and closed connections. Must be called periodically.
    pub fn sweep(&self) {
        let now = BootInstant::now();
        let mut idle = self.idle.lock();
        for idle_connections in idle.values_mut() {
            idle_connections
                .retain(|idle| idle.usable_until > now && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, idle_connections| !idle_connections.is_empty());
        drop(idle);
        self.unresponsive.sweep();
    }

    /// Closes all idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }
}

fn report_evicted(address: SocketAddr, sign: UnresponsiveSign, connections: usize) {
    telemetry::connections_evicted(sign.as_str(), connections as u64);
    events::emit(&Event::ConnectionsCondemned {
        address: &address.to_string(),
        cause: sign.as_str(),
        connections,
    });
}

/// Whether a process listens on an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listening {
    /// The connection was accepted.
    Yes,
    /// The connection was refused: the host is up, but no process has the port open.
    No,
    /// The connection timed out or failed for another reason.
    Unknown,
}

impl Listening {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Listening::Yes => "listening",
            Listening::No => "refusing",
            Listening::Unknown => "unknown",
        }
    }
}

/// Probes an address by opening a connection.
pub(crate) async fn probe_listener(address: SocketAddr) -> Listening {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Listening::Yes,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Listening::No,
        Ok(Err(_)) | Err(_) => Listening::Unknown,
    }
}

/// Opens a connection. None if the peer cannot be reached in time.
pub(crate) async fn connect(address: SocketAddr, deadline: BootInstant) -> Option<Connection> {
    let limit = deadline.min(BootInstant::now() + CONNECT_TIMEOUT);
    let connecting = TcpStream::connect(address);
    let stream = sloetrail_clock::timeout_at(limit, connecting)
        .await
        .ok()?
        .ok()?;
    socket::configure(&stream);
    let received = ReceivedBytes::new();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(LimitedReads::new(stream, received.clone())))
        .await
        .ok()?;
    tasks::spawn("back end connection", connection);
    let now = BootInstant::now();
    Some(Connection {
        sender,
        received,
        opened_at: now,
        received_at: now,
    })
}

#[cfg(test)]
mod tests;
