//! A caller that writes the bytes of its requests itself, whole or in parts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than a node may take to stop.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A complete answer with a length.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    pub status: u16,
    /// The head in lower case.
    pub head: String,
    pub body: String,
    pub at: Instant,
}

impl RawAnswer {
    /// True if the answer says that the connection is closed after it.
    pub fn closes(&self) -> bool {
        self.head.contains("connection: close")
    }

    /// True if the answer says that the request has not run, and when to come back.
    pub fn is_refusal(&self) -> bool {
        let has_delay = self.head.contains("retry-after: ");
        self.status == 503 && self.body.contains("\"kind\":\"not_run\"") && has_delay
    }
}

/// A connection to a node.
pub struct RawConnection {
    stream: TcpStream,
    received: Vec<u8>,
}

impl RawConnection {
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            stream,
            received: Vec::new(),
        })
    }

    /// Returns false if the node has closed the connection.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Reads the next answer. None if the connection ends before it is complete.
    pub async fn read(&mut self) -> Option<RawAnswer> {
        let reading = self.read_whole();
        tokio::time::timeout(ANSWER_TIMEOUT, reading).await.ok()?
    }

    async fn read_whole(&mut self) -> Option<RawAnswer> {
        let head_end = loop {
            let mut windows = self.received.windows(HEAD_END.len());
            if let Some(end) = windows.position(|window| window == HEAD_END) {
                break end + HEAD_END.len();
            }
            self.receive().await?;
        };
        let head = String::from_utf8_lossy(&self.received[..head_end]).to_lowercase();
        let length = head.split_once("content-length: ")?.1;
        let length: usize = length.split("\r\n").next()?.parse().ok()?;
        while self.received.len() < head_end + length {
            self.receive().await?;
        }
        let body = String::from_utf8_lossy(&self.received[head_end..head_end + length]);
        let answer = RawAnswer {
            status: head.split(' ').nth(1)?.parse().ok()?,
            body: body.into_owned(),
            head,
            at: Instant::now(),
        };
        self.received.drain(..head_end + length);
        Some(answer)
    }

    async fn receive(&mut self) -> Option<()> {
        let mut buffer = [0; 4096];
        let count = self.stream.read(&mut buffer).await.ok()?;
        self.received.extend_from_slice(&buffer[..count]);
        (count > 0).then_some(())
    }
}

/// The bytes of a request with these headers besides `Host` and `Content-Length`.
pub fn request_bytes(host: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut lines = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        lines.push_str(&format!("{name}: {value}\r\n"));
    }
    let length = body.len();
    format!("{lines}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}
