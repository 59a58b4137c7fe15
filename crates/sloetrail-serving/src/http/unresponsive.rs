//! Telling requests that their peer holds open that their connection must be silent.
//!
//! A request that is held open cannot tell a silent connection from one on which there is
//! nothing to say. Others can: if a request had no answer over a connection, and one over a
//! new connection was then answered in less time, connections fell silent while the peer goes
//! on answering. Those of before, of which nothing was heard since, are given up.

use sloetrail_clock::BootInstant;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::watch;

/// What is known of silent connections to the addresses at which requests are held open.
#[derive(Default)]
pub(super) struct UnresponsiveWatch {
    addresses: Mutex<HashMap<SocketAddr, Watched>>,
}

/// An address at which requests are held open.
#[derive(Default)]
struct Watched {
    suspicion: Option<Suspicion>,
    /// The last moment since which connections are known to have been silent.
    silent_since: watch::Sender<Option<BootInstant>>,
}

/// A silence that may be the connection's or the peer's.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: BootInstant,
    /// How long an answer was waited for.
    lasted: Duration,
}

impl UnresponsiveWatch {
    /// A request had no answer since a moment.
    pub(super) fn suspect(&self, address: SocketAddr, since: BootInstant) {
        let mut addresses = self.addresses.lock().expect("not poisoned");
        if let Some(watched) = addresses.get_mut(&address) {
            watched.suspicion = Some(Suspicion {
                since,
                lasted: since.elapsed(),
            });
        }
    }

    /// An answer has come over a connection that was opened at this moment. One over a new
    /// connection, sooner than the silence lasted, shows that it is the connections that are
    /// silent; any other answer shows the contrary.
    pub(super) fn record_response(&self, address: SocketAddr, opened_at: BootInstant) {
        let mut addresses = self.addresses.lock().expect("not poisoned");
        let Some(watched) = addresses.get_mut(&address) else {
            return;
        };
        let Some(Suspicion { since, lasted }) = watched.suspicion.take() else {
            return;
        };
        if opened_at > since && opened_at.elapsed() < lasted {
            watched.silent_since.send_replace(Some(since));
        }
    }

    /// Waits until a connection, of which something was heard last at this moment, is known
    /// to be silent.
    pub(super) async fn found(&self, address: SocketAddr, received_at: BootInstant) {
        let mut silent_since = {
            let mut addresses = self.addresses.lock().expect("not poisoned");
            let watched = addresses.entry(address).or_default();
            watched.silent_since.subscribe()
        };
        let is_silent =
            |since: &Option<BootInstant>| since.is_some_and(|since| received_at <= since);
        if silent_since.wait_for(is_silent).await.is_err() {
            // Nobody tells any more.
            std::future::pending().await
        }
    }

    /// Forgets addresses at which nothing is held open.
    pub(super) fn sweep(&self) {
        let mut addresses = self.addresses.lock().expect("not poisoned");
        addresses.retain(|_, watched| watched.silent_since.receiver_count() > 0);
    }
}

#[cfg(test)]
mod tests;
