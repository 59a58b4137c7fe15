//! Connections from callers: accepted, bounded in time and size, and ended in an
//! orderly way when the node stops.
//!
//! What is done for a caller ends with its connection: the answer that is being made is
//! dropped, and with it all that it waits for. A caller that closes only its own side of
//! the connection counts as gone.

use super::caller_stream::CallerStream;
use super::socket;
use crate::telemetry;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The library's lower bound for its read buffer.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;

/// The bounds of a listener's connections.
#[derive(Clone, Copy, Debug)]
pub struct ListenerSettings {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// How long a connection may rest, or take to send a head.
    pub idle_timeout: Duration,
}

/// Counts open connections and the requests on them, and tells them to end.
#[derive(Clone, Debug, Default)]
pub struct ConnectionTracker {
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
    stopping: CancellationToken,
}

impl ConnectionTracker {
    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Requests that are being answered.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Lets each connection end after the answer that it is at.
    pub fn stop(&self) {
        self.stopping.cancel();
    }
}

/// Accepts connections until the node stops, and answers their requests.
pub async fn serve_connections<Handler, Answer, AnswerBody>(
    listener: TcpListener,
    settings: impl Fn() -> ListenerSettings,
    tracker: ConnectionTracker,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<AnswerBody>> + Send + 'static,
    AnswerBody: Body + Send + 'static,
    AnswerBody::Data: Send,
    AnswerBody::Error: Into<Box<dyn Error + Send + Sync>>,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = tracker.stopping.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let connection = serve_connection(stream, settings(), tracker.clone(), handler.clone());
        tokio::spawn(connection);
    }
}

async fn serve_connection<Handler, Answer, AnswerBody>(
    stream: TcpStream,
    settings: ListenerSettings,
    tracker: ConnectionTracker,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<AnswerBody>> + Send + 'static,
    AnswerBody: Body + Send + 'static,
    AnswerBody::Data: Send,
    AnswerBody::Error: Into<Box<dyn Error + Send + Sync>>,
{
    socket::configure(&stream);
    let (stream, caller_end) = CallerStream::new(stream);
    let _open = CountGuard::new(&tracker.connections);
    let requests = Arc::clone(&tracker.requests);
    let service = service_fn(move |request| {
        let (handler, busy) = (handler.clone(), PendingRequest::new(&requests));
        async move {
            let answer = handler(request).await;
            busy.end();
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.idle_timeout)
        .max_buf_size(settings.header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = caller_end.reached() => return,
        () = tracker.stopping.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        // An error here is the caller's own end of the connection.
        _ = connection => {}
        () = caller_end.reached() => {}
    }
}

/// A request without an answer yet. Dropped before that, its sender has gone.
struct PendingRequest {
    _busy: CountGuard,
    is_answered: bool,
}

impl PendingRequest {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        Self {
            _busy: CountGuard::new(counter),
            is_answered: false,
        }
    }

    fn end(mut self) {
        self.is_answered = true;
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.is_answered {
            telemetry::request_abandoned();
        }
    }
}

struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
