//! An HTTP request to a back end and its response.

use super::FullBody;
use super::connections::{self, Connection, ConnectionPool, Sender, UnresponsiveSign};
use super::received_bytes::ReceivedBytes;
use super::reuse::Reuse;
use crate::tasks;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sloetrail_clock::BootInstant;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request cancelled sooner than this is no sign of an unresponsive connection: callers leave at
/// any moment, and answers commonly take tens of milliseconds.
const MIN_HEAD_WAIT: Duration = Duration::from_millis(50);
/// A response dropped after this long without data marks its connection as unresponsive. Events
/// of a stream are up to a second apart while an engine loads weights.
const MIN_BODY_STALL: Duration = Duration::from_millis(1_000);

/// Longest response body that is read only to keep its connection reusable.
const MAX_DISCARD_BYTES: usize = 4 * 1024;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// A body without a deadline may come this slowly, after a first time of several idle timeouts.
const MIN_BYTES_PER_SECOND: usize = 16 * 1024;
const MAX_IDLE_TIMES: u32 = 4;

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection could be opened, or it closed before the request was sent.
    NotSent,
    /// The request was not sent because `may_send` no longer allowed it.
    Withheld,
    /// The connection broke or the response was malformed.
    Lost,
    /// The deadline expired. The connection is closed.
    TimedOut,
    /// No response head arrived in time over a reused connection, or other connections showed
    /// that it must be unresponsive. It is closed together with the connections that were idle
    /// at the same time, so that a retry opens a new one.
    ConnectionUnresponsive,
    /// The response body exceeds the size limit.
    TooLarge,
    /// The pool's budget for collected answers had no bytes left.
    OutOfMemoryBudget,
}

/// A response whose body was read to its end.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A response whose head has arrived.
pub struct Exchange {
    pub status: StatusCode,
    pub headers: HeaderMap,
    body: AnswerBody,
}

/// A response body. Dropping it before its end closes the connection.
pub struct AnswerBody {
    incoming: Incoming,
    peer: Peer,
    received: ReceivedBytes,
    /// When the last part of the response arrived.
    received_at: BootInstant,
    has_ended: bool,
    /// The connection, if it may be reused after the response.
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
}

/// The address of a request and the pool that holds the connections to it.
#[derive(Clone)]
struct Peer {
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
}

impl Exchange {
    /// Sends a request, over an idle connection if `reuse` permits one. If that connection
    /// turns out to be closed before the request is sent, a new one replaces it.
    pub async fn send(
        pool: &Arc<ConnectionPool>,
        address: SocketAddr,
        request: Request<FullBody>,
        reuse: Reuse,
        deadline: BootInstant,
    ) -> Result<Self, SendFailure> {
        Self::send_if(pool, address, request, reuse, deadline, &|| true).await
    }

    /// Sends a request only if `may_send` still allows it. `may_send` is called once a
    /// connection is open, immediately before sending, because connecting takes time.
    pub async fn send_if(
        pool: &Arc<ConnectionPool>,
        address: SocketAddr,
        mut request: Request<FullBody>,
        reuse: Reuse,
        deadline: BootInstant,
        may_send: &(dyn Fn() -> bool + Sync),
    ) -> Result<Self, SendFailure> {
        let peer = Peer {
            pool: Arc::clone(pool),
            address,
        };
        if let Some(mut idle) = pool.take(address, reuse) {
            if !may_send() {
                return Err(SendFailure::Withheld);
            }
            match send_on_idle(&peer, &mut idle, request, reuse, deadline).await {
                Ok(response) => return Ok(Self::new(peer, idle, response)),
                Err((Some(unsent), _)) => request = unsent,
                Err((None, failure)) => return Err(failure),
            }
        }
        let connected = connections::connect(address, deadline).await;
        let mut connection = connected.ok_or(SendFailure::NotSent)?;
        if !may_send() {
            return Err(SendFailure::Withheld);
        }
        match send_on(&peer, &mut connection, request, reuse, deadline).await {
            Ok(response) => Ok(Self::new(peer, connection, response)),
            Err((_, failure)) => Err(failure),
        }
    }

    fn new(peer: Peer, connection: Connection, response: Response<Incoming>) -> Self {
        let (head, incoming) = response.into_parts();
        connection.received.record_progress();
        let body = AnswerBody {
            incoming,
            peer,
            received: connection.received.clone(),
            received_at: BootInstant::now(),
            has_ended: false,
            connection: is_reusable(&head.headers).then_some(connection),
            keep_alive: keep_alive_time(&head.headers),
        };
        Self {
            status: head.status,
            headers: head.headers,
            body,
        }
    }

    pub fn into_body(self) -> AnswerBody {
        self.body
    }

    /// Reads and ignores the rest of the response in the background, so that its connection
    /// can be reused.
    pub fn discard(self) {
        let until = BootInstant::now() + DISCARD_TIMEOUT;
        tasks::spawn("discarded answer", async move {
            // A long or slow body closes the connection instead.
            let _ = self.read_to_end(MAX_DISCARD_BYTES, until).await;
        });
    }

    /// Reads the body to its end, up to `limit` bytes.
    pub async fn read_to_end(
        self,
        limit: usize,
        deadline: BootInstant,
    ) -> Result<CompleteAnswer, SendFailure> {
        self.collect(limit, |_| deadline).await
    }

    /// Reads the body to its end, up to `limit` bytes. The timeout applies to the time between
    /// two pieces of data, so that a large body may take long on a slow link. A body that comes
    /// slower than [`MIN_BYTES_PER_SECOND`] is given up.
    pub async fn read_to_end_with_idle_timeout(
        self,
        limit: usize,
        idle_timeout: Duration,
    ) -> Result<CompleteAnswer, SendFailure> {
        let started_at = BootInstant::now();
        self.collect(limit, |received| {
            let expected = Duration::from_secs((received / MIN_BYTES_PER_SECOND) as u64);
            let max_time = idle_timeout.saturating_mul(MAX_IDLE_TIMES) + expected;
            (started_at + max_time).min(BootInstant::now() + idle_timeout)
        })
        .await
    }

