//! What a node knows of the requests on a caller's connection.

use super::request_scanner::RequestScanner;
use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::Notify;

/// The requests that have arrived over a connection, and how many of them are answered.
#[derive(Debug)]
struct Requests {
    scanner: RequestScanner,
    /// Requests whose heads the HTTP server has handed over.
    handed_over: u64,
    /// Requests handed over whose answers are not complete.
    unanswered: usize,
}

/// The state of a caller's connection.
#[derive(Clone, Debug)]
pub(super) struct CallerConnection {
    requests: Arc<Mutex<Requests>>,
    answered: Arc<Notify>,
}

impl CallerConnection {
    pub(super) fn new() -> Self {
        let requests = Requests {
            scanner: RequestScanner::new(),
            handed_over: 0,
            unanswered: 0,
        };
        Self {
            requests: Arc::new(Mutex::new(requests)),
            answered: Arc::default(),
        }
    }

    pub(super) fn record_bytes(&self, bytes: &[u8]) {
        self.requests.lock().scanner.push(bytes);
    }

    /// Records that the HTTP server hands over a request. It counts as unanswered while the guard
    /// exists.
    pub(super) fn hand_over(&self) -> UnansweredGuard {
        let mut requests = self.requests.lock();
        requests.handed_over += 1;
        requests.unanswered += 1;
        UnansweredGuard(self.clone())
    }

    /// True if bytes of a further request have arrived behind those handed over.
    pub(super) fn has_further_request(&self) -> bool {
        let requests = self.requests.lock();
        requests.scanner.begun() > requests.handed_over
    }

    pub(super) fn has_received_anything(&self) -> bool {
        self.requests.lock().scanner.begun() > 0
    }

    /// Waits until every request of which bytes have arrived is answered.
    pub(super) async fn wait_idle(&self) {
        loop {
            let answered = self.answered.notified();
            if !self.has_further_request() && self.requests.lock().unanswered == 0 {
                return;
            }
            answered.await;
        }
    }
}

/// Counts a request as unanswered until it is dropped.
#[derive(Debug)]
pub(super) struct UnansweredGuard(CallerConnection);

impl UnansweredGuard {
    /// The connection over which the request came.
    pub(super) fn connection(&self) -> &CallerConnection {
        &self.0
    }
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        self.0.requests.lock().unanswered -= 1;
        self.0.answered.notify_one();
    }
}

/// The body of an answer, which ends the request when it has been sent.
pub(super) struct AnsweringBody<Inner> {
    body: Pin<Box<Inner>>,
    _unanswered: UnansweredGuard,
}

impl<Inner> AnsweringBody<Inner> {
    pub(super) fn new(body: Inner, unanswered: UnansweredGuard) -> Self {
        Self {
            body: Box::pin(body),
            _unanswered: unanswered,
        }
    }
}

impl<Inner: Body> Body for AnsweringBody<Inner> {
    type Data = Inner::Data;
    type Error = Inner::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
