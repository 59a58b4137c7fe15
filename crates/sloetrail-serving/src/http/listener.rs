//! HTTP listener for callers, with idle timeouts, size limits and graceful shutdown.
//!
//! Work for a caller ends with its connection: the response future is dropped together with
//! everything it awaits. A caller that closes only its sending side counts as disconnected.

use super::caller_connection::{AnsweringBody, CallerConnection, UnansweredGuard};
use super::caller_stream::CallerStream;
use super::socket;
use crate::shutdown::Shutdown;
use crate::tasks;
use crate::telemetry;
use futures_util::FutureExt;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
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
/// Minimum read buffer size that hyper accepts.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;

/// A connection that was accepted when the node stopped taking requests has this long to send one, so
/// that it is answered.
const FIRST_BYTES_TIME: Duration = Duration::from_millis(100);
/// How long a connection that the node closes is still read.
const CLOSE_TIME: Duration = Duration::from_millis(300);

/// Limits for the connections of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerSettings {
    /// Maximum bytes of a request head.
    pub header_bytes: usize,
    /// How long a connection may stay idle or take to send a request head.
    pub idle_timeout: Duration,
}

/// Counts open connections and requests in flight. The connections end with the node's stop.
#[derive(Clone, Debug, Default)]
pub struct ConnectionTracker {
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
    shutdown: Shutdown,
}

impl ConnectionTracker {
    pub(crate) fn new(shutdown: Shutdown) -> Self {
        Self {
            shutdown,
            ..Self::default()
        }
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Number of requests in flight.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Spawns a task that accepts connections and serves their requests until the node refuses them.
/// `settings` are read for each connection.
pub fn spawn_listener<Settings, Handler, Answer, AnswerBody>(
    listener: TcpListener,
    settings: Settings,
    tracker: ConnectionTracker,
    handler: Handler,
) where
    Settings: Fn() -> ListenerSettings + Clone + Send + Sync + 'static,
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<AnswerBody>> + Send + 'static,
    AnswerBody: Body + Send + 'static,
    AnswerBody::Data: Send,
    AnswerBody::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let listener = Arc::new(listener);
    tasks::spawn_part("listener", move || {
        let (listener, settings) = (Arc::clone(&listener), settings.clone());
        serve_connections(listener, settings, tracker.clone(), handler.clone())
    });
}

async fn serve_connections<Handler, Answer, AnswerBody>(
    listener: Arc<TcpListener>,
    settings: impl Fn() -> ListenerSettings + Sync,
    tracker: ConnectionTracker,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<AnswerBody>> + Send + 'static,
    AnswerBody: Body + Send + 'static,
    AnswerBody::Data: Send,
    AnswerBody::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let serve = |stream| {
        let connection = serve_connection(stream, settings(), tracker.clone(), handler.clone());
        tasks::spawn("caller connection", connection);
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = tracker.shutdown.refusing().cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Closing the listener would reset the connections that wait to be accepted.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        serve(stream);
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
    let state = CallerConnection::new();
    let (stream, caller_disconnect) = CallerStream::new(stream, state.clone());
    let _open = CountGuard::new(&tracker.connections);
    let shutdown = tracker.shutdown.clone();
    let (requests, answering) = (Arc::clone(&tracker.requests), state.clone());
    let stopping = shutdown.stopping().clone();
    let service = service_fn(move |request| {
        // Both are counted before the request is first polled.
        let counted = (PendingRequest::new(&requests), answering.hand_over());
        answer_request(handler.clone(), request, counted, stopping.clone())
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.idle_timeout)
        .max_buf_size(settings.header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closed = tokio::select! {
        biased;
        closed = connection.as_mut() => closed,
        () = caller_disconnect.wait() => return,
        () = wait_closable(&shutdown, &state) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                closed = connection => closed,
                () = caller_disconnect.wait() => return,
            }
        }
    };
    // An error means that the caller closed or broke the connection, or that its answer was cut.
    if closed.is_ok() {
        caller_disconnect.discard_input(CLOSE_TIME).await;
    }
}

/// Answers a request. Once the node stops, the answer closes the connection, unless a further request
/// has begun to arrive behind this one.
async fn answer_request<Handler, Answer, AnswerBody>(
    handler: Handler,
    request: Request<Incoming>,
    (pending, unanswered): (PendingRequest, UnansweredGuard),
    stopping: CancellationToken,
) -> Result<Response<AnsweringBody<AnswerBody>>, Infallible>
where
    Handler: Fn(Request<Incoming>) -> Answer,
    Answer: Future<Output = Response<AnswerBody>>,
{
    let mut answer = handler(request).await;
    pending.finish();
    if stopping.is_cancelled() && !unanswered.connection().has_further_request() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    Ok(answer.map(|body| AnsweringBody::new(body, unanswered)))
}

/// Waits until a connection may be closed: the node refuses requests, and none that has begun to
/// arrive is without an answer.
async fn wait_closable(shutdown: &Shutdown, connection: &CallerConnection) {
    shutdown.refusing().cancelled().await;
    if !connection.has_received_anything() {
        tokio::time::sleep(FIRST_BYTES_TIME).await;
    }
    connection.wait_idle().await;
}

/// A request without a response yet. Dropping it unfinished means that the caller disconnected.
struct PendingRequest {
    _in_flight: CountGuard,
    is_answered: bool,
}

impl PendingRequest {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        Self {
            _in_flight: CountGuard::new(counter),
            is_answered: false,
        }
    }

    fn finish(mut self) {
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