    /// Reads the body to its end. `piece_deadline` returns the deadline for the next piece, given the
    /// number of bytes received so far.
    async fn collect(
        self,
        limit: usize,
        piece_deadline: impl Fn(usize) -> BootInstant,
    ) -> Result<CompleteAnswer, SendFailure> {
        let mut body = self.body;
        let mut collected = body.peer.pool.answer_budget().new_buffer();
        loop {
            let due = piece_deadline(collected.len());
            if BootInstant::now() >= due {
                return Err(SendFailure::TimedOut);
            }
            let piece = sloetrail_clock::timeout_at(due, body.next_data()).await;
            match piece.map_err(|_| SendFailure::TimedOut)?? {
                Some(piece) if collected.len() + piece.len() > limit => {
                    return Err(SendFailure::TooLarge);
                }
                Some(piece) => {
                    let until = piece_deadline(collected.len());
                    collected.push(&piece, limit, until).await?;
                }
                None => break,
            }
        }
        Ok(CompleteAnswer {
            status: self.status,
            headers: self.headers,
            body: collected.freeze(),
        })
    }
}

impl AnswerBody {
    /// Returns the next data of the body. None at its regular end.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, SendFailure> {
        loop {
            let frame = self.incoming.frame().await;
            self.received_at = BootInstant::now();
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.received.record_progress();
                        return Ok(Some(data));
                    }
                }
                Some(Err(_)) => {
                    self.has_ended = true;
                    return Err(SendFailure::Lost);
                }
                None => {
                    self.has_ended = true;
                    self.return_connection();
                    return Ok(None);
                }
            }
        }
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            let Peer { pool, address } = &self.peer;
            pool.keep(*address, connection, self.keep_alive);
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if !self.has_ended && self.received_at.elapsed() >= MIN_BODY_STALL {
            self.peer
                .evict(self.received_at, UnresponsiveSign::StalledBody);
        }
    }
}

impl Peer {
    fn evict(&self, since: BootInstant, sign: UnresponsiveSign) {
        self.pool.evict(self.address, since, sign);
    }
}

/// Guards a request on a reused connection until its response head arrives. Dropping it before
/// then means that the request was cancelled.
struct HeadWatch<'a> {
    peer: &'a Peer,
    sent_at: BootInstant,
    is_done: bool,
}

impl Drop for HeadWatch<'_> {
    fn drop(&mut self) {
        if !self.is_done && self.sent_at.elapsed() >= MIN_HEAD_WAIT {
            self.peer
                .evict(self.sent_at, UnresponsiveSign::AbandonedBeforeHead);
        }
    }
}

type Unsent = Option<Request<FullBody>>;

async fn send_on_idle(
    peer: &Peer,
    idle: &mut Connection,
    request: Request<FullBody>,
    reuse: Reuse,
    deadline: BootInstant,
) -> Result<Response<Incoming>, (Unsent, SendFailure)> {
    let mut watch = HeadWatch {
        peer,
        sent_at: BootInstant::now(),
        is_done: false,
    };
    let head_deadline = reuse.head_deadline(deadline);
    let sent = send_on(peer, idle, request, reuse, head_deadline).await;
    watch.is_done = true;
    let has_waited_long_enough = watch.sent_at.elapsed() >= MIN_HEAD_WAIT;
    if has_waited_long_enough && matches!(sent, Err((None, SendFailure::TimedOut))) {
        peer.evict(watch.sent_at, UnresponsiveSign::NoHeadInTime);
        return Err((None, SendFailure::ConnectionUnresponsive));
    }
    sent
}

/// Sends a request. With [`Reuse::UntilUnresponsive`], fails early once other connections show
/// that this one must be unresponsive.
async fn send_on(
    peer: &Peer,
    connection: &mut Connection,
    request: Request<FullBody>,
    reuse: Reuse,
    deadline: BootInstant,
) -> Result<Response<Incoming>, (Unsent, SendFailure)> {
    let received_at = connection.received_at;
    connection.received.record_request();
    let sending = wait_for_head(&mut connection.sender, request, deadline);
    if reuse != Reuse::UntilUnresponsive {
        return sending.await;
    }
    tokio::select! {
        sent = sending => sent,
        () = peer.pool.wait_unresponsive(peer.address, received_at) =>
            Err((None, SendFailure::ConnectionUnresponsive)),
    }
}

async fn wait_for_head(
    sender: &mut Sender,
    request: Request<FullBody>,
    deadline: BootInstant,
) -> Result<Response<Incoming>, (Unsent, SendFailure)> {
    let sending = sender.try_send_request(request);
    match sloetrail_clock::timeout_at(deadline, sending).await {
        Ok(Ok(response)) if is_final(response.status()) => Ok(response),
        Ok(Ok(_)) => Err((None, SendFailure::Lost)),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => Err((Some(request), SendFailure::NotSent)),
            None => Err((None, SendFailure::Lost)),
        },
        Err(_) => Err((None, SendFailure::TimedOut)),
    }
}

/// Returns whether a status can end a request that asks for no upgrade. A peer that sends another one has
/// broken off.
fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Returns whether the connection can be reused: the response neither asks to close it nor lacks
/// a body length.
fn is_reusable(headers: &HeaderMap) -> bool {
    let closes = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    let has_length = headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(http::header::TRANSFER_ENCODING);
    !closes && has_length
}

fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|text| text.trim().parse::<u64>().ok())?;
    Some(Duration::from_secs(seconds))
}
