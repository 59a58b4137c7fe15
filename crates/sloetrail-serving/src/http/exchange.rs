//! One request to a back end and its answer.

use super::WholeBody;
use super::connections::{self, ConnectionPool, Sender};
use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The request did not leave this node.
    NotSent,
    /// The connection broke, or what came back was no answer.
    Lost,
    /// The deadline came first; the connection is closed.
    OutOfTime,
    /// The answer is larger than allowed.
    TooLarge,
}

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
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
    connection: Option<Connection>,
}

struct Connection {
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
    sender: Sender,
    idle: Option<Duration>,
}

impl Exchange {
    /// Sends a request, on a kept connection if there is one and `reuse` allows it.
    /// A kept connection that turns out to be closed before the request left is
    /// replaced by a new one.
    pub async fn send(
        pool: &Arc<ConnectionPool>,
        address: SocketAddr,
        mut request: Request<WholeBody>,
        reuse: bool,
        deadline: Instant,
    ) -> Result<Self, SendFailure> {
        let kept = reuse.then(|| pool.take(address)).flatten();
        if let Some(mut sender) = kept {
            match send_on(&mut sender, request, deadline).await {
                Ok(response) => return Ok(Self::new(pool, address, sender, response)),
                Err((Some(unsent), _)) => request = unsent,
                Err((None, failure)) => return Err(failure),
            }
        }
        let connected = connections::connect(address, deadline).await;
        let mut sender = connected.ok_or(SendFailure::NotSent)?;
        match send_on(&mut sender, request, deadline).await {
            Ok(response) => Ok(Self::new(pool, address, sender, response)),
            Err((_, failure)) => Err(failure),
        }
    }

    fn new(
        pool: &Arc<ConnectionPool>,
        address: SocketAddr,
        sender: Sender,
        response: Response<Incoming>,
    ) -> Self {
        let (head, incoming) = response.into_parts();
        let connection = may_be_kept(&head.headers).then(|| Connection {
            pool: Arc::clone(pool),
            address,
            sender,
            idle: keep_alive_time(&head.headers),
        });
        Self {
            status: head.status,
            headers: head.headers,
            body: AnswerBody {
                incoming,
                connection,
            },
        }
    }

    /// The body, to be read piece by piece.
    pub fn into_body(self) -> AnswerBody {
        self.body
    }

    /// Reads the body to its end.
    pub async fn whole(self, limit: usize, deadline: Instant) -> Result<WholeAnswer, SendFailure> {
        self.collect(limit, || deadline).await
    }

    /// Reads the body to its end for as long as pieces of it come: a large one may take its
    /// time on a slow link, but no longer than this from one piece to the next.
    pub async fn whole_while_it_comes(
        self,
        limit: usize,
        patience: Duration,
    ) -> Result<WholeAnswer, SendFailure> {
        self.collect(limit, || Instant::now() + patience).await
    }

    /// Reads the body to its end; `due` tells by when the next piece must have come.
    async fn collect(
        self,
        limit: usize,
        due: impl Fn() -> Instant,
    ) -> Result<WholeAnswer, SendFailure> {
        let mut collected = BytesMut::new();
        let mut body = self.body;
        loop {
            let piece = tokio::time::timeout_at(due(), body.next_piece()).await;
            match piece.map_err(|_| SendFailure::OutOfTime)?? {
                Some(piece) if collected.len() + piece.len() > limit => {
                    return Err(SendFailure::TooLarge);
                }
                Some(piece) => collected.extend_from_slice(&piece),
                None => break,
            }
        }
        Ok(WholeAnswer {
            status: self.status,
            headers: self.headers,
            body: collected.freeze(),
        })
    }
}

impl AnswerBody {
    /// The next bytes, or nothing at the proper end.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, SendFailure> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(_)) => return Err(SendFailure::Lost),
                None => {
                    self.keep_connection();
                    return Ok(None);
                }
            }
        }
    }

    fn keep_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            let Connection {
                pool,
                address,
                sender,
                idle,
            } = connection;
            pool.keep(address, sender, idle);
        }
    }
}

type Unsent = Option<Request<WholeBody>>;

async fn send_on(
    sender: &mut Sender,
    request: Request<WholeBody>,
    deadline: Instant,
) -> Result<Response<Incoming>, (Unsent, SendFailure)> {
    let sending = sender.try_send_request(request);
    match tokio::time::timeout_at(deadline, sending).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => Err((Some(request), SendFailure::NotSent)),
            None => Err((None, SendFailure::Lost)),
        },
        Err(_) => Err((None, SendFailure::OutOfTime)),
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
