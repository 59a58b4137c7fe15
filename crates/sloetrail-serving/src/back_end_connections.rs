//! Sends all requests to back ends.
//!
//! Time passes between choosing a back end and sending the request: a connection may have to be
//! opened, or the process may be suspended while the back end leaves or its zone is evacuated.
//! Whether the back end still accepts work is therefore checked again between connecting and
//! sending, against state that was confirmed after the process last resumed. The same check keeps
//! requests from back ends once the node refuses them because it stops.

use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::http::{AnswerBudget, ConnectionPool, Exchange, FullBody, Reuse, SendFailure};
use crate::operator::InForce;
use crate::quarantine::QuarantinePermit;
use crate::shutdown::Shutdown;
use crate::suspension_guard::SuspensionGuard;
use http::Request;
use sloetrail_clock::BootInstant;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// Connections to back ends, and the state that decides whether they accept work.
pub(crate) struct BackEndConnections {
    pool: Arc<ConnectionPool>,
    directory: watch::Receiver<Arc<Directory>>,
    in_force: watch::Receiver<Arc<InForce>>,
    suspension_guard: Arc<SuspensionGuard>,
    shutdown: Shutdown,
}

/// What a request to a back end begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Work that may as well begin at another node.
    NewWork,
    /// The rest of an event stream whose caller has received events: nobody else can finish it.
    RestOfStream,
}

impl BackEndConnections {
    pub(crate) fn new(
        directory: watch::Receiver<Arc<Directory>>,
        in_force: watch::Receiver<Arc<InForce>>,
        suspension_guard: Arc<SuspensionGuard>,
        shutdown: Shutdown,
        answer_budget: AnswerBudget,
    ) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::with_answer_budget(answer_budget)),
            directory,
            in_force,
            suspension_guard,
            shutdown,
        }
    }

    /// Sends a request if the back end accepts work and the permit is still open at the moment of
    /// sending. Items and the node's own requests to back ends need no permit.
    pub(crate) async fn send(
        &self,
        back_end: &BackEnd,
        (purpose, request): (Purpose, Request<FullBody>),
        quarantine_permit: Option<&QuarantinePermit>,
        reuse: Reuse,
        deadline: BootInstant,
    ) -> Result<Exchange, SendFailure> {
        let takes_work = || {
            let may_begin = purpose == Purpose::RestOfStream || self.shutdown.starts_requests();
            let is_open = quarantine_permit.is_none_or(QuarantinePermit::is_open);
            may_begin && is_open && self.takes_work(back_end)
        };
        // Checked before connecting too: an unused connection still costs the back end resources.
        let sent = match takes_work() {
            true => {
                let (pool, address) = (&self.pool, back_end.address);
                Exchange::send_if(pool, address, request, reuse, deadline, &takes_work).await
            }
            false => Err(SendFailure::Withheld),
        };
        if matches!(sent, Err(SendFailure::Withheld)) {
            // Lets the task that selects back ends process the update that rejected this one.
            tokio::task::yield_now().await;
        }
        sent
    }

    /// True if the back end is listed, isn't leaving and isn't in an evacuated zone.
    fn takes_work(&self, back_end: &BackEnd) -> bool {
        if !self.suspension_guard.is_settled() {
            return false;
        }
        let directory = self.directory.borrow();
        let listed = directory.back_ends.get(&back_end.id);
        let is_active = listed.is_some_and(|listed| !listed.draining);
        is_active && !self.in_force.borrow().evacuations.covers(&back_end.zone)
    }

    /// True if an idle connection to the back end is available.
    pub(crate) fn has_idle(&self, back_end: &BackEnd) -> bool {
        self.pool.has_idle(back_end.address)
    }

    /// Closes all idle connections to an address.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.pool.forget(address);
    }

    /// Drops connections that have been idle for too long. Called periodically.
    pub(crate) fn sweep(&self) {
        self.pool.sweep();
    }
}
