//! A stand-in at the address of a back end that answers each request with bytes without end, until
//! its peer closes the connection.

use crate::raw_request::{read_head, sound_headers};
use sloetrail_serving::dialect::HeaderNames;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time between two bytes of a dripped answer.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of one write of an answer that is not dripped.
const WRITE_BYTES: usize = 16 * 1024;

/// What comes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessBytes {
    HeaderLines,
    InterimHeads,
    /// A byte of a header line now and then.
    DrippedHead,
    /// Digits of the size of a chunk.
    ChunkSize,
    ChunkExtension,
    /// The trailers behind a whole body.
    Trailers,
    EmptyEvents,
    Comments,
    /// A comment now and then, after the first event.
    DrippedComments,
    /// Events with the right numbers.
    Events,
    /// A body that is no event stream.
    Body,
    DrippedBody,
    /// Bytes behind a whole answer, on a connection that is kept.
    BehindAnswer,
}

impl EndlessBytes {
    pub const ALL: [Self; 13] = [
        Self::HeaderLines,
        Self::InterimHeads,
        Self::DrippedHead,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::Trailers,
        Self::EmptyEvents,
        Self::Comments,
        Self::DrippedComments,
        Self::Events,
        Self::Body,
        Self::DrippedBody,
        Self::BehindAnswer,
    ];

    fn is_dripped(self) -> bool {
        matches!(
            self,
            Self::DrippedHead | Self::DrippedComments | Self::DrippedBody
        )
    }

    /// The bytes before those without end, given the headers of a sound answer.
    fn prefix(self, headers: &str) -> String {
        let head = format!("HTTP/1.1 200 OK\r\n{headers}");
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::HeaderLines | Self::DrippedHead => head,
            Self::InterimHeads => String::new(),
            Self::ChunkSize => chunked,
            Self::ChunkExtension => format!("{chunked}1;"),
            Self::Trailers => format!("{chunked}2\r\nok\r\n0\r\n"),
            Self::EmptyEvents | Self::Comments | Self::Events | Self::Body | Self::DrippedBody => {
                format!("{head}\r\n")
            }
            Self::DrippedComments => format!("{head}\r\nid: 1\ndata: a\n\n"),
            Self::BehindAnswer => format!("{head}content-length: 2\r\n\r\nok"),
        }
    }

    /// The piece number `number` of the bytes without end.
    fn piece(self, number: u64) -> String {
        match self {
            Self::HeaderLines | Self::Trailers => "x-more: aaaaaaaaaaaaaaaa\r\n".to_owned(),
            Self::InterimHeads => "HTTP/1.1 103 Early Hints\r\nx-more: a\r\n\r\n".to_owned(),
            Self::ChunkSize => "0".repeat(64),
            Self::EmptyEvents => "\n".repeat(64),
            Self::Comments => ": comment\n\n".to_owned(),
            Self::DrippedComments => ":\n\n".to_owned(),
            Self::Events => format!("id: {number}\ndata: a\n\n"),
            Self::DrippedHead
            | Self::ChunkExtension
            | Self::Body
            | Self::DrippedBody
            | Self::BehindAnswer => "a".to_owned(),
        }
    }
}

/// A connection at which a request arrived.
#[derive(Clone, Copy, Debug)]
pub struct EndlessAnswer {
    pub began: Instant,
    /// Bytes that the peer or its socket took.
    pub sent: usize,
    /// When the peer closed the connection. None while it is open.
    pub closed: Option<Instant>,
}

pub struct EndlessBackEnd {
    pub address: SocketAddr,
    bytes: EndlessBytes,
    names: HeaderNames,
    answers: Mutex<Vec<EndlessAnswer>>,
}

impl EndlessBackEnd {
    pub async fn start(bytes: EndlessBytes, names: HeaderNames) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let stand_in = Arc::new(Self {
            address: listener.local_addr().expect("bound"),
            bytes,
            names,
            answers: Mutex::default(),
        });
        let serving = Arc::clone(&stand_in);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&serving).answer(stream));
            }
        });
        stand_in
    }

    pub fn answers(&self) -> Vec<EndlessAnswer> {
        self.answers.lock().expect("lock not poisoned").clone()
    }

    async fn answer(self: Arc<Self>, mut stream: TcpStream) {
        let Some(request) = read_head(&mut stream).await else {
            return;
        };
        let index = {
            let mut answers = self.answers.lock().expect("lock not poisoned");
            answers.push(EndlessAnswer {
                began: Instant::now(),
                sent: 0,
                closed: None,
            });
            answers.len() - 1
        };
        let (mut reading, mut writing) = stream.into_split();
        let sending = async {
            let prefix = self.bytes.prefix(&sound_headers(&request, &self.names));
            let mut next = prefix.into_bytes();
            let mut number = 1;
            loop {
                if writing.write_all(&next).await.is_err() {
                    return;
                }
                self.change_answer(index, |answer| answer.sent += next.len());
                next = self.next_write(&mut number);
                if self.bytes.is_dripped() {
                    tokio::time::sleep(DRIP_INTERVAL).await;
                }
            }
        };
        let mut rest = [0; 1024];
        let closing = async { while matches!(reading.read(&mut rest).await, Ok(1..)) {} };
        tokio::select! {
            () = sending => {}
            () = closing => {}
        }
        self.change_answer(index, |answer| answer.closed = Some(Instant::now()));
    }

    fn change_answer(&self, index: usize, change: impl FnOnce(&mut EndlessAnswer)) {
        let mut answers = self.answers.lock().expect("lock not poisoned");
        change(&mut answers[index]);
    }

    fn next_write(&self, number: &mut u64) -> Vec<u8> {
        let size = match self.bytes.is_dripped() {
            true => 1,
            false => WRITE_BYTES,
        };
        let mut write = Vec::new();
        while write.len() < size {
            write.extend_from_slice(self.bytes.piece(*number).as_bytes());
            *number += 1;
        }
        write
    }
}
