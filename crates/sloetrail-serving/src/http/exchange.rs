//! One request to a back end and its answer.

use super::FullBody;
use super::connections::{self, Connection, ConnectionPool, Sender, UnresponsiveSign};
use super::reuse::Reuse;
use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sloetrail_clock::BootInstant;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request that is given up sooner than this says nothing of its connection: callers leave
/// at any moment, and answers of tens of milliseconds are ordinary.
const MIN_HEAD_WAIT: Duration = Duration::from_millis(50);
/// An answer that is given up says something of its connection if nothing has come for this
/// long: the pieces of a series follow each other within tens of milliseconds, and within a
/// second while an engine loads weights.
const MIN_BODY_STALL: Duration = Duration::from_millis(1_000);

/// The most of an answer that is read only to keep its connection: refusals are a line.
const MAX_DISCARD_BYTES: usize = 4 * 1024;
/// How long this may take: the body of a refusal comes with its head.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The request did not leave this node.
    NotSent,
    /// The request did not leave this node, since it may not be sent any more.
    Withheld,
    /// The connection broke, or what came back was no answer.
    Lost,
    /// The deadline came first; the connection is closed.
    TimedOut,
    /// No head came in time over a connection that had been kept, or others showed that it
    /// must be silent. It is closed, and so are those that rested with it: a further try goes
    /// over a new one.
    ConnectionUnresponsive,
    /// The answer is larger than allowed.
    TooLarge,
}

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// An answer whose head has come.
pub struct Exchange {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    body: AnswerBody,
}

/// The body of an answer. Dropped before its end, it closes the connection.
pub struct AnswerBody {
    incoming: Incoming,
    peer: Peer,
    /// When something of the answer came last.
    received_at: BootInstant,
    has_ended: bool,
    /// The connection, if it may be kept after the answer.
    connection: Option<Connection>,
    idle: Option<Duration>,
}

/// Where a request goes, and the connections that are kept to it.
#[derive(Clone)]
struct Peer {
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
}

impl Exchange {
    /// Sends a request, on a kept connection if there is one that `reuse` allows.
    /// A kept connection that turns out to be closed before the request left is
    /// replaced by a new one.
    pub async fn send(
        pool: &Arc<ConnectionPool>,
        address: SocketAddr,
        request: Request<FullBody>,
        reuse: Reuse,
        deadline: BootInstant,
    ) -> Result<Self, SendFailure> {
        Self::send_if(pool, address, request, reuse, deadline, &|| true).await
    }

    /// The same for a request that may have to be held back. `may_leave` is asked each time
    /// that there is a connection and the request is about to leave: time may have passed
    /// since it was decided to send it.
    pub async fn send_if(
        pool: &Arc<ConnectionPool>,
        address: SocketAddr,
        mut request: Request<FullBody>,
        reuse: Reuse,
        deadline: BootInstant,
        may_leave: &(dyn Fn() -> bool + Sync),
    ) -> Result<Self, SendFailure> {
        let peer = Peer {
            pool: Arc::clone(pool),
            address,
        };
        if let Some(mut kept) = pool.take(address, reuse) {
            if !may_leave() {
                return Err(SendFailure::Withheld);
            }
            match send_on_kept(&peer, &mut kept, request, reuse, deadline).await {
                Ok(response) => return Ok(Self::new(peer, kept, response)),
                Err((Some(unsent), _)) => request = unsent,
                Err((None, failure)) => return Err(failure),
            }
        }
        let connected = connections::connect(address, deadline).await;
        let mut connection = connected.ok_or(SendFailure::NotSent)?;
        if !may_leave() {
            return Err(SendFailure::Withheld);
        }
        match send_on(&peer, &mut connection, request, reuse, deadline).await {
            Ok(response) => Ok(Self::new(peer, connection, response)),
            Err((_, failure)) => Err(failure),
        }
    }

    fn new(peer: Peer, connection: Connection, response: Response<Incoming>) -> Self {
        let (head, incoming) = response.into_parts();
        let body = AnswerBody {
            incoming,
            peer,
            received_at: BootInstant::now(),
            has_ended: false,
            connection: may_be_kept(&head.headers).then_some(connection),
            idle: keep_alive_time(&head.headers),
        };
        Self {
            status: head.status,
            headers: head.headers,
            body,
        }
    }

    /// The body, to be read piece by piece.
    pub fn into_body(self) -> AnswerBody {
        self.body
    }

    /// Reads the rest of an answer that nobody needs, so that its connection is kept. A new
    /// one would cost the back end more.
    pub fn discard(self) {
        let until = BootInstant::now() + DISCARD_TIMEOUT;
        tokio::spawn(async move {
            // One that is long or slow is closed.
            let _ = self.read_to_end(MAX_DISCARD_BYTES, until).await;
        });
    }

