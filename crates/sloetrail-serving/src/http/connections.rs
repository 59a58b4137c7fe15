//! Kept connections, to back ends, other nodes and the table.
//!
//! Connections may fall silent for good without a reset while new ones work, and then those
//! of one address do so together. A connection on which nothing comes in time therefore
//! condemns those that were at rest meanwhile. An address that is merely slow is not made
//! to pay for it: a connection that has answered meanwhile vouches for all that were opened
//! after it, and each request without an answer closes only what rested since before it.

use super::WholeBody;
use super::reuse::Reuse;
use super::silence::SilenceWatch;
use super::socket;
use crate::events::{self, Event};
use crate::telemetry;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sloetrail_clock::BootInstant;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A kept connection is used again only this much before its peer would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
const KEPT_PER_ADDRESS: usize = 16;

pub(crate) type Sender = SendRequest<WholeBody>;

/// A connection between two requests.
pub(crate) struct Connection {
    /// Where requests go in.
    pub(crate) sender: Sender,
    opened_at: BootInstant,
    /// When something came over it last: it was opened, or an answer had come.
    pub(super) heard_at: BootInstant,
}

struct Kept {
    connection: Connection,
    usable_until: BootInstant,
}

/// What showed that a connection is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Silence {
    /// No head came in time.
    NoHead,
    /// The request was given up without a byte of an answer.
    GivenUp,
    /// An answer came no further.
    WithinAnswer,
    /// A request was held open on it, and others showed that it must be silent.
    HeldOpen,
}

impl Silence {
    /// A word for metrics.
    fn word(self) -> &'static str {
        match self {
            Silence::NoHead => "no_head",
            Silence::GivenUp => "given_up",
            Silence::WithinAnswer => "within_answer",
            Silence::HeldOpen => "held_open",
        }
    }
}

/// Connections that rest between requests, by address.
#[derive(Default)]
pub struct ConnectionPool {
    kept: Mutex<HashMap<SocketAddr, Vec<Kept>>>,
    silence: SilenceWatch,
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// A connection that rests and that may be used, the one used last first.
    pub(crate) fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let answered_since = match reuse {
            Reuse::Never => return None,
            Reuse::Any | Reuse::Within(_) | Reuse::UntilFoundSilent => None,
            Reuse::AnsweredSince(moment) => Some(moment),
        };
        let now = BootInstant::now();
        let mut kept = self.kept.lock().expect("not poisoned");
        let resting = kept.get_mut(&address)?;
        while let Some(last) = resting.last() {
            if answered_since.is_some_and(|moment| last.connection.heard_at <= moment) {
                return None;
            }
            let last = resting.pop()?;
            if last.usable_until > now && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// True if a connection rests at an address that may be used.
    pub(crate) fn has_resting(&self, address: SocketAddr) -> bool {
        let now = BootInstant::now();
        let kept = self.kept.lock().expect("not poisoned");
        let mut resting = kept.get(&address).into_iter().flatten();
        resting.any(|kept| kept.usable_until > now && !kept.connection.sender.is_closed())
    }

    /// Keeps a connection for as long as its peer does.
    pub(crate) fn keep(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        idle: Option<Duration>,
    ) {
        self.silence.note_answer(address, connection.opened_at);
        let idle = idle.unwrap_or(IDLE_DEFAULT);
        if connection.sender.is_closed() || idle <= IDLE_MARGIN {
            return;
        }
        let now = BootInstant::now();
        connection.heard_at = now;
        let mut kept = self.kept.lock().expect("not poisoned");
        let resting = kept.entry(address).or_default();
        if resting.len() < KEPT_PER_ADDRESS {
            resting.push(Kept {
                connection,
                usable_until: now + (idle - IDLE_MARGIN),
            });
        }
    }

    /// A connection to an address has been silent since a moment. Those that have rested
    /// since before it are closed, but for those that a connection vouches for which was
    /// opened before them and has answered since.
    pub(crate) fn condemn(&self, address: SocketAddr, since: BootInstant, silence: Silence) {
        self.silence.suspect(address, since);
        let closed = {
            let mut kept = self.kept.lock().expect("not poisoned");
            let Some(resting) = kept.get_mut(&address) else {
                return;
            };
            let have_answered = resting
                .iter()
                .filter(|kept| kept.connection.heard_at > since);
            let vouched_for_from = have_answered.map(|kept| kept.connection.opened_at).min();
            let is_sound = |kept: &Kept| {
                let is_vouched_for =
                    vouched_for_from.is_some_and(|from| kept.connection.opened_at >= from);
                kept.connection.heard_at > since || is_vouched_for
            };
            let before = resting.len();
            resting.retain(is_sound);
            before - resting.len()
        };
        if closed > 0 {
            tell_condemned(address, silence, closed);
        }
    }

    /// Waits until others have shown that a connection which is in use must be silent.
    pub(super) async fn found_silent(&self, address: SocketAddr, heard_at: BootInstant) {
        self.silence.found(address, heard_at).await;
        tell_condemned(address, Silence::HeldOpen, 1);
    }

    /// Drops what is too old to be used; called now and then.
    pub fn sweep(&self) {
        let now = BootInstant::now();
        let mut kept = self.kept.lock().expect("not poisoned");
        for resting in kept.values_mut() {
            resting.retain(|kept| kept.usable_until > now && !kept.connection.sender.is_closed());
        }
        kept.retain(|_, resting| !resting.is_empty());
        drop(kept);
        self.silence.sweep();
    }

    /// Closes every connection that rests at an address.
    pub fn forget(&self, address: SocketAddr) {
        self.kept.lock().expect("not poisoned").remove(&address);
    }
}

fn tell_condemned(address: SocketAddr, silence: Silence, connections: usize) {
    telemetry::connections_evicted(silence.word(), connections as u64);
    events::emit(&Event::ConnectionsCondemned {
        address: &address.to_string(),
        cause: silence.word(),
        connections,
    });
}

/// Whether something listens at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listening {
    /// A connection was opened.
    Yes,
    /// The machine is there and refuses: no process has the port open.
    No,
    /// Nothing came back, or something else went wrong.
    Unknown,
}

/// Finds out whether something listens at an address.
pub(crate) async fn look_at(address: SocketAddr) -> Listening {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Listening::Yes,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Listening::No,
        Ok(Err(_)) | Err(_) => Listening::Unknown,
    }
}

/// Opens a connection; nothing if the peer cannot be reached in time.
pub(crate) async fn connect(address: SocketAddr, deadline: BootInstant) -> Option<Connection> {
    let limit = deadline.min(BootInstant::now() + CONNECT_TIMEOUT);
    let connecting = TcpStream::connect(address);
    let stream = sloetrail_clock::timeout_at(limit, connecting)
        .await
        .ok()?
        .ok()?;
    socket::configure(&stream);
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(connection);
    let now = BootInstant::now();
    Some(Connection {
        sender,
        opened_at: now,
        heard_at: now,
    })
}

#[cfg(test)]
mod tests;
