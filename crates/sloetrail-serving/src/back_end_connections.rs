//! The one way to send something to a back end.
//!
//! A back end is chosen some time before a request leaves: a connection to it may have to be
//! opened, and the process may stand still meanwhile and wake after the back end has left or
//! its zone was evacuated. So whatever is sent is judged once more between connecting and
//! sending, by beliefs that were confirmed since the process last woke.

use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::http::{ConnectionPool, Exchange, FullBody, Reuse, SendFailure};
use crate::operator::InForce;
use crate::quarantine::Passage;
use crate::suspension_guard::SuspensionGuard;
use http::Request;
use sloetrail_clock::BootInstant;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// The connections to back ends, and what tells whether these take work.
pub(crate) struct BackEndConnections {
    pool: Arc<ConnectionPool>,
    directory: watch::Receiver<Arc<Directory>>,
    in_force: watch::Receiver<Arc<InForce>>,
    suspension_guard: Arc<SuspensionGuard>,
}

impl BackEndConnections {
    /// No connections so far.
    pub(crate) fn new(
        directory: watch::Receiver<Arc<Directory>>,
        in_force: watch::Receiver<Arc<InForce>>,
        suspension_guard: Arc<SuspensionGuard>,
    ) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new()),
            directory,
            in_force,
            suspension_guard,
        }
    }

    /// Sends a request to a back end that takes work at the moment at which it leaves, if its
    /// passage is open then. What the node itself asks back ends needs none.
    pub(crate) async fn send(
        &self,
        back_end: &BackEnd,
        request: Request<FullBody>,
        passage: Option<&Passage>,
        reuse: Reuse,
        deadline: BootInstant,
    ) -> Result<Exchange, SendFailure> {
        let takes_work = || self.takes_work(back_end) && passage.is_none_or(Passage::is_open);
        // Before connecting too: a connection that is not used costs the back end as much.
        let sent = match takes_work() {
            true => {
                let (pool, address) = (&self.pool, back_end.address);
                Exchange::send_if(pool, address, request, reuse, deadline, &takes_work).await
            }
            false => Err(SendFailure::Withheld),
        };
        if matches!(sent, Err(SendFailure::Withheld)) {
            // Who chooses back ends may be about to learn what has held this one back.
            tokio::task::yield_now().await;
        }
        sent
    }

    /// True if a back end, which was chosen some time ago, is known to take work now.
    fn takes_work(&self, back_end: &BackEnd) -> bool {
        if !self.suspension_guard.is_settled() {
            return false;
        }
        let directory = self.directory.borrow();
        let listed = directory.back_ends.get(&back_end.id);
        let stays = listed.is_some_and(|listed| !listed.draining);
        stays && !self.in_force.borrow().evacuations.covers(&back_end.zone)
    }

    /// True if a connection to a back end rests, over which a request may leave at once.
    pub(crate) fn has_idle(&self, back_end: &BackEnd) -> bool {
        self.pool.has_idle(back_end.address)
    }

    /// Closes every connection that rests at an address.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.pool.forget(address);
    }

    /// Drops what is too old to be used; called now and then.
    pub(crate) fn sweep(&self) {
        self.pool.sweep();
    }
}