    /// Reads the body to its end.
    pub async fn read_to_end(
        self,
        limit: usize,
        deadline: BootInstant,
    ) -> Result<CompleteAnswer, SendFailure> {
        self.collect(limit, || deadline).await
    }

    /// Reads the body to its end for as long as pieces of it come: a large one may take its
    /// time on a slow link, but no longer than this from one piece to the next.
    pub async fn read_to_end_with_idle_timeout(
        self,
        limit: usize,
        patience: Duration,
    ) -> Result<CompleteAnswer, SendFailure> {
        self.collect(limit, || BootInstant::now() + patience).await
    }

    /// Reads the body to its end; `due` tells by when the next piece must have come.
    async fn collect(
        self,
        limit: usize,
        due: impl Fn() -> BootInstant,
    ) -> Result<CompleteAnswer, SendFailure> {
        let mut collected = BytesMut::new();
        let mut body = self.body;
        loop {
            let piece = sloetrail_clock::timeout_at(due(), body.next_data()).await;
            match piece.map_err(|_| SendFailure::TimedOut)?? {
                Some(piece) if collected.len() + piece.len() > limit => {
                    return Err(SendFailure::TooLarge);
                }
                Some(piece) => collected.extend_from_slice(&piece),
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
    /// The next bytes, or nothing at the proper end.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, SendFailure> {
        loop {
            let frame = self.incoming.frame().await;
            self.received_at = BootInstant::now();
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(_)) => {
                    self.has_ended = true;
                    return Err(SendFailure::Lost);
                }
                None => {
                    self.has_ended = true;
                    self.keep_connection();
                    return Ok(None);
                }
            }
        }
    }

    fn keep_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            let Peer { pool, address } = &self.peer;
            pool.keep(*address, connection, self.idle);
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
    fn evict(&self, since: BootInstant, silence: UnresponsiveSign) {
        self.pool.evict(self.address, since, silence);
    }
}

/// Watches over a request on a kept connection until something comes. Dropped before, it
/// was given up.
struct HeadWatch<'a> {
    peer: &'a Peer,
    sent_at: BootInstant,
    is_over: bool,
}

impl Drop for HeadWatch<'_> {
    fn drop(&mut self) {
        if !self.is_over && self.sent_at.elapsed() >= MIN_HEAD_WAIT {
            self.peer
                .evict(self.sent_at, UnresponsiveSign::AbandonedBeforeHead);
        }
    }
}

type Unsent = Option<Request<FullBody>>;

async fn send_on_kept(
    peer: &Peer,
    kept: &mut Connection,
    request: Request<FullBody>,
    reuse: Reuse,
    deadline: BootInstant,
) -> Result<Response<Incoming>, (Unsent, SendFailure)> {
    let mut watch = HeadWatch {
        peer,
        sent_at: BootInstant::now(),
        is_over: false,
    };
    let head_deadline = reuse.head_deadline(deadline);
    let sent = send_on(peer, kept, request, reuse, head_deadline).await;
    watch.is_over = true;
    let has_waited = watch.sent_at.elapsed() >= MIN_HEAD_WAIT;
    if has_waited && matches!(sent, Err((None, SendFailure::TimedOut))) {
        peer.evict(watch.sent_at, UnresponsiveSign::NoHeadInTime);
        return Err((None, SendFailure::ConnectionUnresponsive));
    }
    sent
}

/// Sends a request, and gives it up early if that is allowed and others show that the
/// connection must be silent.
async fn send_on(
    peer: &Peer,
    connection: &mut Connection,
    request: Request<FullBody>,
    reuse: Reuse,
    deadline: BootInstant,
) -> Result<Response<Incoming>, (Unsent, SendFailure)> {
    let received_at = connection.received_at;
    let sending = wait_for_head(&mut connection.sender, request, deadline);
    if reuse != Reuse::UntilUnresponsive {
        return sending.await;
    }
    tokio::select! {
        sent = sending => sent,
        () = peer.pool.wait_unresponsive(peer.address, received_at) => Err((None, SendFailure::ConnectionUnresponsive)),
    }
}

async fn wait_for_head(
    sender: &mut Sender,
    request: Request<FullBody>,
    deadline: BootInstant,
) -> Result<Response<Incoming>, (Unsent, SendFailure)> {
    let sending = sender.try_send_request(request);
    match sloetrail_clock::timeout_at(deadline, sending).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => Err((Some(request), SendFailure::NotSent)),
            None => Err((None, SendFailure::Lost)),
        },
        Err(_) => Err((None, SendFailure::TimedOut)),
    }
}

/// An answer without a length ends with its connection; one that says so does too.
fn may_be_kept(headers: &HeaderMap) -> bool {
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
