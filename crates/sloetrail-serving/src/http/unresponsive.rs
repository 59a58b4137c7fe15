//! Detects that long polls wait on unresponsive connections.
//!
//! A pending long poll cannot distinguish an unresponsive connection from one without new data.
//! Other requests can: if one had no response over an existing connection, and one over a new
//! connection then had its response in less time, existing connections are unresponsive while
//! the peer still responds. Long polls on connections without any response since then fail.

use parking_lot::Mutex;
use sloetrail_clock::BootInstant;
use std::collections::HashMap;
use std::net::SocketAddr;

use std::time::Duration;
use tokio::sync::watch;

/// Evidence of unresponsive connections to the addresses at which long polls are pending.
#[derive(Default)]
pub(super) struct UnresponsiveWatch {
    addresses: Mutex<HashMap<SocketAddr, WatchedAddress>>,
}

#[derive(Default)]
struct WatchedAddress {
    suspicion: Option<Suspicion>,
    /// Connections without a response since this time are unresponsive.
    unresponsive_since: watch::Sender<Option<BootInstant>>,
}

/// A missing response, caused by either the connection or the peer.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: BootInstant,
    waited: Duration,
}

impl UnresponsiveWatch {
    /// Records that a request sent at `since` has no response.
    pub(super) fn suspect(&self, address: SocketAddr, since: BootInstant) {
        let mut addresses = self.addresses.lock();
        if let Some(watched) = addresses.get_mut(&address) {
            watched.suspicion = Some(Suspicion {
                since,
                waited: since.elapsed(),
            });
        }
    }

    /// Records a response over a connection opened at `opened_at`. A response over a new
    /// connection, in less time than the request without a response waited, confirms the
    /// suspicion. Any other response clears it.
    pub(super) fn record_response(&self, address: SocketAddr, opened_at: BootInstant) {
        let mut addresses = self.addresses.lock();
        let Some(watched) = addresses.get_mut(&address) else {
            return;
        };
        let Some(Suspicion { since, waited }) = watched.suspicion.take() else {
            return;
        };
        if opened_at > since && opened_at.elapsed() < waited {
            watched.unresponsive_since.send_replace(Some(since));
        }
    }

    /// Waits until a connection whose last response was at `received_at` is known to be
    /// unresponsive.
    pub(super) async fn wait(&self, address: SocketAddr, received_at: BootInstant) {
        let mut unresponsive_since = {
            let mut addresses = self.addresses.lock();
            let watched = addresses.entry(address).or_default();
            watched.unresponsive_since.subscribe()
        };
        let is_unresponsive =
            |since: &Option<BootInstant>| since.is_some_and(|since| received_at <= since);
        if unresponsive_since.wait_for(is_unresponsive).await.is_err() {
            // The sender is gone, so no report can follow.
            std::future::pending().await
        }
    }

    /// Removes addresses without pending long polls.
    pub(super) fn sweep(&self) {
        let mut addresses = self.addresses.lock();
        addresses.retain(|_, watched| watched.unresponsive_since.receiver_count() > 0);
    }
}

#[cfg(test)]
mod tests;
